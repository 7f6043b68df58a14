//! Outlier ejection: which replicas are ejected, and which are not.

mod fleet;
mod reports;

use fleet::{at, listing, site, Fleet};
use reports::{count_ejections, play_reports, policy_with_replicas, reduces_admission, single_writer_site};
use std::collections::BTreeMap;
use whinwall_policy::api::*;
use whinwall_policy::Policy;

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

/// Seconds in which replica 0 is ejected, which fails all the time and is given a new slice each second.
fn ejections_of_failing_replica(policy: &mut Policy, seconds: std::ops::Range<u64>) -> Vec<u64> {
    let failing = |_, s, _| if s == 0 { (3.0, 0) } else { (0.0, 100) };
    let mut ejected = Vec::new();
    for second in seconds {
        policy.slice_granted(at(second * 1000), 100 + second as SliceId, &[(0, 1.0)]);
        let actions = play_reports(policy, second..second + 1, 1, 6, &failing);
        ejected.extend((count_ejections(&actions) > 0).then_some(second));
    }
    ejected
}

/// Each ejection of a replica lasted up to four times as long as the first, for as long as the controller ran, also after a
/// restart of the replica that mended it: `ejection_count` was never reset.
#[test]
fn restarted_replica_is_ejected_as_for_the_first_time() {
    let mut policy = policy_with_replicas(site(), 6);
    let before = ejections_of_failing_replica(&mut policy, 1..110);
    let longest = before.windows(2).map(|pair| pair[1] - pair[0]).max();
    assert!(longest >= Some(32), "it relapses: {before:?}");
    policy.replicas_listed(at(110_000), ListScope::Changes, &[listing(0, ReplicaState::Ready, 109_000)]);
    let after = ejections_of_failing_replica(&mut policy, 110..150);
    assert!(after.len() > 1 && after[1] - after[0] < 16, "before {before:?}, after {after:?}");
}

/// One that was well for a long time has not relapsed.
#[test]
fn replica_that_was_well_for_long_is_ejected_as_for_the_first_time() {
    let mut policy = policy_with_replicas(site(), 6);
    let before = ejections_of_failing_replica(&mut policy, 1..110);
    assert!(before.len() > 3, "{before:?}");
    play_reports(&mut policy, 110..300, 1, 6, &|_, _, _| (0.0, 100));
    let after = ejections_of_failing_replica(&mut policy, 300..340);
    assert!(after.len() > 1 && after[1] - after[0] < 16, "before {before:?}, after {after:?}");
}
