//! What the programs share around their event loops: clocks, log output, process signals and owned tasks.
#![forbid(unsafe_code)]
#![warn(clippy::unwrap_used)]

pub mod clock;
pub mod logger;
pub mod signals;
pub mod task;
