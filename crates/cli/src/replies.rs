//! The replies of several controllers to one call, and the resulting exit status.

use std::process::ExitCode;
use whinwall_management_api::client::{ClientError, ManagementAddress};

/// The reply of one controller.
#[derive(Clone, Debug)]
pub struct ControllerReply<T> {
    /// The controller's address.
    pub address: ManagementAddress,
    /// The reply, or the reason why there is none.
    pub result: Result<T, ClientError>,
}

/// The replies of all controllers, in the order of their addresses on the command line.
#[derive(Clone, Debug)]
pub struct Replies<T>(pub Vec<ControllerReply<T>>);

/// The exit status of the command, for scripts. The help text lists the codes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ExitStatus {
    /// All controllers carried out the command.
    Success = 0,
    /// Only some controllers carried out the command, or the outcome of a call is unknown.
    Partial = 1,
    /// A file or an argument is invalid, or all controllers rejected the command.
    Rejected = 2,
    /// No controller could be reached.
    Unreachable = 3,
    /// The controllers' overrides differ.
    Disagreement = 4,
    /// All controllers carried out the command, but at least one does not have it on disk yet, so a restart may undo it
    /// there.
    NotDurable = 5,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> ExitCode {
        ExitCode::from(status as u8)
    }
}

impl<T> Replies<T> {
    /// Returns the controllers that replied, with their replies.
    pub fn successes(&self) -> impl Iterator<Item = (&ManagementAddress, &T)> {
        self.0.iter().filter_map(|reply| Some((&reply.address, reply.result.as_ref().ok()?)))
    }

    /// Returns the controllers that did not reply or that rejected the call, with the errors.
    pub fn errors(&self) -> impl Iterator<Item = (&ManagementAddress, &ClientError)> {
        self.0.iter().filter_map(|reply| Some((&reply.address, reply.result.as_ref().err()?)))
    }

    /// Returns the number of controllers that were called.
    pub fn controller_count(&self) -> usize {
        self.0.len()
    }

    /// Returns the exit status that results from the replies.
    pub fn exit_status(&self) -> ExitStatus {
        let successes = self.successes().count();
        let has_unknown_outcome = |error: &ClientError| matches!(error, ClientError::OutcomeUnknown(_));
        let is_rejection = |error: &ClientError| {
            matches!(error, ClientError::Rejected { .. } | ClientError::Unavailable { .. })
        };
        if successes == self.controller_count() {
            ExitStatus::Success
        } else if successes > 0 || self.errors().any(|(_, error)| has_unknown_outcome(error)) {
            ExitStatus::Partial
        } else if self.errors().any(|(_, error)| is_rejection(error)) {
            ExitStatus::Rejected
        } else {
            ExitStatus::Unreachable
        }
    }
}
