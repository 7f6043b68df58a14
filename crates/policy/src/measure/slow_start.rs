//! What a replica that warms up may be sent.

use crate::state::fleet::Policy;
use crate::state::replica::Replica;

// Cold replicas: the part of what would push one over that we allow ourselves.
pub(crate) const COLD_SAFETY: f64 = 0.55;

impl Policy {
    /// From the share that a replica starts with, evenly up to the whole.
    pub(crate) fn warmth(&self, s: &Replica) -> f64 {
        let age = (self.now - s.started.unwrap_or_default()).seconds();
        let part = age / self.site.warm_up.seconds().max(0.1);
        (self.site.cold_capacity_share + (1.0 - self.site.cold_capacity_share) * part).min(1.0)
    }

    /// What a cold replica may be sent now: of what would push it over, a safe part. What the fleet answers is
    /// the only sure sign of what replicas can do; what is asked may be far more (overload, repeats).
    pub(crate) fn allowance(&self, s: &Replica) -> f64 {
        if !self.is_cold(s) {
            return f64::INFINITY;
        }
        s.able
            * self.picture.proven
            * self.part(s)
            * self.site.collapse_multiple
            * self.warmth(s)
            * COLD_SAFETY
    }

    /// How much more of a replica is ours than our part. A cold one is one controller's alone, by a draw that
    /// falls alike at all: a part of its budget for each would be less than most slices need. Where nobody else
    /// holds slices, or slices are not what is shared out, there is nothing to draw.
    pub(crate) fn part(&self, s: &Replica) -> f64 {
        let (whole, drawn) = (self.whole(), s.drawn(self.site.controller_count));
        match drawn == self.site.controller_index {
            _ if whole == 1.0 || !self.is_cold(s) => 1.0,
            true => whole,
            false => 0.0,
        }
    }

    /// What it may still get, inside the band and, where it is cold, of what it is allowed.
    pub(crate) fn room(&self, s: &Replica) -> f64 {
        self.picture.room(s).min(self.allowance(s) - s.press)
    }
}
