//! Two events that cross: each test makes the bad order happen every time.

mod stand_ins;

use serde_json::json;
use stand_ins::rig::*;
use whinwall::time::Span;
use whinwall_governor::protocol::relay::Answer;
use whinwall_governor::routing::Event;

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
