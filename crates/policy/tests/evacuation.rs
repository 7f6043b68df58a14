//! Evacuation: where slices go, and who is sent withdrawals.

mod fleet;
mod reports;

use fleet::{at, listing, site};
use reports::{acked_reply, play_reports, policy_with_replicas, report};
use std::collections::BTreeSet;
use whinwall_policy::api::*;
use whinwall_policy::deployment::Deployment;
use whinwall_policy::time::Span;
use whinwall_policy::Policy;

/// Against a list that wrongly drops running replicas, where it is advisory; one that drained first is left (idd6c4b).
#[test]
fn advisory_list_that_drops_running_replicas_evacuates_none() {
    let mut policy = policy_with_replicas(Deployment { delisting_is_advisory: true, ..site() }, 6);
    let well = |_, _, _| (0.0, 100);
    play_reports(&mut policy, 1..5, 1, 6, &well);
    policy.replicas_listed(at(5000), ListScope::Changes, &[listing(5, ReplicaState::Draining, 0)]);
    let gone: Vec<_> = (2..6).map(|s| listing(s, ReplicaState::Gone, 0)).collect();
    policy.replicas_listed(at(6000), ListScope::Changes, &gone);
    let actions = play_reports(&mut policy, 6..20, 1, 5, &well);
    let leaves = |id: u32| move |s: &Action| matches!(s, Action::Withdraw { replica } if *replica == id);
    assert!(actions.iter().any(leaves(5)) && (2..5).all(|id| !actions.iter().any(leaves(id))));
    let back = |s: &Action| matches!(s, Action::SetEndpoint { replica: 5, weight, .. } if *weight > 0.0);
    assert!(!actions.iter().any(|s| back(s) || matches!(s, Action::Reinstate { replica: 5 })));
}

/// Against a restart before the tables have caught up (h16e476): it is reinstated once no table names it.
#[test]
fn replica_that_returns_stays_withdrawn_until_no_table_names_it() {
    let mut policy = policy_with_replicas(Deployment { queue_capacity_lines: 60.0, ..site() }, 6);
    let well = |_, _, _| (0.0, 100);
    (50..80).for_each(|n| policy.slice_granted(at(0), n, &[(0, 1.0)]));
    play_reports(&mut policy, 1..15, 1, 6, &well);
    policy.replicas_listed(at(15_000), ListScope::Changes, &[listing(0, ReplicaState::Gone, 0)]);
    let mut actions = policy.collect_actions(at(15_000));
    policy.replicas_listed(at(15_010), ListScope::Changes, &[listing(0, ReplicaState::Ready, 15_005)]);
    actions.extend(policy.collect_actions(at(15_010)));
    (0..200).for_each(|version| policy.ack_received(at(16_000), 0, version));
    actions.extend(play_reports(&mut policy, 16..30, 1, 6, &well));
    let left = actions
        .iter()
        .rposition(|s| matches!(s, Action::SetEndpoint { replica: 0, weight, .. } if *weight == 0.0));
    let withdrawn = |s: &Action| *s == Action::Withdraw { replica: 0 };
    let reinstated = |s: &Action| *s == Action::Reinstate { replica: 0 };
    let (withdrawn, is_reinstated) =
        (actions.iter().position(withdrawn), actions.iter().position(reinstated));
    assert!(
        withdrawn.is_some() && withdrawn < left && left < is_reinstated,
        "{withdrawn:?} {left:?} {is_reinstated:?}"
    );
}

/// Sixty of a hundred replicas drain and are withdrawn; then one more drains, the last by number, while proxies
/// join in each reply and have to be sent the sixty again (seen on `herd+mass`, seed 112).
#[test]
fn joining_proxies_do_not_starve_an_unsent_withdrawal() {
    let mut policy = policy_with_replicas(
        Deployment { queue_capacity_lines: 1200.0, lines_per_second: 12_000.0, message_limit: 0, ..site() },
        100,
    );
    (100..900).for_each(|n| policy.slice_granted(at(0), n, &[(n % 100, 1.0)]));
    (1..30).for_each(|proxy| policy.proxy_joined(at(0), proxy, ProxyTables::Empty));
    let mut proxies = 30;
    let mut replies = |policy: &mut Policy, times: std::ops::Range<u64>, joins: bool| {
        let mut first = None;
        for now in times.step_by(100) {
            if joins {
                policy.proxy_joined(at(now), proxies, ProxyTables::Retained);
                proxies += 1;
            }
            policy.timer_fired(at(now), now);
            for action in policy.collect_actions(at(now)) {
                let last = matches!(action, Action::Withdraw { replica: 99 });
                first = first.or(last.then_some(now));
                if let Action::Sync { version } = action {
                    (0..proxies).for_each(|proxy| policy.ack_received(at(now), proxy, version));
                }
            }
        }
        first
    };
    replies(&mut policy, 1000..2000, true);
    let drain = |ids: std::ops::Range<u32>| -> Vec<_> {
        ids.map(|s| listing(s, ReplicaState::Draining, 0)).collect()
    };
    policy.replicas_listed(at(2000), ListScope::Changes, &drain(0..60));
    replies(&mut policy, 2000..5000, false);
    policy.replicas_listed(at(5000), ListScope::Changes, &drain(99..100));
    let sent_at = replies(&mut policy, 5000..7500, true);
    assert!(sent_at.is_some_and(|at| at < 6000), "{sent_at:?}");
}

/// A replica drains and is left by all of ours; a proxy joins, and only then comes a slice that names it.
#[test]
fn granted_slice_that_names_a_withdrawn_replica_repeats_the_withdrawal() {
    let mut policy = policy_with_replicas(site(), 6);
    let well = |_, _, _| (0.0, 100);
    play_reports(&mut policy, 1..5, 1, 6, &well);
    policy.replicas_listed(at(5000), ListScope::Changes, &[listing(0, ReplicaState::Draining, 0)]);
    let withdrawn = |s: &Action| *s == Action::Withdraw { replica: 0 };
    assert!(play_reports(&mut policy, 5..12, 1, 6, &well).iter().any(withdrawn));
    policy.proxy_joined(at(12_000), 1, ProxyTables::Retained);
    assert!(!policy.collect_actions(at(12_000)).iter().any(withdrawn), "no table names it");
    policy.slice_granted(at(12_500), 40, &[(0, 1.0), (1, 0.01)]);
    assert!(policy.collect_actions(at(12_500)).iter().any(withdrawn));
}

/// Six warm replicas carry all, and twelve new ones are unused (`join+mass`): what the six were seen to
/// answer is what a replica can answer, and a slice that must leave goes to one that is cold and has room.
#[test]
fn idle_cold_replicas_do_not_lower_the_proven_service_rate() {
    let mut policy = policy_with_replicas(site(), 6);
    let mut actions = Vec::new();
    for second in 1..20 {
        let now = at(second * 1000);
        report(&mut policy, now, |_| (20.0, 2.0));
        if second == 10 {
            let new: Vec<_> = (6..18).map(|s| listing(s, ReplicaState::Ready, 10_000)).collect();
            policy.replicas_listed(now, ListScope::Changes, &new);
        }
        if second == 17 {
            policy.replicas_listed(now, ListScope::Changes, &[listing(0, ReplicaState::Draining, 0)]);
        }
        let reply = acked_reply(&mut policy, now);
        actions.extend(reply.into_iter().filter(|_| second >= 17));
    }
    let chosen = |s: &Action| match s {
        Action::SetEndpoint { slice: 0, replica, weight } if *weight >= 1.0 => Some(*replica),
        _ => None,
    };
    let chosen = actions.iter().find_map(chosen);
    assert!(chosen.is_some_and(|replica| replica >= 6), "{chosen:?}");
}

/// Five controllers that know nothing of each other, each with two slices a replica, and new replicas of which a
/// fifth of a budget would not do for one slice (`join+vast`): each new one is used by one of them, and at once.
#[test]
fn cold_replica_is_owned_by_exactly_one_controller() {
    let chosen = |number, slices, begins: u64| {
        let mut policy = policy_with_replicas(
            Deployment { controller_count: 5, controller_index: number, slice_count: slices, ..site() },
            6,
        );
        (6..12).for_each(|n| policy.slice_granted(at(0), n, &[(n - 6, 1.0)]));
        let mut actions = Vec::new();
        for second in 1..12 {
            let now = at(second * 1000);
            report(&mut policy, now, |_| (2.0, 1.0));
            let demand =
                DemandReport { request_class: 0, window: Span::ms(1000), requests: 1.0, failed: 0.0 };
            (6..12).for_each(|n| policy.demand_reported(now, n, demand));
            if second == begins {
                let new: Vec<_> = (6..18).map(|s| listing(s, ReplicaState::Ready, begins * 1000)).collect();
                policy.replicas_listed(now, ListScope::Changes, &new);
            }
            if second == 11 {
                policy.replicas_listed(now, ListScope::Changes, &[listing(0, ReplicaState::Draining, 0)]);
            }
            actions = acked_reply(&mut policy, now);
        }
        let chosen = |s: Action| match s {
            Action::SetEndpoint { slice: 0 | 6, replica, weight } if weight >= 1.0 && replica >= 6 => {
                Some(replica)
            }
            _ => None,
        };
        actions.into_iter().filter_map(chosen).collect::<Vec<_>>()
    };
    let all: Vec<_> = (0..5).flat_map(|number| chosen(number, 60, 10)).collect();
    assert!(all.len() >= 4, "{all:?}");
    assert_eq!(all.iter().collect::<BTreeSet<_>>().len(), all.len(), "{all:?}");
    // Whoever has all slices, as when the others were killed, is alone, whatever its number.
    assert!((0..6).all(|number| !chosen(number, 12, 8).is_empty()));
}

/// What a proxy applied before it left it still holds; what it missed it has to be sent.
#[test]
fn returning_proxy_is_sent_only_the_withdrawals_that_it_missed() {
    for missed in [false, true] {
        let mut policy = policy_with_replicas(site(), 6);
        let withdrawn = |s: &Action| *s == Action::Withdraw { replica: 0 };
        // Slices enough that some still name the replica when the proxy is back.
        (50..450).for_each(|n| policy.slice_granted(at(0), n, &[(0, 1.0)]));
        policy.proxy_joined(at(0), 1, ProxyTables::Empty);
        policy.collect_actions(at(0));
        (0..200).for_each(|version| (0..2).for_each(|proxy| policy.ack_received(at(500), proxy, version)));
        policy.replicas_listed(at(5000), ListScope::Changes, &[listing(0, ReplicaState::Draining, 0)]);
        let reply = policy.collect_actions(at(5000));
        assert!(reply.iter().any(withdrawn), "{reply:?}");
        let Some(Action::Sync { version }) = reply.last() else { panic!("no mark: {reply:?}") };
        policy.ack_received(at(5300), 0, *version);
        if !missed {
            policy.ack_received(at(5300), 1, *version);
        }
        policy.proxy_left(at(5400), 1);
        policy.proxy_joined(at(5600), 1, ProxyTables::Retained);
        let was_sent = (5600..7000).step_by(100).any(|now| {
            policy.timer_fired(at(now), now);
            let reply = policy.collect_actions(at(now));
            if let Some(Action::Sync { version }) = reply.last() {
                (0..2).for_each(|proxy| policy.ack_received(at(now), proxy, *version));
            }
            reply.iter().any(withdrawn)
        });
        assert_eq!(was_sent, missed);
    }
}
