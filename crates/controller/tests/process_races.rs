//! Two events at the same instant, on sockets. The process is stopped while the events are produced, or the fakes
//! wait for the test, so that the critical order occurs in every run.

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

/// Starts a controller with a relay request in flight.
fn start_with_request_in_flight() -> (FakeRelay, FakeDiscovery, ControllerProcess, RegistryWatch, RelayRequest)
{
    let (mut relay, mut discovery, program) = start_with_fakes();
    let watch = discovery.serve_snapshot();
    let _watch_connection = relay.serve_snapshot();
    relay.accept_requests_until("SYNC").accept();
    watch.send_list(42, false, &["active", "leaving"]);
    let request_in_flight = relay.accept_requests_until("OUT,s-1;");
    (relay, discovery, program, watch, request_in_flight)
}

#[test]
fn shutdown_waits_for_the_relay_request_in_flight() {
    let (relay, _discovery, mut program, watch, request_in_flight) = start_with_request_in_flight();
    program.pause();
    // A change that requires a new request, the response and the signal arrive at the same instant.
    watch.send_list(43, false, &["leaving"]);
    request_in_flight.accept();
    program.signal(Signal::TERM);
    program.resume();
    program.wait_for_log("shutting down requests_in_flight=1 signal=SIGTERM");
    program.wait_for_log("relay request in flight completed");
    assert!(program.wait_for_exit().success());
    let newer = relay.messages.receiver.try_iter().find(|message| message.line.starts_with("APPLY"));
    assert_eq!(newer.map(|message| message.line), None, "request sent after the signal");
}

#[test]
fn shutdown_does_not_wait_for_a_response_that_never_comes() {
    let (_relay, _discovery, mut program, _watch, _request_in_flight) = start_with_request_in_flight();
    program.signal(Signal::TERM);
    assert!(program.wait_for_exit().success());
    // The same with a second signal at the same instant. The platform kills the process 0.7 s after the first signal.
    let (_relay, _discovery, mut program, _watch, _request_in_flight) = start_with_request_in_flight();
    program.pause();
    program.signal(Signal::TERM);
    program.signal(Signal::INT);
    let start = std::time::Instant::now();
    program.resume();
    program.wait_for_log("further signal, already shutting down signal=SIGINT");
    assert!(program.wait_for_exit().success());
    assert!(start.elapsed() < Duration::from_millis(700), "{:?}", start.elapsed());
}

/// Further signals do not shorten the wait for the outcome of the request in flight.
#[test]
fn second_signal_does_not_end_the_wait_for_the_request_in_flight() {
    let (_relay, _discovery, mut program, _watch, request_in_flight) = start_with_request_in_flight();
    program.pause();
    program.signal(Signal::TERM);
    program.signal(Signal::INT);
    program.resume();
    program.wait_for_log("further signal, already shutting down signal=SIGINT");
    request_in_flight.accept();
    program.wait_for_log("relay request in flight completed");
    assert!(program.wait_for_exit().success());
}

#[test]
fn shutdown_replies_to_lines_received_before_the_signal() {
    let (_relay, _discovery, mut program) = start_with_fakes();
    program.pause();
    let mut health_check = program.connect();
    health_check.send_line(r#"{"@type":"PING"}"#);
    let mut unauthenticated = program.connect();
    unauthenticated.send_line("GET / HTTP/1.1");
    program.signal(Signal::TERM);
    program.resume();
    let received = |peer: &mut Peer| {
        let mut all = String::new();
        _ = peer.reader.read_to_string(&mut all);
        all
    };
    assert_eq!(received(&mut health_check), "{\"@type\":\"PONG\"}\n");
    assert!(received(&mut unauthenticated).starts_with(r#"{"@type":"NACK""#));
    assert!(program.wait_for_exit().success());
}

/// A previous process may still use the listen address at start-up. Signals are handled until the address is available.
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
    let mut terminated = launch(&file);
    terminated.signal(Signal::TERM);
    assert!(terminated.wait_for_exit().success());
    let mut program = launch(&file);
    file["distributor"]["address"] = json!(second.address.to_string());
    program.reload_with(&file.to_string());
    drop(taken);
    program.wait_until_listening();
    second.accept_watch();
}

/// The file is truncated when SIGHUP arrives and completed later, without a further signal.
#[test]
fn truncated_configuration_is_read_again_after_sighup() {
    let (relay, mut second, discovery) = (FakeRelay::start(), FakeRelay::start(), FakeDiscovery::start());
    let mut program = ControllerProcess::start(&relay, &discovery);
    let mut file = example_config();
    file["discovery"] = json!(discovery.address.to_string());
    file["distributor"]["address"] = json!(second.address.to_string());
    let text = file.to_string();
    program.reload_with(&text[..text.len() / 2]);
    program.wait_for_log("configuration reload failed, keeping the previous configuration");
    std::fs::write(&program.file.0, &text).unwrap();
    second.accept_watch();
    program.connect().ping();
}

/// The discovery agent sends heartbeats on the open watch and does not send a change.
#[test]
fn registry_watch_that_sends_only_heartbeats_is_renewed() {
    let (mut relay, mut discovery, _program) = start_with_fakes();
    let stale_watch = discovery.serve_snapshot();
    let _watch_connection = relay.serve_snapshot();
    relay.accept_requests_until("SYNC").accept();
    let is_done = Arc::new(AtomicBool::new(false));
    let heartbeats_done = is_done.clone();
    let heartbeats = thread::spawn(move || {
        while !heartbeats_done.load(Ordering::Relaxed) && stale_watch.lines.send("\n".into()).is_ok() {
            thread::sleep(Duration::from_millis(200));
        }
    });
    let watch = discovery.accept_watch(41);
    watch.send_list(42, false, &["active", "leaving"]);
    relay.accept_requests_until("OUT,s-1;").accept();
    is_done.store(true, Ordering::Relaxed);
    heartbeats.join().unwrap();
}

/// A duplicate response may have been taken as the response to another request, so the controller reads the tables
/// again.
#[test]
fn duplicate_response_causes_a_new_snapshot() {
    let (mut relay, _discovery, mut program, watch, mut request_in_flight) = start_with_request_in_flight();
    let response = format!("OK {}\r\n", request_in_flight.line.split(';').count());
    request_in_flight.stream.write_all(format!("{response}{response}").as_bytes()).unwrap();
    program.wait_for_log("unsolicited relay response");
    let _watch_connection = relay.serve_snapshot();
    watch.send_list(43, false, &["leaving"]);
    relay.accept_requests_until("OUT,s-0;").accept();
}

/// The relay closes the idle connection at the instant at which a request is due. The request is sent once, on a new
/// connection.
#[test]
fn request_due_as_the_idle_connection_closes_uses_a_new_connection() {
    let (mut relay, mut discovery, mut program) = start_with_fakes();
    let watch = discovery.serve_snapshot();
    let _watch_connection = relay.serve_snapshot();
    let idle_request = relay.accept_requests_until("SYNC");
    let idle_connection = idle_request.stream.try_clone().unwrap();
    idle_request.accept();
    program.connect().ping();
    program.pause();
    watch.send_list(42, false, &["active", "leaving"]);
    idle_connection.shutdown(std::net::Shutdown::Both).unwrap();
    program.resume();
    let mut request = relay.accept_requests_until("OUT,s-1;");
    assert_ne!(request.stream.peer_addr().unwrap(), idle_connection.peer_addr().unwrap_or(program.address));
    request.stream.write_all(format!("OK {}\r\n", request.line.split(';').count()).as_bytes()).unwrap();
    watch.send_list(43, false, &["leaving"]);
    relay.accept_requests_until("OUT,s-0;").accept();
    program.signal(Signal::TERM);
    assert!(program.wait_for_exit().success());
    let is_failure = |line: &String| line.contains("relay request failed");
    program.log.skipped.extend(program.log.receiver.iter());
    assert_eq!(
        program.log.skipped.iter().find(|line| is_failure(line)),
        None,
        "failure logged for a request that was not sent on the closed connection"
    );
}

/// The response of the relay and a reload with another relay address arrive at the same instant. The response counts.
#[test]
fn response_received_as_the_relay_address_changes_is_accepted() {
    let (_relay, _discovery, program, _watch, request_in_flight) = start_with_request_in_flight();
    let mut second = FakeRelay::start();
    let line = request_in_flight.line.clone();
    program.pause();
    request_in_flight.accept();
    let mut file = example_config();
    file["discovery"] = json!("127.0.0.1:9");
    file["distributor"]["address"] = json!(second.address.to_string());
    program.reload_with(&file.to_string());
    program.resume();
    let _watch_connection = second.serve_snapshot();
    program.connect().ping();
    // The first request was accepted, so the relay at the new address gets a different one.
    let next = second.messages.wait("a request", |message| message.line.starts_with("APPLY"));
    assert_ne!(next.line, line);
}

/// Closing a connection with unread input resets it, and the peer may lose the close reason that was sent before.
#[test]
fn close_reason_arrives_despite_unread_input() {
    let (_relay, _discovery, program) = start_with_fakes();
    program.pause();
    let mut unauthenticated = program.connect();
    unauthenticated.stream.write_all(b"GET / HTTP/1.1\r\n").unwrap();
    unauthenticated.stream.write_all(&vec![b'x'; 60_000]).unwrap();
    program.resume();
    let mut all = String::new();
    unauthenticated.reader.read_to_string(&mut all).expect("connection was reset");
    assert!(all.starts_with(r#"{"@type":"NACK""#), "{all}");
}
