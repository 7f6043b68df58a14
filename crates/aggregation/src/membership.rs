//! Failure detection among the aggregators of the fleet, and selection of the aggregator that serves a controller.

use crate::heartbeat::Heartbeat;
use crate::limits;
use crate::log_event::LogEvent;
use std::collections::{BTreeMap, BTreeSet};
use whinwall_policy::time::Moment;
use whinwall_subsetting::rendezvous;

const REGISTRY_STALE_AFTER_MS: u64 = limits::REGISTRY_STALE_AFTER.as_ns() / 1_000_000;

/// State of a peer. Owned by [`Peers`]; exists while the configuration names the peer.
#[derive(Clone, Debug, Default)]
struct Peer {
    last_heartbeat_at: Option<Moment>,
    /// Number of consecutive timely heartbeats.
    consecutive_heartbeats: u32,
    alive: bool,
    last_heartbeat: Heartbeat,
}

/// The other aggregators of the fleet.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    peers: BTreeMap<String, Peer>,
}

impl Peers {
    /// Removes peers that are no longer configured and adds new ones.
    pub fn configure(&mut self, own: &str, names: &BTreeSet<String>) {
        self.peers.retain(|name, _| names.contains(name) && name != own);
        for name in names.iter().filter(|name| *name != own) {
            self.peers.entry(name.clone()).or_default();
        }
    }

    /// Records a heartbeat. Heartbeats of unconfigured names are ignored.
    pub fn receive(&mut self, now: Moment, heartbeat: Heartbeat) -> Option<LogEvent> {
        let peer = self.peers.get_mut(&heartbeat.name)?;
        let is_timely = peer.last_heartbeat_at.is_some_and(|last| now - last <= limits::PEER_TIMEOUT);
        peer.consecutive_heartbeats =
            if is_timely { peer.consecutive_heartbeats.saturating_add(1) } else { 1 };
        peer.last_heartbeat_at = Some(now);
        peer.last_heartbeat = heartbeat;
        if peer.alive || peer.consecutive_heartbeats < limits::HEARTBEATS_UNTIL_ALIVE {
            return None;
        }
        peer.alive = true;
        Some(LogEvent::PeerAlive { peer: peer.last_heartbeat.name.clone(), alive: true })
    }

    /// Marks peers as not alive if their last heartbeat is older than [`limits::PEER_TIMEOUT`].
    pub fn tick(&mut self, now: Moment) -> Vec<LogEvent> {
        let mut events = Vec::new();
        for (name, peer) in &mut self.peers {
            let silent = peer.last_heartbeat_at.is_none_or(|last| now - last > limits::PEER_TIMEOUT);
            if peer.alive && silent {
                (peer.alive, peer.consecutive_heartbeats) = (false, 0);
                events.push(LogEvent::PeerAlive { peer: name.clone(), alive: false });
            }
        }
        events
    }

    /// Resets the state of all peers, as after a stall.
    pub fn restart(&mut self) {
        for peer in self.peers.values_mut() {
            (peer.alive, peer.consecutive_heartbeats, peer.last_heartbeat_at) = (false, 0, None);
        }
    }

    /// Returns the aggregators that share the controllers: those that are ready and whose list is at most
    /// [`limits::REGISTRY_STALE_AFTER`] older than the freshest one. If discovery is silent for all aggregators, all
    /// lists age equally and no aggregator is excluded. `own` is this aggregator's heartbeat.
    pub fn sharing_aggregators<'a>(&'a self, own: &'a Heartbeat) -> Vec<&'a str> {
        let alive = self.peers.values().filter(|peer| peer.alive).map(|peer| &peer.last_heartbeat);
        let ready: Vec<_> = alive.chain([own]).filter(|heartbeat| heartbeat.ready).collect();
        let min_age = ready.iter().map(|heartbeat| heartbeat.list_age_ms).min().unwrap_or(0);
        let max_age = min_age.saturating_add(REGISTRY_STALE_AFTER_MS);
        let sharing = ready.into_iter().filter(|heartbeat| heartbeat.list_age_ms <= max_age);
        sharing.map(|heartbeat| heartbeat.name.as_str()).collect()
    }

    /// Returns the latest list version of the alive peers whose list is not stale.
    pub fn latest_version(&self) -> u64 {
        let alive = self
            .peers
            .values()
            .filter(|peer| peer.alive && peer.last_heartbeat.list_age_ms <= REGISTRY_STALE_AFTER_MS);
        alive.map(|peer| peer.last_heartbeat.version).max().unwrap_or(0)
    }

    /// Returns the number of alive peers.
    pub fn alive_count(&self) -> usize {
        self.peers.values().filter(|peer| peer.alive).count()
    }
}

/// Selects the aggregator that serves this controller from those that share the controllers.
pub fn select_owner<'a>(controller: &str, sharing: &[&'a str]) -> Option<&'a str> {
    rendezvous(controller, sharing.iter().copied())
}
