//! Tests that the store file written by the release of commit f5ac591 (tests/fixtures/overrides.redb) is read: file
//! name, tables, keys, record encoding and stamp. Later releases must read it in the same way.

use std::path::{Path, PathBuf};
use whinwall_override_store::{OverrideStore, StoreContents};
use whinwall_overrides::registry::RecordError;
use whinwall_overrides::{
    encoding, ClockReading, ClockStamp, EndCause, Ending, Origin, Override, OverrideKind, OverrideLimits,
    OverrideRegistry, Timeline,
};
use whinwall_policy::time::{Moment, Span};

/// The file name of the store within its folder.
const STORE_FILE: &str = "overrides.redb";
/// Wall time of the stamp, in seconds since the epoch.
const STAMP_WALL_S: u64 = 1_800_000_000;
/// Uptime of the machine at the stamp, in seconds.
const STAMP_UPTIME_S: u64 = 5_000;
/// Lead of the persistent timeline over the wall clock at the stamp, in seconds.
const TIMELINE_AHEAD_S: u64 = 7;

fn at_s(seconds: u64) -> Moment {
    Moment::at_ns(seconds * 1_000_000_000)
}

fn seconds(seconds: u64) -> Span {
    Span::ns(seconds * 1_000_000_000)
}

fn fixture() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(STORE_FILE)
}

/// Opens a copy of the fixture, because opening a store may write to it.
fn open_copy() -> StoreContents {
    let folder = tempfile::tempdir().unwrap();
    std::fs::copy(fixture(), folder.path().join(STORE_FILE)).unwrap();
    OverrideStore::new(folder.path().to_path_buf()).open().unwrap()
}

fn stamp() -> ClockStamp {
    let reading = ClockReading {
        boot_id: "2d9f6c1e-boot".into(),
        uptime: seconds(STAMP_UPTIME_S),
        wall_time: at_s(STAMP_WALL_S),
    };
    ClockStamp { reading, position: at_s(STAMP_WALL_S + TIMELINE_AHEAD_S) }
}

/// The timeline of a process of the same boot that resumes at the stamp.
fn timeline() -> Timeline {
    let stamp = stamp();
    Timeline::resume(stamp.position, &stamp.reading, Some(&stamp)).timeline
}

fn record(number: u64, id: &str, kind: OverrideKind, ended: Option<EndCause>) -> Override {
    let set_at = at_s(STAMP_WALL_S - 1_000 + number);
    Override {
        number,
        id: id.into(),
        kind,
        author: format!("author-{number}"),
        reason: format!("reason {number}: käse"),
        origin: Origin::Request,
        set_at,
        expires_at: set_at + seconds(3_600),
        expires_at_wall_time: None,
        ended: ended.map(|cause| Ending { at: set_at + seconds(60), cause }),
    }
}

fn weight(factor: f64) -> OverrideKind {
    OverrideKind::Weight { replica: "s-1".into(), factor }
}

fn out(replica: &str) -> OverrideKind {
    OverrideKind::Out { replica: replica.into() }
}

fn pin(first: u32, last: u32) -> OverrideKind {
    OverrideKind::Pin { first, last, replica: "s-4".into() }
}

fn expected_records() -> Vec<Override> {
    let from_file = Override {
        origin: Origin::File,
        expires_at_wall_time: Some(at_s(STAMP_WALL_S + 9_000)),
        ..record(3, "f-pin", pin(4, 9), None)
    };
    vec![
        record(1, "w-1", weight(0.5), None),
        record(2, "o-1", out("s-2"), None),
        from_file,
        record(4, "w-2", weight(2.25), Some(EndCause::Replaced { by: "w-1".into() })),
        record(5, "o-2", out("s-3"), Some(EndCause::Cleared { by: "on-call".into() })),
        record(6, "p-2", pin(17, 17), Some(EndCause::Expired)),
        record(8, "o-3", out("s-5"), Some(EndCause::ClockWentBack)),
    ]
}

#[test]
fn store_file_of_an_earlier_release_is_read() {
    let contents = open_copy();
    assert_eq!(contents.set_aside, None);
    let timeline = timeline();
    let decoded =
        contents.records.iter().map(|(_, bytes)| encoding::decode_override(bytes, &timeline).unwrap());
    assert_eq!(decoded.collect::<Vec<_>>(), expected_records());
}

#[test]
fn store_file_of_an_earlier_release_has_its_records_under_their_numbers() {
    let numbers: Vec<u64> = open_copy().records.iter().map(|(number, _)| *number).collect();
    assert_eq!(numbers, [1, 2, 3, 4, 5, 6, 8]);
}

#[test]
fn stamp_of_an_earlier_release_is_read() {
    let bytes = open_copy().stamp.unwrap();
    assert_eq!(encoding::decode_stamp(&bytes).unwrap(), stamp());
}

#[test]
fn records_of_an_earlier_release_are_encoded_to_the_same_bytes() {
    let contents = open_copy();
    let timeline = timeline();
    let encoded = expected_records()
        .into_iter()
        .map(|record| (record.number, encoding::encode_override(&record, &timeline)));
    assert_eq!(encoded.collect::<Vec<_>>(), contents.records);
    assert_eq!(encoding::encode_stamp(&stamp()), contents.stamp.unwrap());
}

#[test]
fn registry_is_restored_from_a_store_file_of_an_earlier_release() {
    let contents = open_copy();
    let stamp = encoding::decode_stamp(&contents.stamp.unwrap()).unwrap();
    let restored = OverrideRegistry::restore(
        OverrideLimits::default(),
        stamp.position,
        &stamp.reading,
        Some(&stamp),
        &contents.records,
    );
    assert_eq!(restored.unreadable, Vec::<RecordError>::new());
}

#[test]
fn new_store_has_the_file_name_of_an_earlier_release() {
    let folder = tempfile::tempdir().unwrap();
    OverrideStore::new(folder.path().to_path_buf()).open().unwrap();
    assert!(folder.path().join(STORE_FILE).is_file());
}
