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

/// Returns an error if a count or weight is not plausible. Implausible values (negative, huge, NaN) must not enter
/// sums and means, since a single one would distort the whole aggregate.
pub(crate) fn validate_count(field: &'static str, count: f64) -> Result<(), InvalidLine> {
    validate_range(field, count, MAX_COUNT)
}

/// Returns an error if a duration in milliseconds is not plausible. A single report with a window of a year would make
/// all other reports appear late.
pub(crate) fn validate_time_ms(field: &'static str, time_ms: f64) -> Result<(), InvalidLine> {
    validate_range(field, time_ms, MAX_TIME_MS)
}

/// Returns an error if the value of a field is not between 0 and `max`.
pub(crate) fn validate_range(field: &'static str, value: f64, max: f64) -> Result<(), InvalidLine> {
    if (0.0..=max).contains(&value) {
        Ok(())
    } else {
        Err(InvalidLine::OutOfRange { field, value, max })
    }
}
