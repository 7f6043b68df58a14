//! `whinwall-scale-tests`: runs the scale tests. The subcommands write their results as Parquet files, tables and
//! charts.
#![warn(clippy::unwrap_used)]

use clap::{Parser, Subcommand};
use std::error::Error;
use std::process::ExitCode;
use whinwall_scale_tests::{decisions, many, one};

/// Measures what governors cost at the size of a large fleet
#[derive(Parser)]
#[command(version, after_help = "Exit codes: 0 measured; 2 an argument is faulty or a measurement failed.")]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// One real governor process at size, against paced stand-ins of relay, discovery and collectors
    One(one::Args),
    /// Many governors, real processes beside in-process ones, and events that concern all of them
    Many(many::Args),
    /// The decisions of many governors, in the emulator
    Decisions(decisions::Args),
}

fn run(command: Command) -> Result<(), Box<dyn Error>> {
    match command {
        Command::One(args) => Ok(one::run(args)?),
        Command::Many(args) => Ok(many::run(args)?),
        Command::Decisions(args) => Ok(decisions::run(args)?),
    }
}

fn main() -> ExitCode {
    match run(Arguments::parse().command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("whinwall-scale-tests: {failure}");
            ExitCode::from(2)
        }
    }
}
