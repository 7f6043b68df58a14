//! Two events that cross: each test makes the bad order happen every time.

mod stand_ins;

use serde_json::json;
use stand_ins::rig::*;
use std::collections::BTreeMap;
use whinwall::time::Span;
use whinwall_governor::protocol::discovery;
use whinwall_governor::protocol::relay::Answer;
use whinwall_governor::routing::{Effect, Event};
use whinwall_governor::transport::Broken;

/// Each attempt at a call whose answer is lost may have been carried out, and then it is one more message to every
/// proxy (rule 5): no more of them than the window allows, however long the relay is mute.
#[test]
fn repeats_of_unknown_outcome_keep_the_message_cap() {
    let (cap, window) = (10, Span::ms(10_000));
    let mut rig = Rig::with(12, |settings| {
        settings["familyInfo"]["updateCap"] = json!(cap);
        settings["familyInfo"]["reloadSpanNs"] = json!(window.as_ns());
    })
    .set_going();
    rig.pass(20_000);
    rig.drain("s-2");
    let mut made = Vec::new();
    for _ in 0..400 {
        if rig.open.take().is_some() {
            made.push(rig.now);
            rig.tell(UNKNOWN);
        }
        rig.now = rig.now + Span::ms(100);
        rig.quiet();
        let recent = made.iter().filter(|at| rig.now - **at < window).count();
        assert!(recent <= cap, "{recent} messages within the window, of {} in all", made.len());
    }
    assert!(made.len() > cap, "it is said again once the window has passed: {made:?}");
}

/// A relay that takes one order at a time makes each rest a message of its own.
#[test]
fn answers_that_are_short_keep_the_message_cap() {
    let (cap, window) = (10, Span::ms(10_000));
    let mut rig = Rig::with(60, |settings| {
        settings["familyInfo"]["updateCap"] = json!(cap);
        settings["familyInfo"]["reloadSpanNs"] = json!(window.as_ns());
    })
    .set_going();
    rig.pass(20_000);
    rig.drain("s-2");
    let mut made = Vec::new();
    for _ in 0..400 {
        if rig.open.take().is_some() {
            made.push(rig.now);
            rig.tell(Event::Answer(Ok(Answer::Taken(1))));
        }
        rig.now = rig.now + Span::ms(50);
        rig.quiet();
        let recent = made.iter().filter(|at| rig.now - **at < window).count();
        assert!(recent <= cap, "{recent} messages within the window, of {} in all", made.len());
    }
    assert!(made.len() > cap, "the rest is said once the window has passed: {made:?}");
}

/// A proxy whose acks are held up holds the former table, and writes by it: no new owner before it has acked that its ops
/// are held back, however long that takes (rule 2).
#[test]
fn a_single_writer_changes_hands_only_once_all_have_acked() {
    let mut rig = Rig::with(12, |settings| settings["familyInfo"]["singleWriter"] = json!(true)).set_going();
    rig.pass(10_000);
    let before = rig.calls.len();
    let proxies = std::mem::replace(&mut rig.proxies, 3);
    rig.drain("s-2");
    rig.pass(20_000);
    let moved =
        |rig: &Rig| rig.calls[before..].iter().any(|call| call.contains("SET,2,") || call.contains("SET,8,"));
    assert!(!moved(&rig), "the fourth has acked nothing: {:?}", &rig.calls[before..]);
    rig.proxies = proxies;
    rig.pass(20_000);
    assert!(moved(&rig), "all have acked: {:?}", &rig.calls[before..]);
}

/// A proxy that we never met may have been joined to the former governor of a slice until it was given to us, and writes
/// by its table for the tenure.
#[test]
fn a_single_writer_given_to_us_keeps_its_owner_for_the_tenure() {
    let tenure = 4000;
    let mut rig = Rig::with(12, |settings| settings["familyInfo"]["singleWriter"] = json!(true)).set_going();
    rig.pass(20_000);
    rig.news("* GRANT 2 0");
    rig.pass(1000);
    rig.news("* GRANT 2 1");
    rig.news("* ROW 2 s-2 1.0");
    rig.news("*");
    let before = rig.calls.len();
    rig.drain("s-2");
    rig.pass(tenure - 200);
    let moved = |rig: &Rig| rig.calls[before..].iter().any(|call| call.contains("SET,2,"));
    assert!(!moved(&rig), "within the tenure: {:?}", &rig.calls[before..]);
    rig.pass(3000);
    assert!(moved(&rig), "after the tenure: {:?}", &rig.calls[before..]);
}

/// Drain after drain, each of several stages, under a cap on messages: what drains is held back within the grace, though
/// all other orders would use the cap up (kitchen-help, herd+mass 21: one governor said nothing for 4.8 s).
#[test]
fn drains_that_follow_each_other_find_a_message_within_the_grace() {
    let grace = Span::ms(2000);
    let mut rig = Rig::with(60, |settings| {
        settings["familyInfo"]["singleWriter"] = json!(true);
        settings["familyInfo"]["updateCap"] = json!(12);
        settings["obligations"]["drainGraceNs"] = json!(grace.as_ns());
    });
    rig.servers = (0..20).map(|n| (format!("s-{n}"), "active")).collect();
    rig.store = (0..60).map(|n| (n, BTreeMap::from([(format!("s-{}", n % 20), 1.0)]))).collect();
    let mut rig = rig.set_going();
    rig.pass(20_000);
    for n in 0..14 {
        let server = format!("s-{n}");
        rig.drain(&server);
        rig.pass(1500);
        for slice in rig.store.iter().filter(|(_, table)| table.contains_key(&server)).map(|(n, _)| *n) {
            let start = format!("LIMIT,{slice},");
            let last =
                rig.calls.iter().flat_map(|call| call.split([';', ' '])).rfind(|o| o.starts_with(&start));
            assert!(last.is_some_and(|level| level.ends_with(",0,0")), "{slice} of {server}: {last:?}");
        }
    }
}

/// Where one owner writes nothing is ever withdrawn: to let all servers in after a restart took the channel from what
/// had to be held back (kitchen-help, roll+mass 21: four messages of 80 lines).
#[test]
fn a_single_writers_restart_lets_in_nobody() {
    let mut rig = Rig::with(12, |settings| settings["familyInfo"]["singleWriter"] = json!(true));
    rig.list();
    rig.news("OK");
    rig.news("* SUBSCRIBE 7 north 21.5 0");
    rig.standing(&[]);
    rig.news("* SUBSCRIBE 8 north 21.5 0");
    rig.pass(5000);
    assert!(!rig.calls.iter().any(|call| call.contains("IN,")), "{:?}", rig.calls);
}

fn entry(id: &str, state: &str, started_ms: u64) -> serde_json::Value {
    json!({"id": id, "zone": "north", "state": state, "started_ms": started_ms})
}

fn tell_list(rig: &mut Rig, version: u64, whole: bool, servers: Vec<serde_json::Value>) {
    let list = json!({"version": version, "full": whole, "servers": servers});
    rig.tell(Event::List(discovery::decode(&list.to_string()).unwrap().unwrap()));
    rig.quiet();
}

/// After a move the agent is behind: its whole list is from before a drain and a new server.
#[test]
fn an_agent_that_is_behind_takes_nothing_back() {
    let mut rig = Rig::serving();
    rig.pass(5000);
    rig.drain("s-2");
    rig.pass(1000);
    let new = vec![entry("s-7", "active", 1_700_000_000_000)];
    tell_list(&mut rig, 43, false, new);
    rig.servers.insert("s-7".into(), "active");
    rig.pass(1000);
    let before = rig.calls.len();
    let all = || (0..6).map(|n| entry(&format!("s-{n}"), "active", 0)).collect();
    tell_list(&mut rig, 40, true, all());
    rig.pass(4000);
    let made = rig.calls[before..].join(" ");
    assert!(!made.contains("IN,s-2") && !made.contains(",s-2,1") && !made.contains("OUT,s-7"), "{made}");
    // What it tells that is new counts all the same.
    tell_list(&mut rig, 41, false, vec![entry("s-3", "leaving", 0)]);
    rig.pass(1000);
    assert!(!rig.owners().contains("s-3") && !rig.owners().contains("s-2"));
    // It catches up, and from there on all is taken at its word.
    tell_list(&mut rig, 44, false, vec![entry("s-2", "active", 0)]);
    rig.pass(3000);
    assert!(rig.calls.iter().any(|call| call.contains("IN,s-2")));
}

/// One that stays below the version held has begun its count anew: the whole list is asked for, and believed.
#[test]
fn a_count_that_began_anew_is_believed_after_a_while() {
    let mut rig = Rig::serving();
    rig.drain("s-2");
    rig.pass(1000);
    let all = || (0..6).map(|n| entry(&format!("s-{n}"), "active", 0)).collect();
    rig.follows.clear();
    for _ in 0..5 {
        tell_list(&mut rig, 3, true, all());
        rig.pass(2000);
    }
    let whole = Effect::FollowList { discovery: DISCOVERY, since: 0 };
    assert!(rig.follows.contains(&whole), "{:?}", rig.follows);
    tell_list(&mut rig, 3, true, all());
    rig.pass(3000);
    assert!(rig.calls.iter().any(|call| call.contains("IN,s-2")));
}

/// Governors whose ways broke at the same instant must not come again together each time.
#[test]
fn pauses_are_drawn_from_the_seed() {
    let wakes = |seed| {
        let mut rig = Rig::with_seed(12, seed, |_| {}).set_going();
        (0..8)
            .map(|_| {
                rig.tell(Event::NewsLost(Broken::Closed));
                rig.quiet();
                let pause = rig.wake.unwrap() - rig.now;
                assert!(pause <= Span::ms(100), "{pause:?}");
                rig.pass(200);
                pause
            })
            .collect::<Vec<_>>()
    };
    assert_eq!(wakes(1), wakes(1));
    assert_ne!(wakes(1), wakes(2));
}
