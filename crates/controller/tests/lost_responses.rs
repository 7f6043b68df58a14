//! Requests of the relay whose responses get lost, with and without a limit on messages per proxy.

mod support;

use serde_json::json;
use support::store_model::{Answers, StoreModel};
use whinwall_policy::time::{Moment, Span};

const SLICES: u32 = 12;
const SLICE_OF_DRAINED: u32 = 2;
const MESSAGE_LIMIT: usize = 12;
const MESSAGE_WINDOW: Span = Span::ms(10_000);
/// The time for which the limits of the rules wait after a request without a response.
const WAIT_AFTER_SILENCE: Span = Span::ms(1500);

/// A site with single writers, and with a limit on messages and this drain grace period.
fn store_with_message_limit(grace: Span) -> StoreModel {
    StoreModel::serving(SLICES, |settings| {
        settings["familyInfo"]["singleWriter"] = json!(true);
        settings["familyInfo"]["updateCap"] = json!(MESSAGE_LIMIT);
        settings["familyInfo"]["reloadSpanNs"] = json!(MESSAGE_WINDOW.as_ns());
        settings["obligations"]["drainGraceNs"] = json!(grace.as_ns());
    })
}

/// Each request that the relay has received may have become a message to each proxy.
fn assert_message_limit(received_at: &[Moment], context: &str) {
    for first in received_at {
        let in_window =
            received_at.iter().filter(|at| *at >= first && **at - *first < MESSAGE_WINDOW).count();
        assert!(in_window <= MESSAGE_LIMIT, "{context}: {in_window} messages within {MESSAGE_WINDOW:?}");
    }
}

/// Guards against resends that use up the limit on messages, so that a draining replica gets requests long after the
/// relay responds again (review/3).
#[test]
fn requests_for_a_draining_replica_are_held_back_soon_after_lost_responses() {
    for grace_ms in [2000, 2500, 4000] {
        for outage_ms in [200, 1000, 2000, 3000, 4500, 6000, 12_000] {
            for used_messages in [0, 3] {
                let context =
                    format!("grace {grace_ms} ms, outage {outage_ms} ms, {used_messages} drains before");
                let grace = Span::ms(grace_ms);
                let mut store = store_with_message_limit(grace);
                for replica in 3..3 + used_messages {
                    store.rig.drain(&format!("s-{replica}"));
                    store.advance_ms(1500);
                }
                store.answers = Answers::Ignored;
                store.rig.drain("s-2");
                store.advance_ms(outage_ms);
                store.answers = Answers::Arrive;
                let waited_until = *store.received_at.last().unwrap() + WAIT_AFTER_SILENCE;
                let end = store.rig.now + Span::ms(30_000);
                while !store.is_applied_hold(SLICE_OF_DRAINED) && store.rig.now < end {
                    store.advance_ms(10);
                }
                let applied_at = store.rig.now;
                assert!(
                    applied_at <= waited_until + grace,
                    "{context}: held back {:?} after the time limits began to run again",
                    applied_at - waited_until
                );
                store.advance_ms(15_000);
                assert_message_limit(&store.received_at, &context);
                assert_eq!(store.violations, Vec::<String>::new(), "{context}");
            }
        }
    }
}

/// Guards against a new owner that gets writes while the previous one has some in hand: the requests are held back later
/// than ordered, and the lifetime of a write was counted from the order.
#[test]
fn lifetime_of_a_write_counts_from_the_time_at_which_requests_are_held_back() {
    for outage_ms in (0..5000).step_by(250) {
        for answers in [Answers::Ignored, Answers::Lost] {
            let context = format!("{answers:?} for {outage_ms} ms");
            let mut store = StoreModel::serving(SLICES, |settings| {
                settings["familyInfo"]["singleWriter"] = json!(true);
                settings["familyInfo"]["writeLifeNs"] = json!(Span::ms(620).as_ns());
            });
            store.answers = answers;
            store.rig.drain("s-2");
            store.advance_ms(outage_ms);
            store.answers = Answers::Arrive;
            store.advance_ms(20_000);
            assert_eq!(store.violations, Vec::<String>::new(), "{context}");
            assert!(
                !store.rig.store[&SLICE_OF_DRAINED].contains_key("s-2"),
                "{context}: the slice has not moved"
            );
            assert!(!store.is_held_back(SLICE_OF_DRAINED), "{context}: its requests are still held back");
        }
    }
}

/// Returns how long the time limits of the rules have run between two times. They wait after each request without a
/// response.
fn time_limits_ran(unanswered_at: &[Moment], from: Moment, until: Moment) -> Span {
    let (mut ran, mut waiting_until) = (Span::default(), from);
    for at in unanswered_at {
        if *at > waiting_until {
            ran = ran + (*at - waiting_until);
        }
        waiting_until = *at + WAIT_AFTER_SILENCE;
    }
    if until > waiting_until {
        ran = ran + (until - waiting_until);
    }
    ran
}

/// Guards against resends that fill the queue at once, so that the next one has to wait for three seconds, and a draining
/// replica gets requests beyond the grace period (the same cause as review/3).
#[test]
fn requests_for_a_draining_replica_are_held_back_in_time_with_a_short_queue() {
    let grace = Span::ms(2000);
    for queue_capacity in [110, 150, 200, 300, 1000] {
        for outage_ms in [200, 1000, 2000, 3000, 3500, 4500, 6000] {
            let context = format!("queue of {queue_capacity} lines, outage {outage_ms} ms");
            let mut store = StoreModel::serving(SLICES, |settings| {
                settings["familyInfo"]["singleWriter"] = json!(true);
                settings["familyInfo"]["queueCap"] = json!(queue_capacity);
                settings["obligations"]["drainGraceNs"] = json!(grace.as_ns());
            });
            let requests_before = store.received_at.len();
            let drained_at = store.rig.now;
            store.answers = Answers::Ignored;
            store.rig.drain("s-2");
            store.advance_ms(outage_ms);
            store.answers = Answers::Arrive;
            let unanswered_at = store.received_at[requests_before..].to_vec();
            let end = store.rig.now + Span::ms(30_000);
            while !store.is_applied_hold(SLICE_OF_DRAINED) && store.rig.now < end {
                store.advance_ms(10);
            }
            let ran = time_limits_ran(&unanswered_at, drained_at, store.rig.now);
            assert!(ran <= grace, "{context}: held back after the time limits had run for {ran:?}");
        }
    }
}

/// Guards against a change of owner that waits for the acknowledgement of a copy that was not carried out: the response
/// to the first copy was lost, and the second copy was lost itself.
#[test]
fn owner_changes_although_a_resend_was_not_carried_out() {
    for lost_ms in [50, 150, 250, 400] {
        let mut store = StoreModel::serving(SLICES, |settings| {
            settings["familyInfo"]["singleWriter"] = json!(true);
        });
        store.answers = Answers::Lost;
        store.rig.drain("s-2");
        store.advance_ms(lost_ms);
        store.answers = Answers::Ignored;
        store.advance_ms(250);
        store.answers = Answers::Arrive;
        // Within 3 s without an acknowledgement the copy counts as not carried out; the stages follow.
        store.advance_ms(4500);
        let table = &store.rig.store[&SLICE_OF_DRAINED];
        assert!(!table.contains_key("s-2"), "{lost_ms} ms: the slice has not moved");
    }
}
