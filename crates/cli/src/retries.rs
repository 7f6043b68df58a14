//! The schedule for retries of failed calls: exponential backoff with jitter. It uses neither clock nor socket, so that
//! tests can check it exactly.

use whinwall_policy::random::Random;
use whinwall_policy::time::Span;

/// The upper limit of the delay before the first retry.
pub const FIRST_RETRY_DELAY: Span = Span::ms(100);
/// The upper limit of the delay before any retry.
pub const MAX_RETRY_DELAY: Span = Span::ms(3000);

/// A sequence of delays whose upper limit doubles up to [`MAX_RETRY_DELAY`]. Each delay is drawn from the upper half of
/// its range, so that clients that failed at the same time do not retry at the same time.
pub struct RetrySchedule {
    random: Random,
    time_limit: Span,
    next_max_delay: Span,
}

impl RetrySchedule {
    /// Creates a schedule of retries that start within the time limit.
    pub fn new(time_limit: Span, seed: u64) -> Self {
        RetrySchedule { random: Random::from_seed(seed), time_limit, next_max_delay: FIRST_RETRY_DELAY }
    }

    /// Returns the delay before the next attempt, or `None` if that attempt would start after the time limit. `elapsed`
    /// is the time since the first attempt started.
    pub fn next_delay(&mut self, elapsed: Span) -> Option<Span> {
        let delay = self.next_max_delay.times(0.5 + 0.5 * self.random.draw());
        self.next_max_delay = (self.next_max_delay + self.next_max_delay).min(MAX_RETRY_DELAY);
        (elapsed + delay <= self.time_limit).then_some(delay)
    }
}
