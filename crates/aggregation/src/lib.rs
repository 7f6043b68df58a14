//! Aggregation of collector reports: what each controller's subset needs, summed over zones, within a byte budget.
//!
//! [`aggregator::Aggregator`] is the reducer: it has all state, and neither input, output nor a clock. The other
//! modules are its parts, each with one job. `program` is the process around it: sockets, signals, log and metrics.
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
