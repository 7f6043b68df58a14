//! Tests of the responses that clients receive when signals shut the controller down. The process is paused while
//! requests and signals are sent, so that it finds all of them at once, in the least favourable order, in each run.
//!
//! They guard against connections that are closed without a response. Four faults caused that: the graceful shutdown
//! accepted no management requests, a second signal ended it at once, the management server cancelled its connections
//! when it was dropped, and requests that had been read were not distinguished from those that had not. In 12 runs with
//! 24 clients, 8 complete requests, 280 requests of which 20 bytes had been sent, and 198 complete pings to the
//! collectors' listener got no response.

mod support;

use rustix::process::Signal;
use std::io::{Read, Write};
use std::os::unix::net::UnixStream;
use std::time::{Duration, Instant};
use support::managed_controller::{out_of_service, ManagedController};
use support::*;

/// SIGKILL follows 0.7 s after the first signal.
const KILL_DELAY: Duration = Duration::from_millis(700);
const STATUS: &str = "GET /v1/status HTTP/1.1\r\nhost: n0\r\n\r\n";
const PING: &str = "{\"@type\":\"PING\"}\n";
const PONG: &str = "{\"@type\":\"PONG\"}\n";

fn set_request(id: &str, replica: &str) -> String {
    let body = serde_json::to_string(&out_of_service(replica, "1h")).unwrap();
    let length = body.len();
    format!("PUT /v1/overrides/{id} HTTP/1.1\r\nhost: n0\r\ncontent-length: {length}\r\n\r\n{body}")
}

fn connect_to_management(managed: &ManagedController) -> UnixStream {
    let stream = UnixStream::connect(managed.path("m.sock")).unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    stream
}

/// Returns a connection that stays open after its first response.
fn persistent_connection(managed: &ManagedController) -> UnixStream {
    let mut stream = connect_to_management(managed);
    stream.write_all(STATUS.as_bytes()).unwrap();
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).unwrap();
        head.push(byte[0]);
    }
    let head = String::from_utf8(head).unwrap();
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: ")).unwrap();
    stream.read_exact(&mut vec![0; length.parse().unwrap()]).unwrap();
    stream
}

/// Returns all that is received until the connection ends. Panics if it ends with an error.
fn read_to_end(mut stream: impl Read, connection: &str) -> String {
    let mut text = Vec::new();
    if let Err(error) = stream.read_to_end(&mut text) {
        panic!("{connection}: connection failed: {error}; received {:?}", String::from_utf8_lossy(&text));
    }
    String::from_utf8(text).unwrap()
}

/// Sends the signals to the paused process and resumes it. Asserts that it exits successfully before SIGKILL is due.
fn send_signals_and_wait_for_exit(program: &mut ControllerProcess, signals: &[Signal]) {
    signals.iter().for_each(|signal| program.signal(*signal));
    let started_at = Instant::now();
    program.resume();
    assert!(program.wait_for_exit().success(), "{signals:?}");
    assert!(started_at.elapsed() < KILL_DELAY, "{signals:?}: {:?}", started_at.elapsed());
}

fn restart_with_debug_log(managed: &mut ManagedController) {
    managed.program = None;
    let (mut command, file) = managed.command();
    command.env("WHINWALL_LOG", "debug");
    managed.spawn(command, file);
    managed.wait_for_log("relay snapshot complete");
}

/// Returns the number of requests that the program handled after it had received the signal, from the log of the
/// process that has exited. A request that is handled just before that, although the signal has been sent, gets a
/// response without `connection: close`: on a loaded machine the management thread can reply before the event loop
/// receives the signal.
fn requests_after_the_signal(program: &mut ControllerProcess) -> usize {
    program.wait_for_log("shutdown complete");
    let lines = program.log.skipped.iter().map(String::as_str);
    lines
        .skip_while(|line| !line.contains("shutting down requests_in_flight"))
        .filter(|line| line.contains("management request request=Status"))
        .count()
}

const SIGNAL_SEQUENCES: [&[Signal]; 5] = [
    &[Signal::TERM],
    &[Signal::TERM, Signal::INT],
    &[Signal::HUP, Signal::TERM],
    &[Signal::USR1, Signal::USR2, Signal::TERM],
    &[Signal::INT, Signal::TERM, Signal::HUP],
];

#[test]
fn management_requests_received_before_the_shutdown_get_responses() {
    for signals in SIGNAL_SEQUENCES {
        let mut managed = ManagedController::start(4, 12);
        restart_with_debug_log(&mut managed);
        let mut persistent = persistent_connection(&managed);
        let mut persistent_partial = persistent_connection(&managed);
        managed.program().pause();
        persistent.write_all(STATUS.as_bytes()).unwrap();
        persistent_partial.write_all(&STATUS.as_bytes()[..20]).unwrap();
        // Connections that the program has not accepted yet.
        let mut new = connect_to_management(&managed);
        new.write_all(STATUS.as_bytes()).unwrap();
        let mut new_partial = connect_to_management(&managed);
        new_partial.write_all(&STATUS.as_bytes()[..20]).unwrap();
        let mut truncated_body = connect_to_management(&managed);
        let set = set_request("half", "s-2");
        truncated_body.write_all(&set.as_bytes()[..set.len() - 5]).unwrap();
        send_signals_and_wait_for_exit(managed.program(), signals);
        let mut closing_responses = 0;
        for (connection, stream) in [("persistent", persistent), ("new", new)] {
            let response = read_to_end(stream, connection);
            assert!(response.starts_with("HTTP/1.1 200"), "{signals:?}, {connection}: {response:?}");
            closing_responses += usize::from(response.contains("connection: close"));
        }
        let expected = requests_after_the_signal(managed.program());
        assert!(
            closing_responses >= expected,
            "{signals:?}: {closing_responses} responses with connection: close, at least {expected} expected"
        );
        for (connection, stream) in [
            ("persistent, partial request", persistent_partial),
            ("new, partial request", new_partial),
            ("truncated body", truncated_body),
        ] {
            let response = read_to_end(stream, connection);
            assert!(response.starts_with("HTTP/1.1 503"), "{signals:?}, {connection}: {response:?}");
            assert!(response.contains("shutting down"), "{signals:?}, {connection}: {response:?}");
        }
    }
}

/// A request truncated at any byte gets a response.
#[test]
fn management_request_truncated_at_any_byte_gets_a_response_at_shutdown() {
    let mut managed = ManagedController::start(4, 12);
    managed.program().pause();
    let mut streams = Vec::new();
    for bytes in 1..STATUS.len() {
        let mut stream = connect_to_management(&managed);
        stream.write_all(&STATUS.as_bytes()[..bytes]).unwrap();
        streams.push((bytes, stream));
    }
    send_signals_and_wait_for_exit(managed.program(), &[Signal::TERM]);
    for (bytes, stream) in streams {
        let response = read_to_end(stream, &format!("{bytes} bytes"));
        assert!(response.starts_with("HTTP/1.1 503"), "{bytes} bytes: {response:?}");
    }
}

#[test]
fn response_to_an_override_set_at_shutdown_matches_the_overrides_after_restart() {
    for signals in SIGNAL_SEQUENCES {
        let mut managed = ManagedController::start(4, 12);
        managed.program().pause();
        let streams: Vec<_> = (0..8)
            .map(|n| {
                let mut stream = connect_to_management(&managed);
                stream.write_all(set_request(&format!("o{n}"), &format!("s-{n}")).as_bytes()).unwrap();
                stream
            })
            .collect();
        send_signals_and_wait_for_exit(managed.program(), signals);
        let responses: Vec<_> = streams.into_iter().map(|stream| read_to_end(stream, "set")).collect();
        managed.restart();
        let listed: Vec<_> = managed.list().into_iter().map(|item| item.id).collect();
        for (n, response) in responses.iter().enumerate() {
            let id = format!("o{n}");
            let is_set = response.starts_with("HTTP/1.1 201");
            assert!(is_set || response.starts_with("HTTP/1.1 50"), "{signals:?} {id}: {response:?}");
            // 504 means that the outcome is unknown. Any other status has to match the overrides after the restart.
            let is_unknown = response.starts_with("HTTP/1.1 504");
            assert!(
                is_unknown || is_set == listed.contains(&id),
                "{signals:?} {id}: {response:?} {listed:?}"
            );
        }
        let set = responses.iter().filter(|response| response.starts_with("HTTP/1.1 201")).count();
        assert_eq!(set, responses.len(), "{signals:?}: not all overrides were set: {responses:?}");
    }
}

#[test]
fn pings_received_before_the_shutdown_get_replies() {
    for cores in [1.0, 4.0] {
        for signals in SIGNAL_SEQUENCES {
            let (mut relay, mut discovery) = (FakeRelay::start(), FakeDiscovery::start());
            let mut program = ControllerProcess::start_with(&relay, &discovery, |file| {
                file["limits"]["cores"] = serde_json::json!(cores);
            });
            let watch = discovery.serve_snapshot();
            let _watch_connection = relay.serve_snapshot();
            relay.accept_requests_until("SYNC").accept();
            let mut collector = program.connect();
            collector.join_zone();
            let mut open = program.connect();
            open.ping();
            program.pause();
            collector.stream.write_all(PING.repeat(2).as_bytes()).unwrap();
            open.stream.write_all(PING.repeat(2).as_bytes()).unwrap();
            let mut new = program.connect();
            new.stream.write_all(PING.as_bytes()).unwrap();
            let mut authenticating = program.connect();
            let source = r#"{"@type":"SOURCE","az":"north"}"#;
            authenticating.stream.write_all(format!("{source}\n{PING}").as_bytes()).unwrap();
            let mut partial_line = program.connect();
            partial_line.stream.write_all(&PING.as_bytes()[..9]).unwrap();
            let mut partial_source = program.connect();
            partial_source.stream.write_all(&source.as_bytes()[..20]).unwrap();
            send_signals_and_wait_for_exit(&mut program, signals);
            for (connection, peer, expected) in [
                ("collector", collector, PONG.repeat(2)),
                ("open", open, PONG.repeat(2)),
                ("new", new, PONG.into()),
                ("authenticating", authenticating, PONG.into()),
            ] {
                assert_eq!(
                    read_to_end(peer.reader, connection),
                    expected,
                    "{cores} {signals:?} {connection}"
                );
            }
            for (connection, peer) in [("partial line", partial_line), ("partial source", partial_source)] {
                let reply = read_to_end(peer.reader, connection);
                assert!(reply.contains("NACK") && reply.contains("shutting down"), "{connection}: {reply:?}");
            }
            drop(watch);
        }
    }
}

/// The default action of these signals terminates a process.
#[test]
fn user_signals_and_broken_pipes_do_not_end_the_program() {
    let (_relay, _discovery, mut program) = start_with_fakes();
    for signal in [Signal::USR1, Signal::USR2, Signal::PIPE, Signal::USR1] {
        program.signal(signal);
        program.connect().ping();
    }
    assert!(program.child.try_wait().unwrap().is_none());
}

/// A peer that had sent part of a line delayed the exit by the whole time that connections have to close (200 ms
/// instead of 60 ms from the signal to the exit), and a controller that exits late is replaced late.
#[test]
fn partial_line_does_not_delay_the_shutdown() {
    /// The quiet period of the shutdown (50 ms), and the time limit for the rest of a line (20 ms).
    const QUIET_PERIOD_AND_PARTIAL_LINE_TIMEOUT: Duration = Duration::from_millis(50 + 20);
    let (_relay, _discovery, mut program) = start_with_fakes();
    let mut exit_times = Vec::new();
    for _ in 0..5 {
        let mut partial_line = program.connect();
        partial_line.stream.write_all(&PING.as_bytes()[..9]).unwrap();
        program.connect().ping();
        program.signal(Signal::TERM);
        let started_at = Instant::now();
        assert!(program.wait_for_exit().success());
        exit_times.push(started_at.elapsed());
        assert!(read_to_end(partial_line.reader, "partial line").contains("shutting down"));
        let (_, _, next) = start_with_fakes();
        program = next;
    }
    exit_times.sort();
    // The median, and twice the expected time, because other processes use the machine too.
    assert!(exit_times[2] < 2 * QUIET_PERIOD_AND_PARTIAL_LINE_TIMEOUT, "{exit_times:?}");
}
