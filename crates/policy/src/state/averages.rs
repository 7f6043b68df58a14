//! Averages over the fleet.

use crate::state::replica::Replica;

/// The fleet's averages as of the last survey.
#[derive(Default, Clone, Copy)]
pub struct Picture {
    pub average: f64,
    pub phi: f64,
    /// What a unit of power was seen to answer.
    pub proven: f64,
    /// What comes now against what came over the longer time.
    pub rise: f64,
    /// What an even part of what comes now would be.
    pub even: f64,
}

impl Picture {
    /// The deviations of other controllers' parts count less, the more of it is ours.
    pub fn band(&self, s: &Replica) -> (f64, f64) {
        let phi = self.phi / s.part.max(1.0).sqrt();
        (self.average - phi, self.average + phi)
    }

    /// What this replica may carry inside the band.
    pub fn top(&self, s: &Replica) -> f64 {
        s.power * self.band(s).1
    }

    pub fn room(&self, s: &Replica) -> f64 {
        self.top(s) - s.load
    }
}
