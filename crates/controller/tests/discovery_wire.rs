//! The exact lines between the discovery agent and the controller. In `ALL_FIELDS` each field has a value other than
//! its default, so that a renamed field or state fails a test.

use whinwall_protocol::discovery::{decode, watch_path, Entry, List, State};

const ALL_FIELDS: &str = r#"{"version":41,"full":true,"servers":[{"id":"s-5be2a07c","zone":"b","kind":"m-large","state":"active","weight":2.5,"started_ms":1700000000123}]}"#;
const REQUIRED_FIELDS: &str =
    r#"{"version":42,"full":false,"servers":[{"id":"s-1","zone":"a","state":"left"}]}"#;

fn decode_error(line: &str) -> String {
    decode(line).unwrap_err().to_string()
}

#[test]
fn complete_list_is_decoded_with_every_field() {
    let entry = Entry {
        replica: "s-5be2a07c".into(),
        zone: "b".into(),
        machine: "m-large".into(),
        state: State::Ready,
        weight: 2.5,
        started_ms: 1_700_000_000_123,
    };
    let expected = List { version: 41, is_complete: true, entries: vec![entry] };
    assert_eq!(decode(ALL_FIELDS), Ok(Some(expected)));
}

#[test]
fn list_of_changes_is_decoded_with_defaults() {
    let entry = Entry {
        replica: "s-1".into(),
        zone: "a".into(),
        machine: String::new(),
        state: State::Gone,
        weight: 1.0,
        started_ms: 0,
    };
    let expected = List { version: 42, is_complete: false, entries: vec![entry] };
    assert_eq!(decode(REQUIRED_FIELDS), Ok(Some(expected)));
}

#[test]
fn each_state_word_is_decoded() {
    for (word, state) in [("active", State::Ready), ("leaving", State::Draining), ("left", State::Gone)] {
        let line = ALL_FIELDS.replace("active", word);
        let list = decode(&line).unwrap().unwrap();
        assert_eq!(list.entries[0].state, state, "{word}");
    }
    assert!(decode_error(&ALL_FIELDS.replace("active", "ready"))
        .starts_with("unknown variant `ready`, expected one of `active`, `leaving`, `left`"));
}

#[test]
fn required_fields_are_named_where_they_are_missing() {
    for field in ["version", "full", "servers", "id", "zone", "state"] {
        let line = REQUIRED_FIELDS.replace(&format!("\"{field}\":"), "\"renamed\":");
        let error = decode_error(&line);
        assert!(error.starts_with(&format!("missing field `{field}`")), "{error}");
    }
}

#[test]
fn implausible_weight_is_invalid() {
    let line = ALL_FIELDS.replace("2.5", "-1");
    assert!(decode_error(&line).starts_with("weight out of range: got -1, expected 0 to 1000000000, in "));
}

#[test]
fn empty_line_is_a_heartbeat() {
    assert_eq!(decode(""), Ok(None));
    assert_eq!(decode(" \r"), Ok(None));
}

#[test]
fn watch_path_is_encoded() {
    assert_eq!(watch_path(0), "/registry/instances?follow=1&since=0");
    assert_eq!(watch_path(41), "/registry/instances?follow=1&since=41");
}
