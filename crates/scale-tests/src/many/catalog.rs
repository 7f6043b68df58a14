//! The endpoint list as discovery sends it: complete, or as the changes since a version.

use super::plan::Plan;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::watch;
use whinwall_protocol::discovery::{self, List};

/// The registry's state of a replica that drains.
pub const STATE_LEAVING: &str = "leaving";
/// The registry's state of a replica that accepts requests.
const STATE_ACTIVE: &str = "active";

/// One update of the list that discovery sends.
#[derive(Debug)]
pub struct ListUpdate {
    /// The version of the list after the update.
    pub version: u64,
    /// The line as written to the watch.
    pub line: String,
    /// The decoded line.
    pub list: List,
}

/// The endpoint list, shared by all fake discovery agents.
pub struct Catalog {
    state: Mutex<State>,
    version: watch::Sender<u64>,
}

struct State {
    version: u64,
    /// The replicas, by their number in the plan.
    replicas: Vec<Replica>,
    /// Updates to the current version, by the version that they start from.
    cached_updates: BTreeMap<u64, Arc<ListUpdate>>,
}

struct Replica {
    id: String,
    zone: String,
    state: &'static str,
    started_ms: u64,
    changed_in_version: u64,
}

impl Replica {
    fn entry(&self, number: usize) -> Value {
        let address = format!("10.1.{}.{}:8443", number / 256, number % 256);
        json!({"id": self.id, "addr": address, "zone": self.zone, "kind": "m2", "cell": 3, "state": self.state,
            "weight": 1.0, "started_ms": self.started_ms})
    }
}

impl Catalog {
    /// Creates version 1 of the list, in which every replica is active and warm.
    pub fn new(plan: &Plan) -> Self {
        let replica = |number| Replica {
            id: plan.replica(number),
            zone: plan.zone(plan.zone_of(number)),
            state: STATE_ACTIVE,
            started_ms: 0,
            changed_in_version: 1,
        };
        let replicas = (0..plan.replicas).map(replica).collect();
        let state = State { version: 1, replicas, cached_updates: BTreeMap::new() };
        Catalog { state: Mutex::new(state), version: watch::Sender::new(1) }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns a receiver of the current version and of later ones.
    pub fn versions(&self) -> watch::Receiver<u64> {
        self.version.subscribe()
    }

    /// Returns the current version.
    pub fn version(&self) -> u64 {
        *self.version.borrow()
    }

    /// Publishes a new version in which one replica drains and others have been restarted, and returns the version.
    pub fn publish_change(&self, drained: usize, restarted: std::ops::Range<usize>, started_ms: u64) -> u64 {
        let mut state = self.state();
        state.version += 1;
        let version = state.version;
        state.cached_updates.clear();
        for (number, replica) in state.replicas.iter_mut().enumerate() {
            if number == drained {
                (replica.state, replica.changed_in_version) = (STATE_LEAVING, version);
            } else if restarted.contains(&number) {
                (replica.started_ms, replica.changed_in_version) = (started_ms, version);
            }
        }
        drop(state);
        self.version.send_replace(version);
        version
    }

    /// Returns the changes after version `since`, or the complete list for 0 and for versions newer than the current
    /// one.
    pub fn update_since(&self, since: u64) -> Arc<ListUpdate> {
        let mut state = self.state();
        if let Some(update) = state.cached_updates.get(&since) {
            return update.clone();
        }
        let (version, is_complete) = (state.version, since == 0 || since > state.version);
        let replicas = state.replicas.iter().enumerate();
        let included = replicas.filter(|(_, replica)| is_complete || replica.changed_in_version > since);
        let replicas: Vec<_> = included.map(|(number, replica)| replica.entry(number)).collect();
        let line = format!("{}\n", json!({"version": version, "full": is_complete, "servers": replicas}));
        let list = discovery::decode(&line).ok().flatten().unwrap_or_default();
        let update = Arc::new(ListUpdate { version, line, list });
        state.cached_updates.insert(since, update.clone());
        update
    }
}
