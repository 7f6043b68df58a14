//! The tables of the database file, and reading and writing them in transactions.

use crate::error::StoreError;
use crate::store::{StoreContents, WriteBatch};
use redb::{Database, DatabaseError, ReadableDatabase, ReadableTable, StorageError, TableDefinition};
use std::io::ErrorKind;

/// The version of the file's format. A file of a later version is left alone.
pub const FORMAT_VERSION: u64 = 1;

const RECORDS: TableDefinition<u64, &[u8]> = TableDefinition::new("records");
const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
/// Key of the format version in [`META`], a big-endian `u64`.
const FORMAT_VERSION_KEY: &str = "form";
/// Key of the clock stamp in [`META`].
const STAMP_KEY: &str = "stamp";

/// Why a file cannot be used.
pub enum OpenError {
    /// Another program uses it, it cannot be reached, or a later version wrote it: it has to stay as it is.
    Unavailable(StoreError),
    /// It is not a database, or a damaged one.
    Corrupt(StoreError),
}

impl From<DatabaseError> for OpenError {
    fn from(error: DatabaseError) -> Self {
        let is_corrupt = match &error {
            DatabaseError::Storage(StorageError::Corrupted(_)) => true,
            DatabaseError::Storage(StorageError::Io(io)) => {
                matches!(io.kind(), ErrorKind::InvalidData | ErrorKind::UnexpectedEof)
            }
            _ => false,
        };
        if is_corrupt {
            OpenError::Corrupt(error.into())
        } else {
            OpenError::Unavailable(error.into())
        }
    }
}

impl From<redb::Error> for OpenError {
    fn from(error: redb::Error) -> Self {
        match &error {
            redb::Error::Io(_) | redb::Error::PreviousIo => OpenError::Unavailable(error.into()),
            _ => OpenError::Corrupt(error.into()),
        }
    }
}

struct FileContents {
    /// None in a file that was never written to.
    format_version: Option<u64>,
    contents: StoreContents,
}

/// Reads all that the database holds. A file without tables gets them; any other is only read, as the disk may be
/// full.
///
/// # Errors
/// A database that is damaged, cannot be read now, or is of a later version.
pub fn read_contents(database: &Database) -> Result<StoreContents, OpenError> {
    let file = match read_tables(database) {
        Err(redb::Error::TableDoesNotExist(_)) => {
            create_tables(database)?;
            read_tables(database)
        }
        read => read,
    }?;
    match file.format_version {
        Some(found) if found > FORMAT_VERSION => {
            Err(OpenError::Unavailable(StoreError::NewerFormat { found }))
        }
        _ => Ok(file.contents),
    }
}

fn read_tables(database: &Database) -> Result<FileContents, redb::Error> {
    let transaction = database.begin_read()?;
    let records = transaction.open_table(RECORDS)?;
    let meta = transaction.open_table(META)?;
    // A version of another length is one that this version does not know.
    let format_version = meta
        .get(FORMAT_VERSION_KEY)?
        .map(|bytes| bytes.value().try_into().map_or(u64::MAX, u64::from_be_bytes));
    let stamp = meta.get(STAMP_KEY)?.map(|bytes| bytes.value().to_vec());
    let records = records
        .iter()?
        .map(|entry| entry.map(|(number, bytes)| (number.value(), bytes.value().to_vec())))
        .collect::<Result<_, _>>()?;
    Ok(FileContents { format_version, contents: StoreContents { records, stamp, set_aside: None } })
}

fn create_tables(database: &Database) -> Result<(), redb::Error> {
    let transaction = database.begin_write()?;
    transaction.open_table(RECORDS)?;
    transaction.open_table(META)?;
    transaction.commit()?;
    Ok(())
}

/// Writes a batch, all of it or nothing.
///
/// # Errors
/// The transaction failed.
pub fn write_batch(database: &Database, batch: &WriteBatch) -> Result<(), redb::Error> {
    let transaction = database.begin_write()?;
    {
        let mut records = transaction.open_table(RECORDS)?;
        for (number, bytes) in &batch.writes {
            records.insert(number, bytes.as_slice())?;
        }
        for number in &batch.removals {
            records.remove(number)?;
        }
        let mut meta = transaction.open_table(META)?;
        meta.insert(FORMAT_VERSION_KEY, FORMAT_VERSION.to_be_bytes().as_slice())?;
        meta.insert(STAMP_KEY, batch.stamp.as_slice())?;
    }
    transaction.commit()?;
    Ok(())
}
