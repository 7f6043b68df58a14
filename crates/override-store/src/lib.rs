//! Stores records by number, and a clock stamp, in one file of an embedded database.
//!
//! A batch is durable once [`OverrideStore::write`] has returned successfully, even if the program is killed. A
//! failed write may still be on disk in the rare case that only its last flush failed. All calls block, so the
//! store runs on a thread of its own ([`storage_thread`]). The contents of the records are opaque to this package.
#![forbid(unsafe_code)]
#![warn(clippy::unwrap_used)]

mod database;
mod error;
pub mod storage_thread;
mod store;

pub use error::StoreError;
pub use store::{DatabaseOpener, OverrideStore, SetAsideFile, StoreContents, WriteBatch};
