//! Notices to observers about replicas that are warming up.

use crate::api::{Action, ReplicaId, SliceId, SlowStartBasis};
use crate::state::controller::ControllerState;

impl ControllerState {
    /// Returns the owners of a slice that are warming up.
    pub(crate) fn cold_owners(&self, id: SliceId) -> Vec<ReplicaId> {
        let Some(slice) = self.slices.get(&id) else { return Vec::new() };
        let cold = self.owners(slice).filter(|(_, replica)| self.is_warming_up(replica));
        cold.map(|(owner, _)| owner).collect()
    }

    /// Reports to observers which replicas have become owners of a slice while warming up.
    pub(crate) fn report_cold_owners(&mut self, id: SliceId, previous: &[ReplicaId]) {
        let added: Vec<_> =
            self.cold_owners(id).into_iter().filter(|owner| !previous.contains(owner)).collect();
        let reports: Vec<_> = added
            .into_iter()
            .filter_map(|replica| {
                let basis = self.slow_start_basis(id, replica)?;
                Some(Action::ColdReplicaAssigned { replica, slice: id, basis })
            })
            .collect();
        self.actions.extend(reports);
    }

    fn slow_start_basis(&self, id: SliceId, owner: ReplicaId) -> Option<SlowStartBasis> {
        let slice = self.slices.get(&id)?;
        let replica = self.replicas.get(&owner)?;
        let global_reduction = self.global_admission.applied.unwrap_or_default();
        Some(SlowStartBasis {
            age: self.now - replica.running_since.unwrap_or_default(),
            slice_demand: slice.demand,
            reduction: slice.applied_reduction.max(global_reduction),
            owners: slice.table.owners().count(),
            granted_for: self.now - slice.granted_at,
            replica_demand: replica.demand,
            budget: self.slow_start_budget(replica),
        })
    }

    /// Reports to observers the replicas that have begun to exceed their slow-start budgets.
    pub(crate) fn report_over_budget(&mut self) {
        let budgets: Vec<f64> =
            self.replicas.values().map(|replica| self.slow_start_budget(replica)).collect();
        for ((id, replica), budget) in self.replicas.iter_mut().zip(budgets) {
            let demand = replica.demand;
            let exceeds = Self::exceeds_budget(replica, budget);
            if exceeds && !replica.exceeds_budget {
                self.actions.push(Action::ColdReplicaOverBudget { replica: *id, demand, budget });
            }
            replica.exceeds_budget = exceeds;
        }
    }
}
