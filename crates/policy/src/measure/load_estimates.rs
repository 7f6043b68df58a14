//! Load estimates of replicas and slices, refreshed once per tick and corrected by each table change.

use crate::api::{ReplicaId, ReportFlow, SliceId};
use crate::measure::windows::{
    BURST_WINDOW, LOAD_WINDOW, MIN_SAMPLES, RECENT_WINDOW, RETRIED_SHARE_OF_FAILURES,
};
use crate::state::controller::ControllerState;
use crate::state::replica::Replica;
use crate::state::slice::Slice;
use crate::time::Span;
use std::mem::take;

/// Limits applied to listed weights, because the list may contain any value.
const WEIGHT_RANGE: (f64, f64) = (0.01, 1e6);
/// Limits of a replica's speed relative to replicas of the same machine type.
const SPEED_RANGE: (f64, f64) = (0.5, 1.3);

/// The load estimates of a slice, in requests per second.
struct SliceLoad {
    load: f64,
    burst_load: f64,
    demand: f64,
    newest_demand: f64,
    unshed_demand: f64,
}

/// A slice that rebalancing may move.
#[derive(Clone, Copy)]
pub(crate) struct MovableSlice {
    pub id: SliceId,
    pub load: f64,
    pub unshed_demand: f64,
    pub move_count: u32,
}

/// Returns the ratio of a latency to its target. With a target of 0 all answers are late.
fn latency_ratio(latency_seconds: f64, target_seconds: f64) -> f64 {
    if target_seconds > 0.0 {
        latency_seconds / target_seconds
    } else {
        f64::INFINITY
    }
}

impl ControllerState {
    /// Refreshes loads, capacities, averages and rankings, once per tick.
    pub(crate) fn refresh_load_estimates(&mut self) -> bool {
        if !take(&mut self.pending_work.load_estimates) || self.keep_last_estimates() {
            return false;
        }
        self.remove_gone_replicas();
        self.reporting.lag = self.measure_report_lag(RECENT_WINDOW);
        let recent_window = RECENT_WINDOW + self.reporting.lag;
        self.links.delays = self.measure_link_delays(recent_window);
        self.refresh_replica_counts(recent_window);
        self.refresh_capacities();
        self.refresh_slice_loads();
        self.averages = self.measure_fleet_averages();
        self.rebuild_rankings();
        true
    }

    /// While reports are interrupted, keeps the last estimates and returns true. A replica that is new since then
    /// counts with its listed weight.
    fn keep_last_estimates(&mut self) -> bool {
        if self.reporting.flow != ReportFlow::Interrupted {
            return false;
        }
        self.remove_gone_replicas();
        for replica in self.replicas.values_mut() {
            if replica.reports.attempts.newest_bucket_end() < self.started_at {
                replica.service_rate = replica.weight.clamp(WEIGHT_RANGE.0, WEIGHT_RANGE.1);
            }
            replica.effective_capacity =
                replica.service_rate * replica.weight_factor * replica.ownership.max(1.0);
        }
        self.averages.warm_capacity_share = self.measure_warm_capacity_share();
        self.rebuild_rankings();
        true
    }

    /// Refreshes the recent report sums of each replica, and the ratio of its latency to the tightest target.
    fn refresh_replica_counts(&mut self, window: Span) {
        let now = self.now;
        let target = self.tightest_target_seconds();
        for replica in self.replicas.values_mut() {
            let recent = replica.reports.recent_counts(now, window);
            replica.latency_ratio = match () {
                _ if recent.succeeded > 0.0 => {
                    latency_ratio(recent.latency_seconds / recent.succeeded, target)
                }
                _ if recent.attempts > 0.0 => latency_ratio(replica.reports.last_latency_seconds, target),
                _ => 0.0,
            };
            replica.recent_counts = recent;
        }
    }

    /// Refreshes the capacity of each replica (mu of DDMC): the listed weight times the square root of its relative
    /// speed. The square root is used because an overloaded replica also looks slow; with the full ratio it would
    /// lose the slices whose keys it has cached.
    fn refresh_capacities(&mut self) {
        let relative_latencies = self.relative_latencies(LOAD_WINDOW + self.reporting.lag);
        let ownerships: Vec<_> =
            self.replicas.values().map(|replica| self.measure_ownership(replica)).collect();
        let measured = relative_latencies.into_iter().zip(ownerships);
        for (replica, (relative_latency, ownership)) in self.replicas.values_mut().zip(measured) {
            let speed = (1.0 / relative_latency).sqrt().clamp(SPEED_RANGE.0, SPEED_RANGE.1);
            replica.service_rate = replica.weight.clamp(WEIGHT_RANGE.0, WEIGHT_RANGE.1) * speed;
            replica.ownership = ownership;
            replica.effective_capacity = replica.service_rate * replica.weight_factor * ownership.max(1.0);
        }
    }

    /// Refreshes the load of each slice and of the replicas in its table, and adds the load from other
    /// controllers.
    fn refresh_slice_loads(&mut self) {
        let loads: Vec<_> = self.slices.values().map(|slice| self.measure_slice_load(slice)).collect();
        for replica in self.replicas.values_mut() {
            replica.load = 0.0;
            replica.demand = 0.0;
            replica.unshed_demand = 0.0;
            replica.failover_demand = 0.0;
        }
        for (slice, measured) in self.slices.values_mut().zip(loads) {
            slice.load = measured.load;
            slice.burst_load = measured.burst_load;
            slice.demand = measured.demand;
            slice.newest_demand = measured.newest_demand;
            slice.unshed_demand = measured.unshed_demand;
            for (id, share) in slice.table.request_shares() {
                if let Some(replica) = self.replicas.get_mut(&id) {
                    replica.add_slice_load(id, slice, share, 1.0);
                }
            }
        }
        self.add_others_load();
        self.refresh_attempt_rates();
    }

    /// Estimates the load of a slice. Clients retry after a failure, so if all requests were counted, the slices
    /// of a failing replica would look hot. `demand` does count all requests, since a replica has to handle
    /// retries too. `unshed_demand` counts refused requests as well, as far as they are not repetitions: they reach
    /// the replica as soon as the slice moves to an owner that sheds no load.
    fn measure_slice_load(&self, slice: &Slice) -> SliceLoad {
        let since = slice.granted_at.max(slice.observed_since);
        let admitted = |window| self.request_rate(&slice.admitted, window, since);
        let failed = |window| self.request_rate(&slice.failed, window, since);
        let refused =
            |window| slice.refused.as_ref().map_or(0.0, |counter| self.request_rate(counter, window, since));
        let unshed = |window| admitted(window) + (1.0 - RETRIED_SHARE_OF_FAILURES) * refused(window);
        let load = |window| (admitted(window) - RETRIED_SHARE_OF_FAILURES * failed(window)).max(0.0);
        let demand = admitted(BURST_WINDOW).max(admitted(LOAD_WINDOW));
        SliceLoad {
            load: load(LOAD_WINDOW),
            burst_load: load(BURST_WINDOW),
            demand,
            newest_demand: demand.max(admitted(self.deployment.report_period)),
            unshed_demand: unshed(BURST_WINDOW).max(unshed(LOAD_WINDOW)),
        }
    }

    /// Returns the share of admitted requests that failed, for the request class with the lowest share; 0 if no
    /// class has enough requests.
    pub(crate) fn lowest_failed_share(&self) -> f64 {
        let window = RECENT_WINDOW + self.reporting.lag;
        let failed_shares = self.class_outcomes.iter().filter_map(|class| {
            let admitted = class.admitted.sum(self.now, window);
            (admitted >= MIN_SAMPLES).then(|| class.failed.sum(self.now, window) / admitted)
        });
        failed_shares.reduce(f64::min).unwrap_or(0.0)
    }

    /// Returns true if all proxies have had a slice's table for long enough that reports reflect it.
    pub(crate) fn is_table_settled(&self, slice: &Slice) -> bool {
        slice.awaited_version.is_none() && self.now - slice.settled_at > RECENT_WINDOW + self.reporting.lag
    }

    /// Returns the slices that a replica owns alone, without those pinned to it and those with a change in
    /// progress, in the order of decreasing load.
    pub(crate) fn movable_slices(&self, owner: ReplicaId, replica: &Replica) -> Vec<MovableSlice> {
        let is_free = |slice: &Slice| {
            slice.awaited_version.is_none()
                && slice.table.sole_owner() == Some(owner)
                && slice.table.is_applied()
        };
        let pins = &self.operator_overrides.pins;
        let is_pinned_to_owner = |id: SliceId| pins.get(id).is_some_and(|(replica, _)| replica == owner);
        let mut movable = Vec::new();
        for id in replica.slices.iter().copied() {
            let slice = &self.slices[&id];
            if is_free(slice) && !is_pinned_to_owner(id) {
                movable.push(MovableSlice {
                    id,
                    load: slice.load,
                    unshed_demand: slice.unshed_demand,
                    move_count: slice.move_count,
                });
            }
        }
        movable.sort_by(|one, other| other.load.total_cmp(&one.load));
        movable
    }
}
