//! Evacuation: slices leave replicas that are gone, draining or ejected, which are withdrawn from all tables, and cold ones
//! that are sent too much.
//!
//! Guards against requests that are sent to what will not answer: a withdrawal is one line a replica, and standby endpoints
//! take over long before each table is written anew.

use crate::api::{ReplicaId, SliceId};
use crate::rules::placement::DestinationScope;
use crate::state::admission::HALTED_REDUCTION;
use crate::state::controller::ControllerState;
use crate::state::pending_slices::Priority;
use crate::state::replica::Replica;
use crate::state::routing_table::SliceMove;
use crate::state::slice::Slice;
use std::mem::take;

/// How far a cold replica's demand may exceed its slow-start budget before slices leave it.
const MAX_BUDGET_OVERRUN: f64 = 1.2;

/// A slice that may have to leave a replica, or that has no endpoint.
struct Departure {
    load: f64,
    slice: SliceId,
    from: Option<ReplicaId>,
}

impl ControllerState {
    /// Has slices leave, the heaviest first, and withdraws or reinstates replicas, once a tick or when the fleet changed.
    pub(crate) fn evacuate(&mut self) -> bool {
        if !take(&mut self.pending_work.evacuation) {
            return false;
        }
        for departure in self.find_departures() {
            self.evacuate_endpoint(departure.slice, departure.from);
            self.mark_if_without_endpoint(departure.slice);
        }
        self.update_withdrawals();
        true
    }

    /// Everything on replicas that may have to be left, and slices without an endpoint, the heaviest first.
    fn find_departures(&self) -> Vec<Departure> {
        let may_be_evacuated = |replica: &Replica| {
            replica.withdrawn
                || self.must_be_evacuated(replica)
                || self.is_ejected(replica)
                || self.is_warming_up(replica)
        };
        let sources = self.replicas.iter().filter(|(_, replica)| may_be_evacuated(replica));
        let endpoints_to_leave =
            sources.flat_map(|(from, replica)| replica.slices.iter().map(|id| (*id, Some(*from))));
        let without_endpoint = self.slices.iter().filter(|(_, slice)| slice.table.desired.is_empty());
        let all = endpoints_to_leave.chain(without_endpoint.map(|(id, _)| (*id, None)));
        let mut departures: Vec<_> =
            all.map(|(slice, from)| Departure { load: self.slices[&slice].load, slice, from }).collect();
        departures.sort_by(|one, other| other.load.total_cmp(&one.load));
        departures
    }

    fn evacuate_endpoint(&mut self, id: SliceId, from: Option<ReplicaId>) {
        let slice = &self.slices[&id];
        let replica = from.and_then(|from| self.replicas.get(&from));
        let scope = self.destination_scope(replica);
        let must_leave = scope != DestinationScope::WithCapacity;
        let named = from.filter(|from| slice.table.desired.contains_key(from));
        if let Some(standby) = named.filter(|from| slice.table.is_standby(from)) {
            self.replace_standby(id, standby);
        } else if named != from {
            // On its way already, but what the proxies hold must not wait among calm commands.
            if replica.is_some_and(|replica| replica.withdrawn || must_leave) {
                self.mark_pending(id, Priority::Urgent);
            }
        } else if must_leave || replica.is_some_and(|replica| self.is_over_budget(replica)) {
            if let Some(to) = self.find_destination(slice, slice.load, scope) {
                let from = from.unwrap_or(to);
                self.move_slice(SliceMove { slice: id, from, to }, Priority::Urgent);
            }
        }
    }

    /// How far the search for a refuge from a replica may go.
    fn destination_scope(&self, from: Option<&Replica>) -> DestinationScope {
        match from {
            Some(replica) if self.must_be_evacuated(replica) => DestinationScope::Any,
            Some(replica) if self.is_ejected(replica) => DestinationScope::AnyWarm,
            Some(_) => DestinationScope::WithCapacity,
            None => DestinationScope::Any,
        }
    }

    fn is_over_budget(&self, replica: &Replica) -> bool {
        let budget = self.slow_start_budget(replica) * MAX_BUDGET_OVERRUN;
        replica.demand > budget && self.may_offload_cold_replica(replica)
    }

    /// A standby must be usable and warm; a withdrawn one does no harm while more urgent commands wait.
    fn replace_standby(&mut self, id: SliceId, standby: ReplicaId) {
        let is_withdrawn = self.replicas.get(&standby).is_none_or(|replica| replica.withdrawn);
        if !is_withdrawn || !self.pending_slices.has_more_urgent_than(Priority::StandbyOnly) {
            let next = self.find_standby(id);
            self.replace_endpoint(id, Some(standby), next, Priority::StandbyOnly);
        }
    }

    /// Has a slice sent at once whose applied table names nothing that may be used.
    fn mark_if_without_endpoint(&mut self, id: SliceId) {
        let single_writer = self.deployment.single_writer;
        let is_unusable =
            |replica: &Replica| replica.withdrawn || (single_writer && self.must_be_evacuated(replica));
        let is_usable = |id: &ReplicaId| self.replicas.get(id).is_some_and(|replica| !is_unusable(replica));
        let lacks_usable_endpoint = |slice: &Slice| {
            !slice.is_fully_applied()
                && slice.applied_reduction != HALTED_REDUCTION
                && !slice.table.applied.keys().any(is_usable)
        };
        if self.slices.get(&id).is_some_and(lacks_usable_endpoint) {
            self.mark_pending(id, Priority::NoEndpoint);
        }
    }

    fn update_withdrawals(&mut self) {
        let mut to_withdraw = Vec::new();
        let mut to_reinstate = Vec::new();
        for (id, replica) in &self.replicas {
            let should_be_withdrawn = self.should_be_withdrawn(*id, replica);
            let will_be_withdrawn = replica.withdrawn && !self.withdrawals.reinstatements.contains(id);
            match (should_be_withdrawn, will_be_withdrawn) {
                (true, false) => to_withdraw.push(*id),
                (false, true) => to_reinstate.push(*id),
                _ => {}
            }
        }
        to_withdraw.into_iter().for_each(|id| self.withdraw(id));
        to_reinstate.into_iter().for_each(|id| self.reinstate(id));
    }

    /// Withdrawn is what must be left, and what is ejected once all its slices have another owner: an ejected one is still
    /// better than none. One that is well again stays withdrawn until no table names it, or it would get its old slices back
    /// cold. Where a slice has a single writer, requests are held back instead.
    fn should_be_withdrawn(&self, id: ReplicaId, replica: &Replica) -> bool {
        if self.deployment.single_writer {
            return false;
        }
        let is_named = !replica.slices.is_empty();
        if self.must_be_evacuated(replica) {
            return is_named || (replica.withdrawn && !replica.is_removable(self.now));
        }
        let is_owner = |slice: &SliceId| self.slices[slice].table.owners().any(|owner| owner == id);
        let owns_slices = || replica.slices.iter().any(is_owner);
        if self.is_ejected(replica) {
            (replica.withdrawn || is_named) && !owns_slices()
        } else {
            replica.withdrawn && is_named && !owns_slices()
        }
    }
}
