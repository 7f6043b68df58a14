//! The aggregator program: receives collector reports of all zones and sends aggregates to controllers.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod program;

use std::process::ExitCode;

fn main() -> ExitCode {
    program::run()
}
