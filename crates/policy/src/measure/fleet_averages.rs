//! Averages over the fleet.

use crate::state::averages::FleetAverages;
use crate::state::controller::ControllerState;
use crate::state::replica::Replica;
use crate::time::Span;

pub(crate) const BAND_HALF_WIDTH: f64 = 0.35;

impl ControllerState {
    /// How much more all controllers carry than this one, as far as slices tell; where replicas are shared, what all
    /// bring is known.
    pub(crate) fn fleet_multiple(&self) -> f64 {
        match self.sharing.is_active {
            true => 1.0,
            false => (f64::from(self.deployment.slice_count) / self.slices.len().max(1) as f64).max(1.0),
        }
    }

    /// AvgL and what goes with it, over the replicas that are counted.
    pub(crate) fn fleet_averages(
        &self,
        band: f64,
        long: Span,
        is_counted: impl Fn(&Replica) -> bool,
    ) -> FleetAverages {
        let counted = || self.replicas.values().filter(|s| is_counted(s));
        let power = counted().map(|s| s.effective_capacity).sum::<f64>().max(0.01);
        let load: f64 = self.slices.values().map(|s| s.load).sum();
        let burst: f64 = self.slices.values().map(|s| s.burst_load).sum();
        // What was seen of replicas is no less for what operators count them for, nor for cold ones beside them
        // that are sent little.
        let some_warm = counted().any(|s| !self.is_cold(s));
        let sure = || counted().filter(|s| !some_warm || !self.is_cold(s));
        let able = sure().map(|s| s.service_rate).sum::<f64>().max(0.01);
        let carried: f64 = sure().map(|s| s.load).sum();
        let answered: f64 = sure()
            .map(|s| self.request_rate(&s.succeeded, long, self.started_at.max(s.observed_since)))
            .sum();
        let average = load / power;
        let own = FleetAverages {
            utilization: average,
            band_half_width: band * average * self.fleet_multiple().sqrt(),
            proven_service_rate: carried.min(answered) / able,
            burst_ratio: burst / load.max(0.01),
            even_burst_load: burst / self.replicas.len().max(1) as f64,
        };
        self.subset_averages(own, band, &is_counted)
    }

    /// Averages over the replicas of the subset that are counted: what comes to all of them, also to those that
    /// must be left, has to find its place on these.
    pub(crate) fn subset_averages(
        &self,
        own: FleetAverages,
        band: f64,
        counted: impl Fn(&Replica) -> bool,
    ) -> FleetAverages {
        if !self.sharing.is_active {
            return own;
        }
        let ours = || self.replicas.values().filter(|s| !s.is_steered_by_others());
        let counted = || ours().filter(|s| counted(s));
        let load: f64 = ours().map(|s| s.load).sum();
        let power = counted().map(|s| s.effective_capacity).sum::<f64>().max(0.01);
        let average = load / power;
        let even = load * own.burst_ratio / counted().count().max(1) as f64;
        FleetAverages { utilization: average, band_half_width: band * average, even_burst_load: even, ..own }
    }
}
