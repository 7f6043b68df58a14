//! The aggregators of the fleet: heartbeats, suspicion, and which of them serves a controller.

use crate::limits;
use crate::messages::Note;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use whinwall_policy::time::Moment;
use whinwall_subsetting::rendezvous;

const STALE_MS: u64 = limits::REGISTRY_STALE.as_ns() / 1_000_000;

/// What an aggregator tells its peers.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Heartbeat {
    /// Who speaks.
    pub name: String,
    /// Whether it has a list and sums that are worth passing on.
    pub ready: bool,
    /// How long ago discovery was heard.
    pub list_age_ms: u64,
    /// The version of its list.
    pub version: u64,
    /// The zones whose collectors it hears.
    pub zones: Vec<String>,
}

/// A peer. Owned by [`Peers`], one for each name in the configuration, and ends with it.
#[derive(Clone, Debug, Default)]
struct Peer {
    last: Option<Moment>,
    /// Heartbeats in a row, each in time.
    row: u32,
    alive: bool,
    said: Heartbeat,
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

    /// A heartbeat came; one of a name that is not in the configuration changes nothing.
    pub fn heard(&mut self, now: Moment, heartbeat: Heartbeat) -> Option<Note> {
        let peer = self.peers.get_mut(&heartbeat.name)?;
        let in_time = peer.last.is_some_and(|last| now - last <= limits::SUSPECT_AFTER);
        peer.row = if in_time { peer.row.saturating_add(1) } else { 1 };
        peer.last = Some(now);
        peer.said = heartbeat;
        if peer.alive || peer.row < limits::HEARTBEATS_TO_RETURN {
            return None;
        }
        peer.alive = true;
        Some(Note::PeerAlive { peer: peer.said.name.clone(), alive: true })
    }

    /// Time passed: who was not heard for too long is suspected to be dead.
    pub fn tick(&mut self, now: Moment) -> Vec<Note> {
        let mut notes = Vec::new();
        for (name, peer) in &mut self.peers {
            let silent = peer.last.is_none_or(|last| now - last > limits::SUSPECT_AFTER);
            if peer.alive && silent {
                (peer.alive, peer.row) = (false, 0);
                notes.push(Note::PeerAlive { peer: name.clone(), alive: false });
            }
        }
        notes
    }

    /// Nothing is known of anyone, as after a stall.
    pub fn restart(&mut self) {
        for peer in self.peers.values_mut() {
            (peer.alive, peer.row, peer.last) = (false, 0, None);
        }
    }

    /// The aggregators that share the controllers: those that are ready, but for those whose list is older than
    /// another's by more than [`limits::REGISTRY_STALE`]. Where discovery is silent to all, all lists grow old alike.
    /// `own` is what this one would tell.
    pub fn sharing<'a>(&'a self, own: &'a Heartbeat) -> Vec<&'a str> {
        let alive = self.peers.values().filter(|peer| peer.alive).map(|peer| &peer.said);
        let ready: Vec<_> = alive.chain([own]).filter(|said| said.ready).collect();
        let freshest = ready.iter().map(|said| said.list_age_ms).min().unwrap_or(0);
        let oldest = freshest.saturating_add(STALE_MS);
        let sharing = ready.into_iter().filter(|said| said.list_age_ms <= oldest);
        sharing.map(|said| said.name.as_str()).collect()
    }

    /// The latest version that a peer's list has.
    pub fn latest_version(&self) -> u64 {
        let alive = self.peers.values().filter(|peer| peer.alive && peer.said.list_age_ms <= STALE_MS);
        alive.map(|peer| peer.said.version).max().unwrap_or(0)
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
