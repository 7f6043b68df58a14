//! Replicas that are warming up while other slices come into demand every few seconds. Outcomes are deterministic for a
//! seed.

use whinwall_emulator::config::ScenarioConfig;
use whinwall_emulator::fault::{Fault, FaultKind};
use whinwall_emulator::policy::Policy;
use whinwall_emulator::rules::NO_COLD_OVERLOAD;
use whinwall_emulator::scenario::run_scenario;
use whinwall_policy::random::Random;
use whinwall_policy::time::Span;

/// The number of replicas.
const REPLICAS: usize = 60;
/// The number of slices.
const SLICES: usize = 300;
/// The time at which replicas fail or are replaced.
const DISTURBANCE_MS: u64 = 12_000;
/// The number of slices that are in demand at a time.
const SLICES_IN_DEMAND: usize = 6;
/// The factor by which the demand for such a slice is higher.
const DEMAND_FACTOR: f64 = 30.0;

/// A fleet with five controllers whose requests take a quarter of a second.
fn config() -> ScenarioConfig {
    ScenarioConfig {
        replicas: REPLICAS,
        slices: SLICES,
        proxies: 200,
        controllers: 5,
        duration: Span::ms(50_000),
        load: 0.45,
        cores: 6,
        service_time: Span::ms(250),
        uncached_factor: 2.0,
        keys_per_slice: 25,
        queue_capacity: 40,
        ..ScenarioConfig::small()
    }
}

fn draw_below(random: &mut Random, limit: usize) -> usize {
    (random.draw() * limit as f64) as usize
}

/// One slow replica, and slices that come into demand for four to ten seconds, then others.
fn background_faults(random: &mut Random) -> Vec<Fault> {
    let slow_from = 10_000 + draw_below(random, 10_000) as u64;
    let mut faults =
        vec![Fault::new(slow_from, 30_000, FaultKind::Slow { replica: REPLICAS - 1, factor: 5.0 })];
    let mut starts_after_ms = 4000;
    while starts_after_ms < 44_000 {
        let duration_ms = 4000 + draw_below(random, 6000) as u64;
        for _ in 0..SLICES_IN_DEMAND {
            let kind = FaultKind::HotSlice { slice: draw_below(random, SLICES), factor: DEMAND_FACTOR };
            faults.push(Fault::new(starts_after_ms, duration_ms, kind));
        }
        starts_after_ms += duration_ms;
    }
    faults
}

/// Returns how often rule 4 is violated.
fn count_cold_overloads(faults: &[Fault], seed: u64) -> usize {
    let outcome = run_scenario(&config(), Policy::Controlled, faults, seed);
    outcome.violation_counts.get(&NO_COLD_OVERLOAD).copied().unwrap_or(0)
}

/// Returns the seeds, of those given, with which rule 4 is violated when a fifth of the replicas crash and return.
fn seeds_with_overload_after_crash(seeds: &[u64]) -> Vec<u64> {
    let overloads = |seed: u64| {
        let mut random = Random::from_seed(seed);
        let first = draw_below(&mut random, 40);
        let crash = |replica| Fault::new(DISTURBANCE_MS, 8000, FaultKind::Crash { replica });
        let mut faults: Vec<_> = (first..first + REPLICAS / 5).map(crash).collect();
        faults.extend(background_faults(&mut random));
        count_cold_overloads(&faults, seed)
    };
    seeds.iter().copied().filter(|seed| overloads(*seed) > 0).collect()
}

/// Returns true if rule 4 is violated when three fifths of the replicas are replaced at once.
fn is_overloaded_after_replacement(seed: u64) -> bool {
    let replacement = FaultKind::BatchReplacement { from: 0, to: REPLICAS * 3 / 5 };
    let mut faults = vec![Fault::new(DISTURBANCE_MS, 10_000, replacement)];
    faults.extend(background_faults(&mut Random::from_seed(seed)));
    count_cold_overloads(&faults, seed) > 0
}

#[test]
fn replicas_that_return_after_a_crash_do_not_collapse_when_slices_come_into_demand() {
    let overloaded = seeds_with_overload_after_crash(&[27, 41]);
    assert!(overloaded.is_empty(), "rule 4 is violated with the seeds {overloaded:?}");
}

#[test]
fn replicas_that_replace_most_of_the_fleet_do_not_collapse_when_slices_come_into_demand() {
    assert!(!is_overloaded_after_replacement(14), "rule 4 is violated with seed 14");
}
