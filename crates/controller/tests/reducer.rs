//! The reducer's answers to one event after another, without sockets.

mod support;

use quickcheck::{Arbitrary, Gen};
use serde_json::json;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use support::rig::*;
use whinwall_policy::time::Span;
use whinwall_protocol::discovery;
use whinwall_protocol::relay::{decode_response, Response};
use whinwall_routing::{Effect, Event};
use whinwall_transport::{RequestError, StreamError, Targets};

#[test]
fn commands_rest_on_complete_routing_tables() {
    let mut rig = Rig::new();
    rig.send_list();
    for line in ["OK", "* SUBSCRIBE 0 north 9.5 1", "* GRANT 3 1"] {
        rig.relay_event(line);
    }
    // The piece ends here: the row is still under way, and the table must not be taken for empty.
    rig.advance_ms(900);
    assert!(!rig.requests.join(" ").contains("SET"), "{:?}", rig.requests);
    rig.relay_event("* ROW 3 s-3 1.0");
    rig.advance_ms(3000);
    let made = rig.requests.join(" ");
    assert!(!made.contains("SET,3,s-3,") && made.contains("SET,3,"), "who stands by is all it lacks: {made}");
    // A line that comes late is in the table all the same, and leaves it with its replica.
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
    let call = rig.requests[before..].first().expect("no call follows a drain").clone();
    assert!(
        call.starts_with("APPLY OUT,s-2;") && call.contains("SET,2,s-2,0") && call.contains("SET,8,s-2,0")
    );
    rig.advance_ms(1000);
    assert!(!rig.owners().contains("s-2"));
}

/// Lists doubled, out of order, lower in version, empty, of places that nobody knows, with absurd starts: one that leaves
/// gets nothing again until it is listed as active.
#[test]
fn outdated_lists_do_not_return_a_draining_replica() {
    let mut rig = Rig::serving();
    rig.drain("s-2");
    rig.advance_ms(1000);
    let entry = |id: &str, state: &str, zone: &str, started: u64| json!({"id": id, "zone": zone, "state": state, "started_ms": started});
    let (leaves, far) = (entry("s-2", "leaving", "north", 0), entry("s-1", "active", "north", u64::MAX));
    let others = |zone: &str| [0, 1, 3, 4, 5].map(|n| entry(&format!("s-{n}"), "active", zone, 0));
    let whole = |zone: &str| [vec![leaves.clone()], others(zone).to_vec()].concat();
    let twice = [others("north").to_vec(), whole("south")].concat();
    let odd = [
        json!({"version": 42, "full": false, "servers": [leaves, leaves, leaves]}),
        json!({"version": 7, "full": false, "servers": [leaves]}),
        json!({"version": 43, "full": false, "servers": []}),
        json!({"version": 44, "full": true, "servers": whole("nowhere")}),
        json!({"version": 45, "full": true, "servers": whole("north").into_iter().rev().collect::<Vec<_>>()}),
        json!({"version": 46, "full": false, "servers": [far, leaves]}),
        json!({"version": 46, "full": true, "servers": twice}),
    ];
    let before = rig.requests.len();
    for list in odd {
        rig.apply(Event::EndpointListReceived(discovery::decode(&list.to_string()).unwrap().unwrap()));
        rig.advance_ms(700);
    }
    let again =
        |call: &String| call.contains("IN,s-2") || call.contains(",s-2,1") || call.contains(",s-2,0.");
    assert!(!rig.requests[before..].iter().any(again), "{:?}", &rig.requests[before..]);
    let back = json!({"version": 50, "full": false, "servers": [entry("s-2", "active", "north", 0)]});
    rig.apply(Event::EndpointListReceived(discovery::decode(&back.to_string()).unwrap().unwrap()));
    rig.advance_ms(3000);
    assert!(rig.requests[before..].iter().any(|call| call.contains("IN,s-2")));
}

#[test]
fn pending_request_is_resent_before_newer_commands() {
    let mut rig = Rig::serving();
    rig.drain("s-2");
    let first = rig.pending_request.take().unwrap();
    rig.apply(OUTCOME_UNKNOWN);
    // What is learnt meanwhile makes no call of its own.
    rig.drain("s-3");
    assert_eq!(rig.pending_request.as_ref(), Some(&first), "the first repeat is made at once");
    rig.pending_request = None;
    rig.apply(OUTCOME_UNKNOWN);
    rig.drain_input();
    assert_eq!(
        rig.pending_request, None,
        "the second repeat waits, or a broken relay would be called without end"
    );
    rig.now = rig.now + Span::ms(100);
    rig.drain_input();
    assert_eq!(rig.pending_request.as_ref(), Some(&first));
    rig.accept_request();
    assert!(rig.pending_request.as_ref().unwrap().contains("OUT,s-3"));
    rig.advance_ms(1000);
    assert!(!rig.owners().contains("s-2") && !rig.owners().contains("s-3"));
}

/// The relay carries out each call and its answers are lost: what lies in the channel then is each of them
/// (seen on `join+mass`, seed 112: 733,986 lines waited where 551,400 may).
#[test]
fn requests_of_unknown_outcome_do_not_overfill_the_channel() {
    let cap = 400;
    let mut rig =
        Rig::with_settings(300, |settings| settings["familyInfo"]["queueCap"] = json!(cap)).start_serving();
    rig.drain("s-2");
    let (mut waiting, mut calls) = (0, 0);
    for _ in 0..20 {
        if let Some(call) = rig.pending_request.take() {
            (waiting, calls) = (waiting + (call.split(';').count() + 8) * rig.proxies as usize, calls + 1);
            rig.apply(OUTCOME_UNKNOWN);
        }
        assert!(waiting <= cap, "{waiting} lines in {calls} calls");
        rig.now = rig.now + Span::ms(100);
        rig.drain_input();
    }
    assert!(calls > 1, "it is said again at once where there is room");
    // Nothing is acked for so long that nothing can wait any more: it was never carried out.
    rig.now = rig.now + Span::ms(3000);
    rig.drain_input();
    rig.advance_ms(20_000);
    assert!(!rig.owners().contains("s-2"));
}

#[test]
fn new_targets_are_watched_and_a_pending_request_stays_the_first() {
    let mut rig = Rig::serving();
    rig.drain("s-2");
    let first = rig.pending_request.clone().unwrap();
    rig.apply(Event::RelayWatchLost(StreamError::Closed));
    rig.other_effects.clear();
    let moved = |port, other| Targets {
        relay: SocketAddr::new(RELAY.ip(), port),
        discovery: SocketAddr::new(RELAY.ip(), other),
    };
    rig.apply(Event::TargetsConfigured(moved(RELAY.port(), DISCOVERY.port())));
    assert_eq!(rig.other_effects, [], "nothing has moved");
    let (targets, before) = (moved(6401, 8501), rig.requests.len());
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
    assert_eq!(rig.other_effects, [], "what was to be asked for again is asked for already");
    assert!(rig.requests.len() > before && !rig.owners().contains("s-2") && !rig.owners().contains("s-3"));
}

#[test]
fn only_a_command_refused_twice_is_skipped() {
    let mut rig = Rig::serving();
    rig.drain("s-2");
    let call = rig.pending_request.clone().unwrap();
    let orders: Vec<_> = call.strip_prefix("APPLY ").unwrap().split(';').collect();
    // What was taken, as the relay says, and where the next call begins: a figure that can't be says nothing,
    // one that is wrong costs a repeat and no order.
    let mut from = 0;
    for (taken, next) in [(usize::MAX, 0), (orders.len() + 1, 0), (0, 0), (2, 2), (1, 3), (0, 4)] {
        let before = rig.logs.len();
        rig.pending_request = None;
        rig.apply(Event::RelayResponse(Ok(Response::Accepted(taken))));
        rig.drain_input();
        if rig.pending_request.is_none() {
            rig.now = rig.now + Span::ms(100);
            rig.drain_input();
        }
        // With the order that is skipped goes what it would have gone with: the old line alone would leave the table bare.
        let with_skipped = orders[3].split(',').take(2).collect::<Vec<_>>().join(",") + ",";
        let stays = |order: &&&str| next < 4 || !order.starts_with(&with_skipped);
        let rest: Vec<_> = orders[next..].iter().filter(stays).copied().collect();
        assert!(next < 4 || rest.len() + 1 == orders.len() - 4, "{with_skipped} has an old line behind it");
        assert_eq!(rig.pending_request, Some(format!("APPLY {}", rest.join(";"))), "{taken} from {from}");
        let skipped =
            rig.logs[before..].iter().any(|note| note.contains("skipped") && note.contains(orders[3]));
        assert_eq!(skipped, next == 4);
        from = next;
    }
    for line in ["OK", "OK -1", "OK 2 3", "OK x", "?????", "unavailablex", "ERR"] {
        assert!(decode_response(line).is_err(), "{line}");
    }
    assert_eq!(decode_response("-ERR unavailable"), Ok(Response::Retryable("-ERR unavailable".into())));
}

#[test]
fn lost_acknowledgements_are_covered_by_later_ones() {
    let single = |settings: &mut serde_json::Value| settings["familyInfo"]["singleWriter"] = true.into();
    let mut rig = Rig::with_settings(12, single).start_serving();
    rig.advance_ms(5000);
    rig.drain("s-2");
    let proxies = std::mem::take(&mut rig.proxies);
    rig.accept_request();
    rig.proxies = proxies;
    rig.advance_ms(500);
    let moved =
        |rig: &Rig| rig.requests.iter().any(|call| call.contains("SET,2,") && call.contains("SET,8,"));
    assert!(!moved(&rig), "a single writer waits until all know that ops are held back");
    rig.drain("s-3");
    rig.advance_ms(1000);
    assert!(moved(&rig), "who is through with what came later has the former too: {:?}", rig.requests);
}

#[test]
fn replicas_can_be_replaced_without_end() {
    let mut rig = Rig::serving();
    let known = |rig: &mut Rig| {
        rig.apply(Event::RelayWatchLost(StreamError::Closed));
        rig.advance_ms(100);
        rig.send_snapshot(&[]);
        let note = rig.logs.last().unwrap().clone();
        note.rsplit('=').next().unwrap().parse::<usize>().unwrap()
    };
    assert_eq!(known(&mut rig), 6);
    for n in 0..2000 {
        // One drains, leaves, and is replaced; now and then one comes back whose name was heard before.
        let name = if n % 50 == 49 { format!("s-{}", 6 + n - 49) } else { format!("s-{}", 6 + n) };
        let former = rig.replicas.keys().nth(n % 6).unwrap().clone();
        rig.drain(&former);
        rig.advance_ms(500);
        assert!(!rig.owners().contains(former.as_str()));
        rig.replicas.remove(&former);
        rig.replicas.insert(name, "active");
        rig.send_list();
        rig.advance_ms(1500);
    }
    rig.advance_ms(30_000);
    let calls = rig.requests.join(" ");
    assert!(calls.contains("OUT,s-100;") && calls.contains("IN,s-100;"));
    assert_eq!(known(&mut rig), 6, "those that went are forgotten");
}

#[test]
fn rejected_request_is_dropped_and_the_store_read_again() {
    let mut rig = Rig::serving();
    rig.drain("s-2");
    rig.pending_request = None;
    rig.other_effects.clear();
    rig.apply(Event::RelayResponse(Ok(Response::Rejected("ERR bad_request".into()))));
    assert_eq!(rig.other_effects, [Effect::WatchRelay { relay: RELAY }]);
    rig.send_snapshot(&[]);
    rig.advance_ms(1000);
    assert!(!rig.owners().contains("s-2"), "what was dropped is ordered again");
}

#[test]
fn broken_relay_watch_is_made_up_for() {
    let mut rig = Rig::serving();
    // A break in the middle of a table: the half is forgotten.
    rig.relay_event("OK");
    rig.relay_event("* GRANT 3 1");
    rig.apply(Event::RelayWatchLost(StreamError::Closed));
    rig.drain_input();
    assert_eq!(
        rig.other_effects.last(),
        Some(&Effect::WatchRegistry { discovery: DISCOVERY, since: 0 }),
        "it pauses first"
    );
    let before = rig.logs.len();
    rig.advance_ms(100);
    assert_eq!(rig.other_effects.last(), Some(&Effect::WatchRelay { relay: RELAY }));
    assert_eq!(rig.logs.len(), before, "half a snapshot was taken for all that stands");
    // Meanwhile two proxies left, slice 4 went to another controller, and slice 5 to another replica.
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
fn stale_commands_for_a_slice_that_changed_hands_are_not_resent() {
    let mut rig = Rig::serving();
    rig.drain("s-2");
    assert!(rig.pending_request.take().unwrap().contains("SET,8,s-2,0"));
    rig.relay_event("* GRANT 8 0");
    rig.apply(OUTCOME_UNKNOWN);
    rig.drain_input();
    let again = rig.pending_request.clone().unwrap();
    assert!(again.contains("SET,2,s-2,0") && !again.contains(",8,"), "{again}");
}

#[test]
fn newer_commands_for_a_slice_that_changed_hands_are_sent() {
    let mut rig = Rig::serving();
    rig.drain("s-2");
    // Another controller had it meanwhile; it comes back on a replica that drains.
    rig.store.insert(8, BTreeMap::from([("s-2".into(), 1.0)]));
    for line in ["* GRANT 8 0", "* GRANT 8 1", "* ROW 8 s-2 1.0", "*"] {
        rig.relay_event(line);
    }
    rig.other_effects.clear();
    rig.advance_ms(100);
    assert_eq!(
        rig.other_effects,
        [Effect::WatchRelay { relay: RELAY }],
        "the open call may have met the slice, or not"
    );
    rig.send_snapshot(&[]);
    rig.advance_ms(1000);
    assert!(!rig.owners().contains("s-2"));
}

#[test]
fn routing_tables_under_a_pending_request_do_not_count_as_changed() {
    let mut rig = Rig::serving();
    rig.drain("s-2");
    let call = rig.pending_request.take().unwrap();
    rig.apply(Event::RelayResponse(Err(RequestError::NotSent(StreamError::Closed))));
    // The relay is back with the tables as they were: the call is still to come, and it alone.
    rig.send_snapshot(&[]);
    assert_eq!(rig.pending_request.as_ref(), Some(&call));
    rig.accept_request();
    rig.advance_ms(250);
    let again = rig.requests.iter().filter(|made| made.contains("SET,2,s-2,0")).count();
    assert_eq!(again, 2, "{:?}", rig.requests);
}

#[test]
fn lost_registry_watch_is_opened_again() {
    let mut rig = Rig::serving();
    rig.logs.clear();
    for (why, since) in
        [(StreamError::Closed, 41), (StreamError::Unreadable("a list that is none".into()), 0)]
    {
        rig.apply(Event::EndpointListWatchLost(why));
        rig.drain_input();
        rig.advance_ms(100);
        assert_eq!(rig.other_effects.last(), Some(&Effect::WatchRegistry { discovery: DISCOVERY, since }));
    }
    rig.send_list();
    let notes = ["registry watch failed reason=\"closed by peer\"", "registry watch recovered failures=2"];
    assert_eq!(rig.logs, notes, "an outage is worth two lines, not one an attempt");
}

#[test]
fn list_is_polled_though_the_relay_is_silent() {
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
fn reply_too_large_for_a_request_becomes_several_in_order() {
    let mut rig = Rig::with_settings(5000, |_| {});
    rig.send_list();
    rig.send_snapshot(&[]);
    rig.advance_ms(4000);
    let [first, second] = &rig.requests.iter().filter(|call| call.contains("SET,")).collect::<Vec<_>>()[..]
    else {
        panic!("{} calls", rig.requests.len())
    };
    assert!(first.len() < 60_010 && !first.contains("SYNC"));
    // Some proxies may have got the first piece only: all are asked whether they are through.
    assert!(second.contains("SYNC,") && second.ends_with(",1"));
    assert!(rig.store.values().all(|table| table.len() == 2));
}

/// What happens, in any order: every call is answered, lost before or after it was carried out, or turned
/// away; news break off; replicas drain and return; slices go and come.
#[derive(Clone, Debug)]
struct Deeds(Vec<(u8, u32)>);

impl Arbitrary for Deeds {
    fn arbitrary(gen: &mut Gen) -> Self {
        Deeds(Vec::arbitrary(gen))
    }
}

#[test]
fn store_ends_as_commanded_under_drawn_failures() {
    for seed in 0..100 {
        let deeds = Deeds::arbitrary(&mut Gen::from_size_and_seed(80, seed));
        let mut rig = Rig::serving();
        for (deed, n) in &deeds.0 {
            let replica = format!("s-{}", n % 6);
            match deed % 9 {
                0 if rig.replicas.values().filter(|state| **state == "active").count() > 2 => {
                    rig.drain(&replica);
                }
                1 => {
                    rig.replicas.insert(replica, "active");
                    rig.send_list();
                    rig.drain_input();
                }
                2 | 3 => {
                    if let Some(call) = rig.pending_request.take() {
                        if deed % 9 == 2 {
                            rig.apply_request(&call);
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
        let stands = "relay snapshot complete proxies=4 slices=12 changed_slices=0 replicas=6";
        assert_eq!(rig.logs.last().unwrap(), stands, "seed {seed}: {deeds:?}");
        let drained = rig.owners().into_iter().find(|replica| rig.replicas[*replica] == "leaving");
        assert_eq!(drained, None, "seed {seed}: {deeds:?}");
    }
}
