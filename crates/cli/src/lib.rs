//! The `whinwall` command: [`run`] parses the command line and carries out the subcommand.
//!
//! The module `arguments` defines the command line, and `commands` the subcommands. `client_calls` calls all
//! controllers, with the retry schedule of [`retries`]. [`replies`] holds the controllers' replies, and [`tables`]
//! formats them.
#![forbid(unsafe_code)]
#![warn(clippy::unwrap_used)]

mod arguments;
mod client_calls;
mod commands;
mod error;
pub mod replies;
pub mod retries;
pub mod tables;

use arguments::{Arguments, Command, OverrideCommand};
use clap::{CommandFactory, Parser};
use replies::ExitStatus;
use std::process::ExitCode;

/// The name of the program in completions and messages.
const PROGRAM_NAME: &str = "whinwall";

/// Carries out the command line of the process. Prints errors, and exits the process if an argument is invalid.
pub fn run() -> ExitCode {
    let Arguments { connection, command } = Arguments::parse();
    let status = match command {
        Command::Check { files } => Ok(commands::check_files(&files)),
        Command::Completions { shell } => {
            clap_complete::generate(shell, &mut Arguments::command(), PROGRAM_NAME, &mut std::io::stdout());
            Ok(ExitStatus::Success)
        }
        Command::Status { json } => commands::show_status(&connection, json.into()),
        Command::Override(OverrideCommand::Set(command)) => commands::set_override(&connection, command),
        Command::Override(OverrideCommand::Clear { id, author }) => {
            commands::clear_override(&connection, &id, &author)
        }
        Command::Override(OverrideCommand::List { json, ended }) => {
            commands::list_overrides(&connection, json.into(), ended.into())
        }
    };
    status
        .unwrap_or_else(|error| {
            eprintln!("{PROGRAM_NAME}: {error}");
            ExitStatus::Rejected
        })
        .into()
}
