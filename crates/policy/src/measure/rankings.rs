//! The orders in which replicas are searched for one that can accept a slice.

use crate::api::ReplicaId;
use crate::state::controller::ControllerState;
use crate::state::ranking::Rankings;
use crate::state::replica::Replica;

/// Lower bound of a replica's headroom in random draws, in requests per second.
const MIN_HEADROOM: f64 = 1e-6;

impl ControllerState {
    /// Updates the rank of a replica from its current values. Replicas that may not accept slices are not ranked.
    pub(crate) fn update_rank(&mut self, id: ReplicaId) {
        let Some(replica) = self.rankable(id) else { return };
        let standby_load = replica.standby_count / replica.effective_capacity;
        let tie_breaker = self.random.draw();
        let Some(replica) = self.replicas.get(&id) else { return };
        let headroom_rank = self.headroom_rank(replica, tie_breaker);
        let utilization_rank = self.utilization_rank(replica, tie_breaker);
        self.rankings.by_headroom.insert(id, headroom_rank, tie_breaker);
        self.rankings.by_utilization.insert(id, utilization_rank, tie_breaker);
        self.rankings.by_standby_load.insert(id, standby_load, tie_breaker);
    }

    /// Rebuilds the rankings of all replicas.
    pub(crate) fn rebuild_rankings(&mut self) {
        self.rankings = Rankings::default();
        let ids: Vec<_> = self.replicas.keys().copied().collect();
        ids.into_iter().for_each(|id| self.update_rank(id));
    }

    fn rankable(&self, id: ReplicaId) -> Option<&Replica> {
        let replica = self.replicas.get(&id)?;
        (replica.ownership > 0.0 && self.is_usable(replica)).then_some(replica)
    }

    /// Returns the replica's rank by headroom. Where replicas are shared, claimed replicas with less than average
    /// utilization come first, by headroom. The others follow in a random order weighted by headroom, so that
    /// controllers that evacuate at the same time choose different replicas.
    fn headroom_rank(&self, replica: &Replica, tie_breaker: f64) -> f64 {
        let headroom = self.averages.headroom(replica);
        let is_claimed_and_underutilized =
            || self.holds_claim(replica) && replica.utilization() < self.averages.utilization;
        if !self.sharing.is_active || is_claimed_and_underutilized() {
            return -headroom;
        }
        -(1.0 - tie_breaker).ln() / headroom.max(MIN_HEADROOM)
    }

    /// Returns the replica's rank by utilization. Where replicas are shared, the order of replicas that differ by
    /// less than the band is random.
    fn utilization_rank(&self, replica: &Replica, tie_breaker: f64) -> f64 {
        if self.sharing.is_active {
            replica.utilization() + self.averages.band_half_width * tie_breaker
        } else {
            replica.utilization()
        }
    }
}
