//! Ticks: what needs a look at the whole fleet is done once in each.

use crate::api::Action;
use crate::rules::rate_limit::ACK_TIMEOUT;
use crate::state::controller::ControllerState;
use crate::state::schedule::TICK_PERIOD;

impl ControllerState {
    /// Starts a tick once it is due. Guards against the cost of a look at the whole fleet for each line of a report.
    pub(crate) fn start_tick(&mut self) -> bool {
        if self.deadlines.tick > self.now {
            return false;
        }
        self.deadlines.tick = self.now + TICK_PERIOD;
        if self.channel.ack_silence(self.now) > ACK_TIMEOUT {
            self.channel.drop_extra_copies();
        }
        self.pending_work.start_tick(self.reporting.flow);
        true
    }

    /// Asks for a timer where none is open. Guards against standing still while no event comes.
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
