//! Requests and replies of the management API as exact JSON text, encoded and decoded.

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

/// The wall-clock time 2026-12-01T22:00:00Z.
const WALL_TIME: Moment = Moment::at_ns(1_796_162_400_000_000_000);
/// The process time at the same point in time.
const NOW: Moment = Moment::at_ns(1_000_000_000_000);

const HALF_HOUR: Span = Span::ms(1_800_000);

const SET_WEIGHT: &str =
    r#"{"kind":"weight","server":"s-3","factor":0.5,"author":"mb","reason":"half its memory","for":"2h"}"#;
const SET_OUT: &str = r#"{"kind":"out","server":"s-3","author":"mb","reason":"disk is failing","for":"30m"}"#;
const SET_PIN: &str =
    r#"{"kind":"pin","server":"s-3","slices":"40-47","author":"mb","reason":"audit","for":"1h"}"#;

const ITEM: &str = r#"{"id":"a","kind":"out","server":"s-3","author":"mb","reason":"disk is failing","origin":"request","set":"2026-12-01T22:00:00Z","ends":"2026-12-01T22:30:00Z","left_s":1800.0,"state":"in force"}"#;

const STATUS: &str = r#"{"name":"n0","version":"0.1.0","up_s":5.0,"proxies":3,"slices":6,"servers":9,"orders_open":true,"failing":[{"what":"discovery","times":4}],"overrides_standing":1,"overrides_listed":2,"subsetting":{"governors":650,"aggregators":4,"subset":48,"own_replicas":51,"listed_replicas":2200,"budget_bytes_per_s":27000},"reports":{"bytes_per_s":21300.5,"age_s":0.8,"stale":true,"partial_replicas":7}}"#;

const STATUS_WITHOUT_SUBSETTING: &str = r#"{"name":"n0","version":"0.1.0","up_s":5.0,"proxies":3,"slices":6,"servers":9,"orders_open":false,"failing":[],"overrides_standing":1,"overrides_listed":2}"#;

/// Asserts that the value is encoded as this text and that this text is decoded as the value.
fn assert_json<T: Serialize + DeserializeOwned + PartialEq + Debug>(value: &T, text: &str) {
    assert_eq!(serde_json::to_string(value).unwrap(), text);
    assert_eq!(&serde_json::from_str::<T>(text).unwrap(), value);
}

fn weight_kind() -> OverrideKind {
    OverrideKind::Weight { replica: "s-3".into(), factor: 0.5 }
}

fn out_kind() -> OverrideKind {
    OverrideKind::Out { replica: "s-3".into() }
}

fn pin_kind() -> OverrideKind {
    OverrideKind::Pin { first: 40, last: 47, replica: "s-3".into() }
}

fn listed_override(kind: OverrideKind) -> ListedOverride {
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

fn ended_override(cause: EndCause) -> ListedOverride {
    let listed = listed_override(out_kind());
    let ended = Some(Ending { at: NOW - Span::ms(60_000), cause });
    ListedOverride { entry: Override { ended, ..listed.entry }, status: None }
}

fn item_json(listed: &ListedOverride) -> String {
    serde_json::to_string(&OverrideItem::new(listed, NOW, WALL_TIME)).unwrap()
}

fn encode(reply: Reply) -> (u16, String) {
    wire::encode(reply, "n0", WALL_TIME)
}

#[test]
fn weight_request_matches_its_json() {
    assert_json(&SetBody::new(&weight_kind(), "mb", "half its memory", Span::ms(7_200_000)), SET_WEIGHT);
}

#[test]
fn out_request_matches_its_json() {
    assert_json(&SetBody::new(&out_kind(), "mb", "disk is failing", HALF_HOUR), SET_OUT);
}

#[test]
fn pin_request_matches_its_json() {
    assert_json(&SetBody::new(&pin_kind(), "mb", "audit", Span::ms(3_600_000)), SET_PIN);
}

#[test]
fn clear_request_matches_its_json() {
    assert_json(&ClearBody { by: "jo".into() }, r#"{"by":"jo"}"#);
}

#[test]
fn set_requests_are_decoded() {
    for (text, kind, reason, duration) in [
        (SET_WEIGHT, weight_kind(), "half its memory", Span::ms(7_200_000)),
        (SET_OUT, out_kind(), "disk is failing", HALF_HOUR),
        (SET_PIN, pin_kind(), "audit", Span::ms(3_600_000)),
    ] {
        let request =
            NewOverride { id: "a".into(), kind, author: "mb".into(), reason: reason.into(), duration };
        assert_eq!(wire::decode_set("a", text.as_bytes()), Ok(Request::Change(ChangeRequest::Set(request))));
    }
}

#[test]
fn clear_request_is_decoded() {
    let clear = ChangeRequest::Clear { id: "a".into(), by: "jo".into() };
    assert_eq!(wire::decode_clear("a", br#"{"by":"jo"}"#), Ok(Request::Change(clear)));
}

#[test]
fn errors_of_a_set_request_name_the_invalid_field() {
    for (text, field, error) in [
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
        let expected = ErrorBody { error: error.into(), field: Some(field.into()) };
        assert_eq!(wire::decode_set("a", text.as_bytes()), Err(expected));
    }
}

#[test]
fn unknown_fields_and_kinds_are_rejected() {
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
fn body_of_another_json_type_is_rejected_with_the_expected_type() {
    let error = "invalid length 0, expected struct Set with 7 elements at line 1 column 2";
    assert_eq!(wire::decode_set("a", b"[]"), Err(ErrorBody::new(error)));
    let error = "invalid type: integer `1`, expected struct Clear at line 1 column 1";
    assert_eq!(wire::decode_clear("a", b"1"), Err(ErrorBody::new(error)));
}

#[test]
fn error_of_a_clear_request_names_the_invalid_author() {
    let error = "by: it must have 1 to 64 bytes and no control characters";
    let expected = ErrorBody { error: error.into(), field: Some("by".into()) };
    assert_eq!(wire::decode_clear("a", br#"{"by":" "}"#), Err(expected));
}

#[test]
fn listed_item_matches_its_json() {
    assert_json(&OverrideItem::new(&listed_override(out_kind()), NOW, WALL_TIME), ITEM);
}

#[test]
fn listed_item_with_every_field_matches_its_json() {
    let with_every_field = OverrideItem {
        factor: Some(0.5),
        slices: Some("4-9".into()),
        cause: Some("why".into()),
        ..OverrideItem::new(&listed_override(out_kind()), NOW, WALL_TIME)
    };
    let expected = r#"{"id":"a","kind":"out","server":"s-3","factor":0.5,"slices":"4-9","author":"mb","reason":"disk is failing","origin":"request","set":"2026-12-01T22:00:00Z","ends":"2026-12-01T22:30:00Z","left_s":1800.0,"state":"in force","cause":"why"}"#;
    assert_json(&with_every_field, expected);
}

#[test]
fn listed_weights_and_pins_have_their_kind_and_value_in_json() {
    let out = r#""kind":"out","server":"s-3""#;
    let weight_text = r#""kind":"weight","server":"s-3","factor":0.5"#;
    let pin_text = r#""kind":"pin","server":"s-3","slices":"40-47""#;
    assert_eq!(item_json(&listed_override(weight_kind())), ITEM.replace(out, weight_text));
    assert_eq!(item_json(&listed_override(pin_kind())), ITEM.replace(out, pin_text));
}

#[test]
fn listed_item_from_the_operators_file_has_origin_file() {
    let listed = listed_override(out_kind());
    let from_file = ListedOverride { entry: Override { origin: Origin::File, ..listed.entry }, ..listed };
    assert_eq!(item_json(&from_file), ITEM.replace("\"request\"", "\"file\""));
}

#[test]
fn active_states_are_encoded_with_their_cause() {
    for (status, text) in [
        (None, r#""state":"absent","cause":"its server is not in the list""#),
        (Some(OverrideStatus::Absent), r#""state":"absent","cause":"its server is not in the list""#),
        (Some(OverrideStatus::InForce), r#""state":"in force""#),
        (Some(OverrideStatus::Waiting("no spare")), r#""state":"waiting","cause":"no spare""#),
        (Some(OverrideStatus::Suspended("rule 1")), r#""state":"suspended","cause":"rule 1""#),
    ] {
        let listed = ListedOverride { status, ..listed_override(out_kind()) };
        assert_eq!(item_json(&listed), ITEM.replace(r#""state":"in force""#, text));
    }
}

#[test]
fn end_causes_are_encoded_with_their_time() {
    for (end, cause) in [
        (EndCause::Expired, "expired at 2026-12-01T21:59:00Z"),
        (EndCause::Cleared { by: "jo".into() }, "cleared by jo at 2026-12-01T21:59:00Z"),
        (EndCause::Replaced { by: "b".into() }, "replaced by b at 2026-12-01T21:59:00Z"),
        (EndCause::ClockWentBack, "the clock went back over a restart at 2026-12-01T21:59:00Z"),
    ] {
        let ended_text = format!(r#""left_s":0.0,"state":"ended","cause":"{cause}""#);
        let expected = ITEM.replace(r#""left_s":1800.0,"state":"in force""#, &ended_text);
        assert_eq!(item_json(&ended_override(end)), expected);
    }
}

#[test]
fn outcomes_match_their_json() {
    for (outcome, code, is_repeat) in [("set", 201, false), ("set before", 200, true)] {
        let reply = Reply::Set {
            listed: listed_override(out_kind()),
            is_repeat,
            durability: Durability::OnDisk,
            now: NOW,
        };
        let expected = format!(r#"{{"outcome":"{outcome}","kept":"on disk","override":{ITEM}}}"#);
        assert_eq!(encode(reply), (code, expected));
    }
    for (outcome, is_repeat) in [("cleared", false), ("ended before", true)] {
        let listed = ended_override(EndCause::Cleared { by: "jo".into() });
        let item = item_json(&listed);
        let reply = Reply::Cleared { listed, is_repeat, durability: Durability::OnDisk, now: NOW };
        let expected = format!(r#"{{"outcome":"{outcome}","kept":"on disk","override":{item}}}"#);
        assert_eq!(encode(reply), (200, expected));
    }
}

#[test]
fn outcomes_contain_their_durability() {
    for (durability, text) in [
        (Durability::OnDisk, "on disk"),
        (Durability::InMemory, "nowhere"),
        (Durability::Pending("the disk is full".into()), "not on disk yet: the disk is full"),
    ] {
        let reply =
            Reply::Set { listed: listed_override(out_kind()), is_repeat: false, durability, now: NOW };
        let expected = format!(r#"{{"outcome":"set","kept":"{text}","override":{ITEM}}}"#);
        assert_eq!(encode(reply), (201, expected));
    }
}

/// Guards against status code 200 for a clear that is not on disk yet: the client would take it as final, although the
/// override is active again if the controller is killed before it writes the clear.
#[test]
fn clear_that_is_not_on_disk_yet_has_code_202() {
    for (outcome, is_repeat) in [("cleared", false), ("ended before", true)] {
        let listed = ended_override(EndCause::Cleared { by: "jo".into() });
        let item = item_json(&listed);
        let durability = Durability::Pending("full".into());
        let reply = Reply::Cleared { listed, is_repeat, durability, now: NOW };
        let expected =
            format!(r#"{{"outcome":"{outcome}","kept":"not on disk yet: full","override":{item}}}"#);
        assert_eq!(encode(reply), (202, expected));
    }
}

#[test]
fn outcome_is_decoded_from_its_json() {
    let outcome = ChangeOutcome {
        outcome: "set".into(),
        durability: "on disk".into(),
        item: OverrideItem::new(&listed_override(out_kind()), NOW, WALL_TIME),
    };
    assert_json(&outcome, &format!(r#"{{"outcome":"set","kept":"on disk","override":{ITEM}}}"#));
}

#[test]
fn list_matches_its_json() {
    let reply =
        Reply::Listed { overrides: vec![listed_override(out_kind()), listed_override(out_kind())], now: NOW };
    let expected = format!(r#"{{"overrides":[{ITEM},{ITEM}]}}"#);
    assert_eq!(encode(reply), (200, expected.clone()));
    let item = OverrideItem::new(&listed_override(out_kind()), NOW, WALL_TIME);
    assert_json(&OverrideList { overrides: vec![item.clone(), item] }, &expected);
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

/// Replaces the version, which is the only part of the text that changes with a release.
fn with_version(text: &str) -> String {
    text.replace("0.1.0", env!("CARGO_PKG_VERSION"))
}

#[test]
fn status_with_every_field_matches_its_json() {
    assert_eq!(encode(Reply::Status(status())), (200, with_version(STATUS)));
}

#[test]
fn status_with_every_field_is_decoded_from_its_json() {
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
    assert_json(&state, STATUS);
}

#[test]
fn status_without_subsetting_matches_its_json() {
    let status_without_subsetting = Status {
        failures: vec![],
        has_outstanding_commands: false,
        subsetting: None,
        reports: None,
        ..status()
    };
    assert_eq!(
        encode(Reply::Status(status_without_subsetting)),
        (200, with_version(STATUS_WITHOUT_SUBSETTING))
    );
    let decoded: ControllerState = serde_json::from_str(STATUS_WITHOUT_SUBSETTING).unwrap();
    assert_eq!((decoded.subsetting, decoded.reports), (None, None));
}

#[test]
fn status_before_the_first_report_has_no_age() {
    let reports = ReportFreshness { bytes_per_second: 0.0, age: None, stale: true, partial_replicas: 0 };
    let (_, text) = encode(Reply::Status(Status { reports: Some(reports), ..status() }));
    assert!(text.ends_with(r#""reports":{"bytes_per_s":0.0,"stale":true,"partial_replicas":0}}"#), "{text}");
}

#[test]
fn metrics_are_returned_unchanged() {
    assert_eq!(encode(Reply::Metrics("# EOF\n".into())), (200, "# EOF\n".into()));
}

#[test]
fn rejections_have_their_codes_and_messages() {
    let id = || "a".to_string();
    let invalid_field = OverrideError::from(InvalidField::new("server", "it is empty"));
    for (error, code, text) in [
        (invalid_field, 400, r#"{"error":"server: it is empty","part":"server"}"#),
        (OverrideError::IdInUse { id: id() }, 409, r#"{"error":"a is another override already"}"#),
        (
            OverrideError::LimitReached { limit: 3 },
            429,
            r#"{"error":"3 overrides stand already, which is the most"}"#,
        ),
        (OverrideError::UnknownId { id: id() }, 404, r#"{"error":"there is no override a"}"#),
    ] {
        assert_eq!(encode(Reply::Rejected(error)), (code, text.into()));
    }
}

#[test]
fn failures_of_the_controller_have_their_codes_and_messages() {
    let not_stored = r#"{"error":"not kept, nothing has changed: the disk is full"}"#;
    assert_eq!(encode(Reply::NotStored("the disk is full".into())), (507, not_stored.into()));
    let busy = r#"{"error":"too many wait already; nothing has changed"}"#;
    assert_eq!(encode(Reply::Busy), (503, busy.into()));
}

#[test]
fn error_bodies_match_their_json() {
    assert_json(&ErrorBody::new("no"), r#"{"error":"no"}"#);
    let with_field = ErrorBody { error: "for: no".into(), field: Some("for".into()) };
    assert_json(&with_field, r#"{"error":"for: no","part":"for"}"#);
}

#[test]
fn set_request_with_every_field_matches_its_json() {
    let with_every_field = SetBody {
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
    assert_json(&with_every_field, expected);
}
