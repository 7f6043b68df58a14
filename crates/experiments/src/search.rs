//! The worst of random scenarios, and the fewest and shortest faults that still show it.

use rayon::prelude::*;
use whinwall_emulator::config::ScenarioConfig;
use whinwall_emulator::fault::Fault;
use whinwall_emulator::policy::Policy;
use whinwall_emulator::random_faults::random_faults;
use whinwall_emulator::scenario::{run_scenario, Outcome};
use whinwall_policy::time::Span;

/// What a violated rule adds to the badness: more than any loss of service.
const VIOLATION_BADNESS: f64 = 10.0;
/// Faults are not shortened below this.
const MIN_DURATION: Span = Span::ms(500);

/// A scenario that was played.
#[derive(Clone, Debug, PartialEq)]
pub struct RatedScenario {
    /// Its seed.
    pub seed: u64,
    /// Its faults.
    pub faults: Vec<Fault>,
    /// How bad it is: the lost service level, and more for a violated rule.
    pub badness: f64,
    /// Its figures.
    pub outcome: Outcome,
}

fn badness(outcome: &Outcome) -> f64 {
    let has_violations = !outcome.violation_counts.is_empty();
    1.0 - outcome.service_level + VIOLATION_BADNESS * f64::from(u8::from(has_violations))
}

fn rate(config: &ScenarioConfig, seed: u64, faults: Vec<Fault>) -> RatedScenario {
    let outcome = run_scenario(config, Policy::Controlled, &faults, seed);
    RatedScenario { seed, faults, badness: badness(&outcome), outcome }
}

/// Which random scenarios are searched.
#[derive(Clone, Copy, Debug)]
pub struct SearchSpace {
    /// The first seed.
    pub first_seed: u64,
    /// The number of scenarios.
    pub scenarios: u64,
    /// The number of faults of each.
    pub faults: usize,
}

/// Finds the worst scenario; `on_played` is called after each. None of no scenarios.
pub fn find_worst(
    config: &ScenarioConfig,
    space: SearchSpace,
    on_played: impl Fn() + Sync,
) -> Option<RatedScenario> {
    let seeds = space.first_seed..space.first_seed + space.scenarios;
    let rated = seeds.into_par_iter().map(|seed| {
        let rated = rate(config, seed, random_faults(seed, space.faults, config));
        on_played();
        rated
    });
    // Among equals the least seed, whichever thread was first.
    rated.max_by(|one, other| one.badness.total_cmp(&other.badness).then(other.seed.cmp(&one.seed)))
}

/// Removes and shortens faults as long as the scenario stays nearly as bad: it keeps this fraction of its badness
/// beyond that of a scenario without faults.
pub fn shrink(config: &ScenarioConfig, worst: &RatedScenario, kept_fraction: f64) -> RatedScenario {
    let baseline = rate(config, worst.seed, Vec::new()).badness;
    let least_badness = baseline + (worst.badness - baseline) * kept_fraction;
    let mut best = worst.clone();
    loop {
        let candidates = smaller_candidates(&best.faults);
        let rated = candidates.into_par_iter().map(|faults| rate(config, best.seed, faults));
        match rated.find_first(|rated| rated.badness >= least_badness) {
            Some(smaller) => best = smaller,
            None => return best,
        }
    }
}

/// The next smaller sets: one fault less, or one of them half as long.
fn smaller_candidates(faults: &[Fault]) -> Vec<Vec<Fault>> {
    let without = (0..faults.len()).map(|index| {
        let mut fewer = faults.to_vec();
        fewer.remove(index);
        fewer
    });
    let is_long = |index: &usize| faults[*index].duration > MIN_DURATION;
    let shorter = (0..faults.len()).filter(is_long).map(|index| {
        let mut shorter = faults.to_vec();
        shorter[index].duration = Span::ms(faults[index].duration.as_ns() / 2_000_000);
        shorter
    });
    without.chain(shorter).collect()
}
