//! Placement: selects the replica that a slice moves to. All rules that move slices use it.

use crate::api::ReplicaId;
use crate::state::controller::ControllerState;
use crate::state::pending_slices::Priority;
use crate::state::ranking::Ranking;
use crate::state::replica::Replica;
use crate::state::routing_table::{SliceMove, FULL_WEIGHT};
use crate::state::slice::Slice;
use crate::time::Span;
use std::iter;

/// A replica that started less than this ago accepts one slice per round (docs/design.md, The ordinary path).
const RECENT_START_PERIOD: Span = Span::ms(30_000);
/// Lower bound of a slow-start budget used as a divisor, in requests per second.
const MIN_BUDGET: f64 = 0.001;

/// The replicas that are permitted as destinations.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum DestinationScope {
    /// Usable replicas within their slow-start budgets.
    WithCapacity,
    /// If there are none, warm replicas that are overloaded as well.
    AnyWarm,
    /// If there are none, ejected or cold replicas as well, since any replica is better than one that must be
    /// evacuated.
    Any,
}

impl ControllerState {
    /// Returns true if a replica may get `unshed_demand` more requests per second. This prevents a cold replica from
    /// collapsing, also once load is no longer shed, and a recently started one from being overfilled before reports
    /// show its load.
    pub(crate) fn can_accept(&self, replica: &Replica, unshed_demand: f64) -> bool {
        let started_recently = replica.running_since.is_some_and(|at| self.now - at < RECENT_START_PERIOD);
        self.is_usable(replica)
            && self.holds_claim(replica)
            && !(started_recently && replica.moved_this_round)
            && self.fits_slow_start_budget(replica, unshed_demand)
    }

    /// Returns true if a replica is warming up and not needed as a destination, because the warm ones suffice. Any slice
    /// may come into more demand than a cold replica can take. Slices that must leave go to cold replicas all the same
    /// once the fleet is late.
    pub(crate) fn is_kept_in_reserve(&self, replica: &Replica, scope: DestinationScope) -> bool {
        let is_needed = scope == DestinationScope::Any && self.is_fleet_late();
        self.is_warming_up(replica) && self.warm_replicas_suffice() && !is_needed
    }

    /// Returns true if a replica may get a slice of this load. A cold replica has to handle retries too, so the demand
    /// counts there, not only the load, and it must be known.
    pub(crate) fn can_accept_slice(&self, replica: &Replica, slice: &Slice, load: f64) -> bool {
        let is_known = !self.is_warming_up(replica) || self.are_demands_known(iter::once(slice));
        is_known && self.can_accept(replica, load.max(slice.unshed_demand))
    }

    /// Returns the destination for a slice that leaves another replica, for which `load` must be placed: the
    /// replica with the most headroom, otherwise the least utilized one. Unusable replicas are selected only if
    /// there is no usable one.
    pub(crate) fn find_destination(
        &self,
        slice: &Slice,
        load: f64,
        scope: DestinationScope,
    ) -> Option<ReplicaId> {
        let owns = |id: &ReplicaId| slice.table.desired.contains_key(id) && !slice.table.is_standby(id);
        let first = |ranking: &Ranking, accepts: &dyn Fn(&Replica) -> bool| {
            ranking.first(|id| !owns(id) && self.replicas.get(id).is_some_and(accepts))
        };
        let accepts_slice = |replica: &Replica| {
            !self.is_kept_in_reserve(replica, scope) && self.can_accept_slice(replica, slice, load)
        };
        let with_headroom = first(&self.rankings.by_headroom, &|replica| {
            accepts_slice(replica) && self.is_preferred_if_shared(scope, replica, load)
        });
        if with_headroom.is_some_and(|id| self.averages.headroom(&self.replicas[&id]) >= load) {
            return with_headroom;
        }
        let least_utilized = first(&self.rankings.by_utilization, &accepts_slice);
        let usable = self.usable_or_shared_destination(scope, least_utilized, load, &owns);
        // If no replica is usable, an overloaded warm replica is better than a cold one, which would collapse.
        let warm = || first(&self.rankings.by_utilization, &|replica| self.is_usable_and_warm(replica));
        match scope {
            DestinationScope::WithCapacity => usable,
            DestinationScope::AnyWarm => usable.or_else(warm),
            DestinationScope::Any => {
                usable.or_else(warm).or_else(|| self.least_over_budget(load.max(slice.unshed_demand), &owns))
            }
        }
    }

    /// Returns the replica whose slow-start budget is exceeded least, of those that are listed as ready.
    fn least_over_budget(&self, demand: f64, owns: &dyn Fn(&ReplicaId) -> bool) -> Option<ReplicaId> {
        let selectable = self.replicas.iter().filter(|(id, replica)| !owns(id) && replica.is_selectable());
        let overload =
            |replica: &Replica| (replica.demand + demand) / self.slow_start_budget(replica).max(MIN_BUDGET);
        selectable.min_by(|(_, one), (_, other)| overload(one).total_cmp(&overload(other))).map(|(id, _)| *id)
    }

    /// Moves a slice to another owner and counts the move.
    pub(crate) fn move_slice(&mut self, slice_move: SliceMove, priority: Priority) {
        let SliceMove { slice: id, from, to } = slice_move;
        self.replace_owner(id, Some(from), Some((to, FULL_WEIGHT)), priority);
        if let Some(slice) = self.slices.get_mut(&id) {
            slice.move_count += 1;
        }
        if let Some(replica) = self.replicas.get_mut(&to) {
            replica.moved_this_round = true;
        }
    }

    /// Returns true if replicas are not shared, or if a claimed replica has room for all of the load. Evacuations
    /// prefer a claimed replica only up to the average utilization, so that replicas whose claim holders have much
    /// to place are not filled before others.
    fn is_preferred_if_shared(&self, scope: DestinationScope, replica: &Replica, load: f64) -> bool {
        if !self.sharing.is_active {
            return true;
        }
        let is_preferred =
            scope == DestinationScope::WithCapacity || replica.utilization() < self.averages.utilization;
        self.averages.headroom(replica) >= load && is_preferred
    }

    /// Returns the usable replica that was found, or a better destination if a slice must leave a shared replica.
    fn usable_or_shared_destination(
        &self,
        scope: DestinationScope,
        usable: Option<ReplicaId>,
        load: f64,
        owns: &dyn Fn(&ReplicaId) -> bool,
    ) -> Option<ReplicaId> {
        if self.sharing.is_active && scope != DestinationScope::WithCapacity {
            self.find_shared_evacuation_destination(load, owns).or(usable)
        } else {
            usable
        }
    }

    /// Returns a warm replica of the subset with room, otherwise the least utilized one with ties broken by a
    /// random draw. The claim does not matter, because an evacuation can't wait for one. If the subset has no
    /// usable warm replica, returns a warm replica of other controllers.
    fn find_shared_evacuation_destination(
        &self,
        load: f64,
        owns: &dyn Fn(&ReplicaId) -> bool,
    ) -> Option<ReplicaId> {
        let is_warm = |id: &ReplicaId| {
            !owns(id) && self.replicas.get(id).is_some_and(|replica| self.is_usable_and_warm(replica))
        };
        let has_room = |id: &ReplicaId| is_warm(id) && self.averages.headroom(&self.replicas[id]) >= load;
        let with_room = self.rankings.by_headroom.first(has_room);
        let of_subset = with_room.or_else(|| self.rankings.by_utilization.first(is_warm));
        of_subset.or_else(|| self.find_destination_outside_subset(owns))
    }

    fn find_destination_outside_subset(&self, owns: &dyn Fn(&ReplicaId) -> bool) -> Option<ReplicaId> {
        let is_healthy = |replica: &Replica| {
            replica.is_steered_by_others()
                && replica.is_ready()
                && !replica.withdrawn
                && !replica.out_of_service
                && !self.is_ejected(replica)
                && !self.is_warming_up(replica)
        };
        let candidates = self.replicas.iter().filter(|(id, replica)| is_healthy(replica) && !owns(id));
        let drawn = candidates.min_by(|(_, one), (_, other)| {
            one.shared_load.round_draw.total_cmp(&other.shared_load.round_draw)
        });
        drawn.map(|(id, _)| *id)
    }
}
