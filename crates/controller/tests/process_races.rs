//! Two events at the same instant, on sockets: the program is paused while they are produced, or the fake servers wait for
//! the test, so that the unfortunate order occurs every time.

mod support;

use rustix::process::Signal;
use serde_json::json;
use std::io::{Read, Write};
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use support::*;

/// A serving controller, with a relay request in flight.
fn with_request_in_flight() -> (FakeRelay, FakeDiscovery, ControllerProcess, RegistryWatch, RelayRequest) {
    let (mut relay, mut discovery, program) = start_with_fakes();
    let watch = discovery.serve_snapshot();
    let _watch_connection = relay.serve_snapshot();
    relay.accept_requests_until("SYNC").accept();
    watch.send_list(42, false, &["active", "leaving"]);
    let open = relay.accept_requests_until("OUT,s-1;");
    (relay, discovery, program, watch, open)
}

#[test]
fn shutdown_waits_for_the_relay_request_in_flight() {
    let (relay, _discovery, mut program, watch, open) = with_request_in_flight();
    program.pause();
    // The cause of a newer request, the response and the signal, all at once.
    watch.send_list(43, false, &["leaving"]);
    open.accept();
    program.signal(Signal::TERM);
    program.resume();
    program.wait_for_log("shutting down requests_in_flight=1 signal=SIGTERM");
    program.wait_for_log("relay request in flight has its outcome");
    assert!(program.wait_for_exit().success());
    let newer = relay.messages.receiver.try_iter().find(|message| message.line.starts_with("APPLY"));
    assert_eq!(newer.map(|message| message.line), None, "a request after the signal");
}

#[test]
fn shutdown_does_not_wait_for_a_response_that_never_comes() {
    let (_relay, _discovery, mut program, _watch, _open) = with_request_in_flight();
    program.signal(Signal::TERM);
    assert!(program.wait_for_exit().success());
    // Nor does it where a second signal arrives at the same instant; the kill comes 0.7 s after the first.
    let (_relay, _discovery, mut program, _watch, _open) = with_request_in_flight();
    program.pause();
    program.signal(Signal::TERM);
    program.signal(Signal::INT);
    let began = std::time::Instant::now();
    program.resume();
    program.wait_for_log("further signal, already shutting down signal=SIGINT");
    assert!(program.wait_for_exit().success());
    assert!(began.elapsed() < Duration::from_millis(700), "{:?}", began.elapsed());
}

/// The outcome of the request in flight is waited for as long as before, whatever signals follow.
#[test]
fn second_signal_does_not_cost_the_outcome_of_the_request_in_flight() {
    let (_relay, _discovery, mut program, _watch, open) = with_request_in_flight();
    program.pause();
    program.signal(Signal::TERM);
    program.signal(Signal::INT);
    program.resume();
    program.wait_for_log("further signal, already shutting down signal=SIGINT");
    open.accept();
    program.wait_for_log("relay request in flight has its outcome");
    assert!(program.wait_for_exit().success());
}

#[test]
fn shutdown_replies_to_peers_that_asked_before() {
    let (_relay, _discovery, mut program) = start_with_fakes();
    program.pause();
    let mut check = program.connect();
    check.send_line(r#"{"@type":"PING"}"#);
    let mut unauthenticated = program.connect();
    unauthenticated.send_line("GET / HTTP/1.1");
    program.signal(Signal::TERM);
    program.resume();
    let received = |peer: &mut Peer| {
        let mut all = String::new();
        _ = peer.reader.read_to_string(&mut all);
        all
    };
    assert_eq!(received(&mut check), "{\"@type\":\"PONG\"}\n");
    assert!(received(&mut unauthenticated).starts_with(r#"{"@type":"NACK""#));
    assert!(program.wait_for_exit().success());
}

/// The port is taken at the start, as a former process may still have it: signals that arrive meanwhile are handled.
#[test]
fn signals_are_handled_while_the_listen_address_is_taken() {
    let taken = TcpListener::bind("127.0.0.1:0").unwrap();
    let (relay, mut second, discovery) = (FakeRelay::start(), FakeRelay::start(), FakeDiscovery::start());
    let mut file = example_config();
    file["listen"] = json!(taken.local_addr().unwrap().to_string());
    file["discovery"] = json!(discovery.address.to_string());
    file["distributor"]["address"] = json!(relay.address.to_string());
    let launch = |file: &serde_json::Value| {
        let written = ConfigFile::write(&file.to_string());
        let mut program = ControllerProcess::launch(command(&written), written);
        program.wait_for_log("listen address not available, retrying");
        program
    };
    let mut ended = launch(&file);
    ended.signal(Signal::TERM);
    assert!(ended.wait_for_exit().success());
    let mut program = launch(&file);
    file["distributor"]["address"] = json!(second.address.to_string());
    program.reload_with(&file.to_string());
    drop(taken);
    program.wait_until_listening();
    second.accept_watch();
}

/// The file is half written when the signal arrives, and no other signal follows.
#[test]
fn half_written_configuration_is_read_again_after_sighup() {
    let (relay, mut second, discovery) = (FakeRelay::start(), FakeRelay::start(), FakeDiscovery::start());
    let mut program = ControllerProcess::start(&relay, &discovery);
    let mut file = example_config();
    file["discovery"] = json!(discovery.address.to_string());
    file["distributor"]["address"] = json!(second.address.to_string());
    let text = file.to_string();
    program.reload_with(&text[..text.len() / 2]);
    program.wait_for_log("configuration reload failed, the former configuration stays");
    std::fs::write(&program.file.0, &text).unwrap();
    second.accept_watch();
    program.connect().ping();
}

/// The watch is open and sends heartbeats, but not the change.
#[test]
fn registry_watch_that_sends_only_heartbeats_is_renewed() {
    let (mut relay, mut discovery, _program) = start_with_fakes();
    let deaf = discovery.serve_snapshot();
    let _watch_connection = relay.serve_snapshot();
    relay.accept_requests_until("SYNC").accept();
    let ends = Arc::new(AtomicBool::new(false));
    let ended = ends.clone();
    let alive = thread::spawn(move || {
        while !ended.load(Ordering::Relaxed) && deaf.lines.send("\n".into()).is_ok() {
            thread::sleep(Duration::from_millis(200));
        }
    });
    let watch = discovery.accept_watch(41);
    watch.send_list(42, false, &["active", "leaving"]);
    relay.accept_requests_until("OUT,s-1;").accept();
    ends.store(true, Ordering::Relaxed);
    alive.join().unwrap();
}

/// A duplicate response may have been taken for that of another request: the store is read again.
#[test]
fn duplicate_response_causes_a_new_snapshot() {
    let (mut relay, _discovery, mut program, watch, mut open) = with_request_in_flight();
    let answer = format!("OK {}\r\n", open.line.split(';').count());
    open.stream.write_all(format!("{answer}{answer}").as_bytes()).unwrap();
    program.wait_for_log("unsolicited relay response");
    let _watch_connection = relay.serve_snapshot();
    watch.send_list(43, false, &["leaving"]);
    relay.accept_requests_until("OUT,s-0;").accept();
}

/// The relay closes the idle connection at the instant at which a request is due: it is sent once, on a new connection.
#[test]
fn request_due_as_the_idle_connection_closes_uses_a_new_connection() {
    let (mut relay, mut discovery, mut program) = start_with_fakes();
    let watch = discovery.serve_snapshot();
    let _watch_connection = relay.serve_snapshot();
    let idle = relay.accept_requests_until("SYNC");
    let way = idle.stream.try_clone().unwrap();
    idle.accept();
    program.connect().ping();
    program.pause();
    watch.send_list(42, false, &["active", "leaving"]);
    way.shutdown(std::net::Shutdown::Both).unwrap();
    program.resume();
    let mut request = relay.accept_requests_until("OUT,s-1;");
    assert_ne!(request.stream.peer_addr().unwrap(), way.peer_addr().unwrap_or(program.address));
    request.stream.write_all(format!("OK {}\r\n", request.line.split(';').count()).as_bytes()).unwrap();
    watch.send_list(43, false, &["leaving"]);
    relay.accept_requests_until("OUT,s-0;").accept();
    program.signal(Signal::TERM);
    assert!(program.wait_for_exit().success());
    let failed = |line: &String| line.contains("relay request failed");
    program.log.skipped.extend(program.log.receiver.iter());
    assert_eq!(program.log.skipped.iter().find(|line| failed(line)), None, "it was provably not sent");
}

/// The relay responds at the same instant at which a reload names another relay: the response counts.
#[test]
fn response_received_as_the_relay_moves_is_accepted() {
    let (_relay, _discovery, program, _watch, open) = with_request_in_flight();
    let mut second = FakeRelay::start();
    let line = open.line.clone();
    program.pause();
    open.accept();
    let mut file = example_config();
    file["discovery"] = json!("127.0.0.1:9");
    file["distributor"]["address"] = json!(second.address.to_string());
    program.reload_with(&file.to_string());
    program.resume();
    let _watch_connection = second.serve_snapshot();
    program.connect().ping();
    // The drain was carried out: what is made at the new address is another request.
    let again = second.messages.wait("a request", |message| message.line.starts_with("APPLY"));
    assert_ne!(again.line, line);
}

/// Input is unread when the close reason is sent: closing then would reset the connection, and the reason might be lost.
#[test]
fn close_reason_arrives_despite_unread_input() {
    let (_relay, _discovery, program) = start_with_fakes();
    program.pause();
    let mut unauthenticated = program.connect();
    unauthenticated.stream.write_all(b"GET / HTTP/1.1\r\n").unwrap();
    unauthenticated.stream.write_all(&vec![b'x'; 60_000]).unwrap();
    program.resume();
    let mut all = String::new();
    unauthenticated.reader.read_to_string(&mut all).expect("an end, no reset");
    assert!(all.starts_with(r#"{"@type":"NACK""#), "{all}");
}
