//! The messages of collectors, discovery and relay as typed values. Each is decoded once and encoded once; the
//! names on the wire appear in this package only.

#![warn(clippy::unwrap_used)]

pub mod collector;
pub mod discovery;
mod error;
pub mod relay;

pub use error::{DecodeError, InvalidLine, InvalidMessage, JsonError};

/// The largest plausible count or weight.
const MAX_COUNT: f64 = 1e9;
/// The largest plausible time in a message, one hour in milliseconds.
const MAX_TIME_MS: f64 = 3.6e6;

/// Whether a count or weight is a number that can be real. Others must not reach sums and means: they would spoil
/// what all other messages add to them.
pub(crate) fn is_plausible_count(count: f64) -> bool {
    (0.0..=MAX_COUNT).contains(&count)
}

/// Whether a time in milliseconds can be real: a single report that claims to cover a year would make all others
/// look late.
pub(crate) fn is_plausible_time_ms(time_ms: f64) -> bool {
    (0.0..=MAX_TIME_MS).contains(&time_ms)
}
