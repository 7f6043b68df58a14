//! Errors of the override store.

use crate::database::FORMAT_VERSION;
use std::path::PathBuf;
use std::sync::Arc;

/// The store cannot be opened, read or written at present; a retry may succeed. The messages are shown to operators.
#[derive(Clone, Debug, thiserror::Error)]
pub enum StoreError {
    /// The folder of the store cannot be created.
    #[error("cannot create folder {}: {source}", folder.display())]
    CreateFolder {
        /// The path of the folder.
        folder: PathBuf,
        /// The I/O error.
        source: Arc<std::io::Error>,
    },
    /// The database file cannot be opened.
    #[error(transparent)]
    Open(Arc<redb::DatabaseError>),
    /// The database cannot be read or written.
    #[error(transparent)]
    Access(Arc<redb::Error>),
    /// The file was written by a later version of the program.
    #[error("file format {found}, this version reads up to {FORMAT_VERSION}")]
    NewerFormat {
        /// The format version of the file.
        found: u64,
    },
    /// The database panicked while it read the file.
    #[error("the database panicked while reading the file")]
    ReadPanicked,
    /// The database panicked during a write.
    #[error("the database panicked during a write")]
    WritePanicked,
    /// The file is corrupt and cannot be renamed.
    #[error("corrupt file ({corruption}) cannot be renamed: {source}")]
    SetAside {
        /// The error that showed the file to be corrupt.
        corruption: Box<StoreError>,
        /// The error of the renaming.
        source: Arc<std::io::Error>,
    },
}

/// Errors are equal if their messages are equal, as the database's error types cannot be compared.
impl PartialEq for StoreError {
    fn eq(&self, other: &Self) -> bool {
        self.to_string() == other.to_string()
    }
}

impl From<redb::DatabaseError> for StoreError {
    fn from(error: redb::DatabaseError) -> Self {
        StoreError::Open(Arc::new(error))
    }
}

impl From<redb::Error> for StoreError {
    fn from(error: redb::Error) -> Self {
        StoreError::Access(Arc::new(error))
    }
}
