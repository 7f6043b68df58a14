//! Averages over the fleet, as last estimated.

use crate::state::replica::Replica;

/// Averages over the replicas in service.
#[derive(Default, Clone, Copy)]
pub(crate) struct FleetAverages {
    /// AvgL of DDMC: load over effective capacity.
    pub utilization: f64,
    /// phi of DDMC.
    pub band_half_width: f64,
    /// Requests a second that a unit of service rate was seen to answer.
    pub observed_service_rate: f64,
    /// The load over the shorter window against that over the longer one.
    pub burst_ratio: f64,
    /// An even part of the load over the shorter window, in requests a second.
    pub mean_burst_load: f64,
}

/// The limits of utilization between which a replica is left alone.
#[derive(Clone, Copy)]
pub(crate) struct Band {
    pub low: f64,
    pub high: f64,
}

impl FleetAverages {
    /// A replica's band. It is narrower the more of the replica is this controller's, as the deviations of other
    /// controllers' parts count less.
    pub(crate) fn band(&self, replica: &Replica) -> Band {
        let half_width = self.band_half_width / replica.ownership.max(1.0).sqrt();
        Band { low: self.utilization - half_width, high: self.utilization + half_width }
    }

    /// The load that a replica may have inside its band, in requests a second.
    pub(crate) fn band_capacity(&self, replica: &Replica) -> f64 {
        replica.effective_capacity * self.band(replica).high
    }

    /// The load that a replica may get more inside its band, in requests a second; below 0 where it is overloaded.
    pub(crate) fn headroom(&self, replica: &Replica) -> f64 {
        self.band_capacity(replica) - replica.load
    }
}
