//! Ticks: work that covers the whole fleet is done once per tick.

use crate::api::Action;
use crate::rules::rate_limit::ACK_TIMEOUT;
use crate::state::controller::ControllerState;
use crate::state::schedule::TICK_PERIOD;

impl ControllerState {
    /// Starts a tick once it is due, so that the whole fleet is not processed for each report line.
    pub(crate) fn start_tick(&mut self) -> bool {
        if self.deadlines.tick > self.now {
            return false;
        }
        self.deadlines.tick = self.now + TICK_PERIOD;
        self.channel.drop_lost_copies(self.now - ACK_TIMEOUT);
        if self.channel.ack_silence(self.now) > ACK_TIMEOUT {
            self.channel.drop_extra_copies();
        }
        self.pending_work.start_tick(self.reporting.flow);
        true
    }

    /// Starts a timer if none is pending, so that the rules also run if no event arrives.
    pub(crate) fn start_timer(&mut self) -> bool {
        if self.deadlines.timer.is_some() {
            return false;
        }
        self.timer_token += 1;
        self.deadlines.timer = Some(self.now + TICK_PERIOD);
        self.actions.push(Action::StartTimer { token: self.timer_token, after: TICK_PERIOD });
        true
    }
}
