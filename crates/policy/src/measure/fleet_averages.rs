//! Averages over the fleet: the mean utilization (AvgL of DDMC, see [`crate::rules::rebalance`]) and related
//! values.

use crate::measure::admission::LOW_LATENCY_RATIO;
use crate::measure::windows::LOAD_WINDOW;
use crate::state::controller::ControllerState;
use crate::state::fleet_averages::FleetAverages;
use crate::state::replica::Replica;

/// Half the width of the band (phi of DDMC) as a share of the mean utilization. With 0.1, the value in the DDMC
/// paper, most moves react to noise (docs/design.md).
const BAND_HALF_WIDTH: f64 = 0.35;
/// Lower bound of a sum of capacities used as a divisor.
const MIN_CAPACITY: f64 = 0.01;

impl ControllerState {
    /// Returns the ratio of all controllers' slices to this controller's slices, at least 1. Returns 1 where
    /// replicas are shared, because the load of all controllers is known there.
    pub(crate) fn fleet_slice_ratio(&self) -> f64 {
        if self.sharing.is_active {
            return 1.0;
        }
        let own_slices = self.slices.len().max(1) as f64;
        (f64::from(self.deployment.slice_count) / own_slices).max(1.0)
    }

    /// Computes the averages over the usable replicas, without those that another controller owns alone.
    pub(crate) fn measure_fleet_averages(&self) -> FleetAverages {
        let averaged_replicas = || self.replicas.values().filter(|replica| self.is_averaged(replica));
        let capacity =
            averaged_replicas().map(|replica| replica.effective_capacity).sum::<f64>().max(MIN_CAPACITY);
        let load: f64 = self.slices.values().map(|slice| slice.load).sum();
        let burst_load: f64 = self.slices.values().map(|slice| slice.burst_load).sum();
        let utilization = load / capacity;
        let averages = FleetAverages {
            warm_capacity_share: self.measure_warm_capacity_share(),
            median_latency_ratio: self.median_of_usable(|replica| replica.latency_ratio),
            utilization,
            band_half_width: BAND_HALF_WIDTH * utilization * self.fleet_slice_ratio().sqrt(),
            observed_service_rate: self.measure_observed_service_rate(),
            burst_ratio: burst_load / load.max(0.01),
            mean_burst_load: burst_load / self.replicas.len().max(1) as f64,
        };
        if self.sharing.is_active {
            self.subset_averages(averages)
        } else {
            averages
        }
    }

    /// Returns true if the replicas that are warm stay within their bands without those that are warming up.
    pub(crate) fn warm_replicas_suffice(&self) -> bool {
        self.averages.warm_capacity_share * (1.0 + BAND_HALF_WIDTH) >= 1.0
    }

    /// Returns true if the median replica no longer answers fast.
    pub(crate) fn is_fleet_late(&self) -> bool {
        self.averages.median_latency_ratio > LOW_LATENCY_RATIO
    }

    /// Returns the share of the usable replicas' capacity that is warm.
    pub(crate) fn measure_warm_capacity_share(&self) -> f64 {
        let capacity_of = |replica: &Replica| replica.service_rate * replica.weight_factor;
        let usable = || self.replicas.values().filter(|replica| self.is_usable(replica));
        let warm = usable().filter(|replica| !self.is_warming_up(replica));
        let capacity: f64 = usable().map(capacity_of).sum();
        warm.map(capacity_of).sum::<f64>() / capacity.max(MIN_CAPACITY)
    }

    fn is_averaged(&self, replica: &Replica) -> bool {
        self.is_usable(replica) && replica.ownership > 0.0
    }

    /// Returns the rate of requests that were answered per unit of service rate. Operators' weight factors do not
    /// lower it, and neither do cold replicas that receive few requests while others are warm.
    fn measure_observed_service_rate(&self) -> f64 {
        let averaged_replicas = || self.replicas.values().filter(|replica| self.is_averaged(replica));
        let some_are_warm = averaged_replicas().any(|replica| !self.is_warming_up(replica));
        let averaged =
            || averaged_replicas().filter(|replica| !some_are_warm || !self.is_warming_up(replica));
        let service_rate = averaged().map(|replica| replica.service_rate).sum::<f64>().max(MIN_CAPACITY);
        let load: f64 = averaged().map(|replica| replica.load).sum();
        let succeeded_rate = |replica: &Replica| {
            let since = self.started_at.max(replica.reports.observed_since);
            self.request_rate(&replica.reports.succeeded, LOAD_WINDOW, since)
        };
        let succeeded: f64 = averaged().map(succeeded_rate).sum();
        load.min(succeeded) / service_rate
    }

    /// Computes averages over the replicas of the subset. The load of all of them is spread over the averaged
    /// ones, including the load of replicas that must be evacuated.
    fn subset_averages(&self, own: FleetAverages) -> FleetAverages {
        let steered = || self.replicas.values().filter(|replica| !replica.is_steered_by_others());
        let averaged_replicas = || steered().filter(|replica| self.is_averaged(replica));
        let load: f64 = steered().map(|replica| replica.load).sum();
        let capacity =
            averaged_replicas().map(|replica| replica.effective_capacity).sum::<f64>().max(MIN_CAPACITY);
        let utilization = load / capacity;
        FleetAverages {
            utilization,
            band_half_width: BAND_HALF_WIDTH * utilization,
            mean_burst_load: load * own.burst_ratio / averaged_replicas().count().max(1) as f64,
            ..own
        }
    }
}
