//! Requests and replies of the management API as JSON text, to the letter, in both directions.

use serde::de::DeserializeOwned;
use serde::Serialize;
use std::fmt::Debug;
use whinwall_management_api::messages::{
    ListedOverride, Reply, ReportFreshness, Request, Status, SubsettingStatus,
};
use whinwall_management_api::wire::{
    self, ChangeOutcome, ClearBody, ControllerState, ErrorBody, KindName, OverrideItem, OverrideList,
    RepeatedFailure, ReportState, SetBody, SubsettingState,
};
use whinwall_overrides::{
    ChangeRequest, Durability, EndCause, Ending, InvalidField, NewOverride, Origin, Override, OverrideError,
    OverrideKind,
};
use whinwall_policy::api::OverrideStatus;
use whinwall_policy::time::{Moment, Span};

/// 2026-12-01T22:00:00Z.
const WALL: Moment = Moment::at_ns(1_796_162_400_000_000_000);
/// Process time at the same moment.
const NOW: Moment = Moment::at_ns(1_000_000_000_000);

const HALF_HOUR: Span = Span::ms(1_800_000);

const SET_WEIGHT: &str =
    r#"{"kind":"weight","server":"s-3","factor":0.5,"author":"mb","reason":"half its memory","for":"2h"}"#;
const SET_OUT: &str = r#"{"kind":"out","server":"s-3","author":"mb","reason":"disk is failing","for":"30m"}"#;
const SET_PIN: &str =
    r#"{"kind":"pin","server":"s-3","slices":"40-47","author":"mb","reason":"audit","for":"1h"}"#;

const ITEM: &str = r#"{"id":"a","kind":"out","server":"s-3","author":"mb","reason":"disk is failing","origin":"request","set":"2026-12-01T22:00:00Z","ends":"2026-12-01T22:30:00Z","left_s":1800.0,"state":"in force"}"#;

const STATUS: &str = r#"{"name":"n0","version":"0.1.0","up_s":5.0,"proxies":3,"slices":6,"servers":9,"orders_open":true,"failing":[{"what":"discovery","times":4}],"overrides_standing":1,"overrides_listed":2,"subsetting":{"governors":650,"aggregators":4,"subset":48,"own_replicas":51,"listed_replicas":2200,"budget_bytes_per_s":27000},"reports":{"bytes_per_s":21300.5,"age_s":0.8,"stale":true,"partial_replicas":7}}"#;

const PLAIN_STATUS: &str = r#"{"name":"n0","version":"0.1.0","up_s":5.0,"proxies":3,"slices":6,"servers":9,"orders_open":false,"failing":[],"overrides_standing":1,"overrides_listed":2}"#;

/// The value is written as this text, and this text is read as the value.
fn assert_text<T: Serialize + DeserializeOwned + PartialEq + Debug>(value: &T, text: &str) {
    assert_eq!(serde_json::to_string(value).unwrap(), text);
    assert_eq!(&serde_json::from_str::<T>(text).unwrap(), value);
}

fn weight() -> OverrideKind {
    OverrideKind::Weight { replica: "s-3".into(), factor: 0.5 }
}

fn out() -> OverrideKind {
    OverrideKind::Out { replica: "s-3".into() }
}

fn pin() -> OverrideKind {
    OverrideKind::Pin { first: 40, last: 47, replica: "s-3".into() }
}

fn listed(kind: OverrideKind) -> ListedOverride {
    let entry = Override {
        number: 1,
        id: "a".into(),
        kind,
        author: "mb".into(),
        reason: "disk is failing".into(),
        origin: Origin::Request,
        set_at: NOW,
        expires_at: NOW + HALF_HOUR,
        expires_at_wall_time: None,
        ended: None,
    };
    ListedOverride { entry, status: Some(OverrideStatus::InForce) }
}

fn ended(cause: EndCause) -> ListedOverride {
    let shown = listed(out());
    let ended = Some(Ending { at: NOW - Span::ms(60_000), cause });
    ListedOverride { entry: Override { ended, ..shown.entry }, status: None }
}

fn item(shown: &ListedOverride) -> String {
    serde_json::to_string(&OverrideItem::new(shown, NOW, WALL)).unwrap()
}

fn encode(reply: Reply) -> (u16, String) {
    wire::encode(reply, "n0", WALL)
}

#[test]
fn request_for_a_weight_has_its_text() {
    assert_text(&SetBody::new(&weight(), "mb", "half its memory", Span::ms(7_200_000)), SET_WEIGHT);
}

#[test]
fn request_to_take_a_replica_out_has_its_text() {
    assert_text(&SetBody::new(&out(), "mb", "disk is failing", HALF_HOUR), SET_OUT);
}

#[test]
fn request_for_a_pin_has_its_text() {
    assert_text(&SetBody::new(&pin(), "mb", "audit", Span::ms(3_600_000)), SET_PIN);
}

#[test]
fn request_to_clear_has_its_text() {
    assert_text(&ClearBody { by: "jo".into() }, r#"{"by":"jo"}"#);
}

#[test]
fn requests_to_set_are_decoded() {
    for (text, kind, reason, duration) in [
        (SET_WEIGHT, weight(), "half its memory", Span::ms(7_200_000)),
        (SET_OUT, out(), "disk is failing", HALF_HOUR),
        (SET_PIN, pin(), "audit", Span::ms(3_600_000)),
    ] {
        let order =
            NewOverride { id: "a".into(), kind, author: "mb".into(), reason: reason.into(), duration };
        assert_eq!(wire::decode_set("a", text.as_bytes()), Ok(Request::Change(ChangeRequest::Set(order))));
    }
}

#[test]
fn request_to_clear_is_decoded() {
    let clear = ChangeRequest::Clear { id: "a".into(), by: "jo".into() };
    assert_eq!(wire::decode_clear("a", br#"{"by":"jo"}"#), Ok(Request::Change(clear)));
}

#[test]
fn invalid_fields_of_a_request_to_set_are_named() {
    for (text, part, error) in [
        (
            SET_OUT.replace("30m", "soon"),
            "for",
            "for: \"soon\" is no span of time; write it like 90s, 30m, 1h30m or 2d",
        ),
        (SET_OUT.replace("\"out\"", "\"weight\""), "factor", "factor: it is missing"),
        (SET_OUT.replace("\"out\"", "\"pin\""), "slices", "slices: they are missing"),
        (SET_PIN.replace("\"pin\"", "\"out\""), "slices", "slices: it has no meaning for this kind"),
        (SET_WEIGHT.replace("\"weight\"", "\"out\""), "factor", "factor: it has no meaning for this kind"),
        (SET_PIN.replace("40-47", "47-40"), "slices", "slices: \"47-40\" ends before it begins"),
    ] {
        let expected = ErrorBody { error: error.into(), part: Some(part.into()) };
        assert_eq!(wire::decode_set("a", text.as_bytes()), Err(expected));
    }
}

#[test]
fn unknown_fields_and_kinds_of_a_request_are_rejected() {
    for (text, error) in [
        (SET_OUT.replace("\"author\"", "\"writer\""), "unknown field `writer`, expected one of `kind`, `server`, `factor`, `slices`, `author`, `reason`, `for` at line 1 column 37"),
        (SET_OUT.replace("\"out\"", "\"drain\""), "unknown variant `drain`, expected one of `weight`, `out`, `pin` at line 1 column 15"),
    ] {
        assert_eq!(wire::decode_set("a", text.as_bytes()), Err(ErrorBody::new(error)));
    }
    let error = "unknown field `author`, expected `by` at line 1 column 9";
    assert_eq!(wire::decode_clear("a", br#"{"author":"jo"}"#), Err(ErrorBody::new(error)));
}

#[test]
fn body_of_another_type_is_rejected_with_the_names_of_the_types() {
    let error = "invalid length 0, expected struct Set with 7 elements at line 1 column 2";
    assert_eq!(wire::decode_set("a", b"[]"), Err(ErrorBody::new(error)));
    let error = "invalid type: integer `1`, expected struct Clear at line 1 column 1";
    assert_eq!(wire::decode_clear("a", b"1"), Err(ErrorBody::new(error)));
}

#[test]
fn invalid_author_of_a_request_to_clear_is_named() {
    let error = "by: it must have 1 to 64 bytes and no control characters";
    let expected = ErrorBody { error: error.into(), part: Some("by".into()) };
    assert_eq!(wire::decode_clear("a", br#"{"by":" "}"#), Err(expected));
}

#[test]
fn listed_item_has_its_text() {
    assert_text(&OverrideItem::new(&listed(out()), NOW, WALL), ITEM);
}

#[test]
fn listed_item_with_every_field_has_its_text() {
    let every = OverrideItem {
        factor: Some(0.5),
        slices: Some("4-9".into()),
        cause: Some("why".into()),
        ..OverrideItem::new(&listed(out()), NOW, WALL)
    };
    let expected = r#"{"id":"a","kind":"out","server":"s-3","factor":0.5,"slices":"4-9","author":"mb","reason":"disk is failing","origin":"request","set":"2026-12-01T22:00:00Z","ends":"2026-12-01T22:30:00Z","left_s":1800.0,"state":"in force","cause":"why"}"#;
    assert_text(&every, expected);
}

#[test]
fn listed_weights_and_pins_have_their_kind_and_value() {
    let out = r#""kind":"out","server":"s-3""#;
    let weight_text = r#""kind":"weight","server":"s-3","factor":0.5"#;
    let pin_text = r#""kind":"pin","server":"s-3","slices":"40-47""#;
    assert_eq!(item(&listed(weight())), ITEM.replace(out, weight_text));
    assert_eq!(item(&listed(pin())), ITEM.replace(out, pin_text));
}

#[test]
fn listed_item_of_the_operators_file_has_its_origin() {
    let shown = listed(out());
    let from_file = ListedOverride { entry: Override { origin: Origin::File, ..shown.entry }, ..shown };
    assert_eq!(item(&from_file), ITEM.replace("\"request\"", "\"file\""));
}

#[test]
fn active_states_have_their_text_and_cause() {
    for (status, text) in [
        (None, r#""state":"absent","cause":"its server is not in the list""#),
        (Some(OverrideStatus::Absent), r#""state":"absent","cause":"its server is not in the list""#),
        (Some(OverrideStatus::InForce), r#""state":"in force""#),
        (Some(OverrideStatus::Waiting("no spare")), r#""state":"waiting","cause":"no spare""#),
        (Some(OverrideStatus::Suspended("rule 1")), r#""state":"suspended","cause":"rule 1""#),
    ] {
        let shown = ListedOverride { status, ..listed(out()) };
        assert_eq!(item(&shown), ITEM.replace(r#""state":"in force""#, text));
    }
}

#[test]
fn end_causes_have_their_text_and_time() {
    for (end, cause) in [
        (EndCause::Expired, "expired at 2026-12-01T21:59:00Z"),
        (EndCause::Cleared { by: "jo".into() }, "cleared by jo at 2026-12-01T21:59:00Z"),
        (EndCause::Replaced { by: "b".into() }, "replaced by b at 2026-12-01T21:59:00Z"),
        (EndCause::ClockWentBack, "the clock went back over a restart at 2026-12-01T21:59:00Z"),
    ] {
        let ended_text = format!(r#""left_s":0.0,"state":"ended","cause":"{cause}""#);
        let expected = ITEM.replace(r#""left_s":1800.0,"state":"in force""#, &ended_text);
        assert_eq!(item(&ended(end)), expected);
    }
}

#[test]
fn outcomes_have_their_text() {
    for (word, code, is_repeat) in [("set", 201, false), ("set before", 200, true)] {
        let reply = Reply::Set { listed: listed(out()), is_repeat, durability: Durability::OnDisk, now: NOW };
        let expected = format!(r#"{{"outcome":"{word}","kept":"on disk","override":{ITEM}}}"#);
        assert_eq!(encode(reply), (code, expected));
    }
    for (word, is_repeat) in [("cleared", false), ("ended before", true)] {
        let listed = ended(EndCause::Cleared { by: "jo".into() });
        let item = item(&listed);
        let reply = Reply::Cleared { listed, is_repeat, durability: Durability::OnDisk, now: NOW };
        let expected = format!(r#"{{"outcome":"{word}","kept":"on disk","override":{item}}}"#);
        assert_eq!(encode(reply), (200, expected));
    }
}

#[test]
fn outcomes_have_the_text_of_their_durability() {
    for (durability, words) in [
        (Durability::OnDisk, "on disk"),
        (Durability::InMemory, "nowhere"),
        (Durability::Pending("the disk is full".into()), "not on disk yet: the disk is full"),
    ] {
        let reply = Reply::Set { listed: listed(out()), is_repeat: false, durability, now: NOW };
        let expected = format!(r#"{{"outcome":"set","kept":"{words}","override":{ITEM}}}"#);
        assert_eq!(encode(reply), (201, expected));
    }
}

/// Whoever got 200 for a clear that was not on disk took it for final; after a kill the override was active again.
#[test]
fn clear_that_is_not_on_disk_yet_is_accepted_and_not_final() {
    for (word, is_repeat) in [("cleared", false), ("ended before", true)] {
        let listed = ended(EndCause::Cleared { by: "jo".into() });
        let item = item(&listed);
        let durability = Durability::Pending("full".into());
        let reply = Reply::Cleared { listed, is_repeat, durability, now: NOW };
        let expected = format!(r#"{{"outcome":"{word}","kept":"not on disk yet: full","override":{item}}}"#);
        assert_eq!(encode(reply), (202, expected));
    }
}

#[test]
fn outcome_is_read_from_its_text() {
    let outcome = ChangeOutcome {
        outcome: "set".into(),
        durability: "on disk".into(),
        item: OverrideItem::new(&listed(out()), NOW, WALL),
    };
    assert_text(&outcome, &format!(r#"{{"outcome":"set","kept":"on disk","override":{ITEM}}}"#));
}

#[test]
fn list_has_its_text() {
    let reply = Reply::Listed { overrides: vec![listed(out()), listed(out())], now: NOW };
    let expected = format!(r#"{{"overrides":[{ITEM},{ITEM}]}}"#);
    assert_eq!(encode(reply), (200, expected.clone()));
    let item = OverrideItem::new(&listed(out()), NOW, WALL);
    assert_text(&OverrideList { overrides: vec![item.clone(), item] }, &expected);
}

fn status() -> Status {
    Status {
        now: NOW,
        started_at: NOW - Span::ms(5_000),
        proxies: 3,
        slices: 6,
        replicas: 9,
        failures: vec![("discovery", 4)],
        has_outstanding_commands: true,
        active_overrides: 1,
        listed_overrides: 2,
        subsetting: Some(SubsettingStatus {
            controllers: 650,
            aggregators: 4,
            subset_size: 48,
            own_replicas: 51,
            listed_replicas: 2200,
            report_budget_bytes_per_second: 27_000,
        }),
        reports: Some(ReportFreshness {
            bytes_per_second: 21_300.5,
            age: Some(Span::ms(800)),
            stale: true,
            partial_replicas: 7,
        }),
    }
}

/// A release changes the version and nothing else of the text.
fn with_version(text: &str) -> String {
    text.replace("0.1.0", env!("CARGO_PKG_VERSION"))
}

#[test]
fn status_with_every_field_has_its_text() {
    assert_eq!(encode(Reply::Status(status())), (200, with_version(STATUS)));
}

#[test]
fn status_with_every_field_is_read_from_its_text() {
    let state = ControllerState {
        name: "n0".into(),
        version: "0.1.0".into(),
        uptime_s: 5.0,
        proxies: 3,
        slices: 6,
        replicas: 9,
        has_outstanding_commands: true,
        failures: vec![RepeatedFailure { source: "discovery".into(), count: 4 }],
        active_overrides: 1,
        listed_overrides: 2,
        subsetting: Some(SubsettingState {
            controllers: 650,
            aggregators: 4,
            subset_size: 48,
            own_replicas: 51,
            listed_replicas: 2200,
            report_budget_bytes_per_second: 27_000,
        }),
        reports: Some(ReportState {
            bytes_per_second: 21_300.5,
            age_s: Some(0.8),
            stale: true,
            partial_replicas: 7,
        }),
    };
    assert_text(&state, STATUS);
}

#[test]
fn status_without_subsets_has_its_text() {
    let plain = Status {
        failures: vec![],
        has_outstanding_commands: false,
        subsetting: None,
        reports: None,
        ..status()
    };
    assert_eq!(encode(Reply::Status(plain)), (200, with_version(PLAIN_STATUS)));
    let read: ControllerState = serde_json::from_str(PLAIN_STATUS).unwrap();
    assert_eq!((read.subsetting, read.reports), (None, None));
}

#[test]
fn status_before_the_first_report_has_no_age() {
    let reports = ReportFreshness { bytes_per_second: 0.0, age: None, stale: true, partial_replicas: 0 };
    let (_, text) = encode(Reply::Status(Status { reports: Some(reports), ..status() }));
    assert!(text.ends_with(r#""reports":{"bytes_per_s":0.0,"stale":true,"partial_replicas":0}}"#), "{text}");
}

#[test]
fn metrics_are_passed_on_unchanged() {
    assert_eq!(encode(Reply::Metrics("# EOF\n".into())), (200, "# EOF\n".into()));
}

#[test]
fn rejections_have_their_codes_and_texts() {
    let id = || "a".to_string();
    let wrong = OverrideError::from(InvalidField::new("server", "it is empty"));
    for (refused, code, text) in [
        (wrong, 400, r#"{"error":"server: it is empty","part":"server"}"#),
        (OverrideError::IdInUse { id: id() }, 409, r#"{"error":"a is another override already"}"#),
        (
            OverrideError::LimitReached { limit: 3 },
            429,
            r#"{"error":"3 overrides stand already, which is the most"}"#,
        ),
        (OverrideError::UnknownId { id: id() }, 404, r#"{"error":"there is no override a"}"#),
    ] {
        assert_eq!(encode(Reply::Rejected(refused)), (code, text.into()));
    }
}

#[test]
fn failures_of_the_controller_have_their_codes_and_texts() {
    let not_kept = r#"{"error":"not kept, nothing has changed: the disk is full"}"#;
    assert_eq!(encode(Reply::NotStored("the disk is full".into())), (507, not_kept.into()));
    let busy = r#"{"error":"too many wait already; nothing has changed"}"#;
    assert_eq!(encode(Reply::Busy), (503, busy.into()));
}

#[test]
fn error_bodies_have_their_text() {
    assert_text(&ErrorBody::new("no"), r#"{"error":"no"}"#);
    let with_part = ErrorBody { error: "for: no".into(), part: Some("for".into()) };
    assert_text(&with_part, r#"{"error":"for: no","part":"for"}"#);
}

#[test]
fn request_to_set_has_its_fields() {
    let every = SetBody {
        kind: KindName::Weight,
        replica: "s".into(),
        factor: Some(2.0),
        slices: Some("1".into()),
        author: "mb".into(),
        reason: "r".into(),
        duration: "1s".into(),
    };
    let expected =
        r#"{"kind":"weight","server":"s","factor":2.0,"slices":"1","author":"mb","reason":"r","for":"1s"}"#;
    assert_text(&every, expected);
}
