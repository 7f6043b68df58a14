//! Aggregation of collector reports: sums the reports over zones and sends each controller the sums for its subset,
//! within a byte budget.
//!
//! [`aggregator::Aggregator`] is the reducer. It owns all state and uses neither I/O nor a clock. The other modules are
//! its components. The binary's `program` module connects it to sockets, signals, log and metrics.
#![forbid(unsafe_code)]
#![warn(clippy::unwrap_used)]

pub mod aggregator;
pub mod budget;
pub mod configuration;
pub mod coverage;
pub mod feed;
pub mod heartbeat;
pub mod limits;
pub mod log_event;
pub mod membership;
pub mod messages;
pub mod registry;
pub mod status;
pub mod sums;
pub mod wire;
