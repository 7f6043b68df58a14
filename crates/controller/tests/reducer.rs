//! Tests of the reducer without sockets: events are applied one at a time, and the resulting effects are checked.

mod support;

use quickcheck::{Arbitrary, Gen};
use serde_json::json;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use support::rig::*;
use whinwall_policy::time::{Moment, Span};
use whinwall_protocol::discovery;
use whinwall_protocol::relay::{decode_response, Response};
use whinwall_routing::{Effect, Event};
use whinwall_transport::{RequestError, StreamError, Targets};

#[test]
fn commands_are_based_on_complete_routing_tables() {
    let mut rig = Rig::new();
    rig.send_list();
    for line in ["OK", "* SUBSCRIBE 0 north 9.5 1", "* GRANT 3 1"] {
        rig.relay_event(line);
    }
    // The input ends before the row of slice 3 arrives. The reducer must not treat the table as empty.
    rig.advance_ms(900);
    assert!(!rig.requests.join(" ").contains("SET"), "{:?}", rig.requests);
    rig.relay_event("* ROW 3 s-3 1.0");
    rig.advance_ms(3000);
    let requests = rig.requests.join(" ");
    assert!(
        !requests.contains("SET,3,s-3,") && requests.contains("SET,3,"),
        "only the standby endpoint is missing: {requests}"
    );
    // A row that arrives later belongs to the table, and is removed when its replica drains.
    rig.relay_event("* ROW 3 s-5 1.0");
    rig.relay_event("*");
    rig.store.insert(3, BTreeMap::from([("s-3".into(), 1.0), ("s-5".into(), 1.0)]));
    rig.advance_ms(500);
    rig.drain("s-5");
    assert!(rig.pending_request.take().unwrap().contains("SET,3,s-5,0"));
}

#[test]
fn empty_routing_table_is_filled_once_it_is_known_to_be_empty() {
    let mut rig = Rig::new();
    rig.send_list();
    rig.store.insert(3, BTreeMap::new());
    rig.send_snapshot(&[]);
    rig.advance_ms(500);
    assert!(!rig.store[&3].is_empty());
}

#[test]
fn drain_migrates_all_slices_in_one_request() {
    let mut rig = Rig::serving();
    let before = rig.requests.len();
    rig.drain("s-2");
    let request = rig.requests[before..].first().expect("no relay request after a drain").clone();
    assert!(
        request.starts_with("APPLY OUT,s-2;")
            && request.contains("SET,2,s-2,0")
            && request.contains("SET,8,s-2,0")
    );
    rig.advance_ms(1000);
    assert!(!rig.owners().contains("s-2"));
}

/// Endpoint lists with duplicate entries, in reversed order, of a lower version, empty, with an unknown zone or with
/// a start time in the far future. A draining replica gets no slice until a list has it as active.
#[test]
fn outdated_lists_do_not_return_a_draining_replica() {
    let mut rig = Rig::serving();
    rig.drain("s-2");
    rig.advance_ms(1000);
    let entry = |id: &str, state: &str, zone: &str, started: u64| json!({"id": id, "zone": zone, "state": state, "started_ms": started});
    let (draining, future_start) =
        (entry("s-2", "leaving", "north", 0), entry("s-1", "active", "north", u64::MAX));
    let others = |zone: &str| [0, 1, 3, 4, 5].map(|n| entry(&format!("s-{n}"), "active", zone, 0));
    let all = |zone: &str| [vec![draining.clone()], others(zone).to_vec()].concat();
    let duplicates = [others("north").to_vec(), all("south")].concat();
    let lists = [
        json!({"version": 42, "full": false, "servers": [draining, draining, draining]}),
        json!({"version": 7, "full": false, "servers": [draining]}),
        json!({"version": 43, "full": false, "servers": []}),
        json!({"version": 44, "full": true, "servers": all("nowhere")}),
        json!({"version": 45, "full": true, "servers": all("north").into_iter().rev().collect::<Vec<_>>()}),
        json!({"version": 46, "full": false, "servers": [future_start, draining]}),
        json!({"version": 46, "full": true, "servers": duplicates}),
    ];
    let before = rig.requests.len();
    for list in lists {
        rig.apply(Event::EndpointListReceived(discovery::decode(&list.to_string()).unwrap().unwrap()));
        rig.advance_ms(700);
    }
    let assigns_slices = |request: &String| {
        request.contains("IN,s-2") || request.contains(",s-2,1") || request.contains(",s-2,0.")
    };
    assert!(!rig.requests[before..].iter().any(assigns_slices), "{:?}", &rig.requests[before..]);
    let active_again = json!({"version": 50, "full": false, "servers": [entry("s-2", "active", "north", 0)]});
    rig.apply(Event::EndpointListReceived(discovery::decode(&active_again.to_string()).unwrap().unwrap()));
    rig.advance_ms(3000);
    assert!(rig.requests[before..].iter().any(|request| request.contains("IN,s-2")));
}

#[test]
fn pending_request_is_resent_before_newer_commands() {
    let mut rig = Rig::serving();
    rig.drain("s-2");
    let first = rig.pending_request.take().unwrap();
    rig.apply(OUTCOME_UNKNOWN);
    // Events that arrive meanwhile cause no request of their own.
    rig.drain("s-3");
    assert_eq!(rig.pending_request.as_ref(), Some(&first), "the first retry is sent at once");
    rig.pending_request = None;
    rig.apply(OUTCOME_UNKNOWN);
    rig.drain_input();
    assert_eq!(
        rig.pending_request, None,
        "the second retry waits for a backoff, so that a failing relay does not receive requests continuously"
    );
    rig.now = rig.now + Span::ms(100);
    rig.drain_input();
    assert_eq!(rig.pending_request.as_ref(), Some(&first));
    rig.accept_request();
    assert!(rig.pending_request.as_ref().unwrap().contains("OUT,s-3"));
    rig.advance_ms(1000);
    assert!(!rig.owners().contains("s-2") && !rig.owners().contains("s-3"));
}

/// The relay applies each request but its responses are lost, so that each retry adds its lines to the command channel
/// again. Unlimited retries overfilled the channel (scenario join+mass, seed 112: 733,986 lines waiting, limit
/// 551,400).
#[test]
fn requests_of_unknown_outcome_do_not_overfill_the_channel() {
    let cap = 400;
    let mut rig =
        Rig::with_settings(300, |settings| settings["familyInfo"]["queueCap"] = json!(cap)).start_serving();
    rig.drain("s-2");
    let (mut waiting_lines, mut requests) = (0, 0);
    for _ in 0..20 {
        if let Some(request) = rig.pending_request.take() {
            (waiting_lines, requests) =
                (waiting_lines + (request.split(';').count() + 8) * rig.proxies as usize, requests + 1);
            rig.apply(OUTCOME_UNKNOWN);
        }
        assert!(waiting_lines <= cap, "{waiting_lines} lines waiting after {requests} requests, limit {cap}");
        rig.now = rig.now + Span::ms(100);
        rig.drain_input();
    }
    assert!(requests > 1, "a request is retried while the channel has room");
    // After 3 s without an acknowledgement no line can still be waiting, so the request was not applied.
    rig.now = rig.now + Span::ms(3000);
    rig.drain_input();
    rig.advance_ms(20_000);
    assert!(!rig.owners().contains("s-2"));
}

#[test]
fn new_targets_are_watched_and_a_pending_request_is_sent_first() {
    let mut rig = Rig::serving();
    rig.drain("s-2");
    let first = rig.pending_request.clone().unwrap();
    rig.apply(Event::RelayWatchLost(StreamError::Closed));
    rig.other_effects.clear();
    let targets_at = |relay_port, discovery_port| Targets {
        relay: SocketAddr::new(RELAY.ip(), relay_port),
        discovery: SocketAddr::new(RELAY.ip(), discovery_port),
    };
    rig.apply(Event::TargetsConfigured(targets_at(RELAY.port(), DISCOVERY.port())));
    assert_eq!(rig.other_effects, [], "unchanged targets open no watch");
    let (targets, before) = (targets_at(6401, 8501), rig.requests.len());
    rig.apply(Event::TargetsConfigured(targets));
    let expected = [
        Effect::WatchRelay { relay: targets.relay },
        Effect::WatchRegistry { discovery: targets.discovery, since: 41 },
    ];
    assert_eq!(rig.other_effects, expected);
    rig.pending_request = None;
    rig.apply(OUTCOME_UNKNOWN);
    rig.drain("s-3");
    assert_eq!((rig.pending_request.as_ref(), rig.relay), (Some(&first), Some(targets.relay)));
    rig.other_effects.clear();
    rig.send_snapshot(&[]);
    rig.advance_ms(1000);
    assert_eq!(rig.other_effects, [], "both watches are already reopened");
    assert!(rig.requests.len() > before && !rig.owners().contains("s-2") && !rig.owners().contains("s-3"));
}

#[test]
fn only_a_command_refused_twice_is_skipped() {
    let mut rig = Rig::serving();
    rig.drain("s-2");
    let request = rig.pending_request.clone().unwrap();
    let commands: Vec<_> = request.strip_prefix("APPLY ").unwrap().split(';').collect();
    // The number of commands that the relay reports as accepted, and the index at which the next request begins. An
    // impossible number is ignored. A wrong number costs a retry, but no command is lost.
    let mut start = 0;
    for (accepted, next) in [(usize::MAX, 0), (commands.len() + 1, 0), (0, 0), (2, 2), (1, 3), (0, 4)] {
        let before = rig.logs.len();
        rig.pending_request = None;
        rig.apply(Event::RelayResponse(Ok(Response::Accepted(accepted))));
        rig.drain_input();
        if rig.pending_request.is_none() {
            rig.now = rig.now + Span::ms(100);
            rig.drain_input();
        }
        // The later command for the slice of the skipped one is dropped too: it would leave the table empty.
        let skipped_slice_prefix = commands[3].split(',').take(2).collect::<Vec<_>>().join(",") + ",";
        let is_kept = |command: &&&str| next < 4 || !command.starts_with(&skipped_slice_prefix);
        let rest: Vec<_> = commands[next..].iter().filter(is_kept).copied().collect();
        assert!(
            next < 4 || rest.len() + 1 == commands.len() - 4,
            "one later command begins with {skipped_slice_prefix}"
        );
        assert_eq!(
            rig.pending_request,
            Some(format!("APPLY {}", rest.join(";"))),
            "{accepted} accepted of the request that began at {start}"
        );
        let skipped =
            rig.logs[before..].iter().any(|line| line.contains("skipped") && line.contains(commands[3]));
        assert_eq!(skipped, next == 4);
        start = next;
    }
    for line in ["OK", "OK -1", "OK 2 3", "OK x", "?????", "unavailablex", "ERR"] {
        assert!(decode_response(line).is_err(), "{line}");
    }
    assert_eq!(decode_response("-ERR unavailable"), Ok(Response::Retryable("-ERR unavailable".into())));
}

#[test]
fn lost_acknowledgements_are_covered_by_later_ones() {
    let set_single_writer =
        |settings: &mut serde_json::Value| settings["familyInfo"]["singleWriter"] = true.into();
    let mut rig = Rig::with_settings(12, set_single_writer).start_serving();
    rig.advance_ms(5000);
    rig.drain("s-2");
    let proxies = std::mem::take(&mut rig.proxies);
    rig.accept_request();
    rig.proxies = proxies;
    rig.advance_ms(500);
    let is_moved = |rig: &Rig| {
        rig.requests.iter().any(|request| request.contains("SET,2,") && request.contains("SET,8,"))
    };
    assert!(
        !is_moved(&rig),
        "a slice moves only after all proxies acknowledged that its requests are held back"
    );
    rig.drain("s-3");
    rig.advance_ms(1000);
    assert!(
        is_moved(&rig),
        "the acknowledgement of a later version covers the earlier one: {:?}",
        rig.requests
    );
}

#[test]
fn replicas_that_left_are_removed() {
    let mut rig = Rig::serving();
    let known_replicas = |rig: &mut Rig| {
        rig.apply(Event::RelayWatchLost(StreamError::Closed));
        rig.advance_ms(100);
        rig.send_snapshot(&[]);
        let line = rig.logs.last().unwrap().clone();
        line.rsplit('=').next().unwrap().parse::<usize>().unwrap()
    };
    assert_eq!(known_replicas(&mut rig), 6);
    for n in 0..2000 {
        // One replica drains, leaves and is replaced. Every 50th replacement has the name of an earlier replica.
        let name = if n % 50 == 49 { format!("s-{}", 6 + n - 49) } else { format!("s-{}", 6 + n) };
        let drained = rig.replicas.keys().nth(n % 6).unwrap().clone();
        rig.drain(&drained);
        rig.advance_ms(500);
        assert!(!rig.owners().contains(drained.as_str()));
        rig.replicas.remove(&drained);
        rig.replicas.insert(name, "active");
        rig.send_list();
        rig.advance_ms(1500);
    }
    rig.advance_ms(30_000);
    let requests = rig.requests.join(" ");
    assert!(requests.contains("OUT,s-100;") && requests.contains("IN,s-100;"));
    assert_eq!(known_replicas(&mut rig), 6, "known replicas after 2,000 replacements");
}

#[test]
fn rejected_request_is_dropped_and_the_relay_watch_reopened() {
    let mut rig = Rig::serving();
    rig.drain("s-2");
    rig.pending_request = None;
    rig.other_effects.clear();
    rig.apply(Event::RelayResponse(Ok(Response::Rejected("ERR bad_request".into()))));
    assert_eq!(rig.other_effects, [Effect::WatchRelay { relay: RELAY }]);
    rig.send_snapshot(&[]);
    rig.advance_ms(1000);
    assert!(!rig.owners().contains("s-2"), "the dropped commands are sent again");
}

#[test]
fn lost_relay_watch_is_reopened_and_its_partial_snapshot_discarded() {
    let mut rig = Rig::serving();
    // The watch is lost in the middle of a table. The partial table is discarded.
    rig.relay_event("OK");
    rig.relay_event("* GRANT 3 1");
    rig.apply(Event::RelayWatchLost(StreamError::Closed));
    rig.drain_input();
    assert_eq!(
        rig.other_effects.last(),
        Some(&Effect::WatchRegistry { discovery: DISCOVERY, since: 0 }),
        "the relay watch is reopened only after a backoff"
    );
    let before = rig.logs.len();
    rig.advance_ms(100);
    assert_eq!(rig.other_effects.last(), Some(&Effect::WatchRelay { relay: RELAY }));
    assert_eq!(rig.logs.len(), before, "a partial snapshot was treated as complete");
    // Meanwhile two proxies left, slice 4 moved to another controller and slice 5 to another replica.
    rig.store.insert(5, BTreeMap::from([("s-0".into(), 1.0)]));
    rig.proxies = 2;
    rig.send_snapshot(&[4]);
    rig.advance_ms(500);
    assert_eq!(
        rig.logs.last().unwrap(),
        "relay snapshot complete proxies=2 slices=11 changed_slices=1 replicas=6"
    );
    let before = rig.requests.len();
    rig.drain("s-4");
    rig.drain("s-0");
    rig.advance_ms(1000);
    let after = rig.requests[before..].join(" ");
    assert!(!after.contains("SET,4,") && after.contains("SET,10,s-4,0") && after.contains("SET,5,s-0,0"));
}

#[test]
fn stale_commands_for_a_revoked_slice_are_not_resent() {
    let mut rig = Rig::serving();
    rig.drain("s-2");
    assert!(rig.pending_request.take().unwrap().contains("SET,8,s-2,0"));
    rig.relay_event("* GRANT 8 0");
    rig.apply(OUTCOME_UNKNOWN);
    rig.drain_input();
    let retry = rig.pending_request.clone().unwrap();
    assert!(retry.contains("SET,2,s-2,0") && !retry.contains(",8,"), "{retry}");
}

#[test]
fn newer_commands_for_a_slice_that_returns_are_sent() {
    let mut rig = Rig::serving();
    rig.drain("s-2");
    // Another controller owned slice 8 meanwhile. The slice returns with a draining replica in its table.
    rig.store.insert(8, BTreeMap::from([("s-2".into(), 1.0)]));
    for line in ["* GRANT 8 0", "* GRANT 8 1", "* ROW 8 s-2 1.0", "*"] {
        rig.relay_event(line);
    }
    rig.other_effects.clear();
    rig.advance_ms(100);
    assert_eq!(
        rig.other_effects,
        [Effect::WatchRelay { relay: RELAY }],
        "the pending request may or may not have been applied to the slice"
    );
    rig.send_snapshot(&[]);
    rig.advance_ms(1000);
    assert!(!rig.owners().contains("s-2"));
}

#[test]
fn routing_tables_of_a_pending_request_do_not_count_as_changed() {
    let mut rig = Rig::serving();
    rig.drain("s-2");
    let request = rig.pending_request.take().unwrap();
    rig.apply(Event::RelayResponse(Err(RequestError::NotSent(StreamError::Closed))));
    // The relay returns with unchanged tables: only the pending request is sent again.
    rig.send_snapshot(&[]);
    assert_eq!(rig.pending_request.as_ref(), Some(&request));
    rig.accept_request();
    rig.advance_ms(250);
    let times_sent = rig.requests.iter().filter(|sent| sent.contains("SET,2,s-2,0")).count();
    assert_eq!(times_sent, 2, "{:?}", rig.requests);
}

#[test]
fn lost_registry_watch_is_opened_again() {
    let mut rig = Rig::serving();
    rig.logs.clear();
    for (error, since) in [(StreamError::Closed, 41), (StreamError::Unreadable("malformed list".into()), 0)] {
        rig.apply(Event::EndpointListWatchLost(error));
        rig.drain_input();
        rig.advance_ms(100);
        assert_eq!(rig.other_effects.last(), Some(&Effect::WatchRegistry { discovery: DISCOVERY, since }));
    }
    rig.send_list();
    let expected = ["registry watch failed reason=\"closed by peer\"", "registry watch recovered failures=2"];
    assert_eq!(rig.logs, expected, "an outage logs two lines, not one per attempt");
}

#[test]
fn endpoint_list_is_polled_while_a_relay_request_is_pending() {
    let mut rig = Rig::with_settings(12, |settings| settings["membershipMode"] = "ask".into());
    rig.drain_input();
    assert_eq!(
        rig.other_effects,
        [Effect::WatchRelay { relay: RELAY }, Effect::WatchRegistry { discovery: DISCOVERY, since: 0 }]
    );
    rig.send_list();
    rig.send_snapshot(&[]);
    rig.advance_ms(2000);
    rig.drain("s-2");
    assert!(rig.pending_request.is_some());
    rig.apply(Event::EndpointListWatchLost(StreamError::TimedOut));
    for _ in 0..31 {
        rig.now = rig.now + Span::ms(100);
        rig.drain_input();
    }
    assert_eq!(rig.other_effects.last(), Some(&Effect::WatchRegistry { discovery: DISCOVERY, since: 41 }));
}

#[test]
fn commands_that_exceed_one_request_are_sent_in_several_in_order() {
    let mut rig = Rig::with_settings(5000, |_| {});
    rig.send_list();
    rig.send_snapshot(&[]);
    rig.advance_ms(4000);
    let [first, second] =
        &rig.requests.iter().filter(|request| request.contains("SET,")).collect::<Vec<_>>()[..]
    else {
        panic!("{} requests", rig.requests.len())
    };
    assert!(first.len() < 60_010 && !first.contains("SYNC"));
    // Some proxies may have received the first request only, so the SYNC is addressed to all proxies.
    assert!(second.contains("SYNC,") && second.ends_with(",1"));
    assert!(rig.store.values().all(|table| table.len() == 2));
}

/// Random actions: relay requests are answered, lost before or after they were applied, or refused; watches are lost;
/// replicas drain and return; slices are revoked and granted.
#[derive(Clone, Debug)]
struct RandomActions(Vec<(u8, u32)>);

impl Arbitrary for RandomActions {
    fn arbitrary(gen: &mut Gen) -> Self {
        RandomActions(Vec::arbitrary(gen))
    }
}

#[test]
fn store_ends_as_commanded_under_random_failures() {
    for seed in 0..100 {
        let actions = RandomActions::arbitrary(&mut Gen::from_size_and_seed(80, seed));
        let mut rig = Rig::serving();
        for (action, n) in &actions.0 {
            let replica = format!("s-{}", n % 6);
            match action % 9 {
                0 if rig.replicas.values().filter(|state| **state == "active").count() > 2 => {
                    rig.drain(&replica);
                }
                1 => {
                    rig.replicas.insert(replica, "active");
                    rig.send_list();
                    rig.drain_input();
                }
                2 | 3 => {
                    if let Some(request) = rig.pending_request.take() {
                        if action % 9 == 2 {
                            rig.apply_request(&request);
                        }
                        rig.apply(OUTCOME_UNKNOWN);
                        rig.drain_input();
                    }
                }
                4 if rig.pending_request.take().is_some() => {
                    rig.apply(Event::RelayResponse(Ok(Response::Retryable("ERR unavailable".into()))));
                    rig.drain_input();
                }
                5 => {
                    rig.apply(Event::RelayWatchLost(StreamError::Closed));
                    rig.send_snapshot(&[]);
                }
                6 => {
                    let slice = n % 12;
                    rig.relay_event(&format!("* GRANT {slice} 0"));
                    rig.relay_event(&format!("* GRANT {slice} 1"));
                    let rows = rig.store[&slice].clone();
                    rows.iter()
                        .for_each(|(s, weight)| rig.relay_event(&format!("* ROW {slice} {s} {weight}")));
                    rig.drain_input();
                }
                7 => {
                    rig.now = rig.wake_at.unwrap_or(rig.now).max(rig.now);
                    rig.drain_input();
                }
                _ => rig.advance_ms(u64::from(n % 400)),
            }
            rig.resend_snapshot_if_requested();
        }
        while rig.resend_snapshot_if_requested() || rig.pending_request.is_some() {
            rig.advance_ms(1000);
        }
        rig.advance_ms(8000);
        rig.apply(Event::RelayWatchLost(StreamError::Closed));
        rig.advance_ms(100);
        rig.send_snapshot(&[]);
        let expected_line = "relay snapshot complete proxies=4 slices=12 changed_slices=0 replicas=6";
        assert_eq!(rig.logs.last().unwrap(), expected_line, "seed {seed}: {actions:?}");
        let drained = rig.owners().into_iter().find(|replica| rig.replicas[*replica] == "leaving");
        assert_eq!(drained, None, "seed {seed}: {actions:?}");
    }
}

#[test]
fn slice_at_a_replica_that_is_warming_up_is_logged_with_what_is_known_of_it() {
    let mut rig = Rig::serving();
    rig.advance_ms(1000);
    let started_ms = (rig.now - Span::ms(2000) - Moment::default()).as_ns() / 1_000_000;
    let entry = json!({"id": "s-9", "zone": "north", "state": "active", "started_ms": started_ms});
    let list = json!({"version": 42, "full": false, "servers": [entry]}).to_string();
    rig.apply(Event::EndpointListReceived(discovery::decode(&list).unwrap().unwrap()));
    rig.relay_event("* GRANT 3 0");
    rig.relay_event("* GRANT 3 1");
    rig.relay_event("* ROW 3 s-9 1.0");
    rig.relay_event("*");
    rig.advance_ms(300);
    let line = rig.logs.iter().find(|line| line.contains("slice assigned to cold replica"));
    let expected =
        "slice assigned to cold replica replica=s-9 slice=3 age_s=2.0 slice_demand=0.0 reduction=0.00 \
                    owners=1 granted_s=0.0 replica_demand=0.0 budget=0.0";
    assert_eq!(line.map(String::as_str), Some(expected), "{:?}", rig.logs);
}
