//! Recovery after a failure: the replica list is requested again, withdrawals are sent again or ended.
//!
//! This prevents a stale replica list after its subscription has ended, and replicas that stay withdrawn
//! permanently because the incarnation that withdrew them was killed.

use crate::api::Action;
use crate::state::controller::ControllerState;
use crate::state::pending_slices::Priority;
use crate::time::{Moment, Span};

/// The delay before a withdrawal is sent again to proxies that joined, as a share of the drain grace period: more
/// proxies may join meanwhile.
pub(crate) const REPEAT_WITHDRAWAL_GRACE_SHARE: f64 = 0.25;
/// The minimum backoff before a failed request for the list is retried; the maximum is twice this.
const LIST_RETRY_BACKOFF: Span = Span::ms(1500);

impl ControllerState {
    /// Schedules another request for the list after a random backoff, so that controllers whose requests failed
    /// together do not retry together.
    pub(crate) fn schedule_list_retry(&mut self, now: Moment) {
        let backoff = LIST_RETRY_BACKOFF.times(1.0 + self.random.draw());
        self.deadlines.list_request = (!self.deployment.list_pushed).then_some(now + backoff);
    }

    /// Requests the replica list once a request is due.
    pub(crate) fn request_list(&mut self) -> bool {
        let due = self.deadlines.list_request.take_if(|at| *at <= self.now);
        self.actions.extend(due.map(|_| Action::RequestReplicaList));
        due.is_some()
    }

    /// Sends the withdrawal that has been due for longest; otherwise withdrawals repeated for joining proxies
    /// would starve those that were never sent. If no withdrawal is due, sends one reinstatement, which waits for
    /// proxies that join late and uses only the room of normal commands.
    pub(crate) fn send_withdrawals(&mut self) -> bool {
        let Some(action) = self.next_withdrawal().or_else(|| self.next_reinstatement()) else { return false };
        self.add_lines(1.0);
        self.record_withdrawal(&action);
        self.actions.push(action);
        true
    }

    fn next_withdrawal(&self) -> Option<Action> {
        // Checked before the search: the rules run after each event, and the channel may be full for seconds.
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
