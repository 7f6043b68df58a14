//! The controller program: reads reports from collectors and endpoint lists from discovery, and sends commands to the
//! relay.
#![forbid(unsafe_code)]
#![warn(clippy::unwrap_used)]

use std::process::ExitCode;

fn main() -> ExitCode {
    whinwall_controller::program::run()
}
