//! Runtime services that the programs' event loops share: clocks, logging, process signals and owned tasks.
#![forbid(unsafe_code)]
#![warn(clippy::unwrap_used)]

pub mod clock;
pub mod logger;
pub mod signals;
pub mod task;
