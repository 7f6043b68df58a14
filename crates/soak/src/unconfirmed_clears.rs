//! Clears that were answered before they were persisted.

use std::collections::BTreeMap;

/// The unconfirmed clears of one client. The controller lists only a limited number of ended overrides and removes the
/// ones that ended first, so a repeated clear finds no override once enough others have ended.
pub struct UnconfirmedClears {
    max_listed: usize,
    /// The number of ended overrides when the first clear was sent, by override id.
    ended_before: BTreeMap<String, usize>,
}

impl UnconfirmedClears {
    /// Creates an empty record for a controller that lists at least `max_listed` ended overrides.
    pub fn new(max_listed: usize) -> Self {
        UnconfirmedClears { max_listed, ended_before: BTreeMap::new() }
    }

    /// Records an unconfirmed clear. `ended_before` is the number of ended overrides before the clear was sent.
    pub fn note(&mut self, id: &str, ended_before: usize) {
        self.ended_before.entry(id.into()).or_insert(ended_before);
    }

    /// Returns true if an unconfirmed clear of the override was recorded, and at least `max_listed` overrides have ended
    /// since. `ended` is the number of ended overrides.
    pub fn may_be_pruned(&self, id: &str, ended: usize) -> bool {
        self.ended_before.get(id).is_some_and(|before| ended >= before + self.max_listed)
    }
}
