//! Stores records by number, and a clock stamp, in one file of an embedded database.
//!
//! What [`OverrideStore::write`] has returned for is on disk, whatever ends the program; a write that it rejects
//! may be there in the rare case that only its last flush failed. All calls block, so the store has a thread of
//! its own ([`storage_thread`]). The contents of the records are opaque here.
#![forbid(unsafe_code)]
#![warn(clippy::unwrap_used)]

mod database;
mod error;
pub mod storage_thread;
mod store;

pub use error::StoreError;
pub use store::{DatabaseOpener, OverrideStore, SetAsideFile, StoreContents, WriteBatch};
