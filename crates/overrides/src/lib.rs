//! Operator overrides with an expiry time: requests to change them, the registry of overrides, and their storage.
//!
//! The package performs no I/O and reads no clock; callers pass the time and carry out [`OverrideEffect`]s.
//! [`manager`] handles requests and the store, [`registry`] holds all overrides, [`record`] defines one override,
//! [`validation`] checks its fields, [`timeline`] preserves expiry times across restarts, [`encoding`] defines the
//! stored format and [`text`] the formats that operators write.
#![forbid(unsafe_code)]
#![warn(clippy::unwrap_used)]

pub mod encoding;
pub mod error;
pub mod manager;
pub mod record;
pub mod registry;
pub mod text;
pub mod timeline;
pub mod validation;

pub use error::{OverrideError, SaveError};
pub use manager::{
    ChangeReply, ChangeRequest, Durability, OverrideEffect, OverrideManager, RequestId, StoreEvent,
};
pub use record::{
    ConfiguredOverride, EndCause, Ending, NewOverride, Origin, Override, OverrideKind, StoredRecord,
};
pub use registry::{OverrideLimits, OverrideRegistry, Proposal, RegistryChange, RestoredRegistry};
pub use timeline::{ClockReading, ClockStamp, ResumedTimeline, Timeline, WallClockMonitor};
pub use validation::InvalidField;
