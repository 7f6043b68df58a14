//! The store: opens the file, sets a corrupt file aside, and reopens the file after a failed write.

use crate::database::{read_contents, write_batch, OpenError};
use crate::error::StoreError;
use redb::{Builder, Database, DatabaseError, StorageError};
use std::fmt;
use std::os::unix::fs::{DirBuilderExt, PermissionsExt};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// The name of the database file in the store's folder.
const FILE_NAME: &str = "overrides.redb";
/// The cache size of the database. All records together take a few hundred kilobytes.
const CACHE_BYTES: usize = 1 << 20;
/// Access to the file and the folder is limited to the user that runs the program.
const FILE_MODE: u32 = 0o600;
const FOLDER_MODE: u32 = 0o700;

/// The contents of the store.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StoreContents {
    /// The records with their numbers, in ascending order.
    pub records: Vec<(u64, Vec<u8>)>,
    /// The clock stamp of the last write.
    pub stamp: Option<Vec<u8>>,
    /// The corrupt file that was set aside when the store was opened, if any.
    pub set_aside: Option<SetAsideFile>,
}

/// A corrupt file that was renamed, so that a new database could be created under its name.
#[derive(Clone, Debug, PartialEq)]
pub struct SetAsideFile {
    /// The path after the renaming.
    pub path: PathBuf,
    /// The reason why the file cannot be read.
    pub reason: StoreError,
}

impl fmt::Display for SetAsideFile {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{FILE_NAME} renamed to {}: {}", self.path.display(), self.reason)
    }
}

/// A change of the store that is written atomically.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WriteBatch {
    /// Records to write, with their numbers.
    pub writes: Vec<(u64, Vec<u8>)>,
    /// The numbers of the records to remove.
    pub removals: Vec<u64>,
    /// The clock stamp of this write.
    pub stamp: Vec<u8>,
}

/// Opens the database at a path. Tests replace it to simulate a failing disk.
pub type DatabaseOpener = Box<dyn FnMut(&Path) -> Result<Database, DatabaseError> + Send>;

/// The override store of one controller.
pub struct OverrideStore {
    folder: PathBuf,
    opener: DatabaseOpener,
    database: Option<Database>,
}

impl OverrideStore {
    /// Returns a store in this folder, which is created when the store is opened.
    pub fn new(folder: PathBuf) -> Self {
        OverrideStore::with_opener(folder, Box::new(create_database))
    }

    /// Returns a store whose database is opened by `opener`.
    pub fn with_opener(folder: PathBuf, opener: DatabaseOpener) -> Self {
        OverrideStore { folder, opener, database: None }
    }

    /// Opens the store and reads its contents. Renames a corrupt file and creates a new one.
    ///
    /// # Errors
    /// The folder or the file cannot be used at present, or a later version wrote the file, which then stays unchanged.
    pub fn open(&mut self) -> Result<StoreContents, StoreError> {
        std::fs::DirBuilder::new().recursive(true).mode(FOLDER_MODE).create(&self.folder).map_err(
            |source| StoreError::CreateFolder { folder: self.folder.clone(), source: Arc::new(source) },
        )?;
        match self.try_open() {
            Ok(contents) => Ok(contents),
            Err(OpenError::Unavailable(error)) => Err(error),
            Err(OpenError::Corrupt(corruption)) => self.replace_corrupt_file(corruption),
        }
    }

    fn try_open(&mut self) -> Result<StoreContents, OpenError> {
        self.database = None;
        let path = self.file_path();
        // The database may panic on bytes that it never wrote. Such a file is treated as corrupt.
        let opened = catch_unwind(AssertUnwindSafe(|| {
            let database = (self.opener)(&path)?;
            let contents = read_contents(&database)?;
            Ok((database, contents))
        }));
        let (database, contents) =
            opened.unwrap_or_else(|_| Err(OpenError::Corrupt(StoreError::ReadPanicked)))?;
        self.database = Some(database);
        Ok(contents)
    }

    fn replace_corrupt_file(&mut self, corruption: StoreError) -> Result<StoreContents, StoreError> {
        let path = match self.set_file_aside() {
            Ok(path) => path,
            Err(source) => {
                let (corruption, source) = (Box::new(corruption), Arc::new(source));
                return Err(StoreError::SetAside { corruption, source });
            }
        };
        let mut contents = self.try_open().map_err(|error| match error {
            OpenError::Unavailable(error) | OpenError::Corrupt(error) => error,
        })?;
        contents.set_aside = Some(SetAsideFile { path, reason: corruption });
        Ok(contents)
    }

    /// Renames the file to the first unused name and returns the new path.
    fn set_file_aside(&self) -> std::io::Result<PathBuf> {
        let candidate = |n: u32| self.folder.join(format!("{FILE_NAME}.spoilt-{n}"));
        let path = candidate((1..).find(|n| !candidate(*n).exists()).unwrap_or_default());
        std::fs::rename(self.file_path(), &path)?;
        Ok(path)
    }

    fn file_path(&self) -> PathBuf {
        self.folder.join(FILE_NAME)
    }

    /// Writes a batch, which is on disk when this returns `Ok`. After a failure the next write reopens the file, which
    /// rolls back a partial write.
    ///
    /// # Errors
    /// The file cannot be opened or written to.
    pub fn write(&mut self, batch: &WriteBatch) -> Result<(), StoreError> {
        let path = self.file_path();
        let database = match &mut self.database {
            Some(database) => database,
            closed => closed.insert((self.opener)(&path)?),
        };
        let outcome = match catch_unwind(AssertUnwindSafe(|| write_batch(database, batch))) {
            Ok(written) => written.map_err(StoreError::from),
            Err(_) => Err(StoreError::WritePanicked),
        };
        if outcome.is_err() {
            let failed = self.database.take();
            // Closing the database may write, and panic, again.
            _ = catch_unwind(AssertUnwindSafe(|| drop(failed)));
        }
        outcome
    }
}

fn create_database(path: &Path) -> Result<Database, DatabaseError> {
    let database = Builder::new().set_cache_size(CACHE_BYTES).create(path)?;
    let permissions = std::fs::Permissions::from_mode(FILE_MODE);
    std::fs::set_permissions(path, permissions).map_err(StorageError::Io)?;
    Ok(database)
}
