//! The choice of lines within a byte budget, and the configuration's bounds.

mod virtual_fleet;

use virtual_fleet::{member, moment};
use whinwall_aggregation::budget::{choose, Candidate};
use whinwall_aggregation::configuration::{Configuration, ConfigurationError, ControllerMember};
use whinwall_aggregation::wire;
use whinwall_subsetting::Parameters;

fn candidate(bytes: usize, begins_ms: f64, change: f64) -> Candidate {
    Candidate { bytes, begins: moment(begins_ms), change }
}

#[test]
fn all_lines_are_sent_where_all_fit() {
    let choice = choose(&[candidate(100, 0.0, 0.0), candidate(100, 1.0, 9.0)], 200, 4);
    assert_eq!((choice.chosen, choice.is_stretched), (vec![0, 1], false));
}

#[test]
fn oldest_lines_get_their_share_and_the_most_changed_the_rest() {
    let all = [
        candidate(100, 5.0, 0.0),
        candidate(100, 1.0, 0.0),
        candidate(100, 9.0, 7.0),
        candidate(100, 8.0, 3.0),
    ];
    let choice = choose(&all, 200, 4);
    assert_eq!((choice.chosen, choice.is_stretched), (vec![1, 2], true));
}

#[test]
fn line_that_does_not_fit_leaves_its_bytes_to_others() {
    let all = [candidate(100, 1.0, 0.0), candidate(150, 9.0, 7.0), candidate(90, 8.0, 3.0)];
    assert_eq!(choose(&all, 200, 4).chosen, vec![0, 2]);
}

#[test]
fn keys_that_always_change_most_starve_no_other() {
    const KEYS: usize = 40;
    const PERIODS: usize = 4;
    // A little over the tenth of all bytes that has to go in each turn.
    const BUDGET: usize = 1_150;
    let mut begins = [0.0; KEYS];
    for turn in 1..=100 {
        let now = f64::from(turn);
        let candidate =
            |key: usize| candidate(90 + key % 10, begins[key], if key < 20 { 100.0 } else { 0.0 });
        let all: Vec<_> = (0..KEYS).map(candidate).collect();
        let choice = choose(&all, BUDGET, PERIODS);
        let bytes: usize = choice.chosen.iter().map(|key| all[*key].bytes).sum();
        assert!(bytes <= BUDGET && choice.is_stretched);
        choice.chosen.into_iter().for_each(|key| begins[key] = now);
        assert!(begins.iter().all(|begins| now - begins <= PERIODS as f64), "turn {turn}: {begins:?}");
    }
}

fn configured(own: &str, bytes: u64, controllers: Vec<ControllerMember>) -> Result<(), ConfigurationError> {
    let aggregators = ["m0".to_string(), "m1".to_string()];
    let parameters = Parameters::new(4).unwrap();
    Configuration::new(own, parameters, bytes, controllers, &aggregators).map(|_| ())
}

#[test]
fn budget_below_one_line_is_an_error() {
    let least = wire::longest_line() + wire::overhead();
    assert_eq!(configured("m0", least as u64, vec![member("g0", &[(0, 1)])]), Ok(()));
    let budget = least - 1;
    let wrong = ConfigurationError::BudgetTooSmall { budget, line: least };
    assert_eq!(configured("m0", budget as u64, vec![member("g0", &[(0, 1)])]), Err(wrong));
}

#[test]
fn members_are_checked() {
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
