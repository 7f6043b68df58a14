//! What a replica that warms up may be sent.

use crate::state::controller::ControllerState;
use crate::state::replica::Replica;

// Cold replicas: the part of what would push one over that we allow ourselves.
pub(crate) const SLOW_START_SAFETY: f64 = 0.55;

impl ControllerState {
    /// From the share that a replica starts with, evenly up to the whole.
    pub(crate) fn warmth(&self, s: &Replica) -> f64 {
        let age = (self.now - s.started.unwrap_or_default()).seconds();
        let part = age / self.deployment.warm_up.seconds().max(0.1);
        (self.deployment.cold_capacity_share + (1.0 - self.deployment.cold_capacity_share) * part).min(1.0)
    }

    /// What a cold replica may be sent now: of what would push it over, a safe part. What the fleet answers is
    /// the only sure sign of what replicas can do; what is asked may be far more (overload, repeats).
    pub(crate) fn slow_start_budget(&self, s: &Replica) -> f64 {
        if !self.is_cold(s) {
            return f64::INFINITY;
        }
        s.service_rate
            * self.averages.proven_service_rate
            * self.ownership_of(s)
            * self.deployment.collapse_multiple
            * self.warmth(s)
            * SLOW_START_SAFETY
    }

    /// How much more of a replica is ours than our part. A cold one is one controller's alone, by a draw that
    /// falls alike at all: a part of its budget for each would be less than most slices need. Where nobody else
    /// holds slices, or slices are not what is shared out, there is nothing to draw.
    pub(crate) fn ownership_of(&self, s: &Replica) -> f64 {
        let (whole, drawn) = (self.fleet_multiple(), s.draw_controller(self.deployment.controller_count));
        match drawn == self.deployment.controller_index {
            _ if whole == 1.0 || !self.is_cold(s) => 1.0,
            true => whole,
            false => 0.0,
        }
    }

    /// What it may still get, inside the band and, where it is cold, of what it is allowed.
    pub(crate) fn headroom(&self, s: &Replica) -> f64 {
        self.averages.headroom(s).min(self.slow_start_budget(s) - s.demand)
    }
}
