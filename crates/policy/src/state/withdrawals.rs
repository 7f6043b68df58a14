//! The queue of withdrawals of replicas from all routing tables, and of their ends.

use crate::api::ReplicaId;
use crate::time::Moment;
use std::collections::{BTreeMap, BTreeSet};

/// Withdrawals and reinstatements that are still to be sent.
#[derive(Default)]
pub(crate) struct Withdrawals {
    /// Replicas to be withdrawn, and from when on.
    pub pending: BTreeMap<ReplicaId, Moment>,
    /// Replicas to be reinstated.
    pub reinstatements: BTreeSet<ReplicaId>,
}

impl Withdrawals {
    /// Has a replica withdrawn; of two moments the earlier one counts.
    pub(crate) fn schedule(&mut self, id: ReplicaId, at: Moment) {
        let due_at = self.pending.entry(id).or_insert(at);
        *due_at = at.min(*due_at);
    }

    /// The withdrawal that has been due for longest.
    pub(crate) fn next_due(&self, now: Moment) -> Option<ReplicaId> {
        let due = self.pending.iter().filter(|(_, at)| **at <= now);
        due.min_by_key(|(_, at)| **at).map(|(id, _)| *id)
    }

    /// Whether a withdrawal or reinstatement of the replica is to be sent.
    pub(crate) fn concerns(&self, id: &ReplicaId) -> bool {
        self.pending.contains_key(id) || self.reinstatements.contains(id)
    }
}
