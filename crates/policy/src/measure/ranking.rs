//! The orders in which replicas are looked through.

use crate::api::ReplicaId;
use crate::state::controller::ControllerState;
use crate::state::ranking::Rankings;
use crate::state::replica::Replica;

/// Keeps draws apart from replicas without room.
pub(crate) const MIN_HEADROOM: f64 = 1e-6;

impl ControllerState {
    /// Puts a replica where its figures have it now; one that nothing may go to is not looked at for each slice.
    pub(crate) fn update_rank(&mut self, id: ReplicaId) {
        let Some(s) = self.replicas.get(&id).filter(|s| s.ownership > 0.0 && self.is_usable(s)) else {
            return;
        };
        let standing_by = s.standby_count / s.effective_capacity;
        let lot = self.random.draw();
        let Some(s) = self.replicas.get(&id) else { return };
        let (room, level) =
            (self.headroom_rank(s, self.averages.headroom(s), lot), self.utilization_rank(s, lot));
        self.rankings.by_headroom.insert(id, room, lot);
        self.rankings.by_utilization.insert(id, level, lot);
        self.rankings.by_standby_load.insert(id, standing_by, lot);
    }

    pub(crate) fn rebuild_rankings(&mut self) {
        self.rankings = Rankings::default();
        let all: Vec<_> = self.replicas.keys().copied().collect();
        all.into_iter().for_each(|id| self.update_rank(id));
    }

    /// The order by room in which refuges are looked through: claimed ones below the average first, by room; then the others by a
    /// draw in proportion to their room, so that controllers which escape at once spread.
    pub(crate) fn headroom_rank(&self, s: &Replica, room: f64, lot: f64) -> f64 {
        if !self.sharing.is_active || (self.holds_claim(s) && s.utilization() < self.averages.utilization) {
            return -room;
        }
        -(1.0 - lot).ln() / room.max(MIN_HEADROOM)
    }

    /// The order by level: among replicas that differ by less than the band, a draw.
    pub(crate) fn utilization_rank(&self, s: &Replica, lot: f64) -> f64 {
        match self.sharing.is_active {
            false => s.utilization(),
            true => s.utilization() + self.averages.band_half_width * lot,
        }
    }
}
