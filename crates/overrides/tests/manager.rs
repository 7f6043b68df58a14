//! The override manager: requests, writes to the store and their failures, clears during a write, restarts, retries.

mod support;

use quickcheck::{Arbitrary, Gen};
use support::{configured, moment_ms, out_of_service, set_request, Harness};
use whinwall_overrides::{ChangeReply, ChangeRequest, Durability, OverrideError, OverrideLimits};

#[test]
fn override_is_active_once_it_is_stored() {
    let mut harness = Harness::with_store_read();
    harness.request(1, set_request("a"));
    assert!(harness.active_ids().is_empty() && harness.replies.is_empty());
    assert!(!harness.manager.take_changed() || harness.active_ids().is_empty());
    harness.complete_save();
    assert_eq!(harness.active_ids(), ["a"]);
    assert!(harness.manager.take_changed());
    assert!(matches!(
        harness.replies[&1],
        ChangeReply::Set { is_repeat: false, durability: Durability::OnDisk, .. }
    ));
    harness.request(2, set_request("a"));
    assert!(matches!(harness.replies[&2], ChangeReply::Set { is_repeat: true, .. }));
    harness.request(3, ChangeRequest::Set(out_of_service("a", "other", 60_000)));
    assert_eq!(harness.replies[&3], ChangeReply::Rejected(OverrideError::IdInUse { id: "a".into() }));
}

#[test]
fn failed_write_is_discarded_even_if_it_was_stored() {
    let mut harness = Harness::with_store_read();
    harness.request(1, set_request("a"));
    harness.fail_save();
    assert_eq!(harness.replies[&1], ChangeReply::NotStored("full".into()));
    assert!(harness.active_ids().is_empty());
    // The record is stored although the write fails. The next write removes it.
    harness.request(2, set_request("b"));
    assert!(harness.store_and_fail_save());
    assert_eq!(harness.stored_ids(), ["b"], "stored until the next write");
    harness.advance(5000);
    assert!(harness.complete_save(), "the write is retried without a request");
    assert!(harness.stored_ids().is_empty() && harness.active_ids().is_empty());
    assert!(harness.logged.iter().any(|line| line.contains("override store recovered")));
    harness.request(3, set_request("b"));
    harness.complete_save();
    assert_eq!(harness.stored_ids(), ["b"]);
}

/// Guards against an acknowledged override that a restart loses: a newer one for its replica is rejected, as its write
/// failed, but the store has the write and with it the end of the older one.
#[test]
fn failed_write_does_not_end_the_override_that_it_would_have_replaced() {
    let mut harness = Harness::with_store_read();
    let set = |id: &str| ChangeRequest::Set(out_of_service(id, "s-1", 60_000));
    harness.request(1, set("older"));
    harness.complete_save();
    harness.request(2, set("newer"));
    harness.store_and_fail_save();
    assert_eq!(harness.replies[&2], ChangeReply::NotStored("flush".into()));
    harness.advance(5000);
    assert!(harness.complete_save(), "the write is retried without a request");
    assert_eq!(harness.active_ids(), ["older"]);
    assert_eq!(harness.stored_ids(), ["older"]);
}

#[test]
fn clearing_and_expiry_do_not_wait_for_the_store() {
    let mut harness = Harness::with_store_read();
    for (request_id, id) in [(1, "a"), (2, "b")] {
        harness.request(request_id, set_request(id));
        harness.complete_save();
    }
    // The write of a third override stays in flight.
    harness.request(3, set_request("c"));
    harness.request(4, ChangeRequest::Clear { id: "a".into(), by: "mb".into() });
    assert_eq!(harness.active_ids(), ["b"], "cleared while the write is in flight");
    harness.advance(60_000);
    assert!(harness.active_ids().is_empty(), "expired while the write is in flight");
    assert!(!harness.replies.contains_key(&4), "no reply before the end is stored");
    harness.fail_save();
    assert!(matches!(harness.replies[&3], ChangeReply::NotStored(_)));
    harness.fail_save();
    assert!(matches!(harness.replies[&4], ChangeReply::Cleared { durability: Durability::Pending(_), .. }));
    harness.advance(5000);
    while harness.complete_save() {}
    assert!(harness.stored_ids().is_empty());
}

#[test]
fn requests_are_rejected_before_the_store_is_read_and_when_the_queue_is_full() {
    let mut harness = Harness::with_unread_store();
    harness.request(1, set_request("a"));
    assert!(matches!(harness.replies[&1], ChangeReply::NotStored(_)), "the store is not read yet");
    harness.manager.handle_store_unavailable("in use");
    harness.manager.handle_store_unavailable("in use");
    harness.take_effects();
    assert_eq!(harness.logged.len(), 1, "logged once: {:?}", harness.logged);
    harness.read_store();
    for request_id in 10..300 {
        harness.request(request_id, set_request(&request_id.to_string()));
    }
    let busy = harness.replies.values().filter(|reply| **reply == ChangeReply::Busy).count();
    assert_eq!(busy, 290 - 256 - 1, "one request is being written and 256 are queued");
    while harness.complete_save() {}
    assert_eq!(harness.active_ids().len(), 257);
}

#[test]
fn simultaneous_expiries_are_stored_in_one_write() {
    let mut harness = Harness::with_store_read();
    for n in 0..300 {
        harness.request(n, ChangeRequest::Set(out_of_service(&format!("o{n}"), &format!("s-{n}"), 60_000)));
        harness.complete_save();
    }
    harness.advance(60_000);
    assert!(harness.active_ids().is_empty());
    assert!(harness.complete_save());
    assert!(!harness.complete_save(), "no second write");
    assert_eq!(harness.manager.next_tick_at(), None, "no tick is due");
}

#[test]
fn configured_overrides_are_active_before_and_after_the_store_is_read() {
    let mut harness = Harness::with_store_read();
    harness.request(1, set_request("a"));
    harness.complete_save();
    harness.restart();
    let file = |expires_at_ms| vec![configured("f-1", "s-9", expires_at_ms)];
    let mut restarted = Harness::with_unread_store();
    (restarted.stored, restarted.stamp) = (harness.stored.clone(), harness.stamp.clone());
    restarted
        .manager
        .apply_configuration(moment_ms(0), moment_ms(0), OverrideLimits::default(), file(30_000))
        .unwrap();
    assert_eq!(restarted.active_ids(), ["f-1"]);
    restarted.manager.handle_store_unavailable("in use");
    restarted.read_store();
    assert_eq!(restarted.active_ids(), ["a", "f-1"], "{:?}", restarted.logged);
    while restarted.complete_save() {}
    assert_eq!(restarted.stored_ids(), ["a", "f-1"]);
    // The wall clock is set forward by 20 s: the file's override then expires in 10 s, the other one in 60 s.
    restarted.manager.handle_wall_clock_step(moment_ms(0), moment_ms(20_000));
    restarted.advance(10_000);
    assert_eq!(restarted.active_ids(), ["a"]);
}

#[test]
fn without_a_store_requests_take_effect_immediately_and_ended_overrides_are_pruned() {
    let mut harness = Harness::in_memory();
    for n in 0..500 {
        harness.request(n, ChangeRequest::Set(out_of_service(&format!("o{n}"), "s-1", 1000)));
        harness.advance(1000);
    }
    assert!(matches!(harness.replies[&7], ChangeReply::Set { durability: Durability::InMemory, .. }));
    assert!(harness.pending_save.is_none() && harness.manager.registry().unsaved().is_empty());
    assert!(harness.manager.registry().listed().count() <= 301);
}

/// A random history of requests, write outcomes (success, failure, failure of a stored write), elapsed time and
/// restarts. Each step is the choice of an action, and its parameter.
#[derive(Clone, Debug)]
struct History(Vec<(u8, u8)>);

impl Arbitrary for History {
    fn arbitrary(gen: &mut Gen) -> Self {
        History((0..60).map(|_| (u8::arbitrary(gen), u8::arbitrary(gen))).collect())
    }
}

#[test]
fn active_overrides_are_stored_and_rejected_ones_are_not_restored() {
    fn stored_ids_match_active_ids(history: History) -> bool {
        let mut harness = Harness::with_store_read();
        for (n, (choice, parameter)) in history.0.into_iter().enumerate() {
            let request_id = n as u64;
            match choice % 8 {
                0..=2 => {
                    harness.request(request_id, set_request(&format!("o{}", parameter % 12)));
                }
                3 => {
                    let id = format!("o{}", parameter % 12);
                    harness.request(request_id, ChangeRequest::Clear { id, by: "mb".into() });
                }
                4 | 5 => _ = harness.complete_save(),
                6 => match parameter % 3 {
                    0 => _ = harness.fail_save(),
                    1 => _ = harness.store_and_fail_save(),
                    _ => harness.advance(u64::from(parameter) * 100),
                },
                _ => harness.restart(),
            }
            for entry in harness.manager.registry().active() {
                assert!(
                    entry.expires_at > moment_ms(harness.now_ms),
                    "{} is active after its expiry",
                    entry.id
                );
            }
            let stored_ids = harness.stored_ids();
            for id in harness.active_ids() {
                assert!(stored_ids.iter().any(|stored| stored == id), "{id} is active and not stored");
            }
        }
        // Once writes succeed again, the store holds the active overrides.
        while harness.complete_save() {}
        harness.advance(5001);
        while harness.complete_save() {}
        harness.stored_ids() == harness.active_ids()
    }
    quickcheck::QuickCheck::new().tests(300).quickcheck(stored_ids_match_active_ids as fn(History) -> bool);
}

/// Guards against a repeated clear that is acknowledged as on disk while the end is only in memory. The first clear
/// could not be stored, as the disk was full, and the second was answered from memory although the record was still
/// among `unsaved`. If the program was killed before the next write, the override was active again after the restart.
/// The log then had `override store write failed` without a later `override store recovered`.
#[test]
fn repeated_clear_is_on_disk_only_once_its_end_is_stored() {
    let mut harness = Harness::with_store_read();
    harness.request(1, set_request("a"));
    harness.complete_save();
    let clear = || ChangeRequest::Clear { id: "a".into(), by: "mb".into() };
    harness.request(2, clear());
    harness.fail_save();
    assert!(matches!(harness.replies[&2], ChangeReply::Cleared { durability: Durability::Pending(_), .. }));
    harness.request(3, clear());
    assert!(
        !harness.replies.contains_key(&3),
        "replied before the write that stores the end: {:?}",
        harness.replies
    );
    harness.fail_save();
    assert!(matches!(
        harness.replies[&3],
        ChangeReply::Cleared { is_repeat: true, durability: Durability::Pending(_), .. }
    ));
    harness.request(4, clear());
    harness.complete_save();
    assert!(matches!(
        harness.replies[&4],
        ChangeReply::Cleared { is_repeat: true, durability: Durability::OnDisk, .. }
    ));
    assert!(harness.stored_ids().is_empty());
}

/// An override that expired or was replaced while writes failed has ended in memory only. Clearing it must not be
/// acknowledged as on disk before its end is stored.
#[test]
fn clear_of_an_expired_override_waits_for_its_stored_end() {
    let mut harness = Harness::with_store_read();
    harness.request(1, set_request("a"));
    harness.complete_save();
    harness.advance(60_000);
    harness.fail_save();
    harness.request(2, ChangeRequest::Clear { id: "a".into(), by: "mb".into() });
    assert!(!harness.replies.contains_key(&2));
    harness.complete_save();
    assert!(matches!(
        harness.replies[&2],
        ChangeReply::Cleared { is_repeat: true, durability: Durability::OnDisk, .. }
    ));
}

/// Guards against two faults of a clear that arrives before the store is read. The clear of an override of the
/// operators' file was acknowledged and then lost, as the restored registry replaces the previous one. The clear of a
/// stored override was rejected permanently as unknown.
#[test]
fn clear_before_the_store_is_read_stays_in_effect_afterwards() {
    let mut harness = Harness::with_unread_store();
    harness.reload(&[configured("f-1", "s-9", 30_000)]).unwrap();
    let clear = |id: &str| ChangeRequest::Clear { id: id.into(), by: "mb".into() };
    harness.request(1, clear("f-1"));
    assert!(matches!(harness.replies[&1], ChangeReply::Cleared { durability: Durability::Pending(_), .. }));
    harness.request(2, clear("a"));
    assert!(matches!(harness.replies[&2], ChangeReply::NotStored(_)), "{:?}", harness.replies[&2]);
    harness.read_store();
    assert!(harness.active_ids().is_empty(), "{:?}", harness.active_ids());
    while harness.complete_save() {}
    assert!(harness.stored_ids().is_empty());
}
