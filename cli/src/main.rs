//! The `whinwall` command. `arguments` says what can be asked, `repeats` when a call is made again, `calls`
//! makes it at each governor, `tables` shows what came back.
#![forbid(unsafe_code)]

mod arguments;
mod calls;
mod repeats;
mod tables;

use arguments::{Arguments, Command, OverrideCommand};
use clap::{CommandFactory, Parser};
use std::process::ExitCode;

/// How it went, for scripts; the help of the command says so too.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Went {
    Well = 0,
    /// At some governors, or not for certain.
    InPart = 1,
    /// A file or an argument is faulty, or all governors refused.
    Refused = 2,
    /// No governor could be reached.
    Nowhere = 3,
    /// Governors disagree on what stands.
    Disagree = 4,
}

impl From<Went> for ExitCode {
    fn from(went: Went) -> ExitCode {
        ExitCode::from(went as u8)
    }
}

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
