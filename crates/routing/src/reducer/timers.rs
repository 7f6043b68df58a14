//! Handles [`Event::InputDrained`](crate::events::Event::InputDrained): fires the due timers, then issues commands.

use super::Reducer;
use crate::events::Effect;
use crate::log_event::LogEvent;
use crate::overrides::Overrides;
use crate::timers::Timer;
use whinwall_policy::time::{Moment, Span};
use whinwall_transport::limits;

/// The fraction of a backoff that is random.
const BACKOFF_JITTER: f64 = 0.5;
/// The program was suspended if it has not drained its input for this time; it does so at each tick of the policy, which
/// are 250 ms apart.
const MAX_DRAIN_GAP: Span = Span::ms(750);

impl Reducer {
    /// Starts a timer after a backoff with jitter.
    pub(super) fn start_after_backoff(&mut self, now: Moment, timer: Timer) {
        let jitter = BACKOFF_JITTER * self.random.draw();
        self.timers.start(now + limits::to_span(limits::RETRY_BACKOFF).times(1.0 - jitter), timer);
    }

    pub(super) fn input_drained(&mut self, now: Moment) {
        self.check_for_suspension(now);
        while let Some(timer) = self.timers.pop_due(now) {
            self.timer_fired(now, timer);
        }
        if self.overrides.as_ref().and_then(Overrides::due_at).is_some_and(|at| at <= now) {
            self.change_overrides(now, |overrides| overrides.manager.tick(now));
        }
        self.update_report_flow(now);
        self.apply_complete_tables(now);
        self.issue_commands(now);
        self.send_next_request(now);
        self.schedule_wake_up();
    }

    /// Reopens the relay watch if the program was suspended. Slices may have been assigned to another controller and back
    /// meanwhile, and the timers would fire before the program has read that.
    fn check_for_suspension(&mut self, now: Moment) {
        let gap = now - std::mem::replace(&mut self.drained_at, now);
        if gap > MAX_DRAIN_GAP && self.settings.deployment.single_writer {
            self.log(LogEvent::Suspended { gap });
            self.open_relay_watch();
        }
    }

    fn timer_fired(&mut self, now: Moment, timer: Timer) {
        match timer {
            Timer::Policy(token) => self.policy.timer_fired(now, token),
            Timer::RelayRequest => self.commands.outbox.end_backoff(),
            Timer::UnsentRelayRequest => self.effects.push(Effect::CancelUnsentRelayRequest),
            Timer::RelayWatch => self.open_relay_watch(),
            Timer::RegistryWatch => self.open_registry_watch(now),
            Timer::RegistryRenewal => self.renew_registry_watch(now),
            Timer::Subsets => self.compute_subsets(now),
        }
    }

    fn schedule_wake_up(&mut self) {
        let overrides = self.overrides.as_ref().and_then(Overrides::due_at);
        let deadlines = [self.timers.next_at(), self.relay.snapshot.tables_complete_at(), overrides];
        self.effects.extend(deadlines.into_iter().flatten().min().map(Effect::WakeAt));
    }
}
