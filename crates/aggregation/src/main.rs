//! The aggregator program: collectors' lines of all zones in, what each controller's subset needs out.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod program;

use std::process::ExitCode;

fn main() -> ExitCode {
    program::run()
}
