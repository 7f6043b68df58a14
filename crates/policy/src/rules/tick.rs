//! Ticks.

use crate::api::Action;
use crate::rules::rate_limit::ACK_TIMEOUT;
use crate::state::controller::ControllerState;
use crate::state::schedule::TICK;

impl ControllerState {
    pub(crate) fn start_tick(&mut self) -> bool {
        if self.deadlines.tick > self.now {
            return false;
        }
        self.deadlines.tick = self.now + TICK;
        _ = (self.now - self.channel.last_activity_at > ACK_TIMEOUT)
            .then(|| self.channel.drop_extra_copies());
        self.pending_work.start_tick(self.report_flow);
        true
    }

    pub(crate) fn start_timer(&mut self) -> bool {
        if self.deadlines.timer.is_some() {
            return false;
        }
        (self.timer_token, self.deadlines.timer) = (self.timer_token + 1, Some(self.now + TICK));
        self.actions.push(Action::StartTimer { token: self.timer_token, after: TICK });
        true
    }
}
