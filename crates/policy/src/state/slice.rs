//! A slice of the key space: its routing table, its reports, and the decisions made about it.

use crate::api::{OverrideNumber, ReplicaId};
use crate::state::recent_counter::recent_counter;
use crate::state::routing_table::RoutingTable;
use crate::time::{Moment, Span};
use crate::windowed_counter::WindowedCounter;

/// A slice that this controller owns.
pub(crate) struct Slice {
    pub table: RoutingTable,
    /// Requests received and admitted.
    pub admitted: WindowedCounter,
    /// Requests refused by admission control; `None` until there is one.
    pub refused: Option<Box<WindowedCounter>>,
    /// Admitted requests that failed.
    pub failed: WindowedCounter,
    /// The last estimate of requests per second over `LOAD_WINDOW`, without the estimated retries.
    pub load: f64,
    /// The last estimate of requests per second over `BURST_WINDOW`, without the estimated retries.
    pub burst_load: f64,
    /// The last estimate of requests per second including all retries, which is the load on the replica.
    pub demand: f64,
    /// Like `demand`, over the newest report period if that is more: it shows growth early, with more noise.
    pub newest_demand: f64,
    /// The last estimate of requests per second including all retries, if no load were shed.
    pub unshed_demand: f64,
    /// The time since which this controller has owned the slice.
    pub granted_at: Moment,
    /// The time until which another controller may have owned the slice. Later than `granted_at` if the relay's events
    /// were interrupted since.
    pub exclusive_since: Moment,
    /// The time since which there are reports on the slice, if there were none before.
    pub observed_since: Moment,
    /// The number of moves to another owner.
    pub move_count: u32,
    /// The desired reduction of the slice's load (see [`crate::state::admission`]).
    pub reduction: f64,
    /// The reduction that the proxies were sent.
    pub applied_reduction: f64,
    /// The version whose acknowledgements the last table change waits for.
    pub awaited_version: Option<u16>,
    /// The time at which the table last changed, or at which that change was acknowledged.
    pub settled_at: Moment,
    /// The time at which the owners last changed.
    pub owners_changed_at: Moment,
    /// The demand when the owners last changed.
    pub demand_at_change: f64,
    /// The moves to the replica that the slice is pinned to.
    pub pin_moves: PinMoves,
    /// The time at which all connected proxies had confirmed that they hold requests back for a change of owner, under
    /// single writer; `None` once requests are admitted again, or the slice may have been reassigned.
    pub halt_confirmed_at: Option<Moment>,
}

/// The number of moves of a slice to its pin, and the override that caused them.
#[derive(Default)]
pub(crate) struct PinMoves {
    override_id: OverrideNumber,
    count: u32,
}

impl Slice {
    /// Creates a slice with its stored table.
    pub(crate) fn new(endpoints: &[(ReplicaId, f64)], now: Moment) -> Self {
        Slice {
            table: RoutingTable::new(endpoints),
            admitted: recent_counter(),
            refused: None,
            failed: recent_counter(),
            load: 0.0,
            burst_load: 0.0,
            demand: 0.0,
            newest_demand: 0.0,
            unshed_demand: 0.0,
            granted_at: now,
            exclusive_since: now,
            observed_since: Moment::default(),
            move_count: 0,
            reduction: 0.0,
            applied_reduction: 0.0,
            awaited_version: None,
            settled_at: now,
            owners_changed_at: now,
            demand_at_change: 0.0,
            pin_moves: PinMoves::default(),
            halt_confirmed_at: None,
        }
    }

    /// Records requests that admission control refused. Most slices never have any, so the counter is created for
    /// the first.
    pub(crate) fn record_refused(&mut self, at: Moment, window: Span, refused: f64) {
        if refused > 0.0 {
            let counter = self.refused.get_or_insert_with(|| Box::new(recent_counter()));
            counter.add_over(at, window, refused);
        }
    }

    /// Returns true if the proxies were sent the slice's desired table and reduction.
    pub(crate) fn is_fully_applied(&self) -> bool {
        self.table.is_applied() && self.reduction == self.applied_reduction
    }
}

impl PinMoves {
    /// Counts a move caused by this override.
    pub(crate) fn record(&mut self, override_id: OverrideNumber) {
        *self = PinMoves { override_id, count: self.count_by(override_id).saturating_add(1) };
    }

    /// Returns the number of moves caused by this override.
    pub(crate) fn count_by(&self, override_id: OverrideNumber) -> u32 {
        if self.override_id == override_id {
            self.count
        } else {
            0
        }
    }
}
