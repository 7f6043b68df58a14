//! Violations found by a soak run.

use std::fmt;
use std::sync::{Arc, Mutex, PoisonError};

/// A violation of the behaviour that is required of the controller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// A request of which at least a part arrived in time was not answered: its connection was closed, or timed out.
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
        states: String,
    },
    /// The first answer to a new peer took too long.
    SlowFirstAnswer {
        /// The delay, and the round.
        delay: String,
    },
    /// The program had not exited at the kill deadline.
    SlowShutdown {
        /// The round with its signals.
        round: String,
    },
    /// The program exited unexpectedly or with an error, or panicked.
    Crashed {
        /// The exit status and the last log line, or the log lines that report panics.
        cause: String,
    },
    /// The program uses more resources than at its start.
    Leak {
        /// The resource usage before and after.
        usage: String,
    },
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Violation::Unanswered { request } => write!(f, "unanswered: {request}"),
            Violation::WrongAnswer { exchange } => write!(f, "wrong answer: {exchange}"),
            Violation::UnexpectedOverrideState { states } => write!(f, "unexpected override state: {states}"),
            Violation::SlowFirstAnswer { delay } => write!(f, "slow first answer: {delay}"),
            Violation::SlowShutdown { round } => write!(f, "shutdown too slow: {round}"),
            Violation::Crashed { cause } => write!(f, "crashed: {cause}"),
            Violation::Leak { usage } => write!(f, "leak: {usage}"),
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
