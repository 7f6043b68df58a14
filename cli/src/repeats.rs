//! When a call that failed is made again: no clock and no socket here, so that it can be tested closely.

use whinwall::chance::Chance;
use whinwall::time::Span;

const FIRST: Span = Span::ms(100);
const LONGEST: Span = Span::ms(3000);

/// Pauses that double up to a bound, each drawn from its upper half: several who failed together do not come
/// again together.
pub struct Repeats {
    chance: Chance,
    within: Span,
    pause: Span,
}

impl Repeats {
    pub fn new(within: Span, seed: u64) -> Self {
        Repeats { chance: Chance::from_seed(seed), within, pause: FIRST }
    }

    /// How long to wait before the next attempt, so much time having gone by since the first began; none
    /// where it would begin too late.
    pub fn next(&mut self, gone: Span) -> Option<Span> {
        let wait = self.pause.times(0.5 + 0.5 * self.chance.draw());
        self.pause = (self.pause + self.pause).min(LONGEST);
        (gone + wait <= self.within).then_some(wait)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn pauses_grow_to_their_bound_and_end_in_time() {
        let mut repeats = Repeats::new(Span::ms(60_000), 7);
        let (mut gone, mut waits) = (Span::default(), Vec::new());
        while let Some(wait) = repeats.next(gone) {
            waits.push(wait);
            gone = gone + wait;
        }
        assert!(gone <= Span::ms(60_000) && gone > Span::ms(55_000));
        for (n, wait) in waits.iter().enumerate() {
            let most = FIRST.times(f64::from(1u32 << n.min(10))).min(LONGEST);
            assert!(*wait >= most.times(0.5) && *wait <= most, "{n}: {wait:?} of {most:?}");
        }
    }

    #[test]
    fn who_has_no_time_tries_once_and_seeds_part_those_who_fail_together() {
        assert_eq!(Repeats::new(Span::default(), 1).next(Span::default()), None);
        let first = |seed| Repeats::new(Span::ms(1000), seed).next(Span::default());
        assert_ne!(first(1), first(2));
    }
}
