//! Slow start: limits on the load of a replica that is warming up.

use crate::api::{ReplicaId, SliceId};
use crate::measure::windows::BURST_WINDOW;
use crate::state::controller::ControllerState;
use crate::state::replica::Replica;
use crate::state::slice::Slice;
use crate::time::Span;

/// A slow-start budget as a share of the load that would make the cold replica collapse (docs/design.md,
/// Evacuation).
const SLOW_START_SAFETY_FACTOR: f64 = 0.55;
/// The multiple of its slow-start budget that a cold replica's demand may reach before slices are moved away.
const MAX_BUDGET_OVERRUN: f64 = 1.2;
/// Lower bound of the warm-up time used as a divisor, in seconds.
const MIN_WARM_UP_SECONDS: f64 = 0.1;

impl ControllerState {
    /// Returns the time since the start of a replica's process; since the epoch if the start is unknown.
    pub(crate) fn age(&self, replica: &Replica) -> Span {
        self.now - replica.running_since.unwrap_or_default()
    }

    /// Returns the share of its full capacity that a replica currently has. It grows linearly from the share at
    /// start-up to 1.
    fn warm_capacity_share(&self, replica: &Replica) -> f64 {
        let warmed_share =
            self.age(replica).seconds() / self.deployment.warm_up.seconds().max(MIN_WARM_UP_SECONDS);
        let initial = self.deployment.cold_capacity_share;
        (initial + (1.0 - initial) * warmed_share).min(1.0)
    }

    /// Returns the requests per second, including retries, that a replica may currently be sent; infinite for a
    /// warm one. The limit is based on the rate that the fleet answers, since that is the only reliable measure of
    /// what replicas can handle. The requested rate may be far higher (overload, retries).
    pub(crate) fn slow_start_budget(&self, replica: &Replica) -> f64 {
        if !self.is_warming_up(replica) {
            return f64::INFINITY;
        }
        self.warm_replica_rate(replica)
            * self.deployment.collapse_multiple
            * self.warm_capacity_share(replica)
            * SLOW_START_SAFETY_FACTOR
    }

    /// Returns the requests per second up to which slices may be assigned to a replica that is warming up. It is not
    /// expected to handle more than a warm one; the rest of its budget is a reserve for growth and retries.
    fn assignable_rate(&self, replica: &Replica) -> f64 {
        self.slow_start_budget(replica).min(self.warm_replica_rate(replica))
    }

    /// Returns the requests per second that the replica would answer if it were warm.
    fn warm_replica_rate(&self, replica: &Replica) -> f64 {
        replica.service_rate * self.averages.observed_service_rate * self.measure_ownership(replica)
    }

    /// Refreshes the reported attempts of replicas that are warming up.
    pub(crate) fn refresh_attempt_rates(&mut self) {
        let rates: Vec<_> =
            self.replicas.values().map(|replica| self.measure_attempt_rate(replica)).collect();
        for (replica, rate) in self.replicas.values_mut().zip(rates) {
            replica.attempt_rate = rate;
            replica.attempts_per_demand =
                if replica.demand > 0.0 { (rate / replica.demand).max(1.0) } else { 1.0 };
        }
    }

    fn measure_attempt_rate(&self, replica: &Replica) -> f64 {
        if !self.is_warming_up(replica) {
            return 0.0;
        }
        let since = replica.reports.observed_since.max(replica.running_since.unwrap_or_default());
        self.request_rate(&replica.reports.attempts, BURST_WINDOW, since)
    }

    /// Returns the attempts per second that the slices of a replica cause. They exceed the demand if proxies retry, if
    /// another owner fails, or if another controller has slices there.
    pub(crate) fn expected_attempts(&self, replica: &Replica) -> f64 {
        replica.demand * replica.attempts_per_demand
    }

    /// Returns true if a replica is warm, or if its slow-start budget has room for this demand, even if the other owners
    /// of its slices fail. While the demand of a slice there is unknown, it has no room.
    pub(crate) fn fits_slow_start_budget(&self, replica: &Replica, unshed_demand: f64) -> bool {
        if !self.is_warming_up(replica) {
            return true;
        }
        let expected = replica.unshed_demand.max(replica.attempt_rate);
        expected + unshed_demand <= self.assignable_rate(replica)
            && replica.failover_demand + unshed_demand <= self.slow_start_budget(replica)
            && self.are_demands_known(self.slices_at(replica).map(|(_, slice)| slice))
    }

    /// Returns the slices whose tables name a replica.
    pub(crate) fn slices_at<'a>(
        &'a self,
        replica: &'a Replica,
    ) -> impl Iterator<Item = (SliceId, &'a Slice)> {
        replica.slices.iter().filter_map(|id| Some((*id, self.slices.get(id)?)))
    }

    /// Returns true if the slices of a cold replica were last reported to bring more than may be assigned to it.
    pub(crate) fn has_outgrown_assignable_rate(&self, id: ReplicaId, replica: &Replica) -> bool {
        let newest_demand =
            |(_, slice): (SliceId, &Slice)| slice.newest_demand * slice.table.request_share(id);
        self.is_warming_up(replica)
            && self.slices_at(replica).map(newest_demand).sum::<f64>() > self.assignable_rate(replica)
    }

    /// Returns true if a replica's demand exceeds this slow-start budget by so much that slices must leave it.
    pub(crate) fn exceeds_budget(replica: &Replica, budget: f64) -> bool {
        replica.demand > budget * MAX_BUDGET_OVERRUN
    }

    /// Returns this controller's part of a replica, as a multiple of the part that each controller would have if
    /// the replica were divided evenly. A cold replica is assigned to a single controller by a draw that gives the
    /// same result at all controllers, because an even part of its budget would be less than most slices need.
    /// There is no draw if no other controller has slices, or if slices are not distributed among controllers.
    pub(crate) fn measure_ownership(&self, replica: &Replica) -> f64 {
        let fleet_slice_ratio = self.fleet_slice_ratio();
        if fleet_slice_ratio == 1.0 || !self.is_warming_up(replica) {
            return 1.0;
        }
        let drawn = replica.draw_controller(self.deployment.controller_count);
        if drawn == self.deployment.controller_index {
            fleet_slice_ratio
        } else {
            0.0
        }
    }

    /// Returns the load that a replica may still get within its band and its slow-start budget, in requests per
    /// second.
    pub(crate) fn headroom(&self, replica: &Replica) -> f64 {
        let budget_left = self.assignable_rate(replica) - replica.unshed_demand;
        self.averages.headroom(replica).min(budget_left)
    }
}
