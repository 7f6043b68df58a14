//! A slice of the key space: its routing table, what was reported of it, and what was decided about it.

use crate::api::{OverrideNumber, ReplicaId};
use crate::state::recent_counter::recent_counter;
use crate::state::routing_table::RoutingTable;
use crate::time::Moment;
use crate::windowed_counter::WindowedCounter;

/// A slice that is this controller's.
pub(crate) struct Slice {
    pub table: RoutingTable,
    /// Requests that were received and admitted.
    pub admitted: WindowedCounter,
    /// Those of them that failed.
    pub failed: WindowedCounter,
    /// Requests a second over the longer window, without those that are taken for retries, as last estimated.
    pub load: f64,
    /// The same over the shorter window.
    pub burst_load: f64,
    /// Requests a second with all retries, which is what a replica feels, as last estimated.
    pub demand: f64,
    /// Since when it is this controller's.
    pub granted_at: Moment,
    /// Since when reports on it are known, where they were not before.
    pub observed_since: Moment,
    /// How often it has moved to another owner.
    pub move_count: u32,
    /// How far its load is to be shed (see [`crate::state::admission`]).
    pub reduction: f64,
    /// The same, as the proxies were sent it.
    pub applied_reduction: f64,
    /// The version that its last change of table waits for.
    pub awaited_version: Option<u16>,
    /// When its table last changed, or the change was last acknowledged.
    pub settled_at: Moment,
    /// Moves to the replica that it is pinned to.
    pub pin_moves: PinMoves,
    /// Since when its requests are held back for a change of owner, where it has a single writer.
    pub halted_at: Option<Moment>,
}

/// How often an override brought a slice to its replica.
#[derive(Default)]
pub(crate) struct PinMoves {
    by: OverrideNumber,
    count: u32,
}

impl Slice {
    /// A slice whose table is as the store has it.
    pub(crate) fn new(endpoints: &[(ReplicaId, f64)], now: Moment) -> Self {
        Slice {
            table: RoutingTable::new(endpoints),
            admitted: recent_counter(),
            failed: recent_counter(),
            load: 0.0,
            burst_load: 0.0,
            demand: 0.0,
            granted_at: now,
            observed_since: Moment::default(),
            move_count: 0,
            reduction: 0.0,
            applied_reduction: 0.0,
            awaited_version: None,
            settled_at: now,
            pin_moves: PinMoves::default(),
            halted_at: None,
        }
    }

    /// Whether the proxies were sent its table and its reduction.
    pub(crate) fn is_fully_applied(&self) -> bool {
        self.table.is_applied() && self.reduction == self.applied_reduction
    }
}

impl PinMoves {
    /// Counts a move that this override caused.
    pub(crate) fn record(&mut self, by: OverrideNumber) {
        *self = PinMoves { by, count: self.count_by(by).saturating_add(1) };
    }

    /// How often this override has caused a move.
    pub(crate) fn count_by(&self, by: OverrideNumber) -> u32 {
        if self.by == by {
            self.count
        } else {
            0
        }
    }
}
