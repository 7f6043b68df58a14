//! Parser of the operators' XML configuration file. [`xml`] parses elements and records their locations,
//! [`mod@file`] and [`subsetting`] interpret them, and [`values`] parses attribute values. The schema is
//! `deploy/operators.xsd`.
#![forbid(unsafe_code)]
#![warn(clippy::unwrap_used)]

pub mod error;
pub mod file;
mod overrides;
pub mod subsetting;
pub mod values;
pub mod xml;

pub use error::{ConfigError, Location};
pub use file::{LogFormat, ManagementEndpoint, OperatorsFile};
pub use subsetting::{AggregatorMember, ControllerMember, SubsettingConfig, UnknownMember};
