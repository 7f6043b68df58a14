//! Outlier ejection: which replicas are ejected, and which are not.

mod fleet;
mod reports;

use fleet::{at_ms, deployment, listing, Fleet};
use reports::{
    count_ejections, policy_with_replicas, reduces_admission, run_reports, single_writer_deployment,
};
use std::collections::BTreeMap;
use whinwall_policy::api::*;
use whinwall_policy::Policy;

/// If all replicas but one stop answering at once, a fault in this controller's observations is assumed, and no
/// slice is evacuated.
#[test]
fn no_replica_is_ejected_when_nearly_all_look_dead() {
    let mut fleet = Fleet::new(deployment(), 10, 40, 5);
    fleet.advance(8000);
    let before = fleet.store.clone();
    (1..10).for_each(|replica| fleet.nodes.get_mut(&replica).unwrap().answers = false);
    fleet.advance(6000);
    let keeps_endpoints = |(slice, table): (&SliceId, &BTreeMap<ReplicaId, f64>)| {
        table.keys().all(|replica| fleet.store[slice].contains_key(replica))
    };
    assert!(before.iter().all(keeps_endpoints));
    (3..10).for_each(|replica| fleet.nodes.get_mut(&replica).unwrap().answers = true);
    fleet.advance(6000);
    assert!(fleet.store.values().all(|table| !table.contains_key(&1) && !table.contains_key(&2)));
}

/// An overloaded replica must not be mistaken for a dead one: its load is shed and it is not evacuated (hot key
/// scenario of turnolar).
#[test]
fn replica_that_was_late_before_it_fell_silent_is_shed_not_ejected() {
    let late = |second, replica, _| {
        if replica == 0 {
            (if second > 12 { 3.0 } else { 0.0 }, 900)
        } else {
            (0.0, 100)
        }
    };
    let actions = run_reports(&mut policy_with_replicas(single_writer_deployment(), 6), 1..16, 1, 6, &late);
    assert_eq!(count_ejections(&actions), 0);
    let first = |mask| actions.iter().position(|action| reduces_admission(action, Some(0), mask));
    assert!(first(1).is_some() && first(1) <= first(2).or(Some(usize::MAX)));
}

/// At full fleet size reports fall behind: a replica that is reported on every four seconds is late, not silent.
#[test]
fn late_reports_do_not_count_as_silence() {
    let healthy = |_, _, _| (0.0, 100);
    assert_eq!(
        count_ejections(&run_reports(&mut policy_with_replicas(deployment(), 6), 1..40, 4, 6, &healthy)),
        0
    );
    let one_failing = |second, replica, _| if replica == 0 && second > 20 { (3.0, 0) } else { (0.0, 100) };
    assert_eq!(
        count_ejections(&run_reports(&mut policy_with_replicas(deployment(), 6), 1..32, 4, 6, &one_failing)),
        1
    );
}

/// Returns the seconds in which replica 0 is ejected. It fails all the time and gets a new slice each second.
fn ejections_of_failing_replica(policy: &mut Policy, seconds: std::ops::Range<u64>) -> Vec<u64> {
    let failing = |_, replica, _| if replica == 0 { (3.0, 0) } else { (0.0, 100) };
    let mut ejected = Vec::new();
    for second in seconds {
        policy.slice_granted(at_ms(second * 1000), 100 + second as SliceId, &[(0, 1.0)]);
        let actions = run_reports(policy, second..second + 1, 1, 6, &failing);
        ejected.extend((count_ejections(&actions) > 0).then_some(second));
    }
    ejected
}

/// If `ejection_count` were not reset, each ejection of a replica would last up to four times as long as the first
/// for the rest of the controller's run, even after a restart that repaired the replica.
#[test]
fn ejection_time_starts_again_after_a_restart_of_the_replica() {
    let mut policy = policy_with_replicas(deployment(), 6);
    let before = ejections_of_failing_replica(&mut policy, 1..110);
    let longest = before.windows(2).map(|pair| pair[1] - pair[0]).max();
    assert!(longest >= Some(32), "ejections do not get longer: {before:?}");
    policy.replicas_listed(at_ms(110_000), ListScope::Changes, &[listing(0, ReplicaState::Ready, 109_000)]);
    let after = ejections_of_failing_replica(&mut policy, 110..150);
    assert!(after.len() > 1 && after[1] - after[0] < 16, "before {before:?}, after {after:?}");
}

/// A failure after a long healthy time is not a relapse, so the ejection is as short as the first one.
#[test]
fn ejection_time_starts_again_after_a_long_healthy_time() {
    let mut policy = policy_with_replicas(deployment(), 6);
    let before = ejections_of_failing_replica(&mut policy, 1..110);
    assert!(before.len() > 3, "{before:?}");
    run_reports(&mut policy, 110..300, 1, 6, &|_, _, _| (0.0, 100));
    let after = ejections_of_failing_replica(&mut policy, 300..340);
    assert!(after.len() > 1 && after[1] - after[0] < 16, "before {before:?}, after {after:?}");
}
