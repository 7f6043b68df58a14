//! The endpoint list as discovery sends it: complete, or the changes since a version.

use super::plan::Plan;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::watch;
use whinwall_protocol::discovery::{self, List};

/// The state of a replica that drains.
pub const LEAVING: &str = "leaving";
/// The state of a replica that takes requests.
const ACTIVE: &str = "active";

/// One answer of discovery.
#[derive(Debug)]
pub struct ListUpdate {
    /// The version that the list has with it.
    pub version: u64,
    /// The line as it is written on the watch.
    pub line: String,
    /// The same, decoded.
    pub list: List,
}

/// The list, shared by all stand-ins for discovery.
pub struct Catalog {
    state: Mutex<State>,
    version: watch::Sender<u64>,
}

struct State {
    version: u64,
    replicas: Vec<Replica>,
    /// Answers at this version, by the version that they start from.
    cached_updates: BTreeMap<u64, Arc<ListUpdate>>,
}

struct Replica {
    id: String,
    zone: String,
    state: &'static str,
    started_ms: u64,
    changed_at: u64,
}

impl Replica {
    fn entry(&self, number: usize) -> Value {
        let address = format!("10.1.{}.{}:8443", number / 256, number % 256);
        json!({"id": self.id, "addr": address, "zone": self.zone, "kind": "m2", "cell": 3, "state": self.state,
            "weight": 1.0, "started_ms": self.started_ms})
    }
}

impl Catalog {
    /// Version 1 of the list: every replica is active and warm.
    pub fn new(plan: &Plan) -> Self {
        let replica = |number| Replica {
            id: plan.replica(number),
            zone: plan.zone(plan.zone_of(number)),
            state: ACTIVE,
            started_ms: 0,
            changed_at: 1,
        };
        let replicas = (0..plan.replicas).map(replica).collect();
        let state = State { version: 1, replicas, cached_updates: BTreeMap::new() };
        Catalog { state: Mutex::new(state), version: watch::Sender::new(1) }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The version at this moment, and a way to wait for the next.
    pub fn versions(&self) -> watch::Receiver<u64> {
        self.version.subscribe()
    }

    /// The version at this moment.
    pub fn version(&self) -> u64 {
        *self.version.borrow()
    }

    /// Drains one replica and lists others as started again, in one new version, which is returned.
    pub fn change(&self, drained: usize, restarted: std::ops::Range<usize>, started_ms: u64) -> u64 {
        let mut state = self.state();
        state.version += 1;
        let version = state.version;
        state.cached_updates.clear();
        for (number, replica) in state.replicas.iter_mut().enumerate() {
            if number == drained {
                (replica.state, replica.changed_at) = (LEAVING, version);
            } else if restarted.contains(&number) {
                (replica.started_ms, replica.changed_at) = (started_ms, version);
            }
        }
        drop(state);
        self.version.send_replace(version);
        version
    }

    /// What has changed after this version, or the complete list for 0.
    pub fn since(&self, since: u64) -> Arc<ListUpdate> {
        let mut state = self.state();
        if let Some(update) = state.cached_updates.get(&since) {
            return update.clone();
        }
        let (version, is_complete) = (state.version, since == 0 || since > state.version);
        let replicas = state.replicas.iter().enumerate();
        let included = replicas.filter(|(_, replica)| is_complete || replica.changed_at > since);
        let replicas: Vec<_> = included.map(|(number, replica)| replica.entry(number)).collect();
        let line = format!("{}\n", json!({"version": version, "full": is_complete, "servers": replicas}));
        let list = discovery::decode(&line).ok().flatten().unwrap_or_default();
        let update = Arc::new(ListUpdate { version, line, list });
        state.cached_updates.insert(since, update.clone());
        update
    }
}
