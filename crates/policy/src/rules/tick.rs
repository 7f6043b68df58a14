//! Ticks.

use crate::api::Action;
use crate::rules::rate_limit::NO_ACKS;
use crate::state::fleet::Policy;
use crate::state::schedule::BEAT;

impl Policy {
    pub(crate) fn beat(&mut self) -> bool {
        if self.due.beat > self.now {
            return false;
        }
        self.due.beat = self.now + BEAT;
        _ = (self.now - self.channel.heard > NO_ACKS).then(|| self.channel.drop_copies());
        self.agenda.open(self.report_flow);
        true
    }

    pub(crate) fn set_wake(&mut self) -> bool {
        if self.due.wake.is_some() {
            return false;
        }
        (self.token, self.due.wake) = (self.token + 1, Some(self.now + BEAT));
        self.actions.push(Action::StartTimer { token: self.token, after: BEAT });
        true
    }
}
