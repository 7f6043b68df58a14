//! The messages of collectors, discovery and relay as typed values. Each message is decoded and encoded in one place
//! only, and the names used on the wire appear in no other package.

#![warn(clippy::unwrap_used)]

pub mod collector;
pub mod discovery;
mod error;
pub mod relay;

pub use error::{DecodeError, InvalidLine, InvalidMessage, JsonError};

/// The largest plausible count or weight.
const MAX_COUNT: f64 = 1e9;
/// The largest plausible duration in a message: one hour in milliseconds.
const MAX_TIME_MS: f64 = 3.6e6;

/// Returns true if a count or weight is plausible. Implausible values (negative, huge, NaN) must not enter sums and
/// means, since a single one would distort the whole aggregate.
pub(crate) fn is_plausible_count(count: f64) -> bool {
    (0.0..=MAX_COUNT).contains(&count)
}

/// Returns true if a duration in milliseconds is plausible. A single report with a window of a year would make all
/// other reports appear late.
pub(crate) fn is_plausible_time_ms(time_ms: f64) -> bool {
    (0.0..=MAX_TIME_MS).contains(&time_ms)
}
