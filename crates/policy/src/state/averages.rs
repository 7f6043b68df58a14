//! Averages over the fleet.

use crate::state::replica::Replica;

/// The fleet's averages as of the last survey.
#[derive(Default, Clone, Copy)]
pub struct FleetAverages {
    pub utilization: f64,
    pub band_half_width: f64,
    /// What a unit of power was seen to answer.
    pub proven_service_rate: f64,
    /// What comes now against what came over the longer time.
    pub burst_ratio: f64,
    /// What an even part of what comes now would be.
    pub even_burst_load: f64,
}

impl FleetAverages {
    /// The deviations of other controllers' parts count less, the more of it is ours.
    pub fn band(&self, s: &Replica) -> (f64, f64) {
        let phi = self.band_half_width / s.ownership.max(1.0).sqrt();
        (self.utilization - phi, self.utilization + phi)
    }

    /// What this replica may carry inside the band.
    pub fn band_capacity(&self, s: &Replica) -> f64 {
        s.effective_capacity * self.band(s).1
    }

    pub fn headroom(&self, s: &Replica) -> f64 {
        self.band_capacity(s) - s.load
    }
}
