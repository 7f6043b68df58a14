//! The controller program: the decisions of whinwall on sockets, between collectors, relay and discovery.
#![forbid(unsafe_code)]
#![warn(clippy::unwrap_used)]

use std::process::ExitCode;

fn main() -> ExitCode {
    whinwall_controller::program::run()
}
