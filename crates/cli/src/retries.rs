//! When a failed call is retried: exponential backoff with jitter. It has neither clock nor socket, so that tests can
//! check it exactly.

use whinwall_policy::random::Random;
use whinwall_policy::time::Span;

/// The longest delay before the first retry.
pub const FIRST_RETRY_DELAY: Span = Span::ms(100);
/// The longest delay before any retry.
pub const MAX_RETRY_DELAY: Span = Span::ms(3000);

/// Delays that double up to a limit. Each is drawn from the upper half of its range, so that clients that failed
/// together do not retry together.
pub struct RetrySchedule {
    random: Random,
    time_limit: Span,
    next_delay: Span,
}

impl RetrySchedule {
    /// Retries that begin within the time limit.
    pub fn new(time_limit: Span, seed: u64) -> Self {
        RetrySchedule { random: Random::from_seed(seed), time_limit, next_delay: FIRST_RETRY_DELAY }
    }

    /// The delay before the next attempt, `elapsed` being the time since the first one began; none where the attempt
    /// would begin after the time limit.
    pub fn next_delay(&mut self, elapsed: Span) -> Option<Span> {
        let delay = self.next_delay.times(0.5 + 0.5 * self.random.draw());
        self.next_delay = (self.next_delay + self.next_delay).min(MAX_RETRY_DELAY);
        (elapsed + delay <= self.time_limit).then_some(delay)
    }
}
