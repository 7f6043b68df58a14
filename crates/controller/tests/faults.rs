//! Faults on each connection between the controller, the relay and discovery, injected by the fault proxy. The
//! controller must recover by itself. The test prints, for each case, the time from a drain in the endpoint list
//! until the replica is unused.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use support::fake_fleet::FakeFleet;
use support::ControllerProcess;
use whinwall_fault_injection::proxy::{forward, FaultSource, InjectionLog};
use whinwall_fault_injection::schedule;

/// Starts the fault proxy on a thread and returns its address.
fn start_fault_proxy(target: SocketAddr, rules: &str) -> SocketAddr {
    let rules = FaultSource::Schedule(Arc::new(
        schedule::read(rules).unwrap_or_else(|error| panic!("{rules}: {error}")),
    ));
    let (address_sender, address) = std::sync::mpsc::channel();
    thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        runtime.block_on(async {
            let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
            address_sender.send(listener.local_addr().unwrap()).unwrap();
            _ = forward(listener, target, rules, InjectionLog::default()).await;
        });
    });
    address.recv().unwrap()
}

/// Faults at the relay: connection 1 is the watch, connection 2 carries the requests.
const RELAY_FAULTS: [&str; 20] = [
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
/// Faults at discovery, which has one connection.
const DISCOVERY_FAULTS: [&str; 9] = [
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
/// Faults at the relay and at discovery at the same time.
const FAULT_PAIRS: [(&str, &str); 4] = [
    ("on conn 1 down line 12: silence", "on conn 1 down offset 300: silence"),
    ("on conn 1 down line 12: garble flip 6", "on conn 1 down offset 300: garble flip 5"),
    ("on conn 2 down line 1: silence", "on conn 1 start: mute"),
    ("on conn 1 start: refuse", "on conn 1 start: refuse"),
];

/// The controller detects a silent connection within 3 s and then requests the watch or the list again. The remaining
/// time is an allowance for a busy machine.
const RECOVERY_TIME_LIMIT: Duration = Duration::from_secs(9);

/// Returns the time from a drain in the endpoint list until the replica is unused, with these faults on the
/// connections.
fn recovery_time(relay_faults: &str, discovery_faults: &str) -> Duration {
    let fleet = FakeFleet::start(4, 24, 3);
    let relay = start_fault_proxy(fleet.relay, relay_faults);
    let discovery = start_fault_proxy(fleet.discovery, discovery_faults);
    let mut program = ControllerProcess::start_at(relay, discovery, |_| {});
    fleet.set_listed_state(2, "leaving", 0);
    let duration = fleet.wait_until_unused("s-2");
    // The controller still runs and accepts connections.
    program.connect().ping();
    assert!(program.child.try_wait().unwrap().is_none());
    duration
}

#[test]
fn controller_recovers_from_every_connection_fault() {
    let mut cases: Vec<(&'static str, &'static str)> =
        RELAY_FAULTS.iter().map(|rules| (*rules, "")).collect();
    cases.extend(DISCOVERY_FAULTS.iter().map(|rules| ("", *rules)));
    cases.extend(FAULT_PAIRS);
    let mut table = Vec::new();
    for chunk in cases.chunks(12).map(<[_]>::to_vec) {
        let threads: Vec<_> = chunk
            .iter()
            .copied()
            .map(|(relay, discovery)| thread::spawn(move || recovery_time(relay, discovery)))
            .collect();
        for ((relay, discovery), thread) in chunk.iter().zip(threads) {
            table.push((*relay, *discovery, thread.join().unwrap_or(Duration::MAX)));
        }
    }
    for (relay, discovery, duration) in &table {
        println!("| {relay} | {discovery} | {:.1} s |", duration.as_secs_f64().min(99.0));
    }
    let late: Vec<_> = table.iter().filter(|(.., duration)| *duration > RECOVERY_TIME_LIMIT).collect();
    assert!(late.is_empty(), "recovery took longer than {RECOVERY_TIME_LIMIT:?}: {late:?}");
}
