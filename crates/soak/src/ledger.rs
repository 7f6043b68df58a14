//! The override states that clients expect from the answers they received.

use crate::violation::{Violation, Violations};
use serde_json::Value;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The state that a client expects of an override.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ExpectedState {
    /// Set, and persisted.
    Active,
    /// Ended, and persisted.
    Ended,
    /// The change was refused, and nothing has changed.
    Refused,
    /// No answer was received, or the answer is not final.
    Unknown,
}

/// The expected states of all clients' overrides, by id; clones share them.
#[derive(Clone, Default)]
pub(crate) struct Ledger(Arc<Mutex<BTreeMap<String, ExpectedState>>>);

impl Ledger {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, ExpectedState>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn record(&self, id: &str, expected: ExpectedState) {
        self.lock().insert(id.into(), expected);
    }

    /// Returns the number of overrides that were acknowledged as set or ended.
    pub fn acknowledged_count(&self) -> usize {
        self.lock()
            .values()
            .filter(|expected| matches!(expected, ExpectedState::Active | ExpectedState::Ended))
            .count()
    }

    /// Returns the number of overrides that have ended or may have ended.
    pub fn possibly_ended_count(&self) -> usize {
        self.lock()
            .values()
            .filter(|expected| matches!(expected, ExpectedState::Ended | ExpectedState::Unknown))
            .count()
    }

    /// Compares an override list with the expected states of the ids that begin with `prefix`. No request that changes
    /// these overrides may be in flight.
    pub fn check_list(&self, prefix: &str, list: &Value, violations: &Violations) {
        let empty = Vec::new();
        let items = list["overrides"].as_array().unwrap_or(&empty);
        let mut listed_states: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
        for item in items {
            let (id, state) = (item["id"].as_str().unwrap_or_default(), item["state"].as_str());
            listed_states.entry(id).or_default().push(state.unwrap_or_default());
        }
        for (id, expected) in self.lock().iter().filter(|(id, _)| id.starts_with(prefix)) {
            let listed = listed_states.get(id.as_str()).map_or(&[][..], Vec::as_slice);
            let active = listed.iter().filter(|state| **state != "ended").count();
            let is_as_expected = match expected {
                ExpectedState::Active => active == 1,
                ExpectedState::Ended | ExpectedState::Refused => active == 0,
                ExpectedState::Unknown => active <= 1,
            };
            if !is_as_expected || listed.len() > 1 {
                let states = format!("{id}: expected {expected:?}, listed {listed:?}");
                violations.record(Violation::UnexpectedOverrideState { states });
            }
        }
    }
}
