//! Errors of requests to change overrides.

use crate::validation::InvalidField;

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
