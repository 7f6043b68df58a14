//! Evacuation: destinations of slices, and recipients of withdrawals.

mod fleet;
mod reports;

use fleet::{at_ms, deployment, listing};
use reports::{collect_acked_reply, policy_with_replicas, report_second, run_reports};
use std::collections::BTreeSet;
use whinwall_policy::api::*;
use whinwall_policy::deployment::Deployment;
use whinwall_policy::time::Span;
use whinwall_policy::Policy;

/// An advisory list may wrongly drop running replicas, which must not be evacuated. A replica that was draining
/// before it was dropped is evacuated (idd6c4b).
#[test]
fn advisory_list_that_drops_running_replicas_evacuates_none() {
    let mut policy = policy_with_replicas(Deployment { delisting_is_advisory: true, ..deployment() }, 6);
    let healthy = |_, _, _| (0.0, 100);
    run_reports(&mut policy, 1..5, 1, 6, &healthy);
    policy.replicas_listed(at_ms(5000), ListScope::Changes, &[listing(5, ReplicaState::Draining, 0)]);
    let gone: Vec<_> = (2..6).map(|replica| listing(replica, ReplicaState::Gone, 0)).collect();
    policy.replicas_listed(at_ms(6000), ListScope::Changes, &gone);
    let actions = run_reports(&mut policy, 6..20, 1, 5, &healthy);
    let withdraws =
        |id: u32| move |action: &Action| matches!(action, Action::Withdraw { replica } if *replica == id);
    assert!(actions.iter().any(withdraws(5)) && (2..5).all(|id| !actions.iter().any(withdraws(id))));
    let adds_endpoint =
        |action: &Action| matches!(action, Action::SetEndpoint { replica: 5, weight, .. } if *weight > 0.0);
    assert!(!actions
        .iter()
        .any(|action| adds_endpoint(action) || matches!(action, Action::Reinstate { replica: 5 })));
}

/// A replica that restarts before the tables have been updated is reinstated only once no table names it
/// (h16e476).
#[test]
fn replica_that_returns_stays_withdrawn_until_no_table_names_it() {
    let mut policy = policy_with_replicas(Deployment { queue_capacity_lines: 60.0, ..deployment() }, 6);
    let healthy = |_, _, _| (0.0, 100);
    (50..80).for_each(|slice| policy.slice_granted(at_ms(0), slice, &[(0, 1.0)]));
    run_reports(&mut policy, 1..15, 1, 6, &healthy);
    policy.replicas_listed(at_ms(15_000), ListScope::Changes, &[listing(0, ReplicaState::Gone, 0)]);
    let mut actions = policy.collect_actions(at_ms(15_000));
    policy.replicas_listed(at_ms(15_010), ListScope::Changes, &[listing(0, ReplicaState::Ready, 15_005)]);
    actions.extend(policy.collect_actions(at_ms(15_010)));
    (0..200).for_each(|version| policy.ack_received(at_ms(16_000), 0, version));
    actions.extend(run_reports(&mut policy, 16..30, 1, 6, &healthy));
    let last_removal = actions.iter().rposition(
        |action| matches!(action, Action::SetEndpoint { replica: 0, weight, .. } if *weight == 0.0),
    );
    let withdrawn = |action: &Action| *action == Action::Withdraw { replica: 0 };
    let reinstated = |action: &Action| *action == Action::Reinstate { replica: 0 };
    let withdrawal = actions.iter().position(withdrawn);
    let reinstatement = actions.iter().position(reinstated);
    assert!(
        withdrawal.is_some() && withdrawal < last_removal && last_removal < reinstatement,
        "withdrawn at {withdrawal:?}, last endpoint removed at {last_removal:?}, reinstated at {reinstatement:?}"
    );
}

/// 60 of 100 replicas drain and are withdrawn. Then replica 99 drains while proxies join in each reply and must be
/// sent the 60 withdrawals again, which must not delay the new withdrawal (`herd+mass`, seed 112).
#[test]
fn joining_proxies_do_not_starve_an_unsent_withdrawal() {
    let mut policy = policy_with_replicas(
        Deployment {
            queue_capacity_lines: 1200.0,
            lines_per_second: 12_000.0,
            message_limit: 0,
            ..deployment()
        },
        100,
    );
    (100..900).for_each(|slice| policy.slice_granted(at_ms(0), slice, &[(slice % 100, 1.0)]));
    (1..30).for_each(|proxy| policy.proxy_joined(at_ms(0), proxy, ProxyTables::Empty));
    let mut proxies = 30;
    let mut replies = |policy: &mut Policy, times: std::ops::Range<u64>, joins: bool| {
        let mut first_sent_ms = None;
        for now in times.step_by(100) {
            if joins {
                policy.proxy_joined(at_ms(now), proxies, ProxyTables::Retained);
                proxies += 1;
            }
            policy.timer_fired(at_ms(now), now);
            for action in policy.collect_actions(at_ms(now)) {
                let is_new_withdrawal = matches!(action, Action::Withdraw { replica: 99 });
                first_sent_ms = first_sent_ms.or(is_new_withdrawal.then_some(now));
                if let Action::Sync { version } = action {
                    (0..proxies).for_each(|proxy| policy.ack_received(at_ms(now), proxy, version));
                }
            }
        }
        first_sent_ms
    };
    replies(&mut policy, 1000..2000, true);
    let drain = |ids: std::ops::Range<u32>| -> Vec<_> {
        ids.map(|replica| listing(replica, ReplicaState::Draining, 0)).collect()
    };
    policy.replicas_listed(at_ms(2000), ListScope::Changes, &drain(0..60));
    replies(&mut policy, 2000..5000, false);
    policy.replicas_listed(at_ms(5000), ListScope::Changes, &drain(99..100));
    let sent_ms = replies(&mut policy, 5000..7500, true);
    assert!(sent_ms.is_some_and(|ms| ms < 6000), "withdrawal due at 5000 ms sent at {sent_ms:?} ms");
}

/// A draining replica has been evacuated and withdrawn. A proxy joins, and only afterwards a slice that names the
/// replica is granted.
#[test]
fn granted_slice_that_names_a_withdrawn_replica_repeats_the_withdrawal() {
    let mut policy = policy_with_replicas(deployment(), 6);
    let healthy = |_, _, _| (0.0, 100);
    run_reports(&mut policy, 1..5, 1, 6, &healthy);
    policy.replicas_listed(at_ms(5000), ListScope::Changes, &[listing(0, ReplicaState::Draining, 0)]);
    let withdrawn = |action: &Action| *action == Action::Withdraw { replica: 0 };
    assert!(run_reports(&mut policy, 5..12, 1, 6, &healthy).iter().any(withdrawn));
    policy.proxy_joined(at_ms(12_000), 1, ProxyTables::Retained);
    assert!(
        !policy.collect_actions(at_ms(12_000)).iter().any(withdrawn),
        "withdrawal sent although no table names the replica"
    );
    policy.slice_granted(at_ms(12_500), 40, &[(0, 1.0), (1, 0.01)]);
    assert!(policy.collect_actions(at_ms(12_500)).iter().any(withdrawn));
}

/// Six warm replicas handle all requests, and twelve new ones are unused (`join+mass`). The observed service rate
/// must be that of the six warm ones, so that a slice that must move goes to a cold replica with room.
#[test]
fn idle_cold_replicas_do_not_lower_the_observed_service_rate() {
    let mut policy = policy_with_replicas(deployment(), 6);
    let mut actions = Vec::new();
    for second in 1..20 {
        let now = at_ms(second * 1000);
        report_second(&mut policy, now, |_| (20.0, 2.0));
        if second == 10 {
            let new: Vec<_> = (6..18).map(|replica| listing(replica, ReplicaState::Ready, 10_000)).collect();
            policy.replicas_listed(now, ListScope::Changes, &new);
        }
        if second == 17 {
            policy.replicas_listed(now, ListScope::Changes, &[listing(0, ReplicaState::Draining, 0)]);
        }
        let reply = collect_acked_reply(&mut policy, now);
        actions.extend(reply.into_iter().filter(|_| second >= 17));
    }
    let chosen = |action: &Action| match action {
        Action::SetEndpoint { slice: 0, replica, weight } if *weight >= 1.0 => Some(*replica),
        _ => None,
    };
    let chosen = actions.iter().find_map(chosen);
    assert!(chosen.is_some_and(|replica| replica >= 6), "{chosen:?}");
}

/// Five independent controllers with two slices per replica each, and new replicas of which a fifth of the budget
/// is not enough for one slice (`join+vast`): each new replica is used by exactly one controller, and at once.
#[test]
fn cold_replica_is_owned_by_exactly_one_controller() {
    let chosen = |controller_index, slice_count, join_second: u64| {
        let mut policy = policy_with_replicas(
            Deployment { controller_count: 5, controller_index, slice_count, ..deployment() },
            6,
        );
        (6..12).for_each(|slice| policy.slice_granted(at_ms(0), slice, &[(slice - 6, 1.0)]));
        let mut actions = Vec::new();
        for second in 1..12 {
            let now = at_ms(second * 1000);
            report_second(&mut policy, now, |_| (2.0, 1.0));
            let demand =
                DemandReport { request_class: 0, window: Span::ms(1000), requests: 1.0, failed: 0.0 };
            (6..12).for_each(|slice| policy.demand_reported(now, slice, demand));
            if second == join_second {
                let new: Vec<_> = (6..18)
                    .map(|replica| listing(replica, ReplicaState::Ready, join_second * 1000))
                    .collect();
                policy.replicas_listed(now, ListScope::Changes, &new);
            }
            if second == 11 {
                policy.replicas_listed(now, ListScope::Changes, &[listing(0, ReplicaState::Draining, 0)]);
            }
            actions = collect_acked_reply(&mut policy, now);
        }
        let chosen = |action: Action| match action {
            Action::SetEndpoint { slice: 0 | 6, replica, weight } if weight >= 1.0 && replica >= 6 => {
                Some(replica)
            }
            _ => None,
        };
        actions.into_iter().filter_map(chosen).collect::<Vec<_>>()
    };
    let all: Vec<_> = (0..5).flat_map(|controller_index| chosen(controller_index, 60, 10)).collect();
    assert!(all.len() >= 4, "{all:?}");
    assert_eq!(all.iter().collect::<BTreeSet<_>>().len(), all.len(), "{all:?}");
    // A controller that owns all slices, for example after the others were killed, uses the new replicas whatever
    // its index.
    assert!((0..6).all(|controller_index| !chosen(controller_index, 12, 8).is_empty()));
}

/// A proxy that reconnects still holds what it applied before it disconnected, and must be sent only what it
/// missed.
#[test]
fn returning_proxy_is_sent_only_the_withdrawals_that_it_missed() {
    for has_missed_withdrawal in [false, true] {
        let mut policy = policy_with_replicas(deployment(), 6);
        let withdrawn = |action: &Action| *action == Action::Withdraw { replica: 0 };
        // Enough slices that some still name the replica when the proxy reconnects.
        (50..450).for_each(|slice| policy.slice_granted(at_ms(0), slice, &[(0, 1.0)]));
        policy.proxy_joined(at_ms(0), 1, ProxyTables::Empty);
        policy.collect_actions(at_ms(0));
        (0..200).for_each(|version| (0..2).for_each(|proxy| policy.ack_received(at_ms(500), proxy, version)));
        policy.replicas_listed(at_ms(5000), ListScope::Changes, &[listing(0, ReplicaState::Draining, 0)]);
        let reply = policy.collect_actions(at_ms(5000));
        assert!(reply.iter().any(withdrawn), "{reply:?}");
        let Some(Action::Sync { version }) = reply.last() else { panic!("reply without version: {reply:?}") };
        policy.ack_received(at_ms(5300), 0, *version);
        if !has_missed_withdrawal {
            policy.ack_received(at_ms(5300), 1, *version);
        }
        policy.proxy_left(at_ms(5400), 1);
        policy.proxy_joined(at_ms(5600), 1, ProxyTables::Retained);
        let was_sent = (5600..7000).step_by(100).any(|now| {
            policy.timer_fired(at_ms(now), now);
            let reply = policy.collect_actions(at_ms(now));
            if let Some(Action::Sync { version }) = reply.last() {
                (0..2).for_each(|proxy| policy.ack_received(at_ms(now), proxy, *version));
            }
            reply.iter().any(withdrawn)
        });
        assert_eq!(was_sent, has_missed_withdrawal);
    }
}
