//! Rules for replicas that several controllers steer.

use crate::api::{ReplicaId, SliceId, SubsetMembership};
use crate::state::controller::ControllerState;
use crate::state::replica::Replica;

/// How long it takes until a move shows in the reports: excesses are shed over this many rounds.
pub(crate) const ROUNDS_UNTIL_REPORTED: f64 = 3.0;

impl ControllerState {
    /// Whether it is this controller's turn, by draw, to take a slice from a replica above the average: the chances of
    /// all controllers add up to what is too much, spread over the rounds until it shows. Others take part at any time.
    pub(crate) fn may_shed(&self, s: &Replica) -> bool {
        let SubsetMembership::Subset { controllers: 2.., .. } = s.subset else { return true };
        let excess = 1.0 - self.averages.utilization / s.utilization().max(f64::MIN_POSITIVE);
        let rounds_unseen = ROUNDS_UNTIL_REPORTED + self.sharing.window_excess.seconds();
        excess <= 0.0 || s.shared.round_draw < excess * s.slices.len() as f64 / rounds_unseen
    }

    /// The same for a cold replica that is sent too much: one of its controllers is drawn, in proportion to what its own
    /// slices bring.
    pub(crate) fn may_relieve_cold(&self, s: &Replica) -> bool {
        let SubsetMembership::Subset { controllers: 2.., .. } = s.subset else { return true };
        s.shared.round_draw < 1.0 - s.shared.others_demand / s.demand.max(f64::MIN_POSITIVE)
    }

    /// A slice on a replica of other controllers, and a claimed replica with room for it: one a replica and round.
    pub(crate) fn find_return_move(&self) -> Option<(SliceId, ReplicaId, ReplicaId)> {
        if !self.sharing.is_active {
            return None;
        }
        let foreign = self
            .replicas
            .iter()
            .filter(|(_, s)| s.is_steered_by_others() && !s.moved_this_round && !s.slices.is_empty());
        let mut owned = foreign.flat_map(|(id, s)| s.slices.iter().map(|n| (*n, *id)));
        owned.find_map(|(n, from)| {
            let slice =
                self.slices.get(&n).filter(|s| s.awaited_version.is_none() && s.desired == s.applied)?;
            let leaves = slice.owners().any(|owner| owner == from) && !self.is_at_pin(n, slice);
            let takes = |id: &ReplicaId| {
                let fits =
                    |s: &Replica| !s.moved_this_round && self.may_take(s, slice.load.max(slice.demand));
                !slice.desired.contains_key(id) && self.replicas.get(id).is_some_and(fits)
            };
            let to = leaves.then(|| self.rankings.by_headroom.first(takes)).flatten()?;
            Some((n, from, to))
        })
    }
}
