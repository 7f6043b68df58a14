//! Recovery of the list and of withdrawals.

use crate::api::Action;
use crate::state::controller::ControllerState;
use crate::state::slice::Priority;
use crate::time::{Moment, Span};

/// So much of the grace a withdrawal waits that is said again to proxies that joined: for others that join.
pub(crate) const REPEAT_WITHDRAWAL_GRACE_SHARE: f64 = 0.25;
pub(crate) const LIST_RETRY_BACKOFF: Span = Span::ms(1500);

impl ControllerState {
    /// Requests the list again after a pause; drawn, so that controllers whose requests failed together spread.
    pub(crate) fn schedule_list_retry(&mut self, now: Moment) {
        let pause = LIST_RETRY_BACKOFF.times(1.0 + self.random.draw());
        self.deadlines.list_request = (!self.deployment.list_pushed).then_some(now + pause);
    }

    pub(crate) fn request_list(&mut self) -> bool {
        let due = self.deadlines.list_request.take_if(|at| *at <= self.now);
        self.actions.extend(due.map(|_| Action::RequestReplicaList));
        due.is_some()
    }

    /// One line a replica shuts it out of all tables, and who stands by takes over, long before each table is
    /// written anew (rule 3); the oldest first, or what joiners have to hear again starves what nobody heard.
    /// Lifting waits a round for whoever joins late, and never fills the channel; until then it is not used.
    pub(crate) fn send_withdrawals(&mut self) -> bool {
        let lifts = self.reinstatements_are_due() && self.has_channel_room(1.0, Priority::Calm);
        let due =
            self.pending_withdrawals.iter().filter(|(_, at)| **at <= self.now).min_by_key(|(_, at)| **at);
        let shut = due
            .filter(|_| self.has_channel_room(1.0, Priority::NoEndpoint))
            .map(|(id, _)| Action::Withdraw { replica: *id });
        let lift = || {
            self.pending_reinstatements.first().filter(|_| lifts).map(|id| Action::Reinstate { replica: *id })
        };
        let Some(step) = shut.or_else(lift) else { return false };
        self.add_lines(1.0);
        self.note_withdrawal(&step);
        self.actions.push(step);
        true
    }
}
