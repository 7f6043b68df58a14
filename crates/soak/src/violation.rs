//! What a soak run finds.

use std::fmt;
use std::sync::{Arc, Mutex, PoisonError};

/// Something that must not happen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// A request of which something had arrived in time was closed without an answer, or not answered at all.
    Unanswered {
        /// What was asked, and how the connection ended.
        request: String,
    },
    /// An answer that no request should get.
    WrongAnswer {
        /// What was asked and answered.
        exchange: String,
    },
    /// An override is not as the answers have promised.
    BrokenPromise {
        /// The override, what was promised and what is listed.
        what: String,
    },
    /// A new peer was kept waiting for too long.
    SlowStart {
        /// Who, and for how long.
        who: String,
    },
    /// The program was still there when the kill came.
    EndedLate {
        /// The signals.
        signals: String,
    },
    /// The program ended by itself, or with an error.
    Crashed {
        /// How.
        how: String,
    },
    /// The program holds more than at its start.
    Leak {
        /// What it holds.
        what: String,
    },
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Violation::Unanswered { request } => write!(f, "unanswered: {request}"),
            Violation::WrongAnswer { exchange } => write!(f, "wrong answer: {exchange}"),
            Violation::BrokenPromise { what } => write!(f, "broken promise: {what}"),
            Violation::SlowStart { who } => write!(f, "slow start: {who}"),
            Violation::EndedLate { signals } => write!(f, "ended late: {signals}"),
            Violation::Crashed { how } => write!(f, "crashed: {how}"),
            Violation::Leak { what } => write!(f, "leak: {what}"),
        }
    }
}

/// The violations of one run; clones share them.
#[derive(Clone, Default)]
pub struct Violations(Arc<Mutex<Vec<Violation>>>);

impl Violations {
    /// Notes one.
    pub fn note(&self, violation: Violation) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).push(violation);
    }

    /// All so far.
    pub fn all(&self) -> Vec<Violation> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}
