//! Scenarios with subsetting, in which each controller steers a subset of the replicas.

use whinwall_emulator::config::ScenarioConfig;
use whinwall_emulator::fault::{Fault, FaultKind};
use whinwall_emulator::policy::Policy;
use whinwall_emulator::scenario::{run_scenario, Outcome};
use whinwall_policy::time::Span;

fn config(controllers: usize, subset_size: usize) -> ScenarioConfig {
    let duration = Span::ms(30_000);
    ScenarioConfig {
        replicas: 24,
        slices: 132,
        proxies: 40,
        controllers,
        subset_size,
        load: 0.5,
        duration,
        ..ScenarioConfig::small()
    }
}

fn run_controlled(config: &ScenarioConfig, faults: &[Fault], seed: u64) -> Outcome {
    let outcome = run_scenario(config, Policy::Controlled, faults, seed);
    assert!(
        outcome.violation_counts.is_empty(),
        "seed {seed}: {:?} {:?}",
        outcome.violation_counts,
        outcome.violations.first()
    );
    outcome
}

fn batch_replacement() -> Fault {
    Fault::new(10_000, 10_000, FaultKind::BatchReplacement { from: 0, to: 14 })
}

/// Without subsets, the service level drops as the number of controllers grows, because each one has data on
/// its own slices only. With subsets it stays nearly the same.
#[test]
fn many_controllers_with_subsets_serve_nearly_as_well_as_few_without() {
    let mean = |controllers, subset_size| {
        let seeds = 1..=2;
        let served = seeds.map(|seed| {
            run_controlled(&config(controllers, subset_size), &[batch_replacement()], seed).service_level
        });
        served.sum::<f64>() / 2.0
    };
    let (few_controllers, many_controllers, with_subsets) = (mean(5, 0), mean(24, 0), mean(24, 8));
    assert!(
        with_subsets > many_controllers + 0.02,
        "service level {with_subsets} with subsets, {many_controllers} without"
    );
    assert!(
        with_subsets > few_controllers - 0.03,
        "service level {with_subsets} with subsets, {few_controllers} with five controllers"
    );
}

#[test]
fn each_fault_violates_no_rule_with_subsets() {
    let scenarios = [
        Fault::new(10_000, 10_000, FaultKind::HotSlice { slice: 40, factor: 20.0 }),
        Fault::new(10_000, 10_000, FaultKind::Burst { factor: 1.5 }),
        Fault::new(10_000, 5000, FaultKind::ZoneLost { zone: 1 }),
        Fault::new(10_000, 8000, FaultKind::Hang { replica: 3 }),
        Fault::new(10_000, 8000, FaultKind::FastErrors { replica: 3, share: 0.8 }),
        Fault::new(10_000, 4000, FaultKind::ControllersKilled { controllers: 10 }),
    ];
    for (seed, fault) in (1..).zip(scenarios) {
        let outcome = run_controlled(&config(24, 8), std::slice::from_ref(&fault), seed);
        assert!(outcome.service_level > 0.9, "{fault:?}: {}", outcome.service_level);
    }
}

/// An aggregator may lengthen its windows to several seconds. No replica is ejected while its report is pending.
#[test]
fn replicas_with_pending_reports_are_not_ejected() {
    let config = ScenarioConfig { report_window_seconds: 3, ..config(24, 8) };
    let outcome = run_controlled(&config, &[], 1);
    assert_eq!(outcome.ejections, 0);
    assert!(outcome.service_level > 0.98, "{}", outcome.service_level);
}

/// Subsets larger than the fleet, and more controllers than slices.
#[test]
fn extreme_subset_sizes_are_served() {
    for (controllers, subset_size) in [(2, 500), (150, 1), (1, 3)] {
        let config = ScenarioConfig { duration: Span::ms(15_000), ..config(controllers, subset_size) };
        let outcome = run_controlled(&config, &[], 1);
        assert!(
            outcome.service_level > 0.95,
            "{controllers} controllers, subsets of {subset_size} replicas: {}",
            outcome.service_level
        );
    }
}
