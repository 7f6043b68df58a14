//! What is to be done at a later time.

use std::collections::BTreeSet;
use whinwall_policy::time::Moment;

/// What a timer is for. Of timers that are due at the same time, those further up come first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// A timer of the policy, with its token.
    Policy(u64),
    /// The backoff of relay requests ends.
    RelayRequest,
    /// The relay watch is opened again.
    RelayWatch,
    /// The registry watch is opened again.
    RegistryWatch,
    /// The registry watch has reported no change for a while, and is opened anew beside itself.
    RegistryRenewal,
    /// Subsets are computed for the registry as it is by then.
    Subsets,
}

/// The timers that run.
#[derive(Default)]
pub(crate) struct Timers(BTreeSet<(Moment, Timer)>);

impl Timers {
    pub fn start(&mut self, at: Moment, timer: Timer) {
        self.0.insert((at, timer));
    }

    /// Stops all timers for this purpose.
    pub fn cancel(&mut self, timer: Timer) {
        self.0.retain(|(_, running)| *running != timer);
    }

    /// When the first timer for this purpose is due.
    pub fn due_at(&self, timer: Timer) -> Option<Moment> {
        self.0.iter().find(|(_, running)| *running == timer).map(|(at, _)| *at)
    }

    /// When the next timer is due.
    pub fn next_at(&self) -> Option<Moment> {
        self.0.first().map(|(at, _)| *at)
    }

    /// Stops and returns the next timer that is due.
    pub fn pop_due(&mut self, now: Moment) -> Option<Timer> {
        let (_, timer) = self.0.first().copied().filter(|(at, _)| *at <= now)?;
        self.0.pop_first();
        Some(timer)
    }
}
