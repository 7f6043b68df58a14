//! The day that does worst, and the least that still shows it.

use rayon::prelude::*;
use whinwall_emulator::config::ScenarioConfig;
use whinwall_emulator::fault::Fault;
use whinwall_emulator::policy::Policy;
use whinwall_emulator::random_faults::random_faults;
use whinwall_emulator::scenario::{play, Outcome};
use whinwall_policy::time::Span;

/// How bad a day is: a broken rule is worse than any loss of service.
#[derive(Clone, Debug, PartialEq)]
pub struct Found {
    pub seed: u64,
    pub troubles: Vec<Fault>,
    pub badness: f64,
    pub day: Outcome,
}

fn badness(day: &Outcome) -> f64 {
    1.0 - day.service_level + 10.0 * f64::from(u8::from(!day.violation_counts.is_empty()))
}

fn found(sizes: &ScenarioConfig, seed: u64, troubles: Vec<Fault>) -> Found {
    let day = play(sizes, Policy::Controlled, &troubles, seed);
    Found { seed, troubles, badness: badness(&day), day }
}

/// Of so many drawn days the worst; `played` is told of each.
pub fn worst(
    sizes: &ScenarioConfig,
    many: usize,
    days: u64,
    from: u64,
    played: impl Fn() + Sync,
) -> Option<Found> {
    let plays = (from..from + days).into_par_iter().map(|seed| {
        let found = found(sizes, seed, random_faults(seed, many, sizes));
        played();
        found
    });
    // The least seed of equals, whichever thread was first.
    plays.max_by(|a, b| a.badness.total_cmp(&b.badness).then(b.seed.cmp(&a.seed)))
}

/// Takes away and shortens whatever can go with the day staying nearly as bad: a part of its badness over
/// that of a calm day that must be left.
pub fn shrink(sizes: &ScenarioConfig, found_first: &Found, keep: f64) -> Found {
    let calm = found(sizes, found_first.seed, Vec::new()).badness;
    let least = calm + (found_first.badness - calm) * keep;
    let mut best = found_first.clone();
    loop {
        let attempts = candidates(&best.troubles);
        let smaller = attempts.into_par_iter().map(|troubles| found(sizes, best.seed, troubles));
        let smaller = smaller.find_first(|found| found.badness >= least);
        match smaller {
            Some(smaller) => best = smaller,
            None => return best,
        }
    }
}

/// The next smaller sets: one trouble less, or one of them half as long.
fn candidates(troubles: &[Fault]) -> Vec<Vec<Fault>> {
    let without = (0..troubles.len()).map(|at| {
        let mut fewer = troubles.to_vec();
        fewer.remove(at);
        fewer
    });
    let shorter = (0..troubles.len()).filter(|at| troubles[*at].duration > Span::ms(500)).map(|at| {
        let mut shorter = troubles.to_vec();
        shorter[at].duration = Span::ms(troubles[at].duration.as_ns() / 2_000_000);
        shorter
    });
    without.chain(shorter).collect()
}
