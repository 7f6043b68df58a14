//! Many governors: real processes beside in-process ones, and fleet-wide events.

use std::error::Error;

/// Arguments of the subcommand.
#[derive(Clone, Debug, clap::Args)]
pub struct Args {}

/// Runs the subcommand.
pub fn run(_args: Args) -> Result<(), Box<dyn Error>> {
    Err("not built into this branch yet".into())
}
