//! The limit on messages to each proxy within a window of time.

use crate::time::{Moment, Span};
use std::collections::VecDeque;

/// A message counts until the end of the period in which it was sent has left the window: proxies receive messages
/// with varying delays.
const COUNT_RESOLUTION: Span = Span::ms(500);
/// Messages below the limit that are never sent, because the relay may deliver two windows of messages closer together
/// than they were sent.
const UNUSED_MESSAGES: usize = 1;

/// The messages that count against the limit.
pub(crate) struct MessageBudget {
    /// The number of messages that each proxy may get within the window; `None` if there is no limit.
    limit: Option<usize>,
    window: Span,
    /// The times until which sent messages count, oldest first. Those that have passed are dropped with the next message.
    counted_until: VecDeque<Moment>,
}

impl MessageBudget {
    /// Creates a budget of which nothing is used. A limit of 0 means that there is none.
    pub(crate) fn new(limit: u32, window: Span) -> Self {
        MessageBudget { limit: (limit > 0).then_some(limit as usize), window, counted_until: VecDeque::new() }
    }

    /// Records messages that were sent.
    pub(crate) fn record(&mut self, now: Moment, messages: u32) {
        if self.limit.is_none() {
            return;
        }
        self.counted_until.retain(|until| *until > now);
        let period_end =
            Moment::at_ns((now.elapsed_periods(COUNT_RESOLUTION) + 1) * COUNT_RESOLUTION.as_ns());
        let until = period_end + self.window;
        self.counted_until.extend((0..messages).map(|_| until));
    }

    /// Returns the number of messages that may still be sent within the window if this share of the limit is used.
    pub(crate) fn remaining(&self, now: Moment, share: f64) -> f64 {
        let Some(limit) = self.limit else { return f64::INFINITY };
        limit as f64 * share - self.counted(now).count() as f64
    }

    /// Returns the pause between messages that spreads those that remain of this share of the limit over the time until
    /// the oldest one no longer counts. There is none if no message counts.
    pub(crate) fn spacing(&self, now: Moment, share: f64) -> Span {
        let next_available_in = self.counted(now).next().map_or(Span::default(), |until| until - now);
        let remaining = self.remaining(now, share) - 1.0;
        next_available_in.times(1.0 / remaining.max(1.0))
    }

    /// Returns the shortest interval, at least `interval`, at which messages can be sent without end.
    pub(crate) fn sustainable_interval(&self, interval: Span) -> Span {
        let longest_count = self.window + COUNT_RESOLUTION;
        // While a message is spared, one fewer is available for the interval.
        let messages = self.usable().map_or(f64::INFINITY, |usable| (usable as f64 - 1.0).max(1.0));
        interval.max(longest_count.times(1.0 / messages))
    }

    /// Returns true if this number of messages may be sent now, and one in each `interval` after that, whenever the
    /// earlier ones were sent. Messages that keep to this never use up the limit for a later one, in any order.
    pub(crate) fn sustains(&self, now: Moment, messages: usize, interval: Span) -> bool {
        let Some(usable) = self.usable() else { return true };
        let used = self.counted(now).count() + messages.min(usable);
        let Some(free) = usable.checked_sub(used) else { return false };
        // The next messages use the free ones first, and then each one that no longer counts.
        let mut refills = self.counted(now).enumerate();
        refills.all(|(position, until)| until - now <= interval.times((free + position + 1) as f64))
    }

    fn usable(&self) -> Option<usize> {
        self.limit.map(|limit| limit.saturating_sub(UNUSED_MESSAGES).max(1))
    }

    fn counted(&self, now: Moment) -> impl Iterator<Item = Moment> + '_ {
        self.counted_until.iter().copied().filter(move |until| *until > now)
    }
}
