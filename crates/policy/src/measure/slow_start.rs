//! Slow start: what a replica that warms up may be sent.

use crate::state::controller::ControllerState;
use crate::state::replica::Replica;

/// The part that is used of what would make a cold replica collapse (docs/design.md, Evacuation).
const SLOW_START_SAFETY_FACTOR: f64 = 0.55;
/// The shortest warm-up that is divided by, in seconds.
const MIN_WARM_UP_SECONDS: f64 = 0.1;

impl ControllerState {
    /// The share of its capacity that a replica has: from the share at its start, evenly up to all.
    fn warm_capacity_share(&self, replica: &Replica) -> f64 {
        let age = (self.now - replica.started.unwrap_or_default()).seconds();
        let warmed = age / self.deployment.warm_up.seconds().max(MIN_WARM_UP_SECONDS);
        let initial = self.deployment.cold_capacity_share;
        (initial + (1.0 - initial) * warmed).min(1.0)
    }

    /// What a replica may be sent now, in requests a second with retries; no limit for a warm one. What the fleet answers is
    /// the only sure sign of what replicas can do; what is asked may be far more (overload, retries).
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

    /// This controller's part of a replica, in multiples of an even part. A cold replica is one controller's alone, by a draw
    /// that falls alike at all: an even part of its budget for each would be less than most slices need. Where nobody else
    /// has slices, or slices are not what is shared out, nothing is drawn.
    pub(crate) fn measure_ownership(&self, replica: &Replica) -> f64 {
        let fleet_multiple = self.fleet_multiple();
        if fleet_multiple == 1.0 || !self.is_warming_up(replica) {
            return 1.0;
        }
        let drawn = replica.draw_controller(self.deployment.controller_count);
        if drawn == self.deployment.controller_index {
            fleet_multiple
        } else {
            0.0
        }
    }

    /// What a replica may still get, inside its band and its slow-start budget, in requests a second.
    pub(crate) fn headroom(&self, replica: &Replica) -> f64 {
        let budget_left = self.slow_start_budget(replica) - replica.demand;
        self.averages.headroom(replica).min(budget_left)
    }
}
