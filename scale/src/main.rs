//! `whinwall-scale`: runs the scale tests; each subcommand writes its results as Parquet, a table and a chart.
#![forbid(unsafe_code)]

use clap::{Parser, Subcommand};
use std::process::ExitCode;
use whinwall_scale::many;

/// Measures what governors cost at the size of a large fleet
#[derive(Parser)]
#[command(version, after_help = "Exit codes: 0 measured; 2 an argument is faulty or a measurement failed.")]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Many governors, real processes beside in-process ones, and events that concern all of them
    Many(many::Args),
}

fn main() -> ExitCode {
    let Command::Many(args) = Arguments::parse().command;
    match many::run(args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("whinwall-scale: {failure}");
            ExitCode::from(2)
        }
    }
}
