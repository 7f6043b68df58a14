//! Why a sweep could not be played.

use std::path::PathBuf;
use thiserror::Error;
use whinwall_experiments::results::ResultsError;

/// Why a sweep could not be played.
#[derive(Debug, Error)]
pub enum SweepError {
    /// A number of which there must be at least one is zero.
    #[error("{0} must be at least 1")]
    Zero(&'static str),
    /// The pool of threads could not be started.
    #[error("threads: {0}")]
    Threads(#[from] rayon::ThreadPoolBuildError),
    /// The rows could not be written.
    #[error(transparent)]
    Rows(#[from] ResultsError),
    /// The table could not be written.
    #[error("{}: {source}", path.display())]
    Table {
        /// The table's file.
        path: PathBuf,
        /// How it failed.
        source: std::io::Error,
    },
}
