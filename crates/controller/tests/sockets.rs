//! The program as it is started in service, over loopback sockets, with fake servers for all its peers.

mod support;

use rustix::process::{kill_process, Pid, Signal};
use serde_json::{json, Value};
use std::io::{BufRead, Write};
use std::thread;
use std::time::{Duration, Instant};
use support::*;

#[test]
fn invalid_configuration_is_rejected_with_its_key() {
    let refuses = |text: &str, expected: &str| {
        let file = ConfigFile::write(text);
        let output = command(&file).output().unwrap();
        let said = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{said}");
        assert!(said.contains(expected), "{said:?} lacks {expected:?}");
    };
    refuses("{ no JSON", "line 1");
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
        refuses(&file.to_string(), expected);
    }
    let gone = ConfigFile("/nowhere/at/all.json".into());
    let output = command(&gone).output().unwrap();
    assert!(String::from_utf8_lossy(&output.stderr).contains("PROXY_CONFIG"));
}

#[test]
fn drain_in_the_endpoint_list_withdraws_the_replica() {
    let (mut relay, mut discovery, mut program) = start_with_fakes();
    program.connect().ping();
    let watch = discovery.serve_snapshot();
    let _news = relay.serve_snapshot();
    relay.accept_requests_until("SYNC").accept();
    watch.send_list(42, false, &["active", "leaving"]);
    let call = relay.accept_requests_until("OUT,s-1;");
    assert!(call.line.contains("SET,1,s-1,0") && call.line.contains("SET,4,s-1,0"), "{}", call.line);
    call.accept();
    kill_process(Pid::from_child(&program.child), Signal::TERM).unwrap();
    assert!(program.wait_for_exit().success());
}

#[test]
fn collector_reports_lead_to_commands() {
    let (mut relay, mut discovery, program) = start_with_fakes();
    let _watch = discovery.serve_snapshot();
    let _news = relay.serve_snapshot();
    relay.accept_requests_until("SYNC").accept();
    let mut collector = program.connect();
    collector.send_line(r#"{"@type":"SOURCE","az":"north"}"#);
    // One that fails all it is asked, quickly, in between lines that say nothing of use.
    let end = Instant::now() + TEST_TIMEOUT;
    while !relay.messages.receiver.try_iter().any(|said| {
        let out = said.line.contains("OUT,s-1;");
        said.accept();
        out
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
    let _news = relay.serve_snapshot();
    relay.accept_requests_until("SYNC").accept();
    watch.send_list(42, false, &["active", "leaving"]);
    let first = relay.accept_requests_until("OUT,s-1;");
    let line = first.line.clone();
    let mut way = first.stream;
    // Silence; a break; half an answer and a break; something that is no answer; a refusal for now.
    for (answer, ends) in
        [("", false), ("", true), ("OK 1", true), ("HELLO\r\n", false), ("ERR unavailable\r\n", false)]
    {
        _ = way.write_all(answer.as_bytes());
        if ends {
            _ = way.shutdown(std::net::Shutdown::Both);
        }
        let again = relay.wait_for_request("APPLY ");
        assert_eq!(again.line, line, "after {answer:?}");
        way = again.stream;
    }
    // A late answer on an old connection is nobody's.
    RelayRequest { line, stream: way }.accept();
}

#[test]
fn relay_watch_is_reopened_when_it_is_lost() {
    let (mut relay, mut discovery, mut program) = start_with_fakes();
    let _watch = discovery.serve_snapshot();
    let stands = |line: &String| line.contains("proxies=3 slices=6 ");
    let mut news = relay.serve_snapshot();
    program.log.wait("a snapshot", stands);
    // Half a line and the end; what can't be read; silence (no sign of life for seconds).
    for (last, ends) in [("* CLOSED 2", true), ("* WHAT 7\r\n", false), ("\u{0}\r\n", false), ("", false)] {
        news.write_all(last.as_bytes()).unwrap();
        if ends {
            news.shutdown(std::net::Shutdown::Both).unwrap();
        }
        news = relay.serve_snapshot();
        program.log.wait("a snapshot", stands);
    }
}

#[test]
fn registry_watch_is_reopened_when_it_is_lost() {
    let (_relay, mut discovery, program) = start_with_fakes();
    discovery.serve_snapshot().send_list(43, false, &["active"]); // and the answer ends
    let watch = discovery.accept_watch(43);
    watch.lines.send("{\"version\":44,\"full\":false,\"ser".into()).unwrap();
    drop(watch); // cut in half, it counts for nothing
    let watch = discovery.accept_watch(43);
    watch.lines.send("\nno list\n".into()).unwrap();
    let watch = discovery.accept_watch(0); // who says such things may have said wrong ones before
    watch.send_list(45, true, &["active"]);
    let silent = discovery.accept_watch(45); // silence
    program.connect().ping();
    drop((watch, silent));
}

#[test]
fn controller_recovers_when_all_connections_fail_at_once() {
    let (mut relay, mut discovery, program) = start_with_fakes();
    let watch = discovery.serve_snapshot();
    let news = relay.serve_snapshot();
    relay.accept_requests_until("SYNC").accept();
    watch.send_list(42, false, &["leaving"]);
    let open = relay.accept_requests_until("OUT,s-0;");
    drop(watch);
    _ = news.shutdown(std::net::Shutdown::Both);
    _ = open.stream.shutdown(std::net::Shutdown::Both);
    let _strangers: Vec<_> = (0..40).map(|_| program.connect()).collect();
    // All are back, and more has happened: what was open is carried out, then what is new.
    let watch = discovery.accept_watch(42);
    watch.send_list(43, false, &["leaving", "leaving"]);
    let _news = relay.serve_snapshot();
    relay.wait_for_request("OUT,s-0;").accept();
    let call = relay.accept_requests_until("OUT,s-1;");
    assert!(call.line.contains("SET,1,s-1,0") && call.line.contains("SET,4,s-1,0"), "{}", call.line);
}

#[test]
fn unauthenticated_peers_do_not_displace_collectors() {
    let (relay, discovery) = (FakeRelay::start(), FakeDiscovery::start());
    let program = ControllerProcess::start_with(&relay, &discovery, |file| {
        file["limits"] = json!({"sockets": 128, "memory_mb": 31.5});
    });
    let mut collector = program.connect();
    collector.join_zone();
    let mut strangers: Vec<_> = (0..64).map(|_| program.connect()).collect();
    collector.ping();
    assert!(strangers[0].is_disconnected(), "64 strangers fit where 32 connections may be");
    let held = || std::fs::read_dir(format!("/proc/{}/fd", program.child.id())).unwrap().count();
    assert!(held() < 64, "{} descriptors", held());
    collector.ping();
}

#[test]
fn invalid_peer_is_told_the_reason_and_disconnected() {
    let (_relay, _discovery, mut program) = start_with_fakes();
    let mut collector = program.connect();
    collector.join_zone();
    let met = r#"{"@type":"LOAD","az":"north","host":"s-0","n":9,"bad":0,"avg":41.7,"window":100.0}"#;
    for line in [
        "GET / HTTP/1.1\r\nHost: x\r\n\r",
        "{\"@type\":",
        "\0\0\0\u{7f}",
        met,
        r#"{"@type":"SOURCE","az":"nowhere"}"#,
        r#"{"@type":"SUBSCRIBE","sidecar":3,"az":"north","share":1.5,"standing":true}"#,
        r#"{"@type":"SET","partition":1,"host":"s-0","weight":1.0}"#,
    ] {
        let mut stranger = program.connect();
        stranger.send_line(line);
        let mut answer = String::new();
        _ = stranger.reader.read_line(&mut answer);
        assert!(answer.starts_with(r#"{"@type":"NACK""#), "{line}: {answer}");
        assert!(stranger.is_disconnected());
    }
    // Nothing, half a line, no end of a line, a sign of life now and then: all gain no time.
    let began = Instant::now();
    let mut strangers: Vec<_> = (0..4).map(|_| program.connect()).collect();
    strangers[1].stream.write_all(b"{\"@type\":\"SOU").unwrap();
    while strangers[2].stream.write_all(&[b'x'; 4096]).is_ok() {}
    while strangers[3].stream.write_all(b"{\"@type\":\"PING\"}\n").is_ok() {
        thread::sleep(Duration::from_millis(20));
    }
    assert!(strangers.iter_mut().all(|stranger| stranger.is_disconnected_within(Duration::from_millis(10))));
    assert!(began.elapsed() < Duration::from_secs(3), "{:?}", began.elapsed());
    collector.ping();
    // A spoilt report is passed over; one that can't be read ends the connection, so that it comes back.
    collector.send_line(
        r#"{"@type":"LOAD","az":"north","host":"s-0","n":"nan","bad":0,"avg":41.7,"window":100.0}"#,
    );
    program.log.wait("a note", |line: &String| line.contains("report ignored"));
    collector.ping();
    collector.send_line(&format!("{}{met}", &met[..40]));
    assert!(collector.is_disconnected());
}

#[test]
fn configuration_is_reloaded_on_sighup() {
    let (mut relay, mut discovery, mut program) = start_with_fakes();
    let watch = discovery.serve_snapshot();
    let _news = relay.serve_snapshot();
    relay.accept_requests_until("SYNC").accept();
    watch.send_list(42, false, &["active", "leaving"]);
    let open = relay.accept_requests_until("OUT,s-1;");
    let mut file = example_config();
    for (text, key) in [("{\"name\":", "PROXY_CONFIG"), ("{\"distributor\":{}}", "distributor")] {
        program.reload_with(text);
        program.log.wait(key, |line: &String| {
            line.contains("keeping the previous configuration") && line.contains(key)
        });
        program.connect().ping();
    }
    for round in 0..2 {
        // The second time the variable names what the file named in between.
        let (mut second, mut agent) = (FakeRelay::start(), FakeDiscovery::start());
        file["distributor"]["address"] = json!(second.address.to_string());
        file["discovery"] = json!(agent.address.to_string());
        file["limits"]["sockets"] = json!(500 + round);
        program.reload_with(&file.to_string());
        program.log.wait("limits", |line: &String| {
            line.contains("a changed configuration key needs a restart key=limits")
        });
        let watch = agent.accept_watch(42 + round);
        _ = open.stream.shutdown(std::net::Shutdown::Both);
        let _news = second.serve_snapshot();
        if round == 0 {
            let again = second.wait_for_request("APPLY ");
            assert_eq!(again.line, open.line, "the open call is the first at the new address");
            again.accept();
        }
        watch.send_list(43 + round, false, &["leaving", "leaving"]);
        if round == 0 {
            second.accept_requests_until("OUT,s-0;").accept();
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

/// The same settings with other forms of numbers, and an unreadable list of a former run.
#[test]
fn settings_in_other_number_formats_are_accepted() {
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
        let said = String::from_utf8_lossy(&output.stderr) + String::from_utf8_lossy(&output.stdout);
        assert!(said.contains(expected), "{said:?} lacks {expected:?}");
        assert_eq!(output.status.success(), !expected.contains('.') && expected != "peersTotal", "{said}");
    }
}
