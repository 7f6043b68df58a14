//! A policy with a few replicas and scripted load reports.
#![allow(dead_code)] // each test file compiles this module separately and uses a part of it

use crate::fleet::{at_ms, deployment, listing};
use std::ops::Range;
use whinwall_policy::api::*;
use whinwall_policy::deployment::Deployment;
use whinwall_policy::time::{Moment, Span};
use whinwall_policy::Policy;

/// Creates a policy with replicas in three zones and one proxy. Replica n owns slice n.
pub fn policy_with_replicas(deployment: Deployment, replicas: u32) -> Policy {
    let mut policy = Policy::start(deployment, 1, at_ms(0));
    let list: Vec<_> = (0..replicas).map(|replica| listing(replica, ReplicaState::Ready, 0)).collect();
    policy.replicas_listed(at_ms(0), ListScope::Complete, &list);
    (0..replicas).for_each(|id| policy.slice_granted(at_ms(0), id, &[(id, 1.0)]));
    policy.proxy_joined(at_ms(0), 0, ProxyTables::Empty);
    policy
}

pub fn single_writer_deployment() -> Deployment {
    Deployment { single_writer: true, ..deployment() }
}

/// Maps a second, a replica and a zone to the number of failures among three attempts per second, and the latency
/// of the other attempts in milliseconds.
pub type Outcomes<'a> = &'a dyn Fn(u64, u32, usize) -> (f64, u64);

/// Reports the outcomes once per period for each replica and its slice, replicas one second apart. Each reply is
/// acknowledged at once. Returns all actions.
pub fn run_reports(
    policy: &mut Policy,
    seconds: Range<u64>,
    period_seconds: u64,
    replicas: u32,
    outcomes: Outcomes,
) -> Vec<Action> {
    let mut actions = Vec::new();
    let requests_factor = period_seconds as f64;
    for second in seconds {
        let (now, window) = (at_ms(second * 1000), Span::ms(period_seconds * 1000));
        for replica in 0..replicas {
            let seconds_since_report = (second + u64::from(replica)) % period_seconds;
            for zone in (0..3).filter(|_| seconds_since_report == 0) {
                let (failed, ms) = outcomes(second, replica, zone);
                let (attempts, failed) = (3.0 * requests_factor, failed * requests_factor);
                policy.endpoint_reported(
                    now,
                    replica,
                    EndpointReport { zone, window, attempts, failed, mean_latency: Span::ms(ms) },
                );
            }
            let (requests, failed) =
                (9.0 * requests_factor, 3.0 * requests_factor * outcomes(second, replica, 0).0);
            let classes = (0..2).filter(|_| seconds_since_report == period_seconds / 2);
            classes.for_each(|request_class| {
                policy.demand_reported(
                    now,
                    replica,
                    DemandReport { request_class, window, requests, failed },
                );
            });
        }
        policy.timer_fired(now, second);
        let reply = policy.collect_actions(now);
        for action in &reply {
            if let Action::Sync { version } = action {
                policy.ack_received(now, 0, *version);
            }
        }
        actions.extend(reply);
    }
    actions
}

pub fn count_ejections(actions: &[Action]) -> usize {
    actions.iter().filter(|action| matches!(action, Action::ReplicaEjected { .. })).count()
}

/// Returns true if the action lowers the admission rate of a slice, or of all slices if it is `None`, for at least
/// one of the request classes in the bit mask.
pub fn reduces_admission(action: &Action, slice_filter: Option<SliceId>, class_mask: u64) -> bool {
    matches!(action, Action::SetAdmission { slice, request_classes, admission_rate, .. }
        if *slice == slice_filter && request_classes & class_mask > 0 && *admission_rate < 1.0)
}

/// Reports one second: for each of six replicas the attempts, all answered in 100 ms, and the requests for its
/// slice.
pub fn report_second(policy: &mut Policy, now: Moment, attempts_and_requests: impl Fn(u32) -> (f64, f64)) {
    for replica in 0..6 {
        let ((attempts, requests), window, mean_latency) =
            (attempts_and_requests(replica), Span::ms(1000), Span::ms(100));
        policy.endpoint_reported(
            now,
            replica,
            EndpointReport { zone: 0, window, attempts, failed: 0.0, mean_latency },
        );
        policy.demand_reported(
            now,
            replica,
            DemandReport { request_class: 0, window, requests, failed: 0.0 },
        );
    }
}

/// Collects the reply of this second; the proxy acknowledges its version at once.
pub fn collect_acked_reply(policy: &mut Policy, now: Moment) -> Vec<Action> {
    policy.timer_fired(now, 0);
    let reply = policy.collect_actions(now);
    if let Some(Action::Sync { version }) = reply.last() {
        policy.ack_received(now, 0, *version);
    }
    reply
}
