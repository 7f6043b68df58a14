//! A slice of the key space: its routing table, what was reported of it, and what was decided about it.

use crate::api::{OverrideId, ReplicaId};
use crate::state::replica::recent_counter;
use crate::time::Moment;
use crate::windowed_counter::WindowedCounter;
use std::collections::BTreeMap;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    /// No line is left to pick, or only one that must not be: it can't wait.
    NoEndpoint,
    Urgent,
    Calm,
    /// Only a standby line: it can wait for all else.
    Standby,
}
/// Stands for a cut that nobody knows: it differs from each.
pub const UNKNOWN_REDUCTION: f64 = -1.0;
/// Stands for a slice whose requests are all held back while its owner changes.
pub(crate) const HALTED_REDUCTION: f64 = 2.0;
/// A cut so small that it stops further tries and leaves levels whole.
pub(crate) const RETRIES_ONLY_REDUCTION: f64 = 0.001;
pub(crate) const FULL_WEIGHT: f64 = 1.0;
/// The weight of a line that only stands by: enough to be there, too little to be sent much.
pub(crate) const STANDBY_WEIGHT: f64 = 0.01;
pub struct Slice {
    /// The table as it should be.
    pub desired: BTreeMap<ReplicaId, f64>,
    /// The table as the proxies were told.
    pub applied: BTreeMap<ReplicaId, f64>,
    /// Ops that came and were let in, and those of them that were aborted.
    pub admitted: WindowedCounter,
    pub failed: WindowedCounter,
    /// As of the last survey: requests a second, over a longer and a shorter time, and with all repeats.
    pub load: f64,
    pub burst_load: f64,
    pub demand: f64,
    pub pending: Option<(Priority, Moment)>,
    /// Since when it is in our charge.
    pub granted_at: Moment,
    /// Since when reports on it are known, where they were not before.
    pub observed_since: Moment,
    pub move_count: u32,
    pub reduction: f64,
    pub applied_reduction: f64,
    /// The version that its last change waits for.
    pub awaited_version: Option<u16>,
    pub settled_at: Moment,
    /// How often it was brought to the replica that it is pinned to, and the override that did so.
    pub pin_moves: (OverrideId, u32),
    /// Since when its requests are halted for a change of owner (single-writer sites).
    pub halted_at: Option<Moment>,
}

impl Slice {
    pub fn new(table: &[(ReplicaId, f64)], now: Moment) -> Self {
        let lines: BTreeMap<_, _> = table.iter().copied().filter(|(_, weight)| *weight > 0.0).collect();
        Slice {
            desired: lines.clone(),
            applied: lines,
            admitted: recent_counter(),
            failed: recent_counter(),
            load: 0.0,
            burst_load: 0.0,
            demand: 0.0,
            pending: None,
            granted_at: now,
            observed_since: Moment::default(),
            move_count: 0,
            reduction: 0.0,
            applied_reduction: 0.0,
            awaited_version: None,
            settled_at: now,
            pin_moves: (0, 0),
            halted_at: None,
        }
    }

    /// It is brought to its replica by a override; how often it was so far.
    pub fn record_pin_move(&mut self, by: OverrideId) {
        self.pin_moves = (by, (self.pin_move_count(by) as u32).saturating_add(1));
    }

    pub fn pin_move_count(&self, by: OverrideId) -> f64 {
        f64::from(if self.pin_moves.0 == by { self.pin_moves.1 } else { 0 })
    }

    /// Has less than half of the weight of the table's heaviest line: it is there for further tries.
    pub fn is_standby(&self, replica: &ReplicaId) -> bool {
        let heaviest = self.desired.values().fold(0.0, |most: f64, weight| most.max(*weight));
        self.desired.get(replica).is_some_and(|weight| weight * 2.0 < heaviest)
    }

    /// The part of the slice's requests that each replica of its table gets.
    pub fn request_shares(&self) -> impl Iterator<Item = (ReplicaId, f64)> + '_ {
        let whole: f64 = self.desired.values().sum();
        self.desired.iter().map(move |(id, weight)| (*id, weight / whole))
    }

    pub fn owners(&self) -> impl Iterator<Item = ReplicaId> + '_ {
        self.desired.keys().copied().filter(|id| !self.is_standby(id))
    }

    /// The owner of a table that has just one.
    pub fn sole_owner(&self) -> Option<ReplicaId> {
        let mut owners = self.owners();
        owners.next().filter(|_| owners.next().is_none())
    }

    pub fn is_fully_applied(&self) -> bool {
        self.desired == self.applied && self.reduction == self.applied_reduction
    }

    /// The lines that turn the table held into the one wanted, new ones first; weight 0 takes a line away.
    pub fn diff(&self, with_old: bool) -> Vec<(ReplicaId, f64)> {
        let new = self.desired.iter().filter(|(id, weight)| self.applied.get(id) != Some(weight));
        let old = self.applied.keys().filter(|id| with_old && !self.desired.contains_key(id));
        new.map(|(id, weight)| (*id, *weight)).chain(old.map(|id| (*id, 0.0))).collect()
    }
}
