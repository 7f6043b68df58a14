//! Tests of the controller program over loopback sockets, with fakes for all its peers.

mod support;

use rustix::process::{kill_process, Pid, Signal};
use serde_json::{json, Value};
use std::io::{BufRead, Write};
use std::thread;
use std::time::{Duration, Instant};
use support::*;

#[test]
fn invalid_configuration_is_rejected_with_its_key() {
    let assert_rejected = |text: &str, expected: &str| {
        let file = ConfigFile::write(text);
        let output = command(&file).output().unwrap();
        let printed = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{printed}");
        assert!(printed.contains(expected), "expected {expected:?} in {printed:?}");
    };
    assert_rejected("{ no JSON", "line 1");
    type Change = fn(&mut Value);
    let cases: [(Change, &str); 11] = [
        (|file| file["settings"]["familyInfo"]["fixedCost"] = json!("eight"), "familyInfo.fixedCost"),
        (|file| _ = file["settings"]["familyInfo"].as_object_mut().unwrap().remove("queueCap"), "queueCap"),
        (|file| file["settings"]["classes"][1]["targetNs"] = json!(-4), "classes[1].targetNs"),
        (|file| file["settings"]["membershipMode"] = json!("guess"), "membershipMode"),
        (|file| file["settings"]["familyInfo"]["queueCap"] = json!(-1), "queueCap"),
        (|file| file["settings"]["classes"] = json!([]), "classes"),
        (|file| file["listen"] = json!("here"), "listen"),
        (|file| _ = file.as_object_mut().unwrap().remove("discovery"), "PROXY_DISCOVERY"),
        (|file| file["distributor"] = json!({}), "distributor"),
        (|file| file["limits"] = json!({"sockets": 3}), "limits.sockets"),
        (|file| file["seed"] = json!("not hexadecimal"), "seed"),
    ];
    for (change, expected) in cases {
        let mut file = example_config();
        change(&mut file);
        assert_rejected(&file.to_string(), expected);
    }
    let missing = ConfigFile("/nowhere/at/all.json".into());
    let output = command(&missing).output().unwrap();
    assert!(String::from_utf8_lossy(&output.stderr).contains("PROXY_CONFIG"));
}

#[test]
fn drain_in_the_endpoint_list_withdraws_the_replica() {
    let (mut relay, mut discovery, mut program) = start_with_fakes();
    program.connect().ping();
    let watch = discovery.serve_snapshot();
    let _relay_watch = relay.serve_snapshot();
    relay.accept_requests_until("SYNC").accept();
    watch.send_list(42, false, &["active", "leaving"]);
    let request = relay.accept_requests_until("OUT,s-1;");
    assert!(request.line.contains("SET,1,s-1,0") && request.line.contains("SET,4,s-1,0"), "{}", request.line);
    request.accept();
    kill_process(Pid::from_child(&program.child), Signal::TERM).unwrap();
    assert!(program.wait_for_exit().success());
}

#[test]
fn collector_reports_lead_to_commands() {
    let (mut relay, mut discovery, program) = start_with_fakes();
    let _watch = discovery.serve_snapshot();
    let _relay_watch = relay.serve_snapshot();
    relay.accept_requests_until("SYNC").accept();
    let mut collector = program.connect();
    collector.send_line(r#"{"@type":"SOURCE","az":"north"}"#);
    // All attempts at s-1 fail fast. An invalid line and reports on other subjects are in between.
    let end = Instant::now() + TEST_TIMEOUT;
    while !relay.messages.receiver.try_iter().any(|request| {
        let is_withdrawal = request.line.contains("OUT,s-1;");
        request.accept();
        is_withdrawal
    }) {
        assert!(Instant::now() < end, "s-1 is not withdrawn");
        for line in [
            r#"{"@type":"LOAD","az":"north","host":"s-0","n":9,"bad":0,"avg":41.7,"window":100.0}"#,
            r#"{"@type":"LOAD","az":"north","host":"s-1","n":9,"bad":9,"avg":0.0,"window":100.0}"#,
            r#"{"@type":"LOAD","az":"north","host":"s-2","n":9,"bad":0,"avg":41.7,"window":100.0}"#,
            r#"{"@type":"SHARD","partition":1,"kind":"lookup","n":9,"bad":9,"window":100.0}"#,
            r#"{"@type":"LOAD","az":"north"}"#,
        ] {
            collector.send_line(line);
        }
        thread::sleep(Duration::from_millis(100));
    }
    collector.ping();
}

#[test]
fn relay_request_is_retried_until_its_outcome_is_known() {
    let (mut relay, mut discovery, _program) = start_with_fakes();
    let watch = discovery.serve_snapshot();
    let _relay_watch = relay.serve_snapshot();
    relay.accept_requests_until("SYNC").accept();
    watch.send_list(42, false, &["active", "leaving"]);
    let first = relay.accept_requests_until("OUT,s-1;");
    let line = first.line.clone();
    let mut connection = first.stream;
    // No response; a lost connection; a truncated response and a lost connection; a malformed response; a retryable
    // refusal.
    for (response, closes) in
        [("", false), ("", true), ("OK 1", true), ("HELLO\r\n", false), ("ERR unavailable\r\n", false)]
    {
        _ = connection.write_all(response.as_bytes());
        if closes {
            _ = connection.shutdown(std::net::Shutdown::Both);
        }
        let retry = relay.wait_for_request("APPLY ");
        assert_eq!(retry.line, line, "after {response:?}");
        connection = retry.stream;
    }
    // A late response on an earlier connection is ignored.
    RelayRequest { line, stream: connection }.accept();
}

#[test]
fn relay_watch_is_reopened_when_it_is_lost() {
    let (mut relay, mut discovery, mut program) = start_with_fakes();
    let _watch = discovery.serve_snapshot();
    let is_complete = |line: &String| line.contains("proxies=3 slices=6 ");
    let mut relay_watch = relay.serve_snapshot();
    program.log.wait("a complete snapshot", is_complete);
    // A truncated line and the end of the connection; malformed lines; no data until the idle time-out.
    for (last, closes) in [("* CLOSED 2", true), ("* WHAT 7\r\n", false), ("\u{0}\r\n", false), ("", false)] {
        relay_watch.write_all(last.as_bytes()).unwrap();
        if closes {
            relay_watch.shutdown(std::net::Shutdown::Both).unwrap();
        }
        relay_watch = relay.serve_snapshot();
        program.log.wait("a complete snapshot", is_complete);
    }
}

#[test]
fn registry_watch_is_reopened_when_it_is_lost() {
    let (_relay, mut discovery, program) = start_with_fakes();
    discovery.serve_snapshot().send_list(43, false, &["active"]); // then the response ends
    let watch = discovery.accept_watch(43);
    watch.lines.send("{\"version\":44,\"full\":false,\"ser".into()).unwrap();
    drop(watch); // a truncated list is ignored
    let watch = discovery.accept_watch(43);
    watch.lines.send("\nno list\n".into()).unwrap();
    let watch = discovery.accept_watch(0); // after a malformed list the complete list is requested
    watch.send_list(45, true, &["active"]);
    let silent = discovery.accept_watch(45); // no data
    program.connect().ping();
    drop((watch, silent));
}

#[test]
fn controller_recovers_when_all_connections_fail_at_once() {
    let (mut relay, mut discovery, program) = start_with_fakes();
    let watch = discovery.serve_snapshot();
    let relay_watch = relay.serve_snapshot();
    relay.accept_requests_until("SYNC").accept();
    watch.send_list(42, false, &["leaving"]);
    let pending = relay.accept_requests_until("OUT,s-0;");
    drop(watch);
    _ = relay_watch.shutdown(std::net::Shutdown::Both);
    _ = pending.stream.shutdown(std::net::Shutdown::Both);
    let _unauthenticated: Vec<_> = (0..40).map(|_| program.connect()).collect();
    // All peers are back and the list has changed. The pending request is applied first, then the new commands.
    let watch = discovery.accept_watch(42);
    watch.send_list(43, false, &["leaving", "leaving"]);
    let _relay_watch = relay.serve_snapshot();
    relay.wait_for_request("OUT,s-0;").accept();
    let request = relay.accept_requests_until("OUT,s-1;");
    assert!(request.line.contains("SET,1,s-1,0") && request.line.contains("SET,4,s-1,0"), "{}", request.line);
}

#[test]
fn unauthenticated_peers_do_not_displace_collectors() {
    let (relay, discovery) = (FakeRelay::start(), FakeDiscovery::start());
    let program = ControllerProcess::start_with(&relay, &discovery, |file| {
        file["limits"] = json!({"sockets": 128, "memory_mb": 31.5});
    });
    let mut collector = program.connect();
    collector.join_zone();
    let mut unauthenticated: Vec<_> = (0..64).map(|_| program.connect()).collect();
    collector.ping();
    assert!(
        unauthenticated[0].is_disconnected(),
        "64 unauthenticated connections are open, at most 32 are allowed"
    );
    let open_descriptors = || std::fs::read_dir(format!("/proc/{}/fd", program.child.id())).unwrap().count();
    assert!(open_descriptors() < 64, "{} descriptors are open", open_descriptors());
    collector.ping();
}

#[test]
fn invalid_peer_gets_the_reason_and_is_disconnected() {
    let (_relay, _discovery, mut program) = start_with_fakes();
    let mut collector = program.connect();
    collector.join_zone();
    let endpoint_report =
        r#"{"@type":"LOAD","az":"north","host":"s-0","n":9,"bad":0,"avg":41.7,"window":100.0}"#;
    for line in [
        "GET / HTTP/1.1\r\nHost: x\r\n\r",
        "{\"@type\":",
        "\0\0\0\u{7f}",
        endpoint_report,
        r#"{"@type":"SOURCE","az":"nowhere"}"#,
        r#"{"@type":"SUBSCRIBE","sidecar":3,"az":"north","share":1.5,"standing":true}"#,
        r#"{"@type":"SET","partition":1,"host":"s-0","weight":1.0}"#,
    ] {
        let mut peer = program.connect();
        peer.send_line(line);
        let mut reply = String::new();
        _ = peer.reader.read_line(&mut reply);
        assert!(reply.starts_with(r#"{"@type":"NACK""#), "{line}: {reply}");
        assert!(peer.is_disconnected());
    }
    // No data, a partial line, an endless line and repeated pings: none of them extends the authentication time-out.
    let started_at = Instant::now();
    let mut unauthenticated: Vec<_> = (0..4).map(|_| program.connect()).collect();
    unauthenticated[1].stream.write_all(b"{\"@type\":\"SOU").unwrap();
    while unauthenticated[2].stream.write_all(&[b'x'; 4096]).is_ok() {}
    while unauthenticated[3].stream.write_all(b"{\"@type\":\"PING\"}\n").is_ok() {
        thread::sleep(Duration::from_millis(20));
    }
    assert!(unauthenticated.iter_mut().all(|peer| peer.is_disconnected_within(Duration::from_millis(10))));
    assert!(started_at.elapsed() < Duration::from_secs(3), "{:?}", started_at.elapsed());
    collector.ping();
    // An invalid report is ignored. A line that is not JSON closes the connection, so that the collector reconnects.
    collector.send_line(
        r#"{"@type":"LOAD","az":"north","host":"s-0","n":"nan","bad":0,"avg":41.7,"window":100.0}"#,
    );
    program.log.wait("the log line of an ignored report", |line: &String| line.contains("report ignored"));
    collector.ping();
    collector.send_line(&format!("{}{endpoint_report}", &endpoint_report[..40]));
    assert!(collector.is_disconnected());
}

#[test]
fn configuration_is_reloaded_on_sighup() {
    let (mut relay, mut discovery, mut program) = start_with_fakes();
    let watch = discovery.serve_snapshot();
    let _relay_watch = relay.serve_snapshot();
    relay.accept_requests_until("SYNC").accept();
    watch.send_list(42, false, &["active", "leaving"]);
    let pending = relay.accept_requests_until("OUT,s-1;");
    let mut file = example_config();
    for (text, key) in [("{\"name\":", "PROXY_CONFIG"), ("{\"distributor\":{}}", "distributor")] {
        program.reload_with(text);
        program.log.wait(key, |line: &String| {
            line.contains("keeping the previous configuration") && line.contains(key)
        });
        program.connect().ping();
    }
    for round in 0..2 {
        // Each round moves both peers to new addresses.
        let (mut new_relay, mut new_discovery) = (FakeRelay::start(), FakeDiscovery::start());
        file["distributor"]["address"] = json!(new_relay.address.to_string());
        file["discovery"] = json!(new_discovery.address.to_string());
        file["limits"]["sockets"] = json!(500 + round);
        program.reload_with(&file.to_string());
        program.log.wait("limits", |line: &String| {
            line.contains("a changed configuration key needs a restart key=limits")
        });
        let watch = new_discovery.accept_watch(42 + round);
        _ = pending.stream.shutdown(std::net::Shutdown::Both);
        let _relay_watch = new_relay.serve_snapshot();
        if round == 0 {
            let retry = new_relay.wait_for_request("APPLY ");
            assert_eq!(retry.line, pending.line, "the pending request is sent first to the new relay");
            retry.accept();
        }
        watch.send_list(43 + round, false, &["leaving", "leaving"]);
        if round == 0 {
            new_relay.accept_requests_until("OUT,s-0;").accept();
        }
    }
    kill_process(Pid::from_child(&program.child), Signal::TERM).unwrap();
    assert!(program.wait_for_exit().success());
}

#[test]
fn shutdown_is_immediate_without_a_request_in_flight() {
    let (mut relay, _discovery, mut program) = start_with_fakes();
    let _silent = relay.accept_watch();
    kill_process(Pid::from_child(&program.child), Signal::TERM).unwrap();
    assert!(program.wait_for_exit().success());
}

/// Numbers in other formats are accepted, negative and fractional counts are rejected, and an invalid endpoint list of
/// an earlier run is ignored.
#[test]
fn check_accepts_numbers_in_other_formats_and_names_invalid_keys() {
    type Change = fn(&mut Value);
    let cases: [(Change, &str); 8] = [
        (|file| file["settings"]["classes"][0]["targetNs"] = json!(1.2e9), "are valid"),
        (|file| file["settings"]["familyInfo"]["tenureNs"] = json!(0.5), "are valid"),
        (|file| file["settings"]["familyInfo"]["updateCap"] = json!(12.0), "are valid"),
        (|file| file["settings"]["familyInfo"]["partitionsN"] = json!(1024.0), "are valid"),
        (|file| file["settings"]["obligations"]["warmAfterNs"] = json!(1e30), "are valid"),
        (|file| file["settings"]["familyInfo"]["updateCap"] = json!(-1), "familyInfo.updateCap"),
        (|file| file["settings"]["peersTotal"] = json!(2.5), "peersTotal"),
        (
            |file| file["known"] = json!({"version": 3, "full": true, "servers": [{"id": 7}]}),
            "known endpoint list ignored",
        ),
    ];
    for (change, expected) in cases {
        let mut file = example_config();
        change(&mut file);
        let file = ConfigFile::write(&file.to_string());
        let output = command(&file).arg("--check").output().unwrap();
        let printed = String::from_utf8_lossy(&output.stderr) + String::from_utf8_lossy(&output.stdout);
        assert!(printed.contains(expected), "expected {expected:?} in {printed:?}");
        assert_eq!(output.status.success(), !expected.contains('.') && expected != "peersTotal", "{printed}");
    }
}
