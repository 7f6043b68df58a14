//! Sweeps of the number of controllers with a small fleet.

use whinwall_emulator::config::ScenarioConfig;
use whinwall_policy::time::Span;
use whinwall_scale_tests::decisions::{paired_differences, run_all, table, Plan, ScenarioKind, ScenarioRun};

fn plan(kinds: Vec<ScenarioKind>) -> Plan {
    let fleet = ScenarioConfig {
        replicas: 12,
        slices: 60,
        proxies: 20,
        load: 0.4,
        duration: Span::ms(16_000),
        ..ScenarioConfig::small()
    };
    Plan {
        fleet,
        controllers: vec![2, 12],
        subsets: vec![0, 6],
        kinds,
        faults_begin_ms: 8000,
        seeds: vec![1, 2],
    }
}

#[test]
fn each_combination_has_the_same_seeds() {
    let scenarios = plan(ScenarioKind::ALL.to_vec()).scenarios();
    assert_eq!(scenarios.len(), 5 * 2 * 2 * 2);
    for pair in scenarios.chunks(2) {
        assert_eq!([pair[0].seed, pair[1].seed], [1, 2]);
        assert_eq!((pair[0].kind, pair[0].subset), (pair[1].kind, pair[1].subset));
    }
}

#[test]
fn sweep_is_deterministic_and_violates_no_rule() {
    let plan = plan(vec![ScenarioKind::Replaced, ScenarioKind::Zone]);
    let (first, second) = (run_all(&plan, 2).unwrap(), run_all(&plan, 1).unwrap());
    let outcomes = |runs: &[ScenarioRun]| runs.iter().map(|run| run.outcome.clone()).collect::<Vec<_>>();
    assert!(outcomes(&first) == outcomes(&second), "two runs of the same plan differ");
    for run in &first {
        assert!(
            run.outcome.violation_counts.is_empty(),
            "{:?}: {:?}",
            run.scenario,
            run.outcome.violations.first()
        );
        assert!(run.outcome.requests > 0 && run.outcome.migrations > 0);
    }
    let text = table(&first);
    assert_eq!(text.lines().count(), 2 + 2 * 2 * 2, "{text}");
    assert!(text.contains("| replaced | subsets of 6 | 12 | 2 |"), "{text}");
    let differences = paired_differences(&first, 2);
    assert_eq!(differences.lines().count(), 2 + 2 * 3, "{differences}");
}
