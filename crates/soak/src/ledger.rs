//! What the answers have promised of each override.

use crate::violation::{Violation, Violations};
use serde_json::Value;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// What a client knows of an override.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Promise {
    /// It is set, on disk.
    Active,
    /// It has ended, on disk.
    Ended,
    /// It was refused, and nothing has changed.
    Refused,
    /// An answer is missing, or is not final.
    Unknown,
}

/// The promises of all clients; clones share them.
#[derive(Clone, Default)]
pub(crate) struct Ledger(Arc<Mutex<BTreeMap<String, Promise>>>);

impl Ledger {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, Promise>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn note(&self, id: &str, promise: Promise) {
        self.lock().insert(id.into(), promise);
    }

    /// How many overrides were promised to be set or ended.
    pub fn promised(&self) -> usize {
        self.lock().values().filter(|promise| matches!(promise, Promise::Active | Promise::Ended)).count()
    }

    /// Compares a list with the promises on the ids with a prefix, of which no request is open.
    pub fn check(&self, prefix: &str, list: &Value, violations: &Violations) {
        let empty = Vec::new();
        let items = list["overrides"].as_array().unwrap_or(&empty);
        let mut states: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
        for item in items {
            let (id, state) = (item["id"].as_str().unwrap_or_default(), item["state"].as_str());
            states.entry(id).or_default().push(state.unwrap_or_default());
        }
        for (id, promise) in self.lock().iter().filter(|(id, _)| id.starts_with(prefix)) {
            let listed = states.get(id.as_str()).map_or(&[][..], Vec::as_slice);
            let active = listed.iter().filter(|state| **state != "ended").count();
            let is_kept = match promise {
                Promise::Active => active == 1,
                Promise::Ended | Promise::Refused => active == 0,
                Promise::Unknown => active <= 1,
            };
            if !is_kept || listed.len() > 1 {
                let what = format!("{id}: {promise:?} was promised, {listed:?} is listed");
                violations.note(Violation::BrokenPromise { what });
            }
        }
    }
}
