//! A short soak test with fixed seeds. Longer ones are started manually (`whinwall-soak`).

use std::time::Duration;
use whinwall_scale_tests::programs::controller_program;
use whinwall_soak::plan::Plan;
use whinwall_soak::run::run_seed;
use whinwall_soak::unconfirmed_clears::UnconfirmedClears;

const SEEDS: std::ops::Range<u64> = 1..4;
const DURATION: Duration = Duration::from_secs(15);

#[test]
fn same_seed_draws_the_same_rounds() {
    let rounds = |seed| {
        let mut plan = Plan::new(seed);
        (0..50).map(|_| plan.draw_round()).collect::<Vec<_>>()
    };
    assert_eq!(rounds(7), rounds(7));
    assert_ne!(rounds(7), rounds(8));
}

/// A clear that was answered before it was persisted may be repeated after the ended override was removed from the list.
#[test]
fn unknown_override_is_expected_only_after_an_unconfirmed_clear_and_enough_later_ends() {
    let mut clears = UnconfirmedClears::new(1000);
    assert!(!clears.may_be_pruned("a", 5000), "no clear was recorded");
    clears.note("a", 200);
    clears.note("a", 700);
    assert!(!clears.may_be_pruned("a", 1199), "fewer than 1000 overrides have ended since the first clear");
    assert!(clears.may_be_pruned("a", 1200));
    assert!(!clears.may_be_pruned("b", 1200), "no clear of this override was recorded");
}

#[test]
fn program_answers_and_persists_changes_under_signals_kills_and_faults() {
    let program = controller_program().unwrap();
    for seed in SEEDS {
        let report = run_seed(&program, seed, DURATION).unwrap();
        println!("{report}");
        assert!(report.violations.is_empty(), "{report}");
        assert!(
            report.answered > 1000 && report.acknowledged > 10,
            "too few answers or acknowledged overrides: {report}"
        );
    }
}
