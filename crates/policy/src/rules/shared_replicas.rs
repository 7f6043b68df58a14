//! Rules for replicas that several controllers steer.

use crate::api::{ReplicaId, SliceId, SubsetMembership};
use crate::state::fleet::Policy;
use crate::state::replica::Replica;

/// How long it takes until a move shows in the reports: excesses are shed over this many rounds.
pub(crate) const ROUNDS_UNSEEN: f64 = 3.0;

impl Policy {
    /// Whether it is this controller's turn, by draw, to take a slice from a replica above the average: the chances of
    /// all controllers add up to what is too much, spread over the rounds until it shows. Others take part at any time.
    pub(crate) fn may_shed(&self, s: &Replica) -> bool {
        let SubsetMembership::Subset { controllers: 2.., .. } = s.subset else { return true };
        let excess = 1.0 - self.picture.average / s.level().max(f64::MIN_POSITIVE);
        let rounds_unseen = ROUNDS_UNSEEN + self.sharing.stretch.seconds();
        excess <= 0.0 || s.shared.draw < excess * s.lines.len() as f64 / rounds_unseen
    }

    /// The same for a cold replica that is sent too much: one of its controllers is drawn, in proportion to what its own
    /// slices bring.
    pub(crate) fn may_relieve(&self, s: &Replica) -> bool {
        let SubsetMembership::Subset { controllers: 2.., .. } = s.subset else { return true };
        s.shared.draw < 1.0 - s.shared.others_press / s.press.max(f64::MIN_POSITIVE)
    }

    /// A slice on a replica of other controllers, and a claimed replica with room for it: one a replica and round.
    pub(crate) fn find_return(&self) -> Option<(SliceId, ReplicaId, ReplicaId)> {
        if !self.sharing.active {
            return None;
        }
        let foreign = self.replicas.iter().filter(|(_, s)| s.is_foreign() && !s.used && !s.lines.is_empty());
        let mut owned = foreign.flat_map(|(id, s)| s.lines.iter().map(|n| (*n, *id)));
        owned.find_map(|(n, from)| {
            let slice = self.slices.get(&n).filter(|s| s.version.is_none() && s.wanted == s.held)?;
            let leaves = slice.owners().any(|owner| owner == from) && !self.is_at_pin(n, slice);
            let takes = |id: &ReplicaId| {
                let fits = |s: &Replica| !s.used && self.may_take(s, slice.load.max(slice.press));
                !slice.wanted.contains_key(id) && self.replicas.get(id).is_some_and(fits)
            };
            let to = leaves.then(|| self.ranks.by_room.first(takes)).flatten()?;
            Some((n, from, to))
        })
    }
}
