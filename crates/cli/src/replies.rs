//! The replies of several controllers to one call, and the exit status that follows from them.

use std::process::ExitCode;
use whinwall_management_api::client::{ClientError, ManagementAddress};

/// The reply of one controller.
#[derive(Clone, Debug)]
pub struct ControllerReply<T> {
    /// The controller's address.
    pub address: ManagementAddress,
    /// Its reply, or why there is none.
    pub result: Result<T, ClientError>,
}

/// The replies of all controllers, in the order of the command line.
#[derive(Clone, Debug)]
pub struct Replies<T>(pub Vec<ControllerReply<T>>);

/// The exit status of the command, for scripts; its help lists the codes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ExitStatus {
    /// All controllers carried out the command.
    Success = 0,
    /// Some controllers did, or it is unknown whether one did.
    Partial = 1,
    /// A file or an argument is invalid, or all controllers rejected the command.
    Rejected = 2,
    /// No controller could be reached.
    Unreachable = 3,
    /// The controllers' overrides differ.
    Disagreement = 4,
    /// All controllers carried out the command, and a restart of one may undo it until it is on disk there.
    NotDurable = 5,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> ExitCode {
        ExitCode::from(status as u8)
    }
}

impl<T> Replies<T> {
    /// The controllers that replied, with their replies.
    pub fn successes(&self) -> impl Iterator<Item = (&ManagementAddress, &T)> {
        self.0.iter().filter_map(|reply| Some((&reply.address, reply.result.as_ref().ok()?)))
    }

    /// The controllers that did not reply or rejected the call.
    pub fn errors(&self) -> impl Iterator<Item = (&ManagementAddress, &ClientError)> {
        self.0.iter().filter_map(|reply| Some((&reply.address, reply.result.as_ref().err()?)))
    }

    /// How many controllers were called.
    pub fn controller_count(&self) -> usize {
        self.0.len()
    }

    /// The exit status that follows from the replies.
    pub fn exit_status(&self) -> ExitStatus {
        let successes = self.successes().count();
        let is_unknown = |error: &ClientError| matches!(error, ClientError::OutcomeUnknown(_));
        let is_rejection =
            |error: &ClientError| matches!(error, ClientError::Rejected { .. } | ClientError::Unavailable(_));
        if successes == self.controller_count() {
            ExitStatus::Success
        } else if successes > 0 || self.errors().any(|(_, error)| is_unknown(error)) {
            ExitStatus::Partial
        } else if self.errors().any(|(_, error)| is_rejection(error)) {
            ExitStatus::Rejected
        } else {
            ExitStatus::Unreachable
        }
    }
}
