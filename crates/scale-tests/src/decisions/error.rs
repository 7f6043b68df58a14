//! Errors of a sweep.

use std::path::PathBuf;
use thiserror::Error;
use whinwall_experiments::results::ResultsError;

/// The reason why a sweep failed.
#[derive(Debug, Error)]
pub enum SweepError {
    /// A count that must be at least 1 is 0.
    #[error("{0} must be at least 1")]
    Zero(&'static str),
    /// The thread pool could not be started.
    #[error("cannot start thread pool: {0}")]
    Threads(#[from] rayon::ThreadPoolBuildError),
    /// The rows could not be written.
    #[error(transparent)]
    Rows(#[from] ResultsError),
    /// The table could not be written.
    #[error("cannot write {}: {source}", path.display())]
    Table {
        /// The path of the table's file.
        path: PathBuf,
        /// The I/O error.
        source: std::io::Error,
    },
}
