//! Errors of requests to change overrides and of writes to the override store.

use crate::validation::InvalidField;

/// A write to the override store that failed. The message is shown to operators.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{reason}")]
pub struct SaveError {
    /// The reason why the write failed.
    pub reason: String,
}

impl SaveError {
    /// Returns an error with this reason.
    pub fn new(reason: impl Into<String>) -> Self {
        SaveError { reason: reason.into() }
    }
}

/// The reason why a change is rejected; a rejected change has no effect. The messages are part of the management API.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum OverrideError {
    /// A field of the request is invalid.
    #[error(transparent)]
    InvalidField(#[from] InvalidField),
    /// The id already belongs to an override with different contents.
    #[error("{id} is another override already")]
    IdInUse {
        /// The requested id.
        id: String,
    },
    /// The largest permitted number of overrides is active already.
    #[error("{limit} overrides stand already, which is the most")]
    LimitReached {
        /// The largest permitted number of active overrides.
        limit: usize,
    },
    /// No listed override has the requested id.
    #[error("there is no override {id}")]
    UnknownId {
        /// The requested id.
        id: String,
    },
}
