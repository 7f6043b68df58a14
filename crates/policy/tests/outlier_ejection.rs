//! Outlier ejection: which replicas are ejected, and which are not.

mod fleet;
mod reports;

use fleet::{site, Fleet};
use reports::{count_ejections, play_reports, policy_with_replicas, reduces_admission, single_writer_site};
use std::collections::BTreeMap;
use whinwall_policy::api::*;

/// Against needless evacuations: every replica but one seems dead at once, and it is our view that is doubted.
#[test]
fn no_replica_is_ejected_when_nearly_all_look_dead() {
    let mut fleet = Fleet::new(site(), 10, 40, 5);
    fleet.advance(8000);
    let before = fleet.store.clone();
    (1..10).for_each(|s| fleet.nodes.get_mut(&s).unwrap().answers = false);
    fleet.advance(6000);
    let kept =
        |(n, t): (&SliceId, &BTreeMap<ReplicaId, f64>)| t.keys().all(|s| fleet.store[n].contains_key(s));
    assert!(before.iter().all(kept));
    (3..10).for_each(|s| fleet.nodes.get_mut(&s).unwrap().answers = true);
    fleet.advance(6000);
    assert!(fleet.store.values().all(|t| !t.contains_key(&1) && !t.contains_key(&2)));
}

/// Against a full replica taken for dead (turnolar's hot key scenario): its load is shed, it is not evacuated.
#[test]
fn replica_that_was_late_before_it_fell_silent_is_shed_not_ejected() {
    let late = |second, s, _| if s == 0 { (if second > 12 { 3.0 } else { 0.0 }, 900) } else { (0.0, 100) };
    let actions = play_reports(&mut policy_with_replicas(single_writer_site(), 6), 1..16, 1, 6, &late);
    assert_eq!(count_ejections(&actions), 0);
    let first = |mask| actions.iter().position(|s| reduces_admission(s, Some(0), mask));
    assert!(first(1).is_some() && first(1) <= first(2).or(Some(usize::MAX)));
}

/// Against reports that fall behind at full size: what is reported every four seconds is late, not silent.
#[test]
fn late_reports_are_not_taken_for_silence() {
    let well = |_, _, _| (0.0, 100);
    assert_eq!(count_ejections(&play_reports(&mut policy_with_replicas(site(), 6), 1..40, 4, 6, &well)), 0);
    let one_dead = |second, s, _| if s == 0 && second > 20 { (3.0, 0) } else { (0.0, 100) };
    assert_eq!(
        count_ejections(&play_reports(&mut policy_with_replicas(site(), 6), 1..32, 4, 6, &one_dead)),
        1
    );
}
