//! This aggregator's copy of the endpoint list.

use crate::limits;
use std::collections::BTreeMap;
use whinwall_policy::time::{Moment, Span};
use whinwall_protocol::discovery::{Entry, List, State};

/// The endpoint list: at most `MAX_REPLICAS` replicas by name. A replica is removed when the list marks it as gone.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    version: u64,
    replicas: BTreeMap<String, Entry>,
    /// Time since which received lists have been older than the current one.
    outdated_since: Option<Moment>,
    last_message_at: Option<Moment>,
    is_known: bool,
}

/// The result of applying a list.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ListOutcome {
    /// The replicas have changed.
    pub changed: bool,
    /// The list was ignored because it is older than the current one. A complete list must be requested.
    pub is_outdated: bool,
    /// Some replicas were skipped because there are too many or their names are too long.
    pub has_skipped: bool,
}

impl Registry {
    /// Applies a complete list or a list of changes.
    pub fn apply(&mut self, now: Moment, list: List) -> ListOutcome {
        self.last_message_at = Some(now);
        if list.version < self.version {
            let since = *self.outdated_since.get_or_insert(now);
            if now - since < limits::REGISTRY_LAG_TIMEOUT || !list.is_complete {
                return ListOutcome { is_outdated: true, ..ListOutcome::default() };
            }
        }
        self.outdated_since = None;
        self.version = list.version;
        self.is_known |= list.is_complete;
        let previous = list.is_complete.then(|| std::mem::take(&mut self.replicas));
        let mut outcome = ListOutcome::default();
        for entry in list.entries {
            outcome.has_skipped |= !self.insert_or_remove(entry, &mut outcome.changed);
        }
        outcome.changed |= previous.is_some_and(|previous| previous != self.replicas);
        outcome
    }

    /// Inserts, updates or removes a replica. Returns false if it was skipped because of a limit.
    fn insert_or_remove(&mut self, entry: Entry, changed: &mut bool) -> bool {
        if entry.state == State::Gone {
            *changed |= self.replicas.remove(&entry.replica).is_some();
            return true;
        }
        let known = self.replicas.contains_key(&entry.replica);
        if !known
            && (self.replicas.len() >= limits::MAX_REPLICAS || entry.replica.len() > limits::MAX_NAME_BYTES)
        {
            return false;
        }
        *changed |= self.replicas.get(&entry.replica) != Some(&entry);
        self.replicas.insert(entry.replica.clone(), entry);
        true
    }

    /// Records a heartbeat of discovery.
    pub fn record_heartbeat(&mut self, now: Moment) {
        self.last_message_at = Some(now);
    }

    /// Returns the time since the last message from discovery.
    pub fn age(&self, now: Moment) -> Span {
        now - self.last_message_at.unwrap_or_default()
    }

    /// Returns true if the watch is alive, so that the list is current.
    pub fn is_fresh(&self, now: Moment) -> bool {
        self.age(now) <= limits::REGISTRY_STALE_AFTER
    }

    /// Returns true if a complete list has been received.
    pub fn is_known(&self) -> bool {
        self.is_known
    }

    /// Returns the version of the list.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Iterates over the replicas in the order of their names.
    pub fn replicas(&self) -> impl Iterator<Item = &Entry> {
        self.replicas.values()
    }

    /// Returns the number of replicas.
    pub fn len(&self) -> usize {
        self.replicas.len()
    }

    /// Returns true if there are no replicas.
    pub fn is_empty(&self) -> bool {
        self.replicas.is_empty()
    }
}
