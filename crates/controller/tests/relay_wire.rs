//! Tests of the exact text exchanged between the controller and the relay. Expected lines are written out in full, so
//! that a renamed word, a reordered field or a changed separator fails a test.

use whinwall_protocol::relay::{
    decode_event, decode_response, encode_request, Command, RelayEvent, Response, SyncScope,
    MAX_REQUEST_BYTES, WATCH_REQUEST,
};

fn event(line: &str) -> RelayEvent {
    decode_event(line).unwrap_or_else(|error| panic!("{line:?}: {error}"))
}

fn event_error(line: &str) -> String {
    decode_event(line).unwrap_err().to_string()
}

fn response_error(line: &str) -> String {
    decode_response(line).unwrap_err().to_string()
}

#[test]
fn endpoint_and_withdrawal_commands_are_encoded() {
    let line = Command::SetEndpoint { slice: 12, replica: "s-5be2a07c".into(), weight: 0.25 };
    assert_eq!(line.encode(SyncScope::ReachedProxies), "SET,12,s-5be2a07c,0.25");
    let withdrawn = Command::Withdraw { replica: "s-1".into() };
    assert_eq!(withdrawn.encode(SyncScope::ReachedProxies), "OUT,s-1");
    let restored = Command::Reinstate { replica: "s-1".into() };
    assert_eq!(restored.encode(SyncScope::ReachedProxies), "IN,s-1");
}

#[test]
fn admission_commands_are_encoded() {
    let encode_admission = |slice, request_classes: &[&str], admission_rate, retries| {
        let request_classes = request_classes.iter().map(std::string::ToString::to_string).collect();
        Command::SetAdmission { slice, request_classes, admission_rate, retries }
            .encode(SyncScope::ReachedProxies)
    };
    assert_eq!(encode_admission(Some(7), &["lookup", "write"], 0.5, 3), "LIMIT,7,lookup+write,0.5,3");
    assert_eq!(encode_admission(Some(7), &["lookup"], 0.5, 3), "LIMIT,7,lookup,0.5,3");
    assert_eq!(encode_admission(None, &[], 1.0, 0), "LIMIT,*,*,1,0");
}

#[test]
fn sync_command_is_encoded_with_its_scope() {
    let version = Command::Sync { version: 65535 };
    assert_eq!(version.encode(SyncScope::AllProxies), "SYNC,65535,1");
    assert_eq!(version.encode(SyncScope::ReachedProxies), "SYNC,65535,0");
}

#[test]
fn weights_are_encoded_without_superfluous_digits() {
    let encode_weight = |weight| {
        Command::SetEndpoint { slice: 0, replica: "s".into(), weight }.encode(SyncScope::ReachedProxies)
    };
    assert_eq!(encode_weight(0.0), "SET,0,s,0");
    assert_eq!(encode_weight(1.0), "SET,0,s,1");
    assert_eq!(encode_weight(0.1), "SET,0,s,0.1");
    assert_eq!(encode_weight(1e-7), "SET,0,s,0.0000001");
}

#[test]
fn request_is_encoded() {
    assert_eq!(encode_request(&["SET,1,s-1,1", "OUT,s-2", "SYNC,9,0"]), "APPLY SET,1,s-1,1;OUT,s-2;SYNC,9,0");
    assert_eq!(encode_request(&["SYNC,9,1"]), "APPLY SYNC,9,1");
}

#[test]
fn request_holds_sixty_thousand_bytes_of_commands() {
    assert_eq!(MAX_REQUEST_BYTES, 60_000);
}

#[test]
fn watch_request_is_encoded() {
    assert_eq!(WATCH_REQUEST, "WATCH");
}

#[test]
fn snapshot_start_and_heartbeat_are_decoded() {
    assert_eq!(event("OK"), RelayEvent::SnapshotStarted);
    assert_eq!(event("*"), RelayEvent::Heartbeat);
}

#[test]
fn joined_proxy_is_decoded_with_its_table_state() {
    for set in ["1", "true", "yes"] {
        assert_eq!(
            event(&format!("* SUBSCRIBE 4 a 120.5 {set}")),
            RelayEvent::ProxyJoined { proxy: 4, starts_without_tables: true }
        );
    }
    for unset in ["0", "false", "no"] {
        assert_eq!(
            event(&format!("* SUBSCRIBE 4 a 120.5 {unset}")),
            RelayEvent::ProxyJoined { proxy: 4, starts_without_tables: false }
        );
    }
}

#[test]
fn departed_proxy_is_decoded() {
    assert_eq!(event("* CLOSED 4"), RelayEvent::ProxyLeft { proxy: 4 });
}

#[test]
fn acknowledged_version_is_decoded() {
    assert_eq!(event("* ACK 4 65535"), RelayEvent::Acknowledged { proxy: 4, version: 65535 });
}

#[test]
fn granted_and_revoked_slices_are_decoded() {
    assert_eq!(event("* GRANT 31 1"), RelayEvent::SliceGranted { slice: 31 });
    assert_eq!(event("* GRANT 31 0"), RelayEvent::SliceRevoked { slice: 31 });
}

#[test]
fn endpoint_of_a_routing_table_is_decoded() {
    let row = RelayEvent::EndpointSet { slice: 31, replica: "s-5be2a07c".into(), weight: 0.75 };
    assert_eq!(event("* ROW 31 s-5be2a07c 0.75"), row);
}

#[test]
fn event_words_are_case_sensitive() {
    for line in ["ok", "* subscribe 4 a 1 1", "* closed 4", "* ack 4 1", "* grant 31 1", "* row 31 s 1"] {
        assert!(decode_event(line).is_err(), "{line}");
    }
}

#[test]
fn event_errors_name_the_missing_field() {
    assert_eq!(event_error("HELLO"), r#"not a relay watch event, in "HELLO""#);
    assert_eq!(event_error("* WHAT 1"), r#"unknown type of relay watch event, in "* WHAT 1""#);
    assert_eq!(event_error("* SUBSCRIBE"), r#"missing field `proxy`, in "* SUBSCRIBE""#);
    assert_eq!(event_error("* SUBSCRIBE 4"), r#"missing field `place`, in "* SUBSCRIBE 4""#);
    assert_eq!(event_error("* SUBSCRIBE 4 a"), r#"missing field `share`, in "* SUBSCRIBE 4 a""#);
    assert_eq!(event_error("* SUBSCRIBE 4 a 1"), r#"missing field `standing`, in "* SUBSCRIBE 4 a 1""#);
    assert_eq!(event_error("* ACK 4"), r#"missing field `mark`, in "* ACK 4""#);
    assert_eq!(event_error("* GRANT"), r#"missing field `slice`, in "* GRANT""#);
    assert_eq!(event_error("* GRANT 3"), r#"missing field `yes`, in "* GRANT 3""#);
    assert_eq!(event_error("* ROW 3"), r#"missing field `server`, in "* ROW 3""#);
    assert_eq!(event_error("* ROW 3 s"), r#"missing field `weight`, in "* ROW 3 s""#);
    assert_eq!(
        event_error("* ROW 3 s -1"),
        r#"weight out of range: got -1, expected 0 to 1000000000, in "* ROW 3 s -1""#
    );
    assert_eq!(event_error("* CLOSED x"), r#"invalid number "x", in "* CLOSED x""#);
}

#[test]
fn accepted_response_is_decoded() {
    assert_eq!(decode_response("OK 3"), Ok(Response::Accepted(3)));
    assert_eq!(decode_response("OK 0"), Ok(Response::Accepted(0)));
}

#[test]
fn rejected_response_is_decoded() {
    for line in ["bad_request", "ERR bad_request", "ERR bad_request: no such server"] {
        assert_eq!(decode_response(line), Ok(Response::Rejected(line.into())));
    }
}

#[test]
fn retryable_response_is_decoded() {
    for word in ["too_many_calls", "unavailable", "out_of_date"] {
        for line in [word.to_string(), format!("ERR {word}"), format!("ERR {word}: later")] {
            assert_eq!(decode_response(&line), Ok(Response::Retryable(line.clone())));
        }
    }
}

#[test]
fn other_responses_are_invalid() {
    for line in ["", "OK", "OK x", "OK 1 2", "ok 3", "ERR", "ERR toobusy"] {
        assert_eq!(response_error(line), format!("not a response to a relay request, in {line:?}"));
    }
}
