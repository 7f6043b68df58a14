//! Why a measurement of one controller failed.

use crate::process::ProcessError;
use crate::results::ResultsError;

/// Why a measurement failed.
#[derive(Debug, thiserror::Error)]
pub enum MeasureError {
    /// A process could not be started or observed.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// A stand-in could not be started, or a connection failed.
    #[error("a stand-in: {0}")]
    StandIn(#[from] std::io::Error),
    /// Results could not be written.
    #[error(transparent)]
    Results(#[from] ResultsError),
}
