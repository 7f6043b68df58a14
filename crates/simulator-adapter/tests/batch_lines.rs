//! The exact text between the simulator and the adapter: batches with every kind of part in, reply lines out. The
//! replies hold decisions too, which are the same for the same seed: a change of decisions on purpose changes the
//! fixture of replies, and only its figures.

use std::io::Write;
use std::path::PathBuf;
use std::process::{Command, Stdio};

const ADAPTER: &str = env!("CARGO_BIN_EXE_whinwall-simulator-adapter");

/// What the adapter writes to its output and to its log when these lines are its input.
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
fn batches_with_every_event_are_answered_to_the_letter() {
    let (replies, log) = run(&fixture("batches.jsonl"));
    assert_eq!(log, "");
    assert_eq!(replies, fixture("replies.jsonl"));
}

/// The log of one instance that is given this event once it has been started.
fn log_of(event: &str) -> String {
    let start = fixture("batches.jsonl").lines().next().unwrap().to_string();
    let (_, log) =
        run(&format!("{start}\n{{\"nowNs\":1,\"parts\":[{{\"governorId\":1,\"input\":[{event}]}}]}}\n"));
    log
}

#[test]
fn an_event_that_is_not_known_is_logged_by_its_name() {
    assert_eq!(log_of(r#"["what"]"#), "instance 1: event what: it is not known\n");
}

#[test]
fn an_event_of_an_instance_that_is_not_there_is_logged() {
    let (_, log) = run("{\"nowNs\":1,\"parts\":[{\"governorId\":9,\"input\":[[\"parted\",1]]}]}\n");
    assert_eq!(log, "instance 9: event parted: this instance has not been started\n");
}

#[test]
fn malformed_values_are_logged_by_the_names_of_their_fields() {
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
fn a_line_that_is_no_batch_ends_the_adapter_with_the_key_that_it_lacks() {
    let why = |line: &str| run(&format!("{line}\n")).1;
    let lacks = |line: &str, expected: &str| {
        let log = why(line);
        assert!(log.contains(&format!("\"line 1: {expected}\"")), "{log}");
    };
    lacks(r#"{"parts":[]}"#, "nowNs is missing or no whole number");
    lacks(r#"{"nowNs":1}"#, "parts is missing or no array");
    lacks(r#"{"nowNs":1,"parts":[{}]}"#, "a part has no governorId");
    lacks(r#"{"nowNs":1,"parts":[{"governorId":3}]}"#, "the part of instance 3 has no input");
    lacks("x", "no JSON: expected value at line 1 column 1");
}

#[test]
fn events_without_their_form_are_logged() {
    assert_eq!(log_of("1"), "instance 1: an event is not an array\n");
    assert_eq!(log_of("[]"), "instance 1: an event has no name\n");
    let unknown_mode = "instance 1: event members: field mode is unknown: part\n";
    assert_eq!(log_of(r#"["members","part",1,1]"#), unknown_mode);
    assert_eq!(log_of(r#"["recorded",1,1,1]"#), "instance 1: event recorded: it follows no charge\n");
}
