//! The orders in which replicas are looked through.

use crate::api::ReplicaId;
use crate::state::fleet::Policy;
use crate::state::ranking::AllRanks;
use crate::state::replica::Replica;

/// Keeps draws apart from replicas without room.
pub(crate) const LEAST_ROOM: f64 = 1e-6;

impl Policy {
    /// Puts a replica where its figures have it now; one that nothing may go to is not looked at for each slice.
    pub(crate) fn rank(&mut self, id: ReplicaId) {
        let Some(s) = self.replicas.get(&id).filter(|s| s.part > 0.0 && self.is_fit(s)) else { return };
        let standing_by = s.standing_by / s.power;
        let lot = self.random.draw();
        let Some(s) = self.replicas.get(&id) else { return };
        let (room, level) = (self.room_order(s, self.picture.room(s), lot), self.level_order(s, lot));
        self.ranks.by_room.put(id, room, lot);
        self.ranks.by_level.put(id, level, lot);
        self.ranks.by_standing_by.put(id, standing_by, lot);
    }

    pub(crate) fn rank_all(&mut self) {
        self.ranks = AllRanks::default();
        let all: Vec<_> = self.replicas.keys().copied().collect();
        all.into_iter().for_each(|id| self.rank(id));
    }

    /// The order by room in which refuges are looked through: claimed ones below the average first, by room; then the others by a
    /// draw in proportion to their room, so that controllers which escape at once spread.
    pub(crate) fn room_order(&self, s: &Replica, room: f64, lot: f64) -> f64 {
        if !self.sharing.active || (self.holds_claim(s) && s.level() < self.picture.average) {
            return -room;
        }
        -(1.0 - lot).ln() / room.max(LEAST_ROOM)
    }

    /// The order by level: among replicas that differ by less than the band, a draw.
    pub(crate) fn level_order(&self, s: &Replica, lot: f64) -> f64 {
        match self.sharing.active {
            false => s.level(),
            true => s.level() + self.picture.phi * lot,
        }
    }
}
