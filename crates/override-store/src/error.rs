//! Why the store cannot be used.

use crate::database::FORMAT_VERSION;
use std::path::PathBuf;
use std::sync::Arc;

/// Why the store cannot be opened, read or written now; a retry may succeed. The messages are shown to operators.
#[derive(Clone, Debug, thiserror::Error)]
pub enum StoreError {
    /// The store's folder cannot be created.
    #[error("{}: {source}", folder.display())]
    CreateFolder {
        /// The folder.
        folder: PathBuf,
        /// Why not.
        source: Arc<std::io::Error>,
    },
    /// The database file cannot be opened.
    #[error(transparent)]
    Open(Arc<redb::DatabaseError>),
    /// The database cannot be read or written.
    #[error(transparent)]
    Access(Arc<redb::Error>),
    /// The file was written by a later version.
    #[error("it has form {found}, this version reads up to {FORMAT_VERSION}")]
    NewerFormat {
        /// The file's format version.
        found: u64,
    },
    /// The database panicked over the bytes of the file.
    #[error("it can't be read")]
    ReadPanicked,
    /// The database panicked during a write.
    #[error("it panicked")]
    WritePanicked,
    /// The file is corrupt and cannot be renamed.
    #[error("{corruption}; {source}")]
    SetAside {
        /// Why it is corrupt.
        corruption: Box<StoreError>,
        /// Why it cannot be renamed.
        source: Arc<std::io::Error>,
    },
}

/// Errors are the same where operators are shown the same; the sources of the database cannot be compared.
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
