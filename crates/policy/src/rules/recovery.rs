//! Recovery after a failure: the replica list is requested again, withdrawals are sent again or ended.
//!
//! Guards against a list that is not followed any more, and against replicas that stay withdrawn for good because the
//! incarnation that withdrew them was killed.

use crate::api::Action;
use crate::state::controller::ControllerState;
use crate::state::pending_slices::Priority;
use crate::time::{Moment, Span};

/// How long a withdrawal waits that is sent again to proxies that joined, as a share of the drain grace: more may join.
pub(crate) const REPEAT_WITHDRAWAL_GRACE_SHARE: f64 = 0.25;
/// The least time until a failed request for the list is made again; at most twice that.
const LIST_RETRY_BACKOFF: Span = Span::ms(1500);

impl ControllerState {
    /// Has the list requested again after a random backoff, so that controllers whose requests failed together do not come
    /// again together.
    pub(crate) fn schedule_list_retry(&mut self, now: Moment) {
        let backoff = LIST_RETRY_BACKOFF.times(1.0 + self.random.draw());
        self.deadlines.list_request = (!self.deployment.list_pushed).then_some(now + backoff);
    }

    /// Requests the replica list once that is due.
    pub(crate) fn request_list(&mut self) -> bool {
        let due = self.deadlines.list_request.take_if(|at| *at <= self.now);
        self.actions.extend(due.map(|_| Action::RequestReplicaList));
        due.is_some()
    }

    /// Sends one withdrawal, the one that has been due for longest, or what proxies that join have to be sent again starves
    /// what nobody was sent; else one reinstatement, which waits for proxies that join late and never fills the channel.
    pub(crate) fn send_withdrawals(&mut self) -> bool {
        let Some(action) = self.next_withdrawal().or_else(|| self.next_reinstatement()) else { return false };
        self.add_lines(1.0);
        self.record_withdrawal(&action);
        self.actions.push(action);
        true
    }

    fn next_withdrawal(&self) -> Option<Action> {
        // Asked before the search, as the rules run after each event and a full channel may last for seconds.
        if self.withdrawals.pending.is_empty() || !self.has_channel_room(1.0, Priority::NoEndpoint) {
            return None;
        }
        let replica = self.withdrawals.next_due(self.now)?;
        Some(Action::Withdraw { replica })
    }

    fn next_reinstatement(&self) -> Option<Action> {
        let replica = *self.withdrawals.reinstatements.first()?;
        let may_be_sent = self.reinstatements_are_due() && self.has_channel_room(1.0, Priority::Normal);
        may_be_sent.then_some(Action::Reinstate { replica })
    }
}
