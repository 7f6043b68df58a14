//! The list of replicas, as this aggregator has it.

use crate::limits;
use std::collections::BTreeMap;
use whinwall_policy::time::{Moment, Span};
use whinwall_protocol::discovery::{Entry, List, State};

/// Replicas by name: no more than `MAX_REPLICAS`; one ends when the list says that it has left.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    version: u64,
    replicas: BTreeMap<String, Entry>,
    /// Since when lists come that are older than ours.
    behind_since: Option<Moment>,
    last_heard: Option<Moment>,
    is_known: bool,
}

/// What a list led to.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Applied {
    /// The replicas are others than before.
    pub changed: bool,
    /// The list is older than ours and was left out; a whole one has to be asked for.
    pub is_outdated: bool,
    /// Some replicas were left out: there are too many, or their names are too long.
    pub left_out: bool,
}

impl Registry {
    /// A list came, whole or of changes.
    pub fn apply(&mut self, now: Moment, list: List) -> Applied {
        self.last_heard = Some(now);
        if list.version < self.version {
            let since = *self.behind_since.get_or_insert(now);
            if now - since < limits::REGISTRY_BEHIND || !list.is_complete {
                return Applied { is_outdated: true, ..Applied::default() };
            }
        }
        self.behind_since = None;
        self.version = list.version;
        self.is_known |= list.is_complete;
        let before = list.is_complete.then(|| std::mem::take(&mut self.replicas));
        let mut applied = Applied::default();
        for entry in list.entries {
            applied.left_out |= !self.insert_or_remove(entry, &mut applied.changed);
        }
        applied.changed |= before.is_some_and(|before| before != self.replicas);
        applied
    }

    /// False where there is no room for it.
    fn insert_or_remove(&mut self, entry: Entry, changed: &mut bool) -> bool {
        if entry.state == State::Gone {
            *changed |= self.replicas.remove(&entry.replica).is_some();
            return true;
        }
        let known = self.replicas.contains_key(&entry.replica);
        if !known && (self.replicas.len() >= limits::MAX_REPLICAS || entry.replica.len() > limits::MAX_NAME) {
            return false;
        }
        *changed |= self.replicas.get(&entry.replica) != Some(&entry);
        self.replicas.insert(entry.replica.clone(), entry);
        true
    }

    /// Discovery gave a heartbeat.
    pub fn alive(&mut self, now: Moment) {
        self.last_heard = Some(now);
    }

    /// How long ago discovery was heard.
    pub fn age(&self, now: Moment) -> Span {
        now - self.last_heard.unwrap_or_default()
    }

    /// Whether the watch is alive: what is held is what discovery has.
    pub fn is_fresh(&self, now: Moment) -> bool {
        self.age(now) <= limits::REGISTRY_STALE
    }

    /// Whether a whole list came ever.
    pub fn is_known(&self) -> bool {
        self.is_known
    }

    /// The version that is held.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The replicas, in order of their names.
    pub fn replicas(&self) -> impl Iterator<Item = &Entry> {
        self.replicas.values()
    }

    /// How many replicas there are.
    pub fn len(&self) -> usize {
        self.replicas.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.replicas.is_empty()
    }
}
