//! The exact text between the controller and collectors or aggregators. Each line is written out, so that a
//! renamed field, message or reason fails here.

mod stand_ins;

use stand_ins::rig::Rig;
use whinwall_protocol::collector::{
    decode, decode_slowly, encode, quick, DemandReport, EndpointReport, Message, Reply, Report,
};
use whinwall_protocol::InvalidMessage;
use whinwall_routing::Effect;

const LOAD: &str = r#"{"@type":"LOAD","az":"b","host":"s-5be2a07c","n":212,"bad":3,"avg":41.7,"window":250.5,"missing":2,"report":{"inflight":9}}"#;
const SHARD: &str =
    r#"{"@type":"SHARD","partition":88,"kind":"lookup","n":212,"bad":3,"window":250.5,"missing":2}"#;

fn spoilt(line: &str) -> String {
    match decode(line) {
        Err(InvalidMessage::Spoilt(why)) => why.to_string(),
        other => panic!("{line}: {other:?}"),
    }
}

fn unreadable(line: &str) -> String {
    match decode(line) {
        Err(InvalidMessage::Unreadable(why)) => why.to_string(),
        other => panic!("{line}: {other:?}"),
    }
}

fn renamed(line: &str, field: &str) -> String {
    let renamed = line.replacen(&format!("\"{field}\":"), "\"renamed\":", 1);
    assert_ne!(renamed, line, "{field}");
    renamed
}

#[test]
fn a_ping_is_decoded() {
    assert_eq!(decode(r#"{"@type":"PING"}"#), Ok(Message::Ping));
}

#[test]
fn a_source_is_decoded() {
    assert_eq!(decode(r#"{"@type":"SOURCE","az":"b"}"#), Ok(Message::Source { zone: "b".into() }));
}

#[test]
fn a_load_report_is_decoded_with_every_field() {
    let expected = Message::EndpointReport(EndpointReport {
        zone: "b".into(),
        replica: "s-5be2a07c".into(),
        attempts: 212.0,
        failed: 3.0,
        mean_latency_ms: 41.7,
        covers_ms: 250.5,
        missing: 2,
    });
    assert_eq!(decode(LOAD), Ok(expected.clone()));
    assert_eq!(decode_slowly(LOAD), Ok(expected));
}

#[test]
fn a_load_report_is_taken_in_one_pass_with_every_field() {
    let expected = Report::EndpointReport {
        zone: "b",
        replica: "s-5be2a07c",
        attempts: 212.0,
        failed: 3.0,
        mean_latency_ms: 41.7,
        covers_ms: 250.5,
        missing: 2,
    };
    assert_eq!(quick(LOAD), Some(expected));
}

#[test]
fn a_shard_report_is_decoded_with_every_field() {
    let expected = Message::DemandReport(DemandReport {
        slice: 88,
        request_class: "lookup".into(),
        came: 212.0,
        failed: 3.0,
        covers_ms: 250.5,
        missing: 2,
    });
    assert_eq!(decode(SHARD), Ok(expected.clone()));
    assert_eq!(decode_slowly(SHARD), Ok(expected));
}

#[test]
fn a_shard_report_is_taken_in_one_pass_with_every_field() {
    let expected = Report::DemandReport {
        slice: 88,
        request_class: "lookup",
        came: 212.0,
        failed: 3.0,
        covers_ms: 250.5,
        missing: 2,
    };
    assert_eq!(quick(SHARD), Some(expected));
}

#[test]
fn no_zones_are_missing_where_nothing_is_said() {
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
        let why = spoilt(&renamed(line, field));
        assert!(why.starts_with(&format!("missing field `{field}`")), "{why}");
    }
}

#[test]
fn what_a_replica_says_of_itself_is_checked() {
    let absurd = LOAD.replace(r#""inflight":9"#, r#""inflight":-1"#);
    assert!(spoilt(&absurd).starts_with("an absurd figure, in "));
    assert!(decode(&renamed(&absurd, "inflight")).is_ok());
    assert!(decode(&renamed(&absurd, "report")).is_ok());
}

#[test]
fn an_unknown_message_is_told_from_a_line_that_is_none() {
    for word in ["ping", "Load", "HEARTBEAT"] {
        assert_eq!(decode(&format!(r#"{{"@type":"{word}"}}"#)), Ok(Message::Unknown));
    }
    assert_eq!(unreadable("PING"), r#"no JSON object, in "PING""#);
    assert!(spoilt(r#"{"type":"PING"}"#).starts_with("missing field `@type`"));
}

#[test]
fn a_pong_is_encoded_to_the_letter() {
    assert_eq!(encode(Reply::Pong), r#"{"@type":"PONG"}"#);
}

#[test]
fn a_refusal_is_encoded_to_the_letter() {
    assert_eq!(encode(Reply::Nack { why: "some reason" }), r#"{"@type":"NACK","why":"some reason"}"#);
}

#[test]
fn who_reports_without_having_joined_is_told_why_it_is_let_go() {
    let mut rig = Rig::new();
    rig.says(1, LOAD);
    let told = rig.follows.iter().find_map(|effect| match effect {
        Effect::Disconnect { to: 1, why: Some(why) } => Some(encode(Reply::Nack { why })),
        _ => None,
    });
    let expected = r#"{"@type":"NACK","why":"of no use from whoever has not joined"}"#;
    assert_eq!(told.as_deref(), Some(expected));
}
