//! One real governor process at size, against paced stand-ins on loopback.

use std::error::Error;
use std::path::PathBuf;

/// Arguments of the subcommand.
#[derive(Clone, Debug, clap::Args)]
pub struct Args {
    /// The folder for rows, tables and charts
    #[arg(long)]
    pub out: PathBuf,
}

/// Runs the subcommand.
pub fn run(_args: Args) -> Result<(), Box<dyn Error>> {
    Err("not built into this branch yet".into())
}
