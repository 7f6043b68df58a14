//! Evacuation.

use crate::api::{ReplicaId, SliceId};
use crate::rules::placement::Need;
use crate::state::fleet::Policy;
use crate::state::replica::Replica;
use crate::state::slice::{Priority, Slice, HALTED};
use std::mem::take;

impl Policy {
    /// Slices leave, heaviest first, what is gone or draining (rule 3), sick, or cold and sent too much (rule
    /// 4); and one without a line gets one (rule 1).
    pub(crate) fn flee(&mut self) -> bool {
        if !take(&mut self.agenda.flee) {
            return false;
        }
        let bad = |s: &Replica| self.is_lost(s) || self.is_sick(s);
        let left = self.replicas.iter().filter(|(_, s)| s.shut || bad(s) || self.is_cold(s));
        let left = left.flat_map(|(id, s)| s.lines.iter().map(|n| (*n, Some(*id))));
        let bare = self.slices.iter().filter(|(_, s)| s.wanted.is_empty()).map(|(n, _)| (*n, None));
        let mut due: Vec<_> = left.chain(bare).map(|(n, from)| (self.slices[&n].load, n, from)).collect();
        due.sort_by(|a, b| b.0.total_cmp(&a.0));
        for (_, n, from) in due {
            self.flee_with(n, from);
        }
        let turns = |(id, s): (&ReplicaId, &Replica)| {
            let (out, meant) = (self.should_be_shut(*id, s), s.shut && !self.to_lift.contains(id));
            (out != meant).then_some((*id, out))
        };
        let turned: Vec<_> = self.replicas.iter().filter_map(turns).collect();
        turned.into_iter().for_each(|(id, out)| self.turn(id, out));
        true
    }

    /// Withdrawn is what is lost, and what is sick once all its slices have another place: a sick one is
    /// still better than none (rule 1). One that is well again stays so until no table names it, or it would
    /// get its old slices back cold (rule 4). Where one owner writes, requests are held back instead.
    pub(crate) fn should_be_shut(&self, id: ReplicaId, s: &Replica) -> bool {
        let named = !s.lines.is_empty();
        let wants = |n: &SliceId| self.slices[n].owners().any(|owner| owner == id);
        let spared = || s.lines.iter().any(wants);
        match self.is_sick(s) {
            _ if self.site.single_writer => false,
            _ if self.is_lost(s) => named || (s.shut && !s.is_past(self.now)),
            true => (s.shut || named) && !spared(),
            false => s.shut && named && !spared(),
        }
    }

    pub(crate) fn flee_with(&mut self, n: SliceId, from: Option<ReplicaId>) {
        let (slice, owner) = (&self.slices[&n], from.and_then(|id| self.replicas.get(&id)));
        let need = match owner {
            Some(s) if !self.is_lost(s) && self.is_sick(s) => Need::Escape,
            Some(s) if !self.is_lost(s) => Need::Relief,
            _ => Need::Any,
        };
        let bad = !matches!(need, Need::Relief);
        let leaves = from.filter(|id| slice.wanted.contains_key(id));
        if let Some(id) = leaves.filter(|id| slice.stands_by(id)) {
            // Whoever stands by must be well and warm; a withdrawn one does no harm while orders wait.
            let busy = self.untold.first().is_some_and(|(priority, ..)| *priority < Priority::Spare);
            if !busy || owner.is_some_and(|s| !s.shut) {
                let next = self.stand_in(n);
                self.reline(n, Some(id), next, Priority::Spare);
            }
        } else if leaves != from {
            // On its way already, but what the proxies hold must not wait among calm orders.
            _ = owner.is_some_and(|s| s.shut || bad).then(|| self.tell(n, Priority::Urgent));
        } else if bad || owner.is_some_and(|s| s.press > self.allowance(s) * 1.2 && self.may_relieve(s)) {
            if let Some(to) = self.refuge(slice, slice.load, need) {
                self.hand_over(n, from.unwrap_or(to), to, Priority::Urgent);
            }
        }
        let lost = |s: &Replica| s.shut || (self.site.single_writer && self.is_lost(s));
        let open = |id: &ReplicaId| self.replicas.get(id).is_some_and(|s| !lost(s));
        let bare = |s: &Slice| !s.is_told() && s.cut_held != HALTED && !s.held.keys().any(open);
        if self.slices.get(&n).is_some_and(bare) {
            self.tell(n, Priority::Bare);
        }
    }
}
