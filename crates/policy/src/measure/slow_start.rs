//! Slow start: limits on the load of a replica that is warming up.

use crate::state::controller::ControllerState;
use crate::state::replica::Replica;

/// A slow-start budget as a share of the load that would make the cold replica collapse (docs/design.md,
/// Evacuation).
const SLOW_START_SAFETY_FACTOR: f64 = 0.55;
/// Lower bound of the warm-up time used as a divisor, in seconds.
const MIN_WARM_UP_SECONDS: f64 = 0.1;

impl ControllerState {
    /// Returns the share of its full capacity that a replica currently has. It grows linearly from the share at
    /// start-up to 1.
    fn warm_capacity_share(&self, replica: &Replica) -> f64 {
        let age = (self.now - replica.started.unwrap_or_default()).seconds();
        let warmed_share = age / self.deployment.warm_up.seconds().max(MIN_WARM_UP_SECONDS);
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
        replica.service_rate
            * self.averages.observed_service_rate
            * self.measure_ownership(replica)
            * self.deployment.collapse_multiple
            * self.warm_capacity_share(replica)
            * SLOW_START_SAFETY_FACTOR
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
        let budget_left = self.slow_start_budget(replica) - replica.demand;
        self.averages.headroom(replica).min(budget_left)
    }
}
