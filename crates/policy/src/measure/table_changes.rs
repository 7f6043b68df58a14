//! Changes of routing tables, and of the load estimates with them.

use crate::api::{ReplicaId, SliceId};
use crate::state::controller::ControllerState;
use crate::state::slice::{Priority, Slice};

impl ControllerState {
    /// Changes a slice's table, and what its replicas carry with it.
    pub(crate) fn change_table(&mut self, n: SliceId, change: impl FnOnce(&mut Slice)) {
        self.apply_load(n, -1.0);
        if let Some(slice) = self.slices.get_mut(&n) {
            change(slice);
            // A replica that only the store knows still has its lines counted.
            let named: Vec<_> = slice.desired.keys().copied().collect();
            named.into_iter().for_each(|id| _ = self.replica_entry(id, None));
        }
        self.apply_load(n, 1.0);
    }

    pub(crate) fn apply_load(&mut self, n: SliceId, sign: f64) {
        let Some(slice) = self.slices.get(&n) else { return };
        for (id, part) in slice.request_shares() {
            if let Some(s) = self.replicas.get_mut(&id) {
                s.load += sign * slice.load * part;
                s.demand += sign * slice.demand * part;
                s.standby_count += if slice.is_standby(&id) { sign } else { 0.0 };
            }
        }
        for id in slice.desired.keys().chain(slice.applied.keys()) {
            if let Some(s) = self.replicas.get_mut(id) {
                _ = if sign > 0.0 { s.slices.insert(n) } else { s.slices.remove(&n) };
            }
        }
        let touched: Vec<_> = slice.desired.keys().copied().collect();
        touched.into_iter().for_each(|id| self.update_rank(id));
    }

    /// Puts one replica's line in place of another's, or adds or takes one away where there is only one of
    /// both, and has the proxies told.
    pub(crate) fn replace_endpoint(
        &mut self,
        n: SliceId,
        from: Option<ReplicaId>,
        to: Option<(ReplicaId, f64)>,
        priority: Priority,
    ) {
        self.change_table(n, |slice| {
            from.map(|id| slice.desired.remove(&id));
            slice.desired.extend(to);
        });
        self.mark_pending(n, priority);
    }

    /// The same, where it is the owners that change.
    pub(crate) fn replace_owner(
        &mut self,
        n: SliceId,
        from: Option<ReplicaId>,
        to: Option<(ReplicaId, f64)>,
        priority: Priority,
    ) {
        self.replace_endpoint(n, from, to, priority);
        self.slices.get_mut(&n).into_iter().for_each(|s| s.settled_at = self.now);
    }
}
