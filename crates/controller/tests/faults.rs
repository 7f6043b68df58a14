//! Every fault on every connection of the program, through the fault proxy: the controller recovers by itself. The test
//! prints a table of the time from a drain in the endpoint list until the replica was unused.

mod support;

use serde_json::json;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use support::fake_fleet::FakeFleet;
use support::{command, example_config, ConfigFile, ControllerProcess};
use whinwall_fault_injection::proxy::{forward, FaultSource, InjectionLog};
use whinwall_fault_injection::schedule;

/// The fault proxy on a thread of its own; returns its address.
fn start_fault_proxy(target: SocketAddr, rules: &str) -> SocketAddr {
    let rules = FaultSource::Schedule(Arc::new(
        schedule::read(rules).unwrap_or_else(|wrong| panic!("{rules}: {wrong}")),
    ));
    let (say, address) = std::sync::mpsc::channel();
    thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        runtime.block_on(async {
            let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
            say.send(listener.local_addr().unwrap()).unwrap();
            _ = forward(listener, target, rules, InjectionLog::default()).await;
        });
    });
    address.recv().unwrap()
}

/// The first connection to the relay is the watch, the second has the requests; discovery has one.
const AT_RELAY: [&str; 20] = [
    "on conn 1 down line 12: cut",
    "on conn 1 down line 12: end",
    "on conn 1 down line 12: half-close",
    "on conn 1 down line 12: silence",
    "on conn 1 down line 12: stall 3s",
    "on conn 1 down line 12: garble flip 6",
    "on conn 1 down line 12: garble drop 4",
    "on conn 1 down line 12: garble insert 4",
    "on conn 1 down line 12: swap",
    "on conn 1 start: refuse",
    "on conn 1 start: mute",
    "on start: pieces 3",
    "on down line 3: delay 30ms..80ms, 9 times",
    "on conn 2 up line 1: cut",
    "on conn 2 down line 1: silence",
    "on conn 2 down line 1: garble flip 2",
    "on conn 2 down line 1: garble repeat 2",
    "on conn 2 up line 1: half-close",
    "on conn 2 up offset 60: garble flip 5",
    "on conn 2 start: mute",
];
const AT_DISCOVERY: [&str; 9] = [
    "on conn 1 down offset 300: cut",
    "on conn 1 down offset 300: half-close",
    "on conn 1 down offset 300: silence",
    "on conn 1 down offset 300: stall 4s",
    "on conn 1 down offset 300: garble flip 5",
    "on conn 1 down offset 40: garble drop 3",
    "on conn 1 start: refuse",
    "on conn 1 start: mute",
    "on start: pieces 5",
];
/// In both directions at once.
const PAIRS: [(&str, &str); 4] = [
    ("on conn 1 down line 12: silence", "on conn 1 down offset 300: silence"),
    ("on conn 1 down line 12: garble flip 6", "on conn 1 down offset 300: garble flip 5"),
    ("on conn 2 down line 1: silence", "on conn 1 start: mute"),
    ("on conn 1 start: refuse", "on conn 1 start: refuse"),
];

/// Silence is noticed after three seconds at most, and the watch or the list is then requested again; the rest is
/// allowance for a busy machine.
const RECOVERED: Duration = Duration::from_secs(9);

/// The time from a drain in the endpoint list until the replica was unused, with these faults on the connections.
fn recovery_time(at_relay: &str, at_discovery: &str) -> Duration {
    let fleet = FakeFleet::start(4, 24, 3);
    let mut file = example_config();
    file["distributor"]["address"] = json!(start_fault_proxy(fleet.relay, at_relay).to_string());
    let file = ConfigFile::write(&file.to_string());
    let mut command = command(&file);
    command.env("PROXY_DISCOVERY", start_fault_proxy(fleet.discovery, at_discovery).to_string());
    let mut program = ControllerProcess::spawn(command, file);
    fleet.set_listed_state(2, "leaving", 0);
    let took = fleet.wait_until_unused("s-2");
    // It has ended no other connection, and serves.
    program.connect().ping();
    assert!(program.child.try_wait().unwrap().is_none());
    took
}

#[test]
fn controller_recovers_from_every_connection_fault() {
    let mut cases: Vec<(&'static str, &'static str)> = AT_RELAY.iter().map(|rules| (*rules, "")).collect();
    cases.extend(AT_DISCOVERY.iter().map(|rules| ("", *rules)));
    cases.extend(PAIRS);
    let mut table = Vec::new();
    for some in cases.chunks(12).map(<[_]>::to_vec) {
        let played: Vec<_> = some
            .iter()
            .copied()
            .map(|(relay, list)| thread::spawn(move || recovery_time(relay, list)))
            .collect();
        for ((relay, list), played) in some.iter().zip(played) {
            table.push((*relay, *list, played.join().unwrap_or(Duration::MAX)));
        }
    }
    for (relay, list, took) in &table {
        println!("| {relay} | {list} | {:.1} s |", took.as_secs_f64().min(99.0));
    }
    let late: Vec<_> = table.iter().filter(|(.., took)| *took > RECOVERED).collect();
    assert!(late.is_empty(), "{late:?}");
}
