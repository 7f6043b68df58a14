//! The `whinwall-experiments` command.
#![warn(clippy::unwrap_used)]

mod arguments;
mod commands;
mod error;

use arguments::{Arguments, Command};
use clap::Parser;
use commands::{Conclusion, RunFilter};
use std::process::ExitCode;
use whinwall_experiments::search::SearchSpace;

/// The exit code if a rule was violated or the second results are significantly worse.
const EXIT_FAILED: u8 = 1;
/// The exit code if a file or an argument is invalid.
const EXIT_ERROR: u8 = 2;

fn main() -> ExitCode {
    let result = match Arguments::parse().command {
        Command::Run { experiment, out, commit } => commands::run(&experiment, &out, &commit),
        Command::Report { experiment, results, out } => commands::report(&experiment, &results, &out),
        Command::Compare { first, second } => commands::compare(&first, &second),
        Command::Against { experiment, other, out } => commands::run_against(&experiment, &other, &out),
        Command::Worst { experiment, scenarios, faults, first_seed, out } => {
            commands::find_worst(&experiment, SearchSpace { first_seed, scenarios, faults }, &out)
        }
        Command::Explain { experiment, case, seed, replica, slice } => {
            let replica = replica.map(|index| format!("s-{index}"));
            let subject = replica.or(slice.map(|slice| slice.to_string())).unwrap_or_default();
            commands::explain(&experiment, &RunFilter { case, seed }, &subject)
        }
    };
    match result {
        Ok(Conclusion::Passed) => ExitCode::SUCCESS,
        Ok(Conclusion::Failed) => ExitCode::from(EXIT_FAILED),
        Err(error) => {
            eprintln!("whinwall-experiments: {error}");
            ExitCode::from(EXIT_ERROR)
        }
    }
}
