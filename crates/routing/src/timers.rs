//! Timers of the reducer.

use std::collections::BTreeSet;
use whinwall_policy::time::Moment;

/// The purpose of a timer. Timers that are due at the same time fire in the order of these variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// A timer of the policy, with its token.
    Policy(u64),
    /// The backoff of relay requests ends.
    RelayRequest,
    /// The relay request in flight must no longer be sent, if it still waits for a connection.
    UnsentRelayRequest,
    /// The relay watch is reopened.
    RelayWatch,
    /// The registry watch is reopened.
    RegistryWatch,
    /// The registry watch has reported no change for `limits::REGISTRY_RENEWAL_INTERVAL`; a second one is opened to
    /// replace it.
    RegistryRenewal,
    /// Subsets are computed from the current registry.
    Subsets,
}

/// The running timers, in the order in which they fire.
#[derive(Default)]
pub(crate) struct Timers(BTreeSet<(Moment, Timer)>);

impl Timers {
    pub fn start(&mut self, at: Moment, timer: Timer) {
        self.0.insert((at, timer));
    }

    /// Cancels all timers for this purpose.
    pub fn cancel(&mut self, timer: Timer) {
        self.0.retain(|(_, running)| *running != timer);
    }

    /// The time at which the first timer for this purpose is due.
    pub fn due_at(&self, timer: Timer) -> Option<Moment> {
        self.0.iter().find(|(_, running)| *running == timer).map(|(at, _)| *at)
    }

    /// The time at which the next timer is due.
    pub fn next_at(&self) -> Option<Moment> {
        self.0.first().map(|(at, _)| *at)
    }

    /// Removes and returns the next timer that is due.
    pub fn pop_due(&mut self, now: Moment) -> Option<Timer> {
        let (_, timer) = self.0.first().copied().filter(|(at, _)| *at <= now)?;
        self.0.pop_first();
        Some(timer)
    }
}
