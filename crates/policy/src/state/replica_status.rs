//! The status of a replica, derived from its record, the replica list and the time.

use crate::api::{ReplicaId, ReplicaState, SliceId};
use crate::state::controller::ControllerState;
use crate::state::replica::Replica;
use crate::state::slice::Slice;
use crate::time::Span;

/// The time for which the list of an earlier incarnation does not count against replicas missing from it
/// (docs/design.md, Recovery).
const CACHED_LIST_GRACE_PERIOD: Span = Span::ms(5000);

impl ControllerState {
    /// Returns true if the replica's slices must move away even if it still answers. If the list is advisory, a
    /// missing entry may be wrong, so the reports on the replica decide instead.
    pub(crate) fn must_be_evacuated(&self, replica: &Replica) -> bool {
        match replica.state {
            ReplicaState::Draining => true,
            _ if replica.out_of_service => true,
            ReplicaState::Ready if replica.listed => false,
            _ => {
                let list_counts =
                    self.has_fresh_list || self.now - self.started_at > CACHED_LIST_GRACE_PERIOD;
                list_counts && !self.deployment.delisting_is_advisory
            }
        }
    }

    /// Returns true if the replica's process started so recently that its caches are cold.
    pub(crate) fn is_warming_up(&self, replica: &Replica) -> bool {
        replica.running_since.is_some_and(|at| self.now - at < self.deployment.warm_up)
    }

    /// Returns true if the replica is ejected as an outlier.
    pub(crate) fn is_ejected(&self, replica: &Replica) -> bool {
        replica.ejected_until.is_some_and(|until| until > self.now)
    }

    /// Returns true if the replica may own slices of this controller, and thus counts in the averages.
    pub(crate) fn is_usable(&self, replica: &Replica) -> bool {
        let answers_unlisted = self.deployment.delisting_is_advisory && replica.recent_counts.succeeded > 0.0;
        (replica.listed || answers_unlisted)
            && !replica.is_steered_by_others()
            && !replica.withdrawn
            && !replica.out_of_service
            && replica.state != ReplicaState::Draining
            && !self.is_ejected(replica)
    }

    /// Returns true if the replica is usable and not warming up.
    pub(crate) fn is_usable_and_warm(&self, replica: &Replica) -> bool {
        self.is_usable(replica) && !self.is_warming_up(replica)
    }

    /// Returns the number of replicas that `is_counted` returns true for.
    pub(crate) fn count_replicas(&self, is_counted: impl Fn(&Replica) -> bool) -> usize {
        self.replicas.values().filter(|replica| is_counted(replica)).count()
    }

    /// Returns the median of a value over the usable replicas; 0 if there are none.
    pub(crate) fn median_of_usable(&self, value: impl Fn(&Replica) -> f64) -> f64 {
        let usable = self.replicas.values().filter(|replica| self.is_usable(replica));
        let mut values: Vec<f64> = usable.map(value).collect();
        values.sort_by(f64::total_cmp);
        values.get(values.len() / 2).copied().unwrap_or(0.0)
    }

    /// Returns the owners of a slice that have a record.
    pub(crate) fn owners<'a>(&'a self, slice: &'a Slice) -> impl Iterator<Item = (ReplicaId, &'a Replica)> {
        slice.table.owners().filter_map(|id| Some((id, self.replicas.get(&id)?)))
    }

    /// Returns true if the slice is pinned and the pin's replica is its only owner.
    pub(crate) fn is_at_pin(&self, id: SliceId, slice: &Slice) -> bool {
        self.operator_overrides
            .pins
            .get(id)
            .is_some_and(|(replica, _)| slice.table.sole_owner() == Some(replica))
    }

    /// Returns the lowest target latency of all request classes, in seconds.
    pub(crate) fn tightest_target_seconds(&self) -> f64 {
        let targets = self.deployment.request_classes.iter().map(|class| class.target_latency.seconds());
        targets.fold(f64::INFINITY, f64::min)
    }
}
