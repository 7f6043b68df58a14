//! The `whinwall` command: [`run`] reads the command line and carries it out. Its modules are `arguments` (the command
//! line), `commands` (what each subcommand does), `client_calls` (a call to every controller, with [`retries`]),
//! [`replies`] (the controllers' replies) and [`tables`] (how these are shown).
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

/// The name of the program, as its completions and its messages have it.
const PROGRAM_NAME: &str = "whinwall";

/// Carries out the command line of the process. Errors are printed; invalid arguments end the process.
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
