//! Replica ids for replica names: the policy knows replicas by id; discovery, collectors and the relay by name.

use std::collections::BTreeMap;
use whinwall_policy::api::ReplicaId;

/// The replicas that are known. An id is never assigned twice: a replica must not come back under another's.
pub(crate) struct ReplicaNames {
    ids: BTreeMap<String, ReplicaId>,
    names: BTreeMap<ReplicaId, String>,
    /// Zones of replicas, as the registry has them, where the settings do not name the zone.
    unnamed_zones: BTreeMap<ReplicaId, String>,
    next_id: ReplicaId,
    /// Grows with each change.
    version: u64,
}

impl Default for ReplicaNames {
    fn default() -> Self {
        ReplicaNames {
            ids: BTreeMap::new(),
            names: BTreeMap::new(),
            unnamed_zones: BTreeMap::new(),
            next_id: 0,
            // Above the version 0 of a reader that knows nothing yet.
            version: 1,
        }
    }
}

impl ReplicaNames {
    /// The id of a replica that the endpoint list or the relay names; a new replica gets the next id.
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

    /// The id of a replica that is known.
    pub fn id(&self, name: &str) -> Option<ReplicaId> {
        self.ids.get(name).copied()
    }

    pub fn name(&self, id: ReplicaId) -> Option<String> {
        self.names.get(&id).cloned()
    }

    /// Remembers the registry's zone of a replica where the settings do not name that zone; none where they do.
    pub fn set_unnamed_zone(&mut self, id: ReplicaId, zone: Option<&str>) {
        match zone {
            Some(zone) => _ = self.unnamed_zones.insert(id, zone.to_string()),
            None => _ = self.unnamed_zones.remove(&id),
        }
    }

    /// The registry's zone of a replica, where the settings do not name that zone.
    pub fn unnamed_zone(&self, id: ReplicaId) -> Option<&str> {
        self.unnamed_zones.get(&id).map(String::as_str)
    }

    /// Whether the id stands for a replica that is known.
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

    /// Forgets all replicas but these.
    pub fn retain(&mut self, is_needed: impl Fn(ReplicaId) -> bool) {
        self.version += 1;
        self.names.retain(|id, _| is_needed(*id));
        self.unnamed_zones.retain(|id, _| is_needed(*id));
        self.ids.retain(|_, id| is_needed(*id));
    }
}

/// FNV-1a, as published by Fowler, Noll and Vo: the same at every controller and in every build.
pub(crate) fn stable_hash(name: &str) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    name.bytes().fold(OFFSET_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME))
}
