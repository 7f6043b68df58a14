//! Errors of a measurement of one controller.

use crate::process::ProcessError;
use crate::results::ResultsError;

/// The reason why a measurement failed.
#[derive(Debug, thiserror::Error)]
pub enum MeasureError {
    /// A process could not be started or observed.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// An I/O operation of the harness failed: a fake, a connection or a temporary file.
    #[error("I/O error in the test bed: {0}")]
    TestBed(#[from] std::io::Error),
    /// Results could not be written.
    #[error(transparent)]
    Results(#[from] ResultsError),
}
