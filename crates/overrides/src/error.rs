//! Why a change of the overrides is rejected.

use crate::validation::InvalidField;

/// A change that cannot be made; nothing has changed. The messages are part of the management API.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum OverrideError {
    /// A field of the request is invalid.
    #[error(transparent)]
    InvalidField(#[from] InvalidField),
    /// The id belongs to an override with other contents.
    #[error("{id} is another override already")]
    IdInUse {
        /// The requested id.
        id: String,
    },
    /// As many overrides are active as may be.
    #[error("{limit} overrides stand already, which is the most")]
    LimitReached {
        /// The largest permitted number of active overrides.
        limit: usize,
    },
    /// No listed override has this id.
    #[error("there is no override {id}")]
    UnknownId {
        /// The requested id.
        id: String,
    },
}
