//! Placement: which replica a slice may move to. All rules that move slices ask here.

use crate::api::ReplicaId;
use crate::state::controller::ControllerState;
use crate::state::pending_slices::Priority;
use crate::state::ranking::Ranking;
use crate::state::replica::Replica;
use crate::state::routing_table::{SliceMove, FULL_WEIGHT};
use crate::state::slice::Slice;
use crate::time::Span;

/// A replica that started less than this ago takes one slice a round (docs/design.md, The ordinary path).
const RECENT_START_PERIOD: Span = Span::ms(30_000);
/// The least slow-start budget that is divided by, in requests a second.
const MIN_BUDGET: f64 = 0.001;

/// How far a search for another replica may go.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum DestinationScope {
    /// To usable replicas inside their slow-start budgets.
    WithCapacity,
    /// Where there is none, to full warm ones too.
    AnyWarm,
    /// Where there is none, to ejected or cold ones too: anything is better than what must be left.
    Any,
}

impl ControllerState {
    /// Whether a replica may get so many requests a second more. Guards against a cold replica that collapses, and against
    /// filling a fresh one before its load shows.
    pub(crate) fn can_accept(&self, replica: &Replica, demand: f64) -> bool {
        let started_recently = replica.started.is_some_and(|at| self.now - at < RECENT_START_PERIOD);
        self.is_usable(replica)
            && self.holds_claim(replica)
            && !(started_recently && replica.moved_this_round)
            && replica.demand + demand <= self.slow_start_budget(replica)
    }

    /// The replica for a slice that leaves another one, of which so much load has to find a place: the one with most
    /// headroom, else the least utilized; an unusable one only where there is no usable one.
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
        // What comes with retries, not the load alone, is what would push a cold one over.
        let demand = load.max(slice.demand);
        let accepts_slice = |replica: &Replica| self.can_accept(replica, demand);
        let with_headroom = first(&self.rankings.by_headroom, &|replica| {
            accepts_slice(replica) && self.is_preferred_if_shared(scope, replica, load)
        });
        if with_headroom.is_some_and(|id| self.averages.headroom(&self.replicas[&id]) >= load) {
            return with_headroom;
        }
        let least_utilized = first(&self.rankings.by_utilization, &accepts_slice);
        let usable = self.usable_or_shared_destination(scope, least_utilized, load, &owns);
        // With no usable one, a full warm replica still beats a cold one, which would collapse.
        let warm = || first(&self.rankings.by_utilization, &|replica| self.is_usable_and_warm(replica));
        match scope {
            DestinationScope::WithCapacity => usable,
            DestinationScope::AnyWarm => usable.or_else(warm),
            DestinationScope::Any => usable.or_else(warm).or_else(|| self.least_over_budget(demand, &owns)),
        }
    }

    /// Of the replicas that the list calls ready, the one whose slow-start budget is exceeded least.
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

    /// Where replicas are shared, whether a claimed replica has room for all of it; escapes prefer it up to the average
    /// only, lest replicas whose claimants have much to place are filled before the others.
    fn is_preferred_if_shared(&self, scope: DestinationScope, replica: &Replica, load: f64) -> bool {
        if !self.sharing.is_active {
            return true;
        }
        let is_preferred =
            scope == DestinationScope::WithCapacity || replica.utilization() < self.averages.utilization;
        self.averages.headroom(replica) >= load && is_preferred
    }

    /// The usable replica that was found, or, where a slice must leave one that is shared, a better escape.
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

    /// A warm replica of the subset with room, or the least utilized by draw, whoever holds the claim on it: escapes can't
    /// wait for a claim. Where the subset has no usable warm one, a warm one of other controllers.
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
        let drawn = candidates
            .min_by(|(_, one), (_, other)| one.shared.round_draw.total_cmp(&other.shared.round_draw));
        drawn.map(|(id, _)| *id)
    }
}
