//! Violations found by a soak run.

use std::fmt;
use std::sync::{Arc, Mutex, PoisonError};

/// A violation of the behaviour that is required of the controller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// A request that had at least partly arrived in time was not answered: its connection was closed, or timed out.
    Unanswered {
        /// The request, and how its connection ended.
        request: String,
    },
    /// An unexpected answer.
    WrongAnswer {
        /// The request and its answer.
        exchange: String,
    },
    /// The listed state of an override contradicts earlier answers.
    UnexpectedOverrideState {
        /// The override, its expected state and its listed states.
        what: String,
    },
    /// The first answer to a new peer took too long.
    SlowFirstAnswer {
        /// The peer, and the delay.
        who: String,
    },
    /// The program had not exited at the kill deadline.
    SlowShutdown {
        /// The round with its signals.
        signals: String,
    },
    /// The program exited unexpectedly or with an error, or panicked.
    Crashed {
        /// Exit status and last log line, or the panics.
        how: String,
    },
    /// The program uses more resources than at its start.
    Leak {
        /// The resource usage before and after.
        what: String,
    },
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Violation::Unanswered { request } => write!(f, "unanswered: {request}"),
            Violation::WrongAnswer { exchange } => write!(f, "wrong answer: {exchange}"),
            Violation::UnexpectedOverrideState { what } => write!(f, "unexpected override state: {what}"),
            Violation::SlowFirstAnswer { who } => write!(f, "slow first answer: {who}"),
            Violation::SlowShutdown { signals } => write!(f, "shutdown too slow: {signals}"),
            Violation::Crashed { how } => write!(f, "crashed: {how}"),
            Violation::Leak { what } => write!(f, "leak: {what}"),
        }
    }
}

/// The violations of one run; clones share them.
#[derive(Clone, Default)]
pub struct Violations(Arc<Mutex<Vec<Violation>>>);

impl Violations {
    /// Records a violation.
    pub fn record(&self, violation: Violation) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).push(violation);
    }

    /// Returns all violations recorded so far.
    pub fn all(&self) -> Vec<Violation> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}
