//! Withdrawals and reinstatements of replicas; keeps the queue and the replicas' records consistent.

use crate::api::{Action, ReplicaId};
use crate::state::controller::ControllerState;
use crate::state::replica::Replica;
use crate::time::Moment;

impl ControllerState {
    /// Returns the replica's record, creating it if necessary. A replica that is named for the first time and did
    /// not start during this incarnation may still be withdrawn, by an earlier incarnation, at proxies that have
    /// already joined.
    pub(crate) fn replica_entry(&mut self, id: ReplicaId, started: Option<Moment>) -> &mut Replica {
        let predates_incarnation = started.is_none_or(|at| at < self.started_at);
        let may_be_withdrawn = self.may_have_earlier_withdrawals()
            && !self.proxies.applied_until.is_empty()
            && predates_incarnation;
        if may_be_withdrawn && !self.replicas.contains_key(&id) {
            self.withdrawals.reinstatements.insert(id);
            let reinstate_at = self.now + self.deployment.report_period;
            self.deadlines.reinstatement = self.deadlines.reinstatement.or(Some(reinstate_at));
        }
        self.replicas.entry(id).or_insert_with(Replica::new_unlisted)
    }

    /// Returns true if earlier incarnations may have withdrawn replicas. Replicas are never withdrawn under single
    /// writer.
    pub(crate) fn may_have_earlier_withdrawals(&self) -> bool {
        !self.deployment.single_writer
    }

    /// Returns true if reinstatements may be sent. Proxies that join late must have had time to do so. If slices
    /// are distributed among controllers, this controller must own one: without a table of its own its
    /// reinstatements reach no proxy and are never acknowledged.
    pub(crate) fn reinstatements_are_due(&self) -> bool {
        let reaches_proxies = self.deployment.slice_count == 0 || !self.slices.is_empty();
        reaches_proxies && self.deadlines.reinstatement.is_none_or(|at| at <= self.now)
    }

    /// Schedules the withdrawal of a replica from all tables. If its reinstatement has not been sent yet, that is
    /// cancelled instead.
    pub(crate) fn withdraw(&mut self, id: ReplicaId) {
        let Some(replica) = self.replicas.get_mut(&id) else { return };
        let is_still_withdrawn = self.withdrawals.reinstatements.remove(&id) && replica.withdrawn;
        replica.withdrawn = true;
        replica.was_ever_withdrawn = true;
        if !is_still_withdrawn {
            self.withdrawals.schedule(id, self.now);
        }
    }

    /// Schedules the reinstatement of a replica. It counts as withdrawn until proxies have been sent the
    /// reinstatement.
    pub(crate) fn reinstate(&mut self, id: ReplicaId) {
        let Some(replica) = self.replicas.get_mut(&id) else { return };
        replica.was_ever_withdrawn = true;
        self.withdrawals.pending.remove(&id);
        self.withdrawals.reinstatements.insert(id);
    }

    /// Records that a withdrawal or reinstatement was sent. Ignores other actions.
    pub(crate) fn record_withdrawal(&mut self, action: &Action) {
        let (Action::Withdraw { replica: id } | Action::Reinstate { replica: id }) = action else { return };
        let is_reinstatement = matches!(action, Action::Reinstate { .. });
        self.withdrawals.pending.remove(id);
        if is_reinstatement {
            self.withdrawals.reinstatements.remove(id);
            let has_remaining = !self.withdrawals.reinstatements.is_empty();
            self.deadlines.reinstatement = self.deadlines.reinstatement.filter(|_| has_remaining);
        }
        if let Some(replica) = self.replicas.get_mut(id) {
            replica.withdrawal_sent_at = self.now;
            replica.withdrawn &= !is_reinstatement;
        }
    }
}
