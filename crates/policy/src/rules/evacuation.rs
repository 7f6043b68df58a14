//! Evacuation.

use crate::api::{ReplicaId, SliceId};
use crate::rules::placement::RefugeScope;
use crate::state::controller::ControllerState;
use crate::state::replica::Replica;
use crate::state::slice::{Priority, Slice, HALTED_REDUCTION};
use std::mem::take;

impl ControllerState {
    /// Slices leave, heaviest first, what is gone or draining (rule 3), sick, or cold and sent too much (rule
    /// 4); and one without a line gets one (rule 1).
    pub(crate) fn evacuate(&mut self) -> bool {
        if !take(&mut self.pending_work.evacuation) {
            return false;
        }
        let bad = |s: &Replica| self.must_be_left(s) || self.is_ejected(s);
        let left = self.replicas.iter().filter(|(_, s)| s.withdrawn || bad(s) || self.is_cold(s));
        let left = left.flat_map(|(id, s)| s.slices.iter().map(|n| (*n, Some(*id))));
        let bare = self.slices.iter().filter(|(_, s)| s.desired.is_empty()).map(|(n, _)| (*n, None));
        let mut due: Vec<_> = left.chain(bare).map(|(n, from)| (self.slices[&n].load, n, from)).collect();
        due.sort_by(|a, b| b.0.total_cmp(&a.0));
        for (_, n, from) in due {
            self.evacuate_endpoint(n, from);
        }
        let turns = |(id, s): (&ReplicaId, &Replica)| {
            let (out, meant) =
                (self.should_be_withdrawn(*id, s), s.withdrawn && !self.pending_reinstatements.contains(id));
            (out != meant).then_some((*id, out))
        };
        let turned: Vec<_> = self.replicas.iter().filter_map(turns).collect();
        turned.into_iter().for_each(|(id, out)| self.set_withdrawn(id, out));
        true
    }

    /// Withdrawn is what is lost, and what is sick once all its slices have another place: a sick one is
    /// still better than none (rule 1). One that is well again stays so until no table names it, or it would
    /// get its old slices back cold (rule 4). Where one owner writes, requests are held back instead.
    pub(crate) fn should_be_withdrawn(&self, id: ReplicaId, s: &Replica) -> bool {
        let named = !s.slices.is_empty();
        let wants = |n: &SliceId| self.slices[n].owners().any(|owner| owner == id);
        let spared = || s.slices.iter().any(wants);
        match self.is_ejected(s) {
            _ if self.deployment.single_writer => false,
            _ if self.must_be_left(s) => named || (s.withdrawn && !s.is_forgettable(self.now)),
            true => (s.withdrawn || named) && !spared(),
            false => s.withdrawn && named && !spared(),
        }
    }

    pub(crate) fn evacuate_endpoint(&mut self, n: SliceId, from: Option<ReplicaId>) {
        let (slice, owner) = (&self.slices[&n], from.and_then(|id| self.replicas.get(&id)));
        let need = match owner {
            Some(s) if !self.must_be_left(s) && self.is_ejected(s) => RefugeScope::AnyWarm,
            Some(s) if !self.must_be_left(s) => RefugeScope::WithCapacity,
            _ => RefugeScope::Any,
        };
        let bad = !matches!(need, RefugeScope::WithCapacity);
        let leaves = from.filter(|id| slice.desired.contains_key(id));
        if let Some(id) = leaves.filter(|id| slice.is_standby(id)) {
            // Whoever stands by must be well and warm; a withdrawn one does no harm while orders wait.
            let busy =
                self.pending_slices.first().is_some_and(|(priority, ..)| *priority < Priority::Standby);
            if !busy || owner.is_some_and(|s| !s.withdrawn) {
                let next = self.find_standby(n);
                self.replace_endpoint(n, Some(id), next, Priority::Standby);
            }
        } else if leaves != from {
            // On its way already, but what the proxies hold must not wait among calm orders.
            _ = owner.is_some_and(|s| s.withdrawn || bad).then(|| self.mark_pending(n, Priority::Urgent));
        } else if bad
            || owner.is_some_and(|s| s.demand > self.slow_start_budget(s) * 1.2 && self.may_relieve_cold(s))
        {
            if let Some(to) = self.find_refuge(slice, slice.load, need) {
                self.move_slice(n, from.unwrap_or(to), to, Priority::Urgent);
            }
        }
        let lost = |s: &Replica| s.withdrawn || (self.deployment.single_writer && self.must_be_left(s));
        let open = |id: &ReplicaId| self.replicas.get(id).is_some_and(|s| !lost(s));
        let bare = |s: &Slice| {
            !s.is_fully_applied() && s.applied_reduction != HALTED_REDUCTION && !s.applied.keys().any(open)
        };
        if self.slices.get(&n).is_some_and(bare) {
            self.mark_pending(n, Priority::NoEndpoint);
        }
    }
}
