//! Records by number and a stamp, in one file of an embedded store. What `keep` has returned for is on disk,
//! whatever ends the program; what it refuses has changed nothing. It blocks, and so has a thread of its own
//! (`desk`).
#![forbid(unsafe_code)]

pub mod desk;

use redb::{
    Builder, Database, DatabaseError, ReadableDatabase, ReadableTable, StorageError, TableDefinition,
};
use std::fmt;
use std::io::ErrorKind;
use std::os::unix::fs::{DirBuilderExt, PermissionsExt};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::{Path, PathBuf};

/// The form of the whole file; one that is newer is left alone.
const FORM: u64 = 1;
const FILE: &str = "overrides.redb";
/// All records together take a few hundred kilobytes.
const CACHE: usize = 1 << 20;

const RECORDS: TableDefinition<u64, &[u8]> = TableDefinition::new("records");
const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");

/// What was found when the store was opened.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Found {
    pub records: Vec<(u64, Vec<u8>)>,
    pub stamp: Option<Vec<u8>>,
    /// The file that could not be used, where it is now, and why.
    pub set_aside: Option<String>,
}

/// What is to be there afterwards, all of it or nothing.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Job {
    pub puts: Vec<(u64, Vec<u8>)>,
    pub drops: Vec<u64>,
    pub stamp: Vec<u8>,
}

/// Why the store can't be used now; it may be later.
#[derive(Clone, Debug, PartialEq)]
pub struct Unusable(pub String);

impl fmt::Display for Unusable {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(&self.0)
    }
}

fn unusable(why: impl fmt::Display) -> Unusable {
    Unusable(why.to_string())
}

/// How a store is opened; tests put a failing disk in its place.
pub type Opener = Box<dyn FnMut(&Path) -> Result<Database, DatabaseError> + Send>;

pub struct Keeper {
    folder: PathBuf,
    opener: Opener,
    open: Option<Database>,
}

impl Keeper {
    pub fn at(folder: PathBuf) -> Self {
        let create = |path: &Path| {
            let database = Builder::new().set_cache_size(CACHE).create(path)?;
            // Who may read it is who runs the program.
            let only_ours = std::fs::Permissions::from_mode(0o600);
            std::fs::set_permissions(path, only_ours).map_err(StorageError::Io)?;
            Ok(database)
        };
        Keeper::with(folder, Box::new(create))
    }

    pub fn with(folder: PathBuf, opener: Opener) -> Self {
        Keeper { folder, opener, open: None }
    }

    /// Opens the store and reads all that it has. A file that is no store of ours is set aside under another
    /// name, and a new one begun; one that others use, or of a newer form, stays as it is.
    pub fn open(&mut self) -> Result<Found, Unusable> {
        let mut folder = std::fs::DirBuilder::new();
        folder
            .recursive(true)
            .mode(0o700)
            .create(&self.folder)
            .map_err(|why| unusable(format!("{}: {why}", self.folder.display())))?;
        match self.try_open() {
            Ok(found) => Ok(found),
            Err(Refusal::NotNow(why)) => Err(why),
            Err(Refusal::Spoilt(why)) => {
                let aside = self.set_aside().map_err(|failed| unusable(format!("{why}; {failed}")))?;
                let mut found = self.try_open().map_err(|refusal| match refusal {
                    Refusal::NotNow(why) | Refusal::Spoilt(why) => why,
                })?;
                found.set_aside = Some(format!("{} is now {}: {why}", FILE, aside.display()));
                Ok(found)
            }
        }
    }

    fn try_open(&mut self) -> Result<Found, Refusal> {
        self.open = None;
        let path = self.folder.join(FILE);
        // A library that meets bytes it never wrote may panic: that too is a spoilt file, and no end of us.
        let opened = catch_unwind(AssertUnwindSafe(|| {
            let database = (self.opener)(&path).map_err(Refusal::opening)?;
            let found = read(&database)?;
            Ok((database, found))
        }));
        let (database, found) = opened.unwrap_or_else(|_| Err(Refusal::spoilt("it can't be read")))?;
        self.open = Some(database);
        Ok(found)
    }

    fn set_aside(&self) -> std::io::Result<PathBuf> {
        let path = self.folder.join(FILE);
        let free = |n: &u32| !self.folder.join(format!("{FILE}.spoilt-{n}")).exists();
        let n = (1..).find(free).unwrap_or_default();
        let aside = self.folder.join(format!("{FILE}.spoilt-{n}"));
        std::fs::rename(&path, &aside)?;
        Ok(aside)
    }

    /// On disk when it returns. After a failure the store is opened anew the next time: what is half written
    /// is undone by that.
    pub fn keep(&mut self, job: &Job) -> Result<(), Unusable> {
        if self.open.is_none() {
            self.open = Some((self.opener)(&self.folder.join(FILE)).map_err(unusable)?);
        }
        let Some(database) = &self.open else { return Err(unusable("it is not open")) };
        let done = catch_unwind(AssertUnwindSafe(|| write(database, job)));
        let done = done.unwrap_or_else(|_| Err(unusable("it panicked")));
        if done.is_err() {
            let failed = self.open.take();
            // It may want to write once more at its end, and fail once more.
            _ = catch_unwind(AssertUnwindSafe(|| drop(failed)));
        }
        done
    }
}

enum Refusal {
    /// Others use it, or it can't be reached, or it is newer than we are: it is as it should be.
    NotNow(Unusable),
    Spoilt(Unusable),
}

impl Refusal {
    fn spoilt(why: impl fmt::Display) -> Self {
        Refusal::Spoilt(unusable(why))
    }

    fn opening(why: DatabaseError) -> Self {
        match &why {
            DatabaseError::Storage(StorageError::Corrupted(_)) => Refusal::spoilt(why),
            DatabaseError::Storage(StorageError::Io(io)) => match io.kind() {
                ErrorKind::InvalidData | ErrorKind::UnexpectedEof => Refusal::spoilt(why),
                _ => Refusal::NotNow(unusable(why)),
            },
            _ => Refusal::NotNow(unusable(why)),
        }
    }
}

fn read(database: &Database) -> Result<Found, Refusal> {
    // A new file has no tables yet.
    let begun = || -> Result<(), redb::Error> {
        let write = database.begin_write()?;
        write.open_table(RECORDS)?;
        write.open_table(META)?;
        write.commit()?;
        Ok(())
    };
    let refusal = |why: redb::Error| match why {
        redb::Error::Io(_) | redb::Error::PreviousIo => Refusal::NotNow(unusable(why)),
        _ => Refusal::spoilt(why),
    };
    let all = || -> Result<(Option<u64>, Found), redb::Error> {
        let read = database.begin_read()?;
        let (records, meta) = (read.open_table(RECORDS)?, read.open_table(META)?);
        let form = meta.get("form")?.map(|form| form.value().try_into().map_or(u64::MAX, u64::from_be_bytes));
        let stamp = meta.get("stamp")?.map(|stamp| stamp.value().to_vec());
        let records =
            records.iter()?.map(|entry| entry.map(|(n, bytes)| (n.value(), bytes.value().to_vec())));
        Ok((form, Found { records: records.collect::<Result<_, _>>()?, stamp, set_aside: None }))
    };
    // To be read it must not have to be written: the disk may be full.
    let (form, found) = match all() {
        Err(redb::Error::TableDoesNotExist(_)) => {
            begun().map_err(refusal)?;
            all()
        }
        read => read,
    }
    .map_err(refusal)?;
    match form {
        Some(newer) if newer > FORM => {
            Err(Refusal::NotNow(unusable(format!("it has form {newer}, this version reads up to {FORM}"))))
        }
        _ => Ok(found),
    }
}

fn write(database: &Database, job: &Job) -> Result<(), Unusable> {
    let all = || -> Result<(), redb::Error> {
        let write = database.begin_write()?;
        {
            let mut records = write.open_table(RECORDS)?;
            for (number, bytes) in &job.puts {
                records.insert(number, bytes.as_slice())?;
            }
            for number in &job.drops {
                records.remove(number)?;
            }
            let mut meta = write.open_table(META)?;
            meta.insert("form", FORM.to_be_bytes().as_slice())?;
            meta.insert("stamp", job.stamp.as_slice())?;
        }
        write.commit()?;
        Ok(())
    };
    all().map_err(unusable)
}
