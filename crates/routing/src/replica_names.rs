//! Maps replica names to ids and back: the policy uses ids; discovery, collectors and the relay use names.

use std::collections::BTreeMap;
use whinwall_policy::api::ReplicaId;

/// The known replicas. An id is never reused, so that a replica is never confused with a forgotten one.
pub(crate) struct ReplicaNames {
    ids: BTreeMap<String, ReplicaId>,
    names: BTreeMap<ReplicaId, String>,
    /// The registry's zone of each replica whose zone is not in the settings.
    unconfigured_zones: BTreeMap<ReplicaId, String>,
    next_id: ReplicaId,
    /// Incremented with each change.
    version: u64,
}

impl Default for ReplicaNames {
    fn default() -> Self {
        ReplicaNames {
            ids: BTreeMap::new(),
            names: BTreeMap::new(),
            unconfigured_zones: BTreeMap::new(),
            next_id: 0,
            // Higher than the version of `ReportNames::default()`, which reader threads start with.
            version: 1,
        }
    }
}

impl ReplicaNames {
    /// The id of a replica in the endpoint list or a routing table. Assigns the next id if the replica is new.
    pub fn id_or_assign(&mut self, name: &str) -> ReplicaId {
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        let id = self.next_id;
        self.next_id += 1;
        self.version += 1;
        self.names.insert(id, name.to_string());
        self.ids.insert(name.to_string(), id);
        id
    }

    /// The id of a replica, if it is known.
    pub fn id(&self, name: &str) -> Option<ReplicaId> {
        self.ids.get(name).copied()
    }

    pub fn name(&self, id: ReplicaId) -> Option<String> {
        self.names.get(&id).cloned()
    }

    /// Sets the registry's zone of a replica; `None` if that zone is in the settings.
    pub fn set_unconfigured_zone(&mut self, id: ReplicaId, zone: Option<&str>) {
        match zone {
            Some(zone) => _ = self.unconfigured_zones.insert(id, zone.to_string()),
            None => _ = self.unconfigured_zones.remove(&id),
        }
    }

    /// The registry's zone of a replica, if that zone is not in the settings.
    pub fn unconfigured_zone(&self, id: ReplicaId) -> Option<&str> {
        self.unconfigured_zones.get(&id).map(String::as_str)
    }

    /// Returns true if the id belongs to a known replica.
    pub fn has_id(&self, id: ReplicaId) -> bool {
        self.names.contains_key(&id)
    }

    pub fn len(&self) -> usize {
        self.names.len()
    }

    pub fn version(&self) -> u64 {
        self.version
    }

    pub fn ids(&self) -> &BTreeMap<String, ReplicaId> {
        &self.ids
    }

    /// Forgets the replicas for which `is_needed` returns false.
    pub fn retain(&mut self, is_needed: impl Fn(ReplicaId) -> bool) {
        self.version += 1;
        self.names.retain(|id, _| is_needed(*id));
        self.unconfigured_zones.retain(|id, _| is_needed(*id));
        self.ids.retain(|_, id| is_needed(*id));
    }
}

/// The FNV-1a hash of Fowler, Noll and Vo, which is the same in every controller and every build.
pub(crate) fn stable_hash(name: &str) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    name.bytes().fold(OFFSET_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME))
}
