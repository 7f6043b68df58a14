//! Rules for replicas that several controllers steer ([`SubsetMembership::Subset`]).
//!
//! If controllers share a replica, the moves of one become visible to the others only through reports. Claims
//! ([`crate::claims`]) ensure that only one controller moves slices to the replica at a time. Random draws, whose
//! probabilities add up to the excess over all controllers, ensure that they do not all move slices away from it at
//! once.

use crate::api::{ReplicaId, SliceId, SubsetMembership};
use crate::rules::placement::DestinationScope;
use crate::state::controller::ControllerState;
use crate::state::replica::Replica;
use crate::state::routing_table::SliceMove;
use crate::state::slice::Slice;

/// The number of rounds until reports show a move. An excess is moved away over this number of rounds
/// (docs/design/subsets-decisions.md).
const ROUNDS_UNTIL_REPORTED: f64 = 3.0;

impl ControllerState {
    /// Returns true if this controller may move a slice away from a replica. For a shared replica above the average
    /// utilization this is decided by a random draw, so that not all controllers move slices away at once. For all
    /// other replicas the result is true.
    pub(crate) fn may_offload(&self, replica: &Replica) -> bool {
        let SubsetMembership::Subset { controllers: 2.., .. } = replica.subset else { return true };
        let excess = 1.0 - self.averages.utilization / replica.utilization().max(f64::MIN_POSITIVE);
        let rounds_until_reported = ROUNDS_UNTIL_REPORTED + self.sharing.window_excess.seconds();
        let own_slices = replica.slices.len() as f64;
        excess <= 0.0 || replica.shared_load.round_draw < excess * own_slices / rounds_until_reported
    }

    /// Returns true if this controller may move a slice away from an overloaded cold replica. The probability is
    /// proportional to the share of the load that comes from this controller's own slices.
    pub(crate) fn may_offload_cold_replica(&self, replica: &Replica) -> bool {
        let SubsetMembership::Subset { controllers: 2.., .. } = replica.subset else { return true };
        let others_share = replica.shared_load.others_demand / replica.demand.max(f64::MIN_POSITIVE);
        replica.shared_load.round_draw < 1.0 - others_share
    }

    /// Returns a move of a slice from a replica of other controllers to a claimed replica with room for it; at
    /// most one per replica and round. This prevents slices from staying permanently where an evacuation moved
    /// them.
    pub(crate) fn find_return_move(&self) -> Option<SliceMove> {
        if !self.sharing.is_active {
            return None;
        }
        let may_leave = |replica: &Replica| replica.is_steered_by_others() && !replica.moved_this_round;
        let others_replicas = self.replicas.iter().filter(|(_, replica)| may_leave(replica));
        let mut endpoints =
            others_replicas.flat_map(|(from, replica)| replica.slices.iter().map(|id| (*id, *from)));
        endpoints.find_map(|(id, from)| self.find_return(id, from))
    }

    fn find_return(&self, id: SliceId, from: ReplicaId) -> Option<SliceMove> {
        let slice = self.slices.get(&id)?;
        let is_settled = slice.awaited_version.is_none() && slice.table.is_applied();
        let is_owner = || slice.table.owners().any(|owner| owner == from);
        if !is_settled || !is_owner() || self.is_at_pin(id, slice) {
            return None;
        }
        let to = self.rankings.by_headroom.first(|candidate| self.may_return_to(slice, candidate))?;
        Some(SliceMove { slice: id, from, to })
    }

    fn may_return_to(&self, slice: &Slice, candidate: &ReplicaId) -> bool {
        let accepts_slice = |replica: &Replica| {
            !replica.moved_this_round
                && !self.is_kept_in_reserve(replica, DestinationScope::WithCapacity)
                && self.can_accept_slice(replica, slice, slice.load)
        };
        !slice.table.desired.contains_key(candidate)
            && self.replicas.get(candidate).is_some_and(accepts_slice)
    }
}
