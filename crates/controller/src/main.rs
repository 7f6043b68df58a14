//! whinwall's decisions on real sockets, between collectors, relay and discovery. Layers, each of which knows
//! only those after it: program, routing, protocol, transport.
#![forbid(unsafe_code)]

use std::process::ExitCode;

fn main() -> ExitCode {
    whinwall_controller::program::run()
}
