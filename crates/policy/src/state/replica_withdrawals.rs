//! Withdrawals and reinstatements of replicas, in the queue and in the replicas' records together.

use crate::api::{Action, ReplicaId};
use crate::state::controller::ControllerState;
use crate::state::replica::Replica;
use crate::time::Moment;

impl ControllerState {
    /// The replica's record. One that is named for the first time, and that did not start during this incarnation, may still
    /// be withdrawn by a former incarnation at proxies that joined before.
    pub(crate) fn replica_entry(&mut self, id: ReplicaId, started: Option<Moment>) -> &mut Replica {
        let is_older = started.is_none_or(|at| at < self.started_at);
        let may_be_withdrawn =
            self.may_have_earlier_withdrawals() && !self.proxies.applied_until.is_empty() && is_older;
        if may_be_withdrawn && !self.replicas.contains_key(&id) {
            self.withdrawals.reinstatements.insert(id);
            let reinstate_at = self.now + self.deployment.report_period;
            self.deadlines.reinstatement = self.deadlines.reinstatement.or(Some(reinstate_at));
        }
        self.replicas.entry(id).or_insert_with(Replica::new_unlisted)
    }

    /// Whether former incarnations may have withdrawn replicas; where slices have a single writer none does.
    pub(crate) fn may_have_earlier_withdrawals(&self) -> bool {
        !self.deployment.single_writer
    }

    /// Whether reinstatements may be sent: time has passed for proxies that join late; and where slices are shared out among
    /// controllers, one is ours, as without a table of ours a reinstatement reaches no proxy and is never acknowledged.
    pub(crate) fn reinstatements_are_due(&self) -> bool {
        let reaches_proxies = self.deployment.slice_count == 0 || !self.slices.is_empty();
        reaches_proxies && self.deadlines.reinstatement.is_none_or(|at| at <= self.now)
    }

    /// Has a replica withdrawn from all tables. Where its reinstatement was not sent yet, that is dropped instead.
    pub(crate) fn withdraw(&mut self, id: ReplicaId) {
        let Some(replica) = self.replicas.get_mut(&id) else { return };
        let is_still_withdrawn = self.withdrawals.reinstatements.remove(&id) && replica.withdrawn;
        replica.withdrawn = true;
        replica.was_ever_withdrawn = true;
        if !is_still_withdrawn {
            self.withdrawals.schedule(id, self.now);
        }
    }

    /// Has a replica's withdrawal ended. Until proxies were sent that, it counts as withdrawn.
    pub(crate) fn reinstate(&mut self, id: ReplicaId) {
        let Some(replica) = self.replicas.get_mut(&id) else { return };
        replica.was_ever_withdrawn = true;
        self.withdrawals.pending.remove(&id);
        self.withdrawals.reinstatements.insert(id);
    }

    /// Notes a withdrawal or reinstatement that was sent; other actions change nothing.
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
