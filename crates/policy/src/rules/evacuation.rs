//! Evacuation: slices move away from replicas that are gone, draining or ejected, which are withdrawn from all
//! tables, and from overloaded cold replicas.
//!
//! This avoids requests to replicas that will not answer. A withdrawal is one line per replica, so standby
//! endpoints take over long before every table has been rewritten.

use crate::api::{ReplicaId, SliceId};
use crate::rules::placement::DestinationScope;
use crate::state::admission::HALTED_REDUCTION;
use crate::state::controller::ControllerState;
use crate::state::pending_slices::Priority;
use crate::state::replica::Replica;
use crate::state::routing_table::SliceMove;
use crate::state::slice::Slice;
use std::mem::take;

/// A slice that may have to leave a replica, or that has no endpoint.
struct Departure {
    load: f64,
    slice: SliceId,
    from: Option<ReplicaId>,
}

impl ControllerState {
    /// Moves slices away, heaviest first, and withdraws or reinstates replicas. Runs once per tick and when the
    /// fleet has changed.
    pub(crate) fn evacuate(&mut self) -> bool {
        if !take(&mut self.pending_work.evacuation) {
            return false;
        }
        self.report_over_budget();
        for departure in self.find_departures() {
            self.evacuate_endpoint(departure.slice, departure.from);
            self.mark_if_without_endpoint(departure.slice);
        }
        self.update_withdrawals();
        true
    }

    /// Returns the slices on replicas that may have to be evacuated, and slices without an endpoint, heaviest
    /// first.
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
        let desired_from = from.filter(|from| slice.table.desired.contains_key(from));
        if let Some(standby) = desired_from.filter(|from| slice.table.is_standby(from)) {
            self.replace_standby(id, standby);
        } else if desired_from != from {
            // The slice is already being moved, but the update must not wait behind commands of normal priority.
            if replica.is_some_and(|replica| replica.withdrawn || must_leave) {
                self.mark_pending(id, Priority::Urgent);
            }
        } else if let Some(cold) = from.filter(|from| self.must_leave_shared_slice(id, *from)) {
            self.replace_owner(id, Some(cold), None, Priority::Urgent);
        } else if must_leave || replica.is_some_and(|replica| self.is_over_budget(replica)) {
            if let Some(to) = self.find_destination(slice, slice.load, scope) {
                let from = from.unwrap_or(to);
                self.move_slice(SliceMove { slice: id, from, to }, Priority::Urgent);
            }
        }
    }

    /// Returns the replicas that are permitted as destinations of slices that leave a replica.
    fn destination_scope(&self, from: Option<&Replica>) -> DestinationScope {
        match from {
            Some(replica) if self.must_be_evacuated(replica) => DestinationScope::Any,
            Some(replica) if self.is_ejected(replica) => DestinationScope::AnyWarm,
            Some(_) => DestinationScope::WithCapacity,
            None => DestinationScope::Any,
        }
    }

    fn is_over_budget(&self, replica: &Replica) -> bool {
        Self::exceeds_budget(replica, self.slow_start_budget(replica))
            && self.may_offload_cold_replica(replica)
    }

    /// Returns true if a cold replica has outgrown what may be assigned to it and a usable warm replica owns the slice
    /// too. No destination has to be found then, so the slice leaves before the replica exceeds its budget.
    fn must_leave_shared_slice(&self, id: SliceId, from: ReplicaId) -> bool {
        let is_usable_and_warm = |(_, owner): (ReplicaId, &Replica)| self.is_usable_and_warm(owner);
        self.owners(&self.slices[&id]).any(is_usable_and_warm)
            && self
                .replicas
                .get(&from)
                .is_some_and(|replica| self.has_outgrown_assignable_rate(from, replica))
    }

    /// Replaces a standby, which must be usable and warm. A withdrawn standby is harmless, so it is kept while
    /// more urgent commands are pending.
    fn replace_standby(&mut self, id: SliceId, standby: ReplicaId) {
        let is_withdrawn = self.replicas.get(&standby).is_none_or(|replica| replica.withdrawn);
        if !is_withdrawn || !self.pending_slices.has_more_urgent_than(Priority::StandbyOnly) {
            let next = self.find_standby(id);
            self.replace_endpoint(id, Some(standby), next, Priority::StandbyOnly);
        }
    }

    /// Marks a slice as most urgent if its applied table has no usable endpoint.
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

    /// Returns true if a replica should be withdrawn. A replica that must be evacuated is withdrawn. An ejected
    /// one is withdrawn only once all its slices have another owner, because an ejected owner is better than none.
    /// A replica that has recovered stays withdrawn until no table names it, because otherwise it would get its
    /// old slices back with cold caches. Under single writer no replica is withdrawn; requests are held back
    /// instead.
    fn should_be_withdrawn(&self, id: ReplicaId, replica: &Replica) -> bool {
        if self.deployment.single_writer {
            return false;
        }
        let is_in_any_table = !replica.slices.is_empty();
        if self.must_be_evacuated(replica) {
            return is_in_any_table || (replica.withdrawn && !replica.is_removable(self.now));
        }
        let is_owner = |slice: &SliceId| self.slices[slice].table.owners().any(|owner| owner == id);
        let owns_slices = || replica.slices.iter().any(is_owner);
        if self.is_ejected(replica) {
            (replica.withdrawn || is_in_any_table) && !owns_slices()
        } else {
            replica.withdrawn && is_in_any_table && !owns_slices()
        }
    }
}
