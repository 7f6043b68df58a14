//! When a call that failed is made again: no clock and no socket here, so that it can be tested closely.

use whinwall_policy::random::Random;
use whinwall_policy::time::Span;

pub const FIRST: Span = Span::ms(100);
pub const LONGEST: Span = Span::ms(3000);

/// Pauses that double up to a bound, each drawn from its upper half: several who failed together do not come
/// again together.
pub struct Repeats {
    random: Random,
    within: Span,
    pause: Span,
}

impl Repeats {
    pub fn new(within: Span, seed: u64) -> Self {
        Repeats { random: Random::from_seed(seed), within, pause: FIRST }
    }

    /// How long to wait before the next attempt, so much time having gone by since the first began; none
    /// where it would begin too late.
    pub fn next(&mut self, gone: Span) -> Option<Span> {
        let wait = self.pause.times(0.5 + 0.5 * self.random.draw());
        self.pause = (self.pause + self.pause).min(LONGEST);
        (gone + wait <= self.within).then_some(wait)
    }
}
