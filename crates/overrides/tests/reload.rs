//! The operators' file is read again while a request to set an override is being stored.

mod support;

use quickcheck::{Arbitrary, Gen};
use std::collections::BTreeMap;
use support::{configured, set_request, Harness};
use whinwall_overrides::{ChangeReply, ChangeRequest, ConfiguredOverride, EndCause, OverrideError};

/// An expiry time after the end of each test.
const LATE_MS: u64 = 3_600_000;

fn clear(id: &str) -> ChangeRequest {
    ChangeRequest::Clear { id: id.into(), by: "mb".into() }
}

fn finish_writes(harness: &mut Harness) {
    while harness.complete_save() {}
    harness.advance(5001);
    while harness.complete_save() {}
}

/// Guards against an override of the file that gets the number of one that is being stored: it was lost, and its clear
/// ended the other one (review/8).
#[test]
fn reload_while_an_override_is_stored_keeps_both() {
    let mut harness = Harness::with_store_read();
    harness.request(1, set_request("a"));
    harness.reload(&[configured("f-1", "s-9", LATE_MS)]).unwrap();
    finish_writes(&mut harness);
    assert_eq!(harness.active_ids(), ["a", "f-1"]);
    assert_eq!(harness.stored_ids(), ["a", "f-1"]);
    harness.request(2, clear("f-1"));
    finish_writes(&mut harness);
    assert!(matches!(harness.replies[&2], ChangeReply::Cleared { is_repeat: false, .. }));
    assert_eq!(harness.active_ids(), ["a"]);
    assert_eq!(harness.stored_ids(), ["a"]);
}

/// Guards against two overrides of one replica: the one of the file is the newer one, whether the write succeeds or not.
#[test]
fn override_of_the_file_replaces_one_that_is_being_stored() {
    for is_stored in [true, false] {
        let mut harness = Harness::with_store_read();
        harness.request(1, set_request("a"));
        harness.reload(&[configured("f-1", "s-a", LATE_MS)]).unwrap();
        if is_stored {
            harness.complete_save();
            assert!(matches!(harness.replies[&1], ChangeReply::Set { .. }));
            let replaced = harness.manager.registry().get_by_id("a").unwrap().ended.clone().unwrap();
            assert_eq!(replaced.cause, EndCause::Replaced { by: "f-1".into() });
        } else {
            harness.store_and_fail_save();
            assert!(matches!(harness.replies[&1], ChangeReply::NotStored(_)));
            assert!(harness.manager.registry().get_by_id("a").is_none(), "listed although it was never set");
        }
        finish_writes(&mut harness);
        assert_eq!(harness.active_ids(), ["f-1"], "stored: {is_stored}");
        assert_eq!(harness.stored_ids(), ["f-1"], "stored: {is_stored}");
    }
}

/// Guards against two overrides with one id: the file is rejected as a whole, as if the request had been stored before.
#[test]
fn file_with_the_id_of_an_override_that_is_being_stored_is_rejected() {
    let mut harness = Harness::with_store_read();
    harness.request(1, set_request("a"));
    let rejected = harness.reload(&[configured("f-1", "s-8", LATE_MS), configured("a", "s-9", LATE_MS)]);
    assert_eq!(rejected, Err(OverrideError::IdInUse { id: "a".into() }));
    finish_writes(&mut harness);
    assert_eq!(harness.active_ids(), ["a"]);
    assert_eq!(harness.stored_ids(), ["a"]);
}

/// A random history of requests, reloads, outcomes of writes, elapsed time and restarts. Each step is the choice of an
/// action, and its parameter.
#[derive(Clone, Debug)]
struct History(Vec<(u8, u8)>);

impl Arbitrary for History {
    fn arbitrary(gen: &mut Gen) -> Self {
        History((0..60).map(|_| (u8::arbitrary(gen), u8::arbitrary(gen))).collect())
    }
}

/// A file with up to three overrides, some for replicas that requests concern too.
fn file(parameter: u8) -> Vec<ConfiguredOverride> {
    let is_listed = |n: &u8| parameter >> n & 1 == 1;
    let replica = |n: u8| format!("s-o{}", (n + parameter / 8) % 12);
    (0..3).filter(is_listed).map(|n| configured(&format!("f{n}"), &replica(n), LATE_MS)).collect()
}

fn apply_step(harness: &mut Harness, request_id: u64, (choice, parameter): (u8, u8)) {
    let id = format!("o{}", parameter % 12);
    match choice % 10 {
        0..=2 => harness.request(request_id, set_request(&id)),
        3 => harness.request(request_id, clear(&id)),
        4 => harness.request(request_id, clear(&format!("f{}", parameter % 3))),
        5 | 6 => _ = harness.reload(&file(parameter)),
        7 => _ = harness.complete_save(),
        8 if parameter % 3 == 0 => _ = harness.fail_save(),
        8 if parameter % 3 == 1 => _ = harness.store_and_fail_save(),
        8 => harness.advance(u64::from(parameter) * 100),
        _ => harness.restart(),
    }
}

/// Returns the replica of each active override, and asserts that there is one override for each.
fn active_replicas(harness: &Harness) -> BTreeMap<String, String> {
    let mut ids_by_replica = BTreeMap::new();
    for entry in harness.manager.registry().active() {
        let other = ids_by_replica.insert(entry.kind.replica().to_string(), entry.id.clone());
        assert_eq!(other, None, "two overrides of {}: {}", entry.kind.replica(), entry.id);
    }
    ids_by_replica
}

/// Guards against numbers, ids and replacements that a reload and a write in flight decide apart from each other, in any
/// order of these with clears, failures and restarts.
#[test]
fn requests_and_reloads_in_any_order_lose_and_mix_no_override() {
    fn keeps_overrides(history: History) -> bool {
        let steps = history.0.clone();
        let mut harness = Harness::with_store_read();
        for (n, step) in history.0.into_iter().enumerate() {
            apply_step(&mut harness, n as u64, step);
            active_replicas(&harness);
            for entry in harness.manager.registry().listed() {
                let newest = harness.manager.registry().get_by_id(&entry.id).unwrap();
                assert_eq!(newest.id, entry.id, "the id leads to another override");
            }
        }
        finish_writes(&mut harness);
        for reply in harness.replies.values() {
            if let ChangeReply::Set { number, .. } = reply {
                let known = harness.manager.registry().get_by_number(*number);
                assert!(known.is_none_or(|entry| entry.id.starts_with('o')), "{number} is another override");
            }
        }
        let (mut stored, mut active) = (harness.stored_ids(), harness.active_ids());
        stored.sort_unstable();
        active.sort_unstable();
        assert_eq!(stored, active, "stored and active overrides after {steps:?}");
        true
    }
    quickcheck::QuickCheck::new().tests(500).quickcheck(keeps_overrides as fn(History) -> bool);
}
