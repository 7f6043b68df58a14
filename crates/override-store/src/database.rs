//! The tables of the database file, which are read and written in transactions.

use crate::error::StoreError;
use crate::store::{StoreContents, WriteBatch};
use redb::{Database, DatabaseError, ReadableDatabase, ReadableTable, StorageError, TableDefinition};
use std::io::ErrorKind;

/// The version of the file format. A file with a later version is not opened and stays unchanged.
pub const FORMAT_VERSION: u64 = 1;

const RECORDS: TableDefinition<u64, &[u8]> = TableDefinition::new("records");
const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
/// Key of the format version in [`META`], whose value is a big-endian `u64`.
const FORMAT_VERSION_KEY: &str = "form";
/// Key of the clock stamp in [`META`].
const STAMP_KEY: &str = "stamp";

/// The reason why a file cannot be used.
pub enum OpenError {
    /// Another program uses the file, it cannot be accessed, or a later version wrote it. The file must not be changed.
    Unavailable(StoreError),
    /// The file is not a database, or is damaged.
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
    /// `None` if no batch was ever written to the file.
    format_version: Option<u64>,
    contents: StoreContents,
}

/// Reads the contents of the database. Creates the tables if the file has none; otherwise writes nothing, as the disk
/// may be full.
///
/// # Errors
/// The database is damaged, cannot be read at present, or has a later format version.
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
    // A value of another length comes from an unknown later version.
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

/// Writes a batch in one transaction.
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
