//! A slice of the key space: its routing table, what was reported of it, and what was decided about it.

use crate::api::{OverrideId, ReplicaId};
use crate::state::replica::windowed_counter;
use crate::time::Moment;
use crate::windowed_counter::WindowedCounter;
use std::collections::BTreeMap;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    /// No line is left to pick, or only one that must not be: it can't wait.
    Bare,
    Urgent,
    Calm,
    /// Only a standby line: it can wait for all else.
    Spare,
}
/// Stands for a cut that nobody knows: it differs from each.
pub const UNKNOWN: f64 = -1.0;
/// Stands for a slice whose requests are all held back while its owner changes.
pub(crate) const HALTED: f64 = 2.0;
/// A cut so small that it stops further tries and leaves levels whole.
pub(crate) const RETRIES_ONLY: f64 = 0.001;
pub(crate) const WHOLE: f64 = 1.0;
/// The weight of a line that only stands by: enough to be there, too little to be sent much.
pub(crate) const STANDING_BY: f64 = 0.01;
pub struct Slice {
    /// The table as it should be.
    pub wanted: BTreeMap<ReplicaId, f64>,
    /// The table as the proxies were told.
    pub held: BTreeMap<ReplicaId, f64>,
    /// Ops that came and were let in, and those of them that were aborted.
    pub came: WindowedCounter,
    pub failed: WindowedCounter,
    /// As of the last survey: requests a second, over a longer and a shorter time, and with all repeats.
    pub load: f64,
    pub burst: f64,
    pub press: f64,
    pub untold: Option<(Priority, Moment)>,
    /// Since when it is in our charge.
    pub given: Moment,
    /// Since when reports on it are known, where they were not before.
    pub observed: Moment,
    pub moves: u32,
    pub cut: f64,
    pub cut_held: f64,
    /// The version that its last change waits for.
    pub version: Option<u16>,
    pub settled: Moment,
    /// How often it was brought to the replica that it is pinned to, and the override that did so.
    pub pulled: (OverrideId, u32),
    /// Since when its requests are halted for a change of owner (single-writer sites).
    pub halted: Option<Moment>,
}

impl Slice {
    pub fn new(table: &[(ReplicaId, f64)], now: Moment) -> Self {
        let lines: BTreeMap<_, _> = table.iter().copied().filter(|(_, weight)| *weight > 0.0).collect();
        Slice {
            wanted: lines.clone(),
            held: lines,
            came: windowed_counter(),
            failed: windowed_counter(),
            load: 0.0,
            burst: 0.0,
            press: 0.0,
            untold: None,
            given: now,
            observed: Moment::default(),
            moves: 0,
            cut: 0.0,
            cut_held: 0.0,
            version: None,
            settled: now,
            pulled: (0, 0),
            halted: None,
        }
    }

    /// It is brought to its replica by a override; how often it was so far.
    pub fn note_pull(&mut self, by: OverrideId) {
        self.pulled = (by, (self.pulls(by) as u32).saturating_add(1));
    }

    pub fn pulls(&self, by: OverrideId) -> f64 {
        f64::from(if self.pulled.0 == by { self.pulled.1 } else { 0 })
    }

    /// Has less than half of the weight of the table's heaviest line: it is there for further tries.
    pub fn stands_by(&self, replica: &ReplicaId) -> bool {
        let heaviest = self.wanted.values().fold(0.0, |most: f64, weight| most.max(*weight));
        self.wanted.get(replica).is_some_and(|weight| weight * 2.0 < heaviest)
    }

    /// The part of the slice's requests that each replica of its table gets.
    pub fn parts(&self) -> impl Iterator<Item = (ReplicaId, f64)> + '_ {
        let whole: f64 = self.wanted.values().sum();
        self.wanted.iter().map(move |(id, weight)| (*id, weight / whole))
    }

    pub fn owners(&self) -> impl Iterator<Item = ReplicaId> + '_ {
        self.wanted.keys().copied().filter(|id| !self.stands_by(id))
    }

    /// The owner of a table that has just one.
    pub fn sole_owner(&self) -> Option<ReplicaId> {
        let mut owners = self.owners();
        owners.next().filter(|_| owners.next().is_none())
    }

    pub fn is_told(&self) -> bool {
        self.wanted == self.held && self.cut == self.cut_held
    }

    /// The lines that turn the table held into the one wanted, new ones first; weight 0 takes a line away.
    pub fn differences(&self, with_old: bool) -> Vec<(ReplicaId, f64)> {
        let new = self.wanted.iter().filter(|(id, weight)| self.held.get(id) != Some(weight));
        let old = self.held.keys().filter(|id| with_old && !self.wanted.contains_key(id));
        new.map(|(id, weight)| (*id, *weight)).chain(old.map(|id| (*id, 0.0))).collect()
    }
}
