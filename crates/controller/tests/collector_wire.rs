//! The exact lines between the controller and collectors or aggregators. Each line is written out, so that a renamed
//! field, message or reason fails a test.

mod support;

use support::rig::Rig;
use whinwall_protocol::collector::{
    decode, decode_report, decode_with_diagnosis, encode, DemandReport, EndpointReport, Message, Reply,
    Report,
};
use whinwall_protocol::InvalidMessage;
use whinwall_routing::Effect;

const LOAD: &str = r#"{"@type":"LOAD","az":"b","host":"s-5be2a07c","n":212,"bad":3,"avg":41.7,"window":250.5,"missing":2,"report":{"inflight":9}}"#;
const SHARD: &str =
    r#"{"@type":"SHARD","partition":88,"kind":"lookup","n":212,"bad":3,"window":250.5,"missing":2}"#;

fn malformed_error(line: &str) -> String {
    match decode(line) {
        Err(InvalidMessage::Malformed(error)) => error.to_string(),
        other => panic!("{line}: {other:?}"),
    }
}

fn unreadable_error(line: &str) -> String {
    match decode(line) {
        Err(InvalidMessage::Unreadable(error)) => error.to_string(),
        other => panic!("{line}: {other:?}"),
    }
}

fn with_renamed_field(line: &str, field: &str) -> String {
    let renamed = line.replacen(&format!("\"{field}\":"), "\"renamed\":", 1);
    assert_ne!(renamed, line, "{field}");
    renamed
}

#[test]
fn ping_is_decoded() {
    assert_eq!(decode(r#"{"@type":"PING"}"#), Ok(Message::Ping));
}

#[test]
fn source_is_decoded() {
    assert_eq!(decode(r#"{"@type":"SOURCE","az":"b"}"#), Ok(Message::Source { zone: "b".into() }));
}

#[test]
fn endpoint_report_is_decoded_with_every_field() {
    let expected = Message::EndpointReport(EndpointReport {
        zone: "b".into(),
        replica: "s-5be2a07c".into(),
        attempts: 212.0,
        failed: 3.0,
        mean_latency_ms: 41.7,
        window_ms: 250.5,
        missing: 2,
    });
    assert_eq!(decode(LOAD), Ok(expected.clone()));
    assert_eq!(decode_with_diagnosis(LOAD), Ok(expected));
}

#[test]
fn endpoint_report_is_decoded_by_the_fast_path() {
    let expected = Report::EndpointReport {
        zone: "b",
        replica: "s-5be2a07c",
        attempts: 212.0,
        failed: 3.0,
        mean_latency_ms: 41.7,
        window_ms: 250.5,
        missing: 2,
    };
    assert_eq!(decode_report(LOAD), Some(expected));
}

#[test]
fn demand_report_is_decoded_with_every_field() {
    let expected = Message::DemandReport(DemandReport {
        slice: 88,
        request_class: "lookup".into(),
        requests: 212.0,
        failed: 3.0,
        window_ms: 250.5,
        missing: 2,
    });
    assert_eq!(decode(SHARD), Ok(expected.clone()));
    assert_eq!(decode_with_diagnosis(SHARD), Ok(expected));
}

#[test]
fn demand_report_is_decoded_by_the_fast_path() {
    let expected = Report::DemandReport {
        slice: 88,
        request_class: "lookup",
        requests: 212.0,
        failed: 3.0,
        window_ms: 250.5,
        missing: 2,
    };
    assert_eq!(decode_report(SHARD), Some(expected));
}

#[test]
fn missing_count_defaults_to_zero() {
    let load = r#"{"@type":"LOAD","az":"b","host":"s","n":1,"bad":0,"avg":1,"window":1}"#;
    let shard = r#"{"@type":"SHARD","partition":1,"kind":"w","n":1,"bad":0,"window":1}"#;
    assert!(matches!(decode(load), Ok(Message::EndpointReport(EndpointReport { missing: 0, .. }))));
    assert!(matches!(decode(shard), Ok(Message::DemandReport(DemandReport { missing: 0, .. }))));
}

#[test]
fn required_fields_are_named_where_they_are_missing() {
    let source = r#"{"@type":"SOURCE","az":"b"}"#;
    let load_fields = ["az", "host", "n", "bad", "avg", "window"].map(|field| (LOAD, field));
    let shard_fields = ["partition", "kind", "n", "bad", "window"].map(|field| (SHARD, field));
    for (line, field) in load_fields.into_iter().chain(shard_fields).chain([(source, "az")]) {
        let error = malformed_error(&with_renamed_field(line, field));
        assert!(error.starts_with(&format!("missing field `{field}`")), "{error}");
    }
}

#[test]
fn report_of_the_replica_itself_is_checked() {
    let negative = LOAD.replace(r#""inflight":9"#, r#""inflight":-1"#);
    assert!(malformed_error(&negative)
        .starts_with("inflight out of range: got -1, expected 0 to 1000000000, in "));
    assert!(decode(&with_renamed_field(&negative, "inflight")).is_ok());
    assert!(decode(&with_renamed_field(&negative, "report")).is_ok());
}

#[test]
fn value_out_of_range_is_reported_with_its_field_and_limit() {
    for (line, valid, invalid, expected) in [
        (LOAD, r#""n":212"#, r#""n":-1"#, "n out of range: got -1, expected 0 to 1000000000"),
        (LOAD, r#""bad":3"#, r#""bad":213"#, "bad out of range: got 213, expected 0 to 212"),
        (LOAD, r#""avg":41.7"#, r#""avg":3600001"#, "avg out of range: got 3600001, expected 0 to 3600000"),
        (LOAD, r#""window":250.5"#, r#""window":0"#, "window out of range: got 0, expected more than 0"),
        (SHARD, r#""bad":3"#, r#""bad":-2"#, "bad out of range: got -2, expected 0 to 1000000000"),
    ] {
        let error = malformed_error(&line.replace(valid, invalid));
        assert!(error.starts_with(&format!("{expected}, in ")), "{error}");
    }
}

#[test]
fn unknown_message_is_distinguished_from_an_invalid_line() {
    for name in ["ping", "Load", "HEARTBEAT"] {
        assert_eq!(decode(&format!(r#"{{"@type":"{name}"}}"#)), Ok(Message::Unknown));
    }
    assert_eq!(unreadable_error("PING"), r#"not a JSON object, in "PING""#);
    assert!(malformed_error(r#"{"type":"PING"}"#).starts_with("missing field `@type`"));
}

#[test]
fn pong_is_encoded() {
    assert_eq!(encode(Reply::Pong), r#"{"@type":"PONG"}"#);
}

#[test]
fn nack_is_encoded() {
    assert_eq!(encode(Reply::Nack { why: "some reason" }), r#"{"@type":"NACK","why":"some reason"}"#);
}

#[test]
fn unauthenticated_reporter_gets_the_close_reason() {
    let mut rig = Rig::new();
    rig.collector_line(1, LOAD);
    let reply = rig.other_effects.iter().find_map(|effect| match effect {
        Effect::Disconnect { to: 1, reason: Some(why) } => Some(encode(Reply::Nack { why })),
        _ => None,
    });
    let expected = r#"{"@type":"NACK","why":"of no use from whoever has not joined"}"#;
    assert_eq!(reply.as_deref(), Some(expected));
}
