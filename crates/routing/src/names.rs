//! The decisions know replicas by number; discovery, collectors and the relay by name.

use std::collections::BTreeMap;
use whinwall_policy::api::ReplicaId;

pub struct Names {
    numbers: BTreeMap<String, ReplicaId>,
    names: BTreeMap<ReplicaId, String>,
    /// Zones of replicas, as the registry has them, where the settings do not name the zone.
    unnamed_zones: BTreeMap<ReplicaId, String>,
    /// No number is given twice: a replica must not come back under another's.
    next: ReplicaId,
    /// Grows with each change.
    changes: u64,
}

impl Default for Names {
    fn default() -> Self {
        // Whoever knows of no change knows nothing yet.
        Names {
            numbers: BTreeMap::new(),
            names: BTreeMap::new(),
            unnamed_zones: BTreeMap::new(),
            next: 0,
            changes: 1,
        }
    }
}

impl Names {
    /// The number of a replica that the list or the store names; a new one gets the next.
    pub fn number(&mut self, name: &str) -> ReplicaId {
        if let Some(number) = self.numbers.get(name) {
            return *number;
        }
        let number = self.next;
        self.next += 1;
        self.changes += 1;
        self.names.insert(number, name.to_string());
        self.numbers.insert(name.to_string(), number);
        number
    }

    /// Reports invent no replicas.
    pub fn known(&self, name: &str) -> Option<ReplicaId> {
        self.numbers.get(name).copied()
    }

    pub fn name(&self, number: ReplicaId) -> Option<String> {
        self.names.get(&number).cloned()
    }

    /// Remembers the registry's zone of a replica where the settings do not name that zone; none where they do.
    pub fn set_unnamed_zone(&mut self, number: ReplicaId, zone: Option<&str>) {
        match zone {
            Some(zone) => _ = self.unnamed_zones.insert(number, zone.to_string()),
            None => _ = self.unnamed_zones.remove(&number),
        }
    }

    /// The registry's zone of a replica, where the settings do not name that zone.
    pub fn unnamed_zone(&self, number: ReplicaId) -> Option<&str> {
        self.unnamed_zones.get(&number).map(String::as_str)
    }

    /// Whether the number stands for a replica that is known.
    pub fn has(&self, number: ReplicaId) -> bool {
        self.names.contains_key(&number)
    }

    pub fn len(&self) -> usize {
        self.names.len()
    }

    pub fn changes(&self) -> u64 {
        self.changes
    }

    pub fn numbers(&self) -> &BTreeMap<String, ReplicaId> {
        &self.numbers
    }

    /// Forgets all others.
    pub fn keep(&mut self, needed: impl Fn(ReplicaId) -> bool) {
        self.changes += 1;
        self.names.retain(|number, _| needed(*number));
        self.unnamed_zones.retain(|number, _| needed(*number));
        self.numbers.retain(|_, number| needed(*number));
    }
}
