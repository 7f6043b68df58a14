//! Load shedding, for one replica and for all slices.

mod fleet;
mod reports;

use fleet::{at_ms, deployment};
use reports::{
    count_ejections, policy_with_replicas, reduces_admission, run_reports, single_writer_deployment,
};
use whinwall_policy::api::*;
use whinwall_policy::deployment::Deployment;

/// Replicas that are late only to other zones must not be shed once the delay of the slow link is known.
#[test]
fn latency_of_a_link_between_zones_sheds_no_load() {
    let count_reductions = |outcomes: &dyn Fn(u64, u32, usize) -> (f64, u64)| {
        let mut policy = policy_with_replicas(single_writer_deployment(), 9);
        run_reports(&mut policy, 1..16, 1, 9, outcomes);
        run_reports(&mut policy, 16..30, 1, 9, outcomes)
            .iter()
            .filter(|action| reduces_admission(action, Some(0), 3))
            .count()
    };
    let is_slow_link = |second, replica, zone| second > 5 && replica % 3 == 0 && zone != 0;
    assert_eq!(
        count_reductions(&|second, replica, zone| (
            0.0,
            if is_slow_link(second, replica, zone) { 1300 } else { 100 }
        )),
        0
    );
    assert!(count_reductions(&|_, replica, _| (0.0, if replica == 0 { 900 } else { 100 })) > 0);
}

/// If a large fleet is overloaded, one reduction is sent for all slices, even if answers are missing altogether
/// (i8e8ff8).
#[test]
fn overload_of_the_median_replica_is_shed_by_one_command_for_all_slices() {
    let failed_per_second = |replica| if replica == 0 { 3.0 } else { 1.5 };
    let failing = |second, replica, _| (if second > 5 { failed_per_second(replica) } else { 0.0 }, 300);
    let actions = run_reports(
        &mut policy_with_replicas(Deployment { lines_per_second: 5.0, ..deployment() }, 6),
        1..20,
        1,
        6,
        &failing,
    );
    assert!(
        actions.iter().any(|action| reduces_admission(action, None, 1)) && count_ejections(&actions) == 0
    );
    assert!(!actions.iter().any(|action| matches!(action, Action::SetAdmission { slice: Some(_), .. })));
}

/// With a target latency of 0 the median latency ratio is infinite. If the fleet's ratio were that ratio times 0
/// once commands for each slice are cheap, it would be NaN, and the reduction for all slices would never change
/// again.
#[test]
fn reduction_for_all_slices_ends_also_with_a_latency_objective_of_zero() {
    let mut deployment = Deployment { lines_per_second: 8.0, ..deployment() };
    deployment.request_classes.iter_mut().for_each(|class| class.target_latency = Default::default());
    let mut policy = policy_with_replicas(deployment, 6);
    policy.proxy_joined(at_ms(0), 1, ProxyTables::Empty);
    let late = |_, _, _| (0.0, 100);
    let actions = run_reports(&mut policy, 1..20, 1, 6, &late);
    assert!(
        actions.iter().any(|action| reduces_admission(action, None, 1)),
        "no reduction for all slices with two proxies"
    );
    policy.proxy_left(at_ms(20_000), 1);
    let actions = run_reports(&mut policy, 20..60, 1, 6, &late);
    let last = actions.iter().rev().find_map(|action| match action {
        Action::SetAdmission { slice: None, admission_rate, .. } => Some(*admission_rate),
        _ => None,
    });
    assert_eq!(last, Some(1.0), "reduction for all slices did not end with one proxy");
}

/// Guards against load that is no longer shed: the admission rates of a slice are reset when it is assigned to another
/// controller and back, which an interruption of the relay's events can hide (review/1).
#[test]
fn reductions_are_sent_again_after_the_slices_may_have_been_reassigned() {
    let mut policy = policy_with_replicas(single_writer_deployment(), 9);
    let late_replica = |second, replica, _| (0.0, if second > 5 && replica == 0 { 900 } else { 100 });
    let is_reduced =
        |action: &Action| matches!(action, Action::SetAdmission { slice: Some(0), retries: 0, .. });
    // The first step only stops retries and leaves all admission rates at 1.
    let mut second = 1;
    while !run_reports(&mut policy, second..second + 1, 1, 9, &late_replica).iter().any(is_reduced) {
        second += 1;
        assert!(second < 30, "nothing is reduced");
    }
    let now = at_ms(second * 1000 + 500);
    policy.relay_events_interrupted();
    policy.slices_possibly_reassigned(now, &(0..9).collect::<Vec<_>>());
    policy.relay_events_resumed(now);
    let sent = policy.collect_actions(now);
    let mut classes_sent = 0;
    for action in &sent {
        if let Action::SetAdmission { slice: Some(slice), request_classes, retries, .. } = action {
            assert_eq!((*slice, *retries), (0, 0), "{sent:?}");
            classes_sent |= if *request_classes == 0 { 0b11 } else { *request_classes };
        }
    }
    assert_eq!(classes_sent, 0b11, "request classes whose admission is sent again: {sent:?}");
}
