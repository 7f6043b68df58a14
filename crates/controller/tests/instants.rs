//! Two events that meet the program at the same instant, on sockets: it is stopped while they are brought about, or the
//! stand-ins wait until told, so that the bad order comes every time.

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

/// A controller that serves, with a call made and not yet answered.
fn with_an_open_call() -> (FakeRelay, FakeDiscovery, ControllerProcess, RegistryWatch, RelayRequest) {
    let (mut relay, mut discovery, program) = start_all();
    let watch = discovery.serve_snapshot();
    let _news = relay.serve_snapshot();
    relay.accept_requests_until("SYNC").accept();
    watch.list(42, false, &["active", "leaving"]);
    let open = relay.accept_requests_until("OUT,s-1;");
    (relay, discovery, program, watch, open)
}

#[test]
fn shutdown_waits_for_the_relay_request_in_flight() {
    let (relay, _discovery, mut program, watch, open) = with_an_open_call();
    program.pause();
    // What would make a newer call, the answer, and the end, all at once.
    watch.list(43, false, &["leaving"]);
    open.accept();
    program.signal(Signal::TERM);
    program.resume();
    program.wait_for_log("shutting down requests_in_flight=1 signal=SIGTERM");
    program.wait_for_log("relay request in flight has its outcome");
    assert!(program.wait_for_exit().success());
    let newer = relay.messages.receiver.try_iter().find(|said| said.line.starts_with("APPLY"));
    assert_eq!(newer.map(|said| said.line), None, "a call after the signal");
}

#[test]
fn shutdown_does_not_wait_for_a_response_that_never_comes() {
    let (_relay, _discovery, mut program, _watch, _open) = with_an_open_call();
    program.signal(Signal::TERM);
    assert!(program.wait_for_exit().success());
    // ... nor does it where a second signal comes at the same instant.
    let (_relay, _discovery, mut program, _watch, _open) = with_an_open_call();
    program.pause();
    program.signal(Signal::TERM);
    program.signal(Signal::INT);
    program.resume();
    program.wait_for_log("second signal, shutting down at once signal=SIGINT");
    assert!(program.wait_for_exit().success());
}

#[test]
fn shutdown_replies_to_peers_that_asked_before() {
    let (_relay, _discovery, mut program) = start_all();
    program.pause();
    let mut check = program.connect();
    check.send_line(r#"{"@type":"PING"}"#);
    let mut stranger = program.connect();
    stranger.send_line("GET / HTTP/1.1");
    program.signal(Signal::TERM);
    program.resume();
    let heard = |peer: &mut Peer| {
        let mut all = String::new();
        _ = peer.reader.read_to_string(&mut all);
        all
    };
    assert_eq!(heard(&mut check), "{\"@type\":\"PONG\"}\n");
    assert!(heard(&mut stranger).starts_with(r#"{"@type":"NACK""#));
    assert!(program.wait_for_exit().success());
}

/// The port is another's at the start, as a former process may hold it: what comes meanwhile is obeyed.
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

/// Who writes the file is not through when the signal comes, and sends no other.
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

/// The watch is open and gives its signs of life, and the change is not told there.
#[test]
fn registry_watch_that_sends_only_heartbeats_is_renewed() {
    let (mut relay, mut discovery, _program) = start_all();
    let deaf = discovery.serve_snapshot();
    let _news = relay.serve_snapshot();
    relay.accept_requests_until("SYNC").accept();
    let ends = Arc::new(AtomicBool::new(false));
    let ended = ends.clone();
    let alive = thread::spawn(move || {
        while !ended.load(Ordering::Relaxed) && deaf.lines.send("\n".into()).is_ok() {
            thread::sleep(Duration::from_millis(200));
        }
    });
    let watch = discovery.watch(41);
    watch.list(42, false, &["active", "leaving"]);
    relay.accept_requests_until("OUT,s-1;").accept();
    ends.store(true, Ordering::Relaxed);
    alive.join().unwrap();
}

/// An answer that comes twice may have been taken for another call's: what the store holds is read anew.
#[test]
fn duplicate_response_causes_a_new_snapshot() {
    let (mut relay, _discovery, mut program, watch, mut open) = with_an_open_call();
    let answer = format!("OK {}\r\n", open.line.split(';').count());
    open.stream.write_all(format!("{answer}{answer}").as_bytes()).unwrap();
    program.wait_for_log("unsolicited relay response");
    let _news = relay.serve_snapshot();
    watch.list(43, false, &["leaving"]);
    relay.accept_requests_until("OUT,s-0;").accept();
}

/// The relay closes what is idle at the instant at which a call is due: it is made once, on a connection of its own.
#[test]
fn request_due_as_the_idle_connection_closes_uses_a_new_connection() {
    let (mut relay, mut discovery, mut program) = start_all();
    let watch = discovery.serve_snapshot();
    let _news = relay.serve_snapshot();
    let idle = relay.accept_requests_until("SYNC");
    let way = idle.stream.try_clone().unwrap();
    idle.accept();
    program.connect().ping();
    program.pause();
    watch.list(42, false, &["active", "leaving"]);
    way.shutdown(std::net::Shutdown::Both).unwrap();
    program.resume();
    let mut call = relay.accept_requests_until("OUT,s-1;");
    assert_ne!(call.stream.peer_addr().unwrap(), way.peer_addr().unwrap_or(program.address));
    call.stream.write_all(format!("OK {}\r\n", call.line.split(';').count()).as_bytes()).unwrap();
    watch.list(43, false, &["leaving"]);
    relay.accept_requests_until("OUT,s-0;").accept();
    program.signal(Signal::TERM);
    assert!(program.wait_for_exit().success());
    let failed = |line: &String| line.contains("relay request failed");
    program.log.skipped.extend(program.log.receiver.iter());
    assert_eq!(program.log.skipped.iter().find(|line| failed(line)), None, "it was provably not sent");
}

/// The relay answers, and the signal names another, at the same instant: what it answered stands.
#[test]
fn response_received_as_the_relay_moves_is_accepted() {
    let (_relay, _discovery, program, _watch, open) = with_an_open_call();
    let mut second = FakeRelay::start();
    let line = open.line.clone();
    program.pause();
    open.accept();
    let mut file = example_config();
    file["discovery"] = json!("127.0.0.1:9");
    file["distributor"]["address"] = json!(second.address.to_string());
    program.reload_with(&file.to_string());
    program.resume();
    let _news = second.serve_snapshot();
    program.connect().ping();
    // The drain was carried out: what is made at the new address is another call.
    let again = second.messages.wait("a call", |said| said.line.starts_with("APPLY"));
    assert_ne!(again.line, line);
}

/// More is unread when the last word is said: closing then would reset the connection, and the word might be lost.
#[test]
fn close_reason_arrives_despite_unread_input() {
    let (_relay, _discovery, program) = start_all();
    program.pause();
    let mut stranger = program.connect();
    stranger.stream.write_all(b"GET / HTTP/1.1\r\n").unwrap();
    stranger.stream.write_all(&vec![b'x'; 60_000]).unwrap();
    program.resume();
    let mut all = String::new();
    stranger.reader.read_to_string(&mut all).expect("an end, no reset");
    assert!(all.starts_with(r#"{"@type":"NACK""#), "{all}");
}
