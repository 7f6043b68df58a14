//! The `whinwall` command.
#![forbid(unsafe_code)]

use std::process::ExitCode;

fn main() -> ExitCode {
    whinwall_cli::run()
}
