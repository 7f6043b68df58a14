//! The aggregators of the fleet: heartbeats, suspicion, and which of them serves a controller.

use crate::heartbeat::Heartbeat;
use crate::limits;
use crate::log_event::LogEvent;
use std::collections::{BTreeMap, BTreeSet};
use whinwall_policy::time::Moment;
use whinwall_subsetting::rendezvous;

const STALE_MS: u64 = limits::REGISTRY_STALE.as_ns() / 1_000_000;

/// A peer. Owned by [`Peers`], one for each name in the configuration, and ends with it.
#[derive(Clone, Debug, Default)]
struct Peer {
    last_heard: Option<Moment>,
    /// Heartbeats in a row, each in time.
    consecutive: u32,
    alive: bool,
    latest: Heartbeat,
}

/// The other aggregators.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    peers: BTreeMap<String, Peer>,
}

impl Peers {
    /// Keeps those that are still named, and adds new ones.
    pub fn configure(&mut self, own: &str, names: &BTreeSet<String>) {
        self.peers.retain(|name, _| names.contains(name) && name != own);
        for name in names.iter().filter(|name| *name != own) {
            self.peers.entry(name.clone()).or_default();
        }
    }

    /// Records a heartbeat; one of a name that is not in the configuration changes nothing.
    pub fn receive(&mut self, now: Moment, heartbeat: Heartbeat) -> Option<LogEvent> {
        let peer = self.peers.get_mut(&heartbeat.name)?;
        let in_time = peer.last_heard.is_some_and(|last| now - last <= limits::SUSPECT_AFTER);
        peer.consecutive = if in_time { peer.consecutive.saturating_add(1) } else { 1 };
        peer.last_heard = Some(now);
        peer.latest = heartbeat;
        if peer.alive || peer.consecutive < limits::HEARTBEATS_TO_RETURN {
            return None;
        }
        peer.alive = true;
        Some(LogEvent::PeerAlive { peer: peer.latest.name.clone(), alive: true })
    }

    /// Time passed: who was not heard for too long is suspected to be dead.
    pub fn tick(&mut self, now: Moment) -> Vec<LogEvent> {
        let mut events = Vec::new();
        for (name, peer) in &mut self.peers {
            let silent = peer.last_heard.is_none_or(|last| now - last > limits::SUSPECT_AFTER);
            if peer.alive && silent {
                (peer.alive, peer.consecutive) = (false, 0);
                events.push(LogEvent::PeerAlive { peer: name.clone(), alive: false });
            }
        }
        events
    }

    /// Nothing is known of anyone, as after a stall.
    pub fn restart(&mut self) {
        for peer in self.peers.values_mut() {
            (peer.alive, peer.consecutive, peer.last_heard) = (false, 0, None);
        }
    }

    /// The aggregators that share the controllers: those that are ready, but for those whose list is older than
    /// another's by more than [`limits::REGISTRY_STALE`]. Where discovery is silent to all, all lists grow old alike.
    /// `own` is what this one would tell.
    pub fn sharing_aggregators<'a>(&'a self, own: &'a Heartbeat) -> Vec<&'a str> {
        let alive = self.peers.values().filter(|peer| peer.alive).map(|peer| &peer.latest);
        let ready: Vec<_> = alive.chain([own]).filter(|heartbeat| heartbeat.ready).collect();
        let freshest = ready.iter().map(|heartbeat| heartbeat.list_age_ms).min().unwrap_or(0);
        let oldest = freshest.saturating_add(STALE_MS);
        let sharing = ready.into_iter().filter(|heartbeat| heartbeat.list_age_ms <= oldest);
        sharing.map(|heartbeat| heartbeat.name.as_str()).collect()
    }

    /// The latest version that a peer's list has.
    pub fn latest_version(&self) -> u64 {
        let alive = self.peers.values().filter(|peer| peer.alive && peer.latest.list_age_ms <= STALE_MS);
        alive.map(|peer| peer.latest.version).max().unwrap_or(0)
    }

    /// How many are alive.
    pub fn alive(&self) -> usize {
        self.peers.values().filter(|peer| peer.alive).count()
    }
}

/// Which of those that share the controllers serves this one.
pub fn owner<'a>(controller: &str, sharing: &[&'a str]) -> Option<&'a str> {
    rendezvous(controller, sharing.iter().copied())
}
