//! The parts of the `whinwall` command. `arguments` says what can be asked, `repeats` when a call is made again, `calls`
//! makes it at each controller, `answers` holds what came back, `tables` shows it.
#![forbid(unsafe_code)]

pub mod answers;
pub mod arguments;
pub mod calls;
pub mod repeats;
pub mod tables;

use std::process::ExitCode;

/// How it went, for scripts; the help of the command says so too.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Went {
    Well = 0,
    /// At some controllers, or not for certain.
    InPart = 1,
    /// A file or an argument is faulty, or all controllers refused.
    Refused = 2,
    /// No controller could be reached.
    Nowhere = 3,
    /// Controllers disagree on what stands.
    Disagree = 4,
}

impl From<Went> for ExitCode {
    fn from(went: Went) -> ExitCode {
        ExitCode::from(went as u8)
    }
}
