//! Two events that meet the program at the same instant, on sockets: it is stopped while they are brought about, or the
//! stand-ins wait until told, so that the bad order comes every time.

mod stand_ins;

use rustix::process::Signal;
use serde_json::json;
use stand_ins::*;
use std::io::{Read, Write};
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// A controller that serves, with a call made and not yet answered.
fn with_an_open_call() -> (Relay, Discovery, Program, Watch, Said) {
    let (mut relay, mut discovery, program) = all();
    let watch = discovery.introduce();
    let _news = relay.introduce();
    relay.answer_until("SYNC").carried_out();
    watch.list(42, false, &["active", "leaving"]);
    let open = relay.answer_until("OUT,s-1;");
    (relay, discovery, program, watch, open)
}

#[test]
fn an_open_call_has_its_outcome_before_the_end() {
    let (relay, _discovery, mut program, watch, open) = with_an_open_call();
    program.stops();
    // What would make a newer call, the answer, and the end, all at once.
    watch.list(43, false, &["leaving"]);
    open.carried_out();
    program.signal(Signal::TERM);
    program.goes_on();
    program.logs("shutting down requests_in_flight=1 signal=SIGTERM");
    program.logs("relay request in flight has its outcome");
    assert!(program.ends().success());
    let newer = relay.heard.arrives.try_iter().find(|said| said.line.starts_with("APPLY"));
    assert_eq!(newer.map(|said| said.line), None, "a call after the signal");
}

#[test]
fn an_answer_that_never_comes_holds_up_no_end() {
    let (_relay, _discovery, mut program, _watch, _open) = with_an_open_call();
    program.signal(Signal::TERM);
    assert!(program.ends().success());
    // ... nor does it where a second signal comes at the same instant.
    let (_relay, _discovery, mut program, _watch, _open) = with_an_open_call();
    program.stops();
    program.signal(Signal::TERM);
    program.signal(Signal::INT);
    program.goes_on();
    program.logs("second signal, shutting down at once signal=SIGINT");
    assert!(program.ends().success());
}

#[test]
fn who_asked_before_the_end_is_answered() {
    let (_relay, _discovery, mut program) = all();
    program.stops();
    let mut check = program.connect();
    check.says(r#"{"@type":"PING"}"#);
    let mut stranger = program.connect();
    stranger.says("GET / HTTP/1.1");
    program.signal(Signal::TERM);
    program.goes_on();
    let heard = |peer: &mut Peer| {
        let mut all = String::new();
        _ = peer.reader.read_to_string(&mut all);
        all
    };
    assert_eq!(heard(&mut check), "{\"@type\":\"PONG\"}\n");
    assert!(heard(&mut stranger).starts_with(r#"{"@type":"NACK""#));
    assert!(program.ends().success());
}

/// The port is another's at the start, as a former process may hold it: what comes meanwhile is obeyed.
#[test]
fn signals_while_the_address_is_taken_are_obeyed() {
    let taken = TcpListener::bind("127.0.0.1:0").unwrap();
    let (relay, mut second, discovery) = (Relay::start(), Relay::start(), Discovery::start());
    let mut file = configuration();
    file["listen"] = json!(taken.local_addr().unwrap().to_string());
    file["discovery"] = json!(discovery.address.to_string());
    file["distributor"]["address"] = json!(relay.address.to_string());
    let launch = |file: &serde_json::Value| {
        let written = ConfigurationFile::write(&file.to_string());
        let mut program = Program::launch(command(&written), written);
        program.logs("listen address not available, retrying");
        program
    };
    let mut ended = launch(&file);
    ended.signal(Signal::TERM);
    assert!(ended.ends().success());
    let mut program = launch(&file);
    file["distributor"]["address"] = json!(second.address.to_string());
    program.reads_anew(&file.to_string());
    drop(taken);
    program.serves();
    second.watcher();
}

/// Who writes the file is not through when the signal comes, and sends no other.
#[test]
fn a_file_that_was_half_written_at_its_signal_is_read_again() {
    let (relay, mut second, discovery) = (Relay::start(), Relay::start(), Discovery::start());
    let mut program = Program::start(&relay, &discovery);
    let mut file = configuration();
    file["discovery"] = json!(discovery.address.to_string());
    file["distributor"]["address"] = json!(second.address.to_string());
    let text = file.to_string();
    program.reads_anew(&text[..text.len() / 2]);
    program.logs("configuration reload failed, the former configuration stays");
    std::fs::write(&program.file.0, &text).unwrap();
    second.watcher();
    program.connect().pings();
}

/// The watch is open and gives its signs of life, and the change is not told there.
#[test]
fn a_list_whose_signs_of_incarnation_go_on_without_its_changes_is_asked_for_anew() {
    let (mut relay, mut discovery, _program) = all();
    let deaf = discovery.introduce();
    let _news = relay.introduce();
    relay.answer_until("SYNC").carried_out();
    let ends = Arc::new(AtomicBool::new(false));
    let ended = ends.clone();
    let alive = thread::spawn(move || {
        while !ended.load(Ordering::Relaxed) && deaf.say.send("\n".into()).is_ok() {
            thread::sleep(Duration::from_millis(200));
        }
    });
    let watch = discovery.watch(41);
    watch.list(42, false, &["active", "leaving"]);
    relay.answer_until("OUT,s-1;").carried_out();
    ends.store(true, Ordering::Relaxed);
    alive.join().unwrap();
}

/// An answer that comes twice may have been taken for another call's: what the store holds is read anew.
#[test]
fn an_answer_that_comes_twice_has_the_store_read_anew() {
    let (mut relay, _discovery, mut program, watch, mut open) = with_an_open_call();
    let answer = format!("OK {}\r\n", open.line.split(';').count());
    open.way.write_all(format!("{answer}{answer}").as_bytes()).unwrap();
    program.logs("unsolicited relay response");
    let _news = relay.introduce();
    watch.list(43, false, &["leaving"]);
    relay.answer_until("OUT,s-0;").carried_out();
}

/// The relay closes what is idle at the instant at which a call is due: it is made once, on a connection of its own.
#[test]
fn a_call_due_as_the_idle_connection_closes_is_made_on_another() {
    let (mut relay, mut discovery, mut program) = all();
    let watch = discovery.introduce();
    let _news = relay.introduce();
    let idle = relay.answer_until("SYNC");
    let way = idle.way.try_clone().unwrap();
    idle.carried_out();
    program.connect().pings();
    program.stops();
    watch.list(42, false, &["active", "leaving"]);
    way.shutdown(std::net::Shutdown::Both).unwrap();
    program.goes_on();
    let mut call = relay.answer_until("OUT,s-1;");
    assert_ne!(call.way.peer_addr().unwrap(), way.peer_addr().unwrap_or(program.address));
    call.way.write_all(format!("OK {}\r\n", call.line.split(';').count()).as_bytes()).unwrap();
    watch.list(43, false, &["leaving"]);
    relay.answer_until("OUT,s-0;").carried_out();
    program.signal(Signal::TERM);
    assert!(program.ends().success());
    let failed = |line: &String| line.contains("relay request failed");
    program.log.kept.extend(program.log.arrives.iter());
    assert_eq!(program.log.kept.iter().find(|line| failed(line)), None, "it was provably not sent");
}

/// The relay answers, and the signal names another, at the same instant: what it answered stands.
#[test]
fn an_answer_as_the_relay_moves_counts() {
    let (_relay, _discovery, program, _watch, open) = with_an_open_call();
    let mut second = Relay::start();
    let line = open.line.clone();
    program.stops();
    open.carried_out();
    let mut file = configuration();
    file["discovery"] = json!("127.0.0.1:9");
    file["distributor"]["address"] = json!(second.address.to_string());
    program.reads_anew(&file.to_string());
    program.goes_on();
    let _news = second.introduce();
    program.connect().pings();
    // The drain was carried out: what is made at the new address is another call.
    let again = second.heard.wait("a call", |said| said.line.starts_with("APPLY"));
    assert_ne!(again.line, line);
}

/// More is unread when the last word is said: closing then would reset the connection, and the word might be lost.
#[test]
fn a_last_word_is_not_destroyed_by_what_is_still_unread() {
    let (_relay, _discovery, program) = all();
    program.stops();
    let mut stranger = program.connect();
    stranger.stream.write_all(b"GET / HTTP/1.1\r\n").unwrap();
    stranger.stream.write_all(&vec![b'x'; 60_000]).unwrap();
    program.goes_on();
    let mut all = String::new();
    stranger.reader.read_to_string(&mut all).expect("an end, no reset");
    assert!(all.starts_with(r#"{"@type":"NACK""#), "{all}");
}
