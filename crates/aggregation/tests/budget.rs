//! Selection of lines within the byte budget, and validation of the configuration.

mod virtual_fleet;

use virtual_fleet::{member, moment};
use whinwall_aggregation::budget::{select_lines, Candidate};
use whinwall_aggregation::configuration::{Configuration, ConfigurationError, ControllerMember};
use whinwall_aggregation::wire;
use whinwall_subsetting::Parameters;

fn candidate(bytes: usize, window_start_ms: f64, change: f64) -> Candidate {
    Candidate { bytes, window_start: moment(window_start_ms), change }
}

#[test]
fn all_lines_are_sent_if_they_fit() {
    let selection = select_lines(&[candidate(100, 0.0, 0.0), candidate(100, 1.0, 9.0)], 200, 4);
    assert_eq!((selection.selected, selection.is_over_budget), (vec![0, 1], false));
}

#[test]
fn oldest_lines_are_selected_first_and_then_the_most_changed() {
    let all = [
        candidate(100, 5.0, 0.0),
        candidate(100, 1.0, 0.0),
        candidate(100, 9.0, 7.0),
        candidate(100, 8.0, 3.0),
    ];
    let selection = select_lines(&all, 200, 4);
    assert_eq!((selection.selected, selection.is_over_budget), (vec![1, 2], true));
}

#[test]
fn line_that_does_not_fit_is_skipped_and_smaller_ones_are_sent() {
    let all = [candidate(100, 1.0, 0.0), candidate(150, 9.0, 7.0), candidate(90, 8.0, 3.0)];
    assert_eq!(select_lines(&all, 200, 4).selected, vec![0, 2]);
}

#[test]
fn keys_with_large_changes_do_not_starve_others() {
    const KEYS: usize = 40;
    const PERIODS: usize = 4;
    // Slightly more than the quarter of all bytes that must be sent in each batch.
    const BUDGET: usize = 1_150;
    let mut last_sent = [0.0; KEYS];
    for batch in 1..=100 {
        let now = f64::from(batch);
        let candidate =
            |key: usize| candidate(90 + key % 10, last_sent[key], if key < 20 { 100.0 } else { 0.0 });
        let all: Vec<_> = (0..KEYS).map(candidate).collect();
        let selection = select_lines(&all, BUDGET, PERIODS);
        let bytes: usize = selection.selected.iter().map(|key| all[*key].bytes).sum();
        assert!(bytes <= BUDGET && selection.is_over_budget);
        selection.selected.into_iter().for_each(|key| last_sent[key] = now);
        assert!(
            last_sent.iter().all(|last_sent| now - last_sent <= PERIODS as f64),
            "batch {batch}: {last_sent:?}"
        );
    }
}

fn configured(own: &str, bytes: u64, controllers: Vec<ControllerMember>) -> Result<(), ConfigurationError> {
    let aggregators = ["m0".to_string(), "m1".to_string()];
    let parameters = Parameters::new(4).unwrap();
    Configuration::new(own, parameters, bytes, controllers, &aggregators).map(|_| ())
}

#[test]
fn budget_below_one_line_is_an_error() {
    let min_budget = wire::longest_line_bytes() + wire::overhead_bytes();
    assert_eq!(configured("m0", min_budget as u64, vec![member("g0", &[(0, 1)])]), Ok(()));
    let budget = min_budget - 1;
    let too_small = ConfigurationError::BudgetTooSmall { budget, line: min_budget };
    assert_eq!(configured("m0", budget as u64, vec![member("g0", &[(0, 1)])]), Err(too_small));
}

#[test]
fn invalid_members_are_rejected() {
    let absent = configured("m7", 27_000, vec![member("g0", &[(0, 1)])]);
    assert_eq!(absent, Err(ConfigurationError::OwnNameAbsent("m7".into())));
    let slices = configured("m0", 27_000, vec![member("g0", &[])]);
    assert_eq!(slices, Err(ConfigurationError::SlicesMissing("g0".into())));
    let reversed = configured("m0", 27_000, vec![member("g0", &[(4, 2)])]);
    assert_eq!(reversed, Err(ConfigurationError::SlicesReversed("g0".into(), 4, 2)));
    let many = configured("m0", 27_000, vec![member("g0", &[(0, 65_536)])]);
    assert_eq!(many, Err(ConfigurationError::TooManySlices(65_537)));
    let twice = configured("m0", 27_000, vec![member("g0", &[(0, 1)]), member("g0", &[(0, 1)])]);
    assert!(matches!(twice, Err(ConfigurationError::Controllers(_))), "{twice:?}");
    let none = configured("m0", 27_000, vec![]);
    assert!(matches!(none, Err(ConfigurationError::Controllers(_))), "{none:?}");
}
