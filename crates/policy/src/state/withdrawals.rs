//! The queue of withdrawals of replicas from all routing tables, and of reinstatements.

use crate::api::ReplicaId;
use crate::time::Moment;
use std::collections::{BTreeMap, BTreeSet};

/// Withdrawals and reinstatements that have not been sent yet.
#[derive(Default)]
pub(crate) struct Withdrawals {
    /// Replicas to be withdrawn, with the time at which the withdrawal is due.
    pub pending: BTreeMap<ReplicaId, Moment>,
    /// Replicas to be reinstated.
    pub reinstatements: BTreeSet<ReplicaId>,
}

impl Withdrawals {
    /// Schedules a withdrawal. If one is already scheduled, the earlier time counts.
    pub(crate) fn schedule(&mut self, id: ReplicaId, at: Moment) {
        let due_at = self.pending.entry(id).or_insert(at);
        *due_at = at.min(*due_at);
    }

    /// Returns the withdrawal with the earliest due time, if it is due.
    pub(crate) fn next_due(&self, now: Moment) -> Option<ReplicaId> {
        let due = self.pending.iter().filter(|(_, at)| **at <= now);
        due.min_by_key(|(_, at)| **at).map(|(id, _)| *id)
    }

    /// Returns true if a withdrawal or reinstatement of the replica is pending.
    pub(crate) fn concerns(&self, id: &ReplicaId) -> bool {
        self.pending.contains_key(id) || self.reinstatements.contains(id)
    }
}
