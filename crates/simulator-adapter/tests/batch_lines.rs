//! The exact text exchanged between the simulator and the adapter: batches with every kind of event, and the reply
//! lines. Replies contain decisions, which are the same for the same seed: an intended change of decisions changes
//! only figures in the fixture of replies.

use std::io::Write;
use std::path::PathBuf;
use std::process::{Command, Stdio};

const ADAPTER: &str = env!("CARGO_BIN_EXE_whinwall-simulator-adapter");

/// Returns the adapter's standard output and standard error for these input lines.
fn run(batches: &str) -> (String, String) {
    let mut adapter = Command::new(ADAPTER)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    adapter.stdin.take().unwrap().write_all(batches.as_bytes()).unwrap();
    let output = adapter.wait_with_output().unwrap();
    (String::from_utf8(output.stdout).unwrap(), String::from_utf8(output.stderr).unwrap())
}

fn fixture(name: &str) -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name);
    std::fs::read_to_string(path).unwrap()
}

#[test]
fn batches_with_every_event_give_the_exact_replies() {
    let (replies, log) = run(&fixture("batches.jsonl"));
    assert_eq!(log, "");
    assert_eq!(replies, fixture("replies.jsonl"));
}

/// Returns the log for this event, sent to an instance that has just been started.
fn log_of(event: &str) -> String {
    let start = fixture("batches.jsonl").lines().next().unwrap().to_string();
    let (_, log) =
        run(&format!("{start}\n{{\"nowNs\":1,\"parts\":[{{\"governorId\":1,\"input\":[{event}]}}]}}\n"));
    log
}

#[test]
fn unknown_event_is_logged_with_its_name() {
    assert_eq!(log_of(r#"["what"]"#), "instance 1: event what: unknown event\n");
}

#[test]
fn event_of_an_unknown_instance_is_logged() {
    let (_, log) = run("{\"nowNs\":1,\"parts\":[{\"governorId\":9,\"input\":[[\"parted\",1]]}]}\n");
    assert_eq!(log, "instance 9: event parted: instance has not been started\n");
}

#[test]
fn malformed_values_are_logged_with_their_field_names() {
    let malformed = [
        (r#"["powerOn"]"#, "powerOn", "rngSeed"),
        (r#"["list"]"#, "list", "sheet"),
        (r#"["members"]"#, "members", "mode"),
        (r#"["members","whole",1,99]"#, "members", "sheet"),
        (r#"["bell"]"#, "bell", "name"),
        (r#"["connected"]"#, "connected", "clientLb"),
        (r#"["connected",0]"#, "connected", "set"),
        (r#"["parted"]"#, "parted", "clientLb"),
        (r#"["trafficReport"]"#, "trafficReport", "hall"),
        (r#"["trafficReport","x",0,"a"]"#, "trafficReport", "periodLenNs"),
        (r#"["trafficReport",1,"x","a"]"#, "trafficReport", "bad"),
        (r#"["trafficReport",1,0,"a"]"#, "trafficReport", "many"),
        (r#"["trafficReport",1,0,"a",1]"#, "trafficReport", "latencyNs"),
        (r#"["trafficReport",1,0,"a",1,1]"#, "trafficReport", "replica"),
        (r#"["sliceLoad"]"#, "sliceLoad", "category"),
        (r#"["sliceLoad",1,"lookup"]"#, "sliceLoad", "periodLenNs"),
        (r#"["sliceLoad","x","lookup",1,1,1]"#, "sliceLoad", "mapId"),
        (r#"["charge"]"#, "charge", "set"),
        (r#"["charge",false]"#, "charge", "mapId"),
        (r#"["charge",true,1],["recorded"]"#, "recorded", "replica"),
        (r#"["charge",true,1],["recorded",1,"x",1]"#, "recorded", "weight"),
        (r#"["installed"]"#, "installed", "number"),
        (r#"["installed","x",1]"#, "installed", "clientLb"),
        (r#"["installed",0,70000]"#, "installed", "number"),
        (r#"["members","whole",1]"#, "members", "sheet"),
        (r#"["list",5,[["x"]]],["members","whole",1,5]"#, "members", "sheet"),
        (r#"["sliceLoad",1,"what",1,1,1]"#, "sliceLoad", "category"),
        (r#"["sliceLoad",1,"lookup","x",1,1]"#, "sliceLoad", "many"),
        (r#"["sliceLoad",1,"lookup",1,"x",1]"#, "sliceLoad", "bad"),
        (r#"["charge",true]"#, "charge", "mapId"),
    ];
    for (event, name, field) in malformed {
        let expected = format!("instance 1: event {name}: field {field} is missing or malformed\n");
        assert_eq!(log_of(event), expected, "{event}");
    }
}

#[test]
fn malformed_batch_ends_the_adapter_with_an_error_that_names_the_key() {
    let log_of_line = |line: &str| run(&format!("{line}\n")).1;
    let assert_error = |line: &str, expected: &str| {
        let log = log_of_line(line);
        assert!(log.contains(&format!("\"line 1: {expected}\"")), "{log}");
    };
    assert_error(r#"{"parts":[]}"#, "nowNs is missing or not a non-negative integer");
    assert_error(r#"{"nowNs":1}"#, "parts is missing or not an array");
    assert_error(
        r#"{"nowNs":1,"parts":[{}]}"#,
        "governorId of a part is missing or not a non-negative integer",
    );
    assert_error(
        r#"{"nowNs":1,"parts":[{"governorId":3}]}"#,
        "input of the part of instance 3 is missing or not an array",
    );
    assert_error("x", "invalid JSON: expected value at line 1 column 1");
}

#[test]
fn malformed_events_are_logged() {
    assert_eq!(log_of("1"), "instance 1: event is not an array\n");
    assert_eq!(log_of("[]"), "instance 1: event has no name\n");
    let unknown_mode = "instance 1: event members: unknown value of field mode: part\n";
    assert_eq!(log_of(r#"["members","part",1,1]"#), unknown_mode);
    assert_eq!(log_of(r#"["recorded",1,1,1]"#), "instance 1: event recorded: no charge event before it\n");
}
