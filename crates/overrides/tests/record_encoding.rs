//! The exact bytes of each encoded record and of the clock stamp: a checksum followed by a protobuf message. The stores
//! of installed releases contain such bytes, so the encoding must not change.

use whinwall_overrides::{
    encoding, ClockReading, ClockStamp, EndCause, Ending, Origin, Override, OverrideKind, Timeline,
};
use whinwall_policy::time::{Moment, Span};

/// Returns a timeline on which process time and persistent time are equal.
fn timeline() -> Timeline {
    let epoch = Moment::default();
    let reading = ClockReading { boot_id: String::new(), uptime: Span::ns(0), wall_time: epoch };
    Timeline::resume(epoch, &reading, None).timeline
}

fn record(kind: OverrideKind) -> Override {
    Override {
        number: 7,
        id: "a-1".into(),
        kind,
        author: "mb".into(),
        reason: "disk".into(),
        origin: Origin::Request,
        set_at: Moment::at_ns(1_000),
        expires_at: Moment::at_ns(2_000),
        expires_at_wall_time: None,
        ended: None,
    }
}

fn out() -> OverrideKind {
    OverrideKind::Out { replica: "s-3".into() }
}

fn ended(cause: EndCause) -> Override {
    Override { ended: Some(Ending { at: Moment::at_ns(1_500), cause }), ..record(out()) }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes(hex: &str) -> Vec<u8> {
    let digits = |at| u8::from_str_radix(&hex[at..at + 2], 16).unwrap();
    (0..hex.len()).step_by(2).map(digits).collect()
}

/// Asserts that the record is encoded as these bytes, and that these bytes are decoded as the record.
fn assert_encoding(record: &Override, expected: &str) {
    assert_eq!(hex(&encoding::encode_override(record, &timeline())), expected);
    assert_eq!(encoding::decode_override(&bytes(expected), &timeline()).as_ref(), Ok(record));
}

#[test]
fn weight_record_has_stable_encoding() {
    assert_encoding(
        &record(OverrideKind::Weight { replica: "s-3".into(), factor: 0.5 }),
        "cc8cd23e08071203612d311a03732d3321000000000000e03f3a026d6242046469736b50e80758d00f",
    );
}

#[test]
fn out_of_service_record_has_stable_encoding() {
    assert_encoding(&record(out()), "93043ccb08071203612d311a03732d3328013a026d6242046469736b50e80758d00f");
}

#[test]
fn pin_record_has_stable_encoding() {
    assert_encoding(
        &record(OverrideKind::Pin { first: 4, last: 9, replica: "s-3".into() }),
        "02fc37e608071203612d311a03732d333204080410093a026d6242046469736b50e80758d00f",
    );
}

#[test]
fn configured_record_has_stable_encoding() {
    let expires_at_wall_time = Some(Moment::at_ns(3_000));
    assert_encoding(
        &Override { origin: Origin::File, expires_at_wall_time, ..record(out()) },
        "e919e13a08071203612d311a03732d3328013a026d6242046469736b480150e80758d00f60b817",
    );
}

#[test]
fn expired_record_has_stable_encoding() {
    assert_encoding(
        &ended(EndCause::Expired),
        "2ed284e708071203612d311a03732d3328013a026d6242046469736b50e80758d00f68dc0b7001",
    );
}

#[test]
fn cleared_record_has_stable_encoding() {
    assert_encoding(
        &ended(EndCause::Cleared { by: "jo".into() }),
        "95d7bfe608071203612d311a03732d3328013a026d6242046469736b50e80758d00f68dc0b7a026a6f",
    );
}

#[test]
fn replaced_record_has_stable_encoding() {
    assert_encoding(
        &ended(EndCause::Replaced { by: "b-2".into() }),
        "0a49bc4e08071203612d311a03732d3328013a026d6242046469736b50e80758d00f68dc0b820103622d32",
    );
}

#[test]
fn clock_went_back_record_has_stable_encoding() {
    assert_encoding(
        &ended(EndCause::ClockWentBack),
        "2092582c08071203612d311a03732d3328013a026d6242046469736b50e80758d00f68dc0b880101",
    );
}

#[test]
fn stamp_has_stable_encoding() {
    let reading =
        ClockReading { boot_id: "b".into(), uptime: Span::ns(1_000), wall_time: Moment::at_ns(2_000) };
    let stamp = ClockStamp { reading, position: Moment::at_ns(3_000) };
    let expected = "15bd6fc60a016210e80718d00f20b817";
    assert_eq!(hex(&encoding::encode_stamp(&stamp)), expected);
    assert_eq!(encoding::decode_stamp(&bytes(expected)), Ok(stamp));
}

#[test]
fn format_version_of_the_file_is_one() {
    assert_eq!(encoding::FORMAT_VERSION, 1);
}
