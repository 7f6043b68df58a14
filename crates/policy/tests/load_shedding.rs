//! Load shedding, for one replica and for all slices.

mod fleet;
mod reports;

use fleet::{at, site};

use reports::{count_ejections, play_reports, policy_with_replicas, reduces_admission, single_writer_site};
use whinwall_policy::api::*;
use whinwall_policy::deployment::Deployment;

/// Against a slow link: where replicas are late only to other zones, no load is shed once the link's delay is known.
#[test]
fn latency_of_a_link_between_zones_sheds_no_load() {
    let cuts = |met: &dyn Fn(u64, u32, usize) -> (f64, u64)| {
        let mut policy = policy_with_replicas(single_writer_site(), 9);
        play_reports(&mut policy, 1..16, 1, 9, met);
        play_reports(&mut policy, 16..30, 1, 9, met)
            .iter()
            .filter(|s| reduces_admission(s, Some(0), 3))
            .count()
    };
    let far = |second, s, zone| second > 5 && s % 3 == 0 && zone != 0;
    assert_eq!(cuts(&|second, s, zone| (0.0, if far(second, s, zone) { 1300 } else { 100 })), 0);
    assert!(cuts(&|_, s, _| (0.0, if s == 0 { 900 } else { 100 })) > 0);
}

/// Against overload of a large fleet (i8e8ff8): one command for all, also where answers never come.
#[test]
fn overload_of_the_usual_replica_is_shed_by_one_command_for_all_slices() {
    let failed_attempts = |s| if s == 0 { 3.0 } else { 1.5 };
    let failing = |second, s, _| (if second > 5 { failed_attempts(s) } else { 0.0 }, 300);
    let actions = play_reports(
        &mut policy_with_replicas(Deployment { lines_per_second: 5.0, ..site() }, 6),
        1..20,
        1,
        6,
        &failing,
    );
    assert!(actions.iter().any(|s| reduces_admission(s, None, 1)) && count_ejections(&actions) == 0);
    assert!(!actions.iter().any(|s| matches!(s, Action::SetAdmission { slice: Some(_), .. })));
}

/// With a latency objective of 0 the fleet's latency ratio was 0 times infinity, not a number, once commands for each slice were
/// cheap: a reduction for all slices then neither grew nor shrank, for good.
#[test]
fn reduction_for_all_slices_ends_also_with_a_latency_objective_of_zero() {
    let mut site = Deployment { lines_per_second: 8.0, ..site() };
    site.request_classes.iter_mut().for_each(|class| class.target_latency = Default::default());
    let mut policy = policy_with_replicas(site, 6);
    policy.proxy_joined(at(0), 1, ProxyTables::Empty);
    let late = |_, _, _| (0.0, 100);
    let actions = play_reports(&mut policy, 1..20, 1, 6, &late);
    assert!(
        actions.iter().any(|action| reduces_admission(action, None, 1)),
        "two proxies: one command for all"
    );
    policy.proxy_left(at(20_000), 1);
    let actions = play_reports(&mut policy, 20..60, 1, 6, &late);
    let last = actions.iter().rev().find_map(|action| match action {
        Action::SetAdmission { slice: None, admission_rate, .. } => Some(*admission_rate),
        _ => None,
    });
    assert_eq!(last, Some(1.0), "one proxy: each slice has its own");
}
