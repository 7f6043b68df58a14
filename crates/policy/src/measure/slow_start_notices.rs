//! Notices to observers about replicas that are warming up.

use crate::api::{Action, ColdReplicaLoad, HeaviestSlice, ReplicaId, SliceId, SlowStartBasis};
use crate::state::controller::ControllerState;
use crate::state::replica::Replica;
use crate::state::slice::Slice;

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
            age: self.age(replica),
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
        let budget_excesses: Vec<_> =
            self.replicas.iter().map(|(id, replica)| self.budget_excess(*id, replica)).collect();
        for (replica, (exceeds_budget, notice)) in self.replicas.values_mut().zip(budget_excesses) {
            replica.exceeds_budget = exceeds_budget;
            self.actions.extend(notice);
        }
    }

    /// Returns true if a replica exceeds its slow-start budget, and the notice if that is new.
    fn budget_excess(&self, id: ReplicaId, replica: &Replica) -> (bool, Option<Action>) {
        let budget = self.slow_start_budget(replica);
        let exceeds_budget = Self::exceeds_budget(replica, budget);
        let is_new = exceeds_budget && !replica.exceeds_budget;
        let load = is_new.then(|| self.cold_replica_load(id, replica, budget));
        (exceeds_budget, load.map(|load| Action::ColdReplicaOverBudget { replica: id, load }))
    }

    fn cold_replica_load(&self, id: ReplicaId, replica: &Replica, budget: f64) -> ColdReplicaLoad {
        ColdReplicaLoad {
            age: self.age(replica),
            demand: replica.demand,
            attempts: replica.attempt_rate,
            budget,
            slices: replica.slices.len(),
            heaviest: self.heaviest_slice(id, replica),
        }
    }

    fn heaviest_slice(&self, owner: ReplicaId, replica: &Replica) -> Option<HeaviestSlice> {
        let demand_there = |slice: &Slice| slice.demand * slice.table.request_share(owner);
        let heaviest = self
            .slices_at(replica)
            .max_by(|(_, one), (_, other)| demand_there(one).total_cmp(&demand_there(other)));
        heaviest.map(|(id, slice)| HeaviestSlice {
            slice: id,
            demand: slice.demand,
            demand_at_change: slice.demand_at_change,
            unchanged_for: self.now - slice.owners_changed_at,
            owners: slice.table.owners().count(),
        })
    }
}
