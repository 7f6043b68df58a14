//! Searches random scenarios for the worst one and reduces it to fewer and shorter faults with a similar effect.

use rayon::prelude::*;
use whinwall_emulator::config::ScenarioConfig;
use whinwall_emulator::fault::Fault;
use whinwall_emulator::policy::Policy;
use whinwall_emulator::random_faults::random_faults;
use whinwall_emulator::scenario::{run_scenario, Outcome};
use whinwall_policy::time::Span;

/// The badness added if any rule is violated: higher than any loss of service, which is at most 1.
const VIOLATION_BADNESS: f64 = 10.0;
/// Faults of this duration or less are not shortened further.
const MIN_SHORTENED_DURATION: Span = Span::ms(500);

/// A scenario that was run, with its badness.
#[derive(Clone, Debug, PartialEq)]
pub struct RatedScenario {
    /// The seed.
    pub seed: u64,
    /// The injected faults.
    pub faults: Vec<Fault>,
    /// The rating: the loss of service level, plus a fixed amount if any rule was violated.
    pub badness: f64,
    /// The results of the run.
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

/// The random scenarios to search.
#[derive(Clone, Copy, Debug)]
pub struct SearchSpace {
    /// The first seed.
    pub first_seed: u64,
    /// The number of scenarios.
    pub scenarios: u64,
    /// The number of faults per scenario.
    pub faults: usize,
}

/// Returns the worst scenario, or `None` if the search space is empty. Calls `on_completed` after each run.
pub fn find_worst(
    config: &ScenarioConfig,
    space: SearchSpace,
    on_completed: impl Fn() + Sync,
) -> Option<RatedScenario> {
    let seeds = space.first_seed..space.first_seed + space.scenarios;
    let rated = seeds.into_par_iter().map(|seed| {
        let rated = rate(config, seed, random_faults(seed, space.faults, config));
        on_completed();
        rated
    });
    // Of equally bad scenarios the lowest seed is taken, so that the result does not depend on thread timing.
    rated.max_by(|left, right| left.badness.total_cmp(&right.badness).then(right.seed.cmp(&left.seed)))
}

/// Removes and shortens faults while the scenario keeps at least `kept_fraction` of its badness above the baseline,
/// which is the badness of the same seed without faults.
pub fn shrink(config: &ScenarioConfig, worst: &RatedScenario, kept_fraction: f64) -> RatedScenario {
    let baseline = rate(config, worst.seed, Vec::new()).badness;
    let min_badness = baseline + (worst.badness - baseline) * kept_fraction;
    let mut smallest = worst.clone();
    loop {
        let candidates = smaller_candidates(&smallest.faults);
        let rated = candidates.into_par_iter().map(|faults| rate(config, smallest.seed, faults));
        match rated.find_first(|rated| rated.badness >= min_badness) {
            Some(smaller) => smallest = smaller,
            None => return smallest,
        }
    }
}

/// Returns the next smaller sets of faults: those with one fault removed, then those with one fault half as long.
fn smaller_candidates(faults: &[Fault]) -> Vec<Vec<Fault>> {
    let with_fault_removed = (0..faults.len()).map(|index| {
        let mut remaining = faults.to_vec();
        remaining.remove(index);
        remaining
    });
    let can_be_shortened = |index: &usize| faults[*index].duration > MIN_SHORTENED_DURATION;
    let with_fault_shortened = (0..faults.len()).filter(can_be_shortened).map(|index| {
        let mut shortened = faults.to_vec();
        shortened[index].duration = Span::ms(faults[index].duration.as_ns() / 2_000_000);
        shortened
    });
    with_fault_removed.chain(with_fault_shortened).collect()
}
