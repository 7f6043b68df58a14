//! Changes of routing tables, and of the load estimates with them.

use crate::api::{ReplicaId, SliceId};
use crate::state::fleet::Policy;
use crate::state::slice::{Priority, Slice};

impl Policy {
    /// Changes a slice's table, and what its replicas carry with it.
    pub(crate) fn retable(&mut self, n: SliceId, change: impl FnOnce(&mut Slice)) {
        self.weigh(n, -1.0);
        if let Some(slice) = self.slices.get_mut(&n) {
            change(slice);
            // A replica that only the store knows still has its lines counted.
            let named: Vec<_> = slice.wanted.keys().copied().collect();
            named.into_iter().for_each(|id| _ = self.replica(id, None));
        }
        self.weigh(n, 1.0);
    }

    pub(crate) fn weigh(&mut self, n: SliceId, sign: f64) {
        let Some(slice) = self.slices.get(&n) else { return };
        for (id, part) in slice.parts() {
            if let Some(s) = self.replicas.get_mut(&id) {
                s.load += sign * slice.load * part;
                s.press += sign * slice.press * part;
                s.standing_by += if slice.stands_by(&id) { sign } else { 0.0 };
            }
        }
        for id in slice.wanted.keys().chain(slice.held.keys()) {
            if let Some(s) = self.replicas.get_mut(id) {
                _ = if sign > 0.0 { s.lines.insert(n) } else { s.lines.remove(&n) };
            }
        }
        let touched: Vec<_> = slice.wanted.keys().copied().collect();
        touched.into_iter().for_each(|id| self.rank(id));
    }

    /// Puts one replica's line in place of another's, or adds or takes one away where there is only one of
    /// both, and has the proxies told.
    pub(crate) fn reline(
        &mut self,
        n: SliceId,
        from: Option<ReplicaId>,
        to: Option<(ReplicaId, f64)>,
        priority: Priority,
    ) {
        self.retable(n, |slice| {
            from.map(|id| slice.wanted.remove(&id));
            slice.wanted.extend(to);
        });
        self.tell(n, priority);
    }

    /// The same, where it is the owners that change.
    pub(crate) fn reshape(
        &mut self,
        n: SliceId,
        from: Option<ReplicaId>,
        to: Option<(ReplicaId, f64)>,
        priority: Priority,
    ) {
        self.reline(n, from, to, priority);
        self.slices.get_mut(&n).into_iter().for_each(|s| s.settled = self.now);
    }
}
