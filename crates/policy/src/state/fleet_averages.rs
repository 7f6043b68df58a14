//! The last estimate of the averages over the fleet.

use crate::state::replica::Replica;

/// Averages over the replicas in service.
#[derive(Default, Clone, Copy)]
pub(crate) struct FleetAverages {
    /// The share of the usable replicas' capacity that is warm, whichever controllers own it.
    pub warm_capacity_share: f64,
    /// The ratio of the median usable replica's mean latency to the tightest target latency.
    pub median_latency_ratio: f64,
    /// The mean utilization (AvgL of DDMC): load over effective capacity.
    pub utilization: f64,
    /// Half the width of the band around the mean utilization (phi of DDMC).
    pub band_half_width: f64,
    /// Requests per second that were answered per unit of service rate.
    pub observed_service_rate: f64,
    /// The ratio of the load over `BURST_WINDOW` to the load over `LOAD_WINDOW`.
    pub burst_ratio: f64,
    /// The mean load per replica over `BURST_WINDOW`, in requests per second.
    pub mean_burst_load: f64,
}

/// The range of utilization in which a replica is not rebalanced.
#[derive(Clone, Copy)]
pub(crate) struct Band {
    pub low: f64,
    pub high: f64,
}

impl FleetAverages {
    /// Returns a replica's band. The larger this controller's part of the replica, the narrower the band, because
    /// deviations in other controllers' parts have less weight.
    pub(crate) fn band(&self, replica: &Replica) -> Band {
        let half_width = self.band_half_width / replica.ownership.max(1.0).sqrt();
        Band { low: self.utilization - half_width, high: self.utilization + half_width }
    }

    /// Returns the load that a replica may have within its band, in requests per second.
    pub(crate) fn band_capacity(&self, replica: &Replica) -> f64 {
        replica.effective_capacity * self.band(replica).high
    }

    /// Returns the additional load that a replica may get within its band, in requests per second; negative if it
    /// is overloaded.
    pub(crate) fn headroom(&self, replica: &Replica) -> f64 {
        self.band_capacity(replica) - replica.load
    }
}
