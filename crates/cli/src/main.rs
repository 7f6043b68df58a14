//! The `whinwall` command.
#![forbid(unsafe_code)]

use clap::{CommandFactory, Parser};
use std::process::ExitCode;
use whinwall_cli::arguments::{Arguments, Command, OverrideCommand};
use whinwall_cli::{calls, Went};

fn main() -> ExitCode {
    let Arguments { reach, command } = Arguments::parse();
    let went = match command {
        Command::Check { files } => calls::check(&files),
        Command::Completions { shell } => {
            let mut command = Arguments::command();
            clap_complete::generate(shell, &mut command, "whinwall", &mut std::io::stdout());
            Ok(Went::Well)
        }
        Command::Status { json } => calls::status(&reach, json),
        Command::Override(OverrideCommand::Set(what)) => calls::set(&reach, what),
        Command::Override(OverrideCommand::Clear { id, author }) => calls::clear(&reach, &id, &author),
        Command::Override(OverrideCommand::List { json, ended }) => calls::list(&reach, json, ended),
    };
    went.unwrap_or_else(|wrong| {
        eprintln!("whinwall: {wrong}");
        Went::Refused
    })
    .into()
}
