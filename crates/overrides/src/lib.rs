//! Operator overrides that expire: what is requested, which overrides are active, and how they are stored.
//!
//! The package has no I/O and reads no clock; callers pass the time and carry out [`OverrideEffect`]s.
//! [`manager`] handles requests and the store, [`registry`] holds all overrides, [`record`] defines one
//! override, [`validation`] its limits, [`timeline`] how expiry times outlive a restart, [`encoding`] the
//! stored form and [`text`] the form that people write.
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

pub use error::OverrideError;
pub use manager::{
    ChangeReply, ChangeRequest, Durability, OverrideEffect, OverrideManager, RequestId, StoreEvent,
};
pub use record::{
    ConfiguredOverride, EndCause, Ending, NewOverride, Origin, Override, OverrideKind, StoredRecord,
};
pub use registry::{OverrideLimits, OverrideRegistry, Proposal, RegistryChange, RestoredRegistry};
pub use timeline::{ClockReading, ClockStamp, ResumedTimeline, Timeline, WallClockMonitor};
pub use validation::InvalidField;
