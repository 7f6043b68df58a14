//! Changes to desired tables, with corrections of the load estimates of the replicas concerned.

use crate::api::{ReplicaId, SliceId};
use crate::state::controller::ControllerState;
use crate::state::pending_slices::Priority;
use crate::state::routing_table::RoutingTable;

/// The direction in which a slice's load is applied to its replicas.
#[derive(Clone, Copy, PartialEq, Eq)]
enum LoadChange {
    Remove,
    Add,
}

impl LoadChange {
    fn sign(self) -> f64 {
        match self {
            LoadChange::Remove => -1.0,
            LoadChange::Add => 1.0,
        }
    }
}

impl ControllerState {
    /// Changes a slice's table and updates the load of its replicas.
    pub(crate) fn change_table(&mut self, id: SliceId, change: impl FnOnce(&mut RoutingTable)) {
        let previous_cold_owners = self.cold_owners(id);
        self.apply_load(id, LoadChange::Remove);
        if let Some(slice) = self.slices.get_mut(&id) {
            change(&mut slice.table);
            // A replica that only a stored table names needs a record too, so that its slices are counted.
            let named: Vec<_> = slice.table.desired.keys().copied().collect();
            for replica in named {
                self.replica_entry(replica, None);
            }
        }
        self.apply_load(id, LoadChange::Add);
        self.report_cold_owners(id, &previous_cold_owners);
    }

    fn apply_load(&mut self, id: SliceId, change: LoadChange) {
        let Some(slice) = self.slices.get(&id) else { return };
        let sign = change.sign();
        for (replica_id, share) in slice.table.request_shares() {
            if let Some(replica) = self.replicas.get_mut(&replica_id) {
                replica.add_slice_load(replica_id, slice, share, sign);
                replica.standby_count += if slice.table.is_standby(&replica_id) { sign } else { 0.0 };
            }
        }
        for replica_id in slice.table.desired.keys().chain(slice.table.applied.keys()) {
            if let Some(replica) = self.replicas.get_mut(replica_id) {
                match change {
                    LoadChange::Add => replica.slices.insert(id),
                    LoadChange::Remove => replica.slices.remove(&id),
                };
            }
        }
        let named: Vec<_> = slice.table.desired.keys().copied().collect();
        named.into_iter().for_each(|replica_id| self.update_rank(replica_id));
    }

    /// Replaces the endpoint `from` by `to` and marks the slice as pending. Only adds an endpoint if `from` is
    /// `None`, and only removes one if `to` is `None`.
    pub(crate) fn replace_endpoint(
        &mut self,
        id: SliceId,
        from: Option<ReplicaId>,
        to: Option<(ReplicaId, f64)>,
        priority: Priority,
    ) {
        self.change_table(id, |table| table.replace_endpoint(from, to));
        self.mark_pending(id, priority);
    }

    /// Like `replace_endpoint`, but for owners: also restarts the time for which the slice has been settled.
    pub(crate) fn replace_owner(
        &mut self,
        id: SliceId,
        from: Option<ReplicaId>,
        to: Option<(ReplicaId, f64)>,
        priority: Priority,
    ) {
        self.replace_endpoint(id, from, to, priority);
        if let Some(slice) = self.slices.get_mut(&id) {
            slice.settled_at = self.now;
            slice.owners_changed_at = self.now;
            slice.demand_at_change = slice.demand;
        }
    }
}
