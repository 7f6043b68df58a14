//! The largest configuration that operators may have: 1,024 controllers and 1,024 replicas in hundreds of zones.

mod support;

use serde_json::{json, Value};
use std::io::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};
use support::*;
use whinwall_policy::time::{Moment, Span};
use whinwall_protocol::discovery;
use whinwall_protocol::relay::{decode_event, Response};
use whinwall_routing::{Effect, Event, Reducer};
use whinwall_transport::Targets;

const FLEET_SIZE: usize = 1024;
const ZONES: usize = 300;

fn zone(n: usize) -> String {
    format!("p{}", n % ZONES)
}

/// A line of the endpoint list; version 1 is a complete list.
fn list(version: u64, states: impl Iterator<Item = (usize, &'static str)>) -> Value {
    let entry =
        |(n, state)| json!({"id": format!("s-{n}"), "addr": "127.0.0.9:1", "zone": zone(n), "state": state});
    json!({"version": version, "full": version == 1, "servers": states.map(entry).collect::<Vec<_>>()})
}

/// Resident memory in kB, and the number of threads.
fn resident_kb_and_threads(program: &ControllerProcess) -> (usize, usize) {
    let status = std::fs::read_to_string(format!("/proc/{}/status", program.child.id())).unwrap();
    let value = |key: &str| {
        let line = status.lines().find_map(|line| line.strip_prefix(key)).unwrap();
        line.split_whitespace().next().unwrap().parse().unwrap()
    };
    (value("VmRSS:"), value("Threads:"))
}

/// All replicas are known at start-up and listed, and each zone has a collector. The process must stay within the
/// smallest limits.
#[test]
fn controller_serves_a_large_fleet_within_the_smallest_memory_limit() {
    let (mut relay, mut discovery) = (FakeRelay::start(), FakeDiscovery::start());
    let program = ControllerProcess::start_with(&relay, &discovery, |file| {
        file["limits"] = json!({"cores": 1.0, "memory_mb": 32, "sockets": 512});
        file["peers"] =
            (0..FLEET_SIZE).map(|n| json!(format!("127.1.{}.{}:7946", n / 256, n % 256))).collect();
        file["known"] = list(1, (0..FLEET_SIZE).map(|n| (n, "active")));
        file["settings"]["zones"] = (0..ZONES).map(zone).collect();
        file["settings"]["peersTotal"] = json!(FLEET_SIZE);
    });
    // Served before the collectors connect, which can take longer than the controller waits for the snapshot.
    let mut relay_watch = relay.serve_fleet_snapshot(FLEET_SIZE, 2 * FLEET_SIZE, 3);
    // Heartbeats until the watch is closed.
    std::thread::spawn(move || {
        while relay_watch.write_all(b"*\r\n").is_ok() {
            std::thread::sleep(Duration::from_millis(500));
        }
    });
    let watch = discovery.accept_watch(1);
    let send_list = |list: Value| watch.lines.send(format!("{list}\n")).unwrap();
    send_list(list(1, (0..FLEET_SIZE).map(|n| (n, "active"))));
    let connect_collector = |n| {
        let mut collector = program.connect();
        collector.send_line(&json!({"@type": "SOURCE", "az": zone(n)}).to_string());
        collector.ping();
        collector
    };
    let mut collectors: Vec<_> = (0..ZONES).map(connect_collector).collect();
    relay.accept_requests_until("SYNC").accept();
    send_list(list(2, [(FLEET_SIZE - 1, "leaving")].into_iter()));
    relay.accept_requests_until(&format!("OUT,s-{};", FLEET_SIZE - 1)).accept();
    collectors.iter_mut().for_each(Peer::ping);
    let (kilobytes, threads) = resident_kb_and_threads(&program);
    assert!(kilobytes < 32 << 10 && threads <= 2, "{kilobytes} kB, {threads} threads");
}

/// Half of a fleet drains at once, in the reducer. Returns the duration of the longest iteration.
fn longest_iteration(replicas: usize) -> Duration {
    let mut file = example_config();
    file["settings"]["zones"] = (0..ZONES).map(zone).collect();
    file["settings"]["familyInfo"]["queueCap"] = json!(1e9);
    file["settings"]["familyInfo"]["pushRate"] = json!(1e9);
    let settings = whinwall_settings::parse_settings(&file["settings"]).unwrap();
    let mut now = Moment::default() + Span::ms(1_800_000_000_000);
    let loopback = |port| SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port);
    let targets = Targets { discovery: loopback(8500), relay: loopback(6400) };
    let mut reducer = Reducer::new(settings, targets, 7, &discovery::List::default(), now);
    let listed =
        |list: Value| Event::EndpointListReceived(discovery::decode(&list.to_string()).unwrap().unwrap());
    let relay_event = |line: String| Event::Relay(decode_event(&line).unwrap());
    let mut longest = Duration::ZERO;
    let mut apply = |now: Moment, events: Vec<Event>| {
        let mut events: Vec<_> = events.into_iter().rev().collect();
        let start = Instant::now();
        while let Some(event) = events.pop() {
            for effect in reducer.apply(now, event) {
                let Effect::RelayRequest { line, .. } = effect else { continue };
                let version =
                    line.split(';').find_map(|command| command.strip_prefix("SYNC,")?.split(',').next());
                let acks = version
                    .into_iter()
                    .flat_map(|version| (0..3).map(move |proxy| format!("* ACK {proxy} {version} 1")));
                events.extend(acks.map(relay_event));
                events.push(Event::RelayResponse(Ok(Response::Accepted(line.split(';').count()))));
            }
        }
        longest = longest.max(start.elapsed());
    };
    apply(now, vec![listed(list(1, (0..replicas).map(|n| (n, "active"))))]);
    let mut snapshot = vec!["OK".to_string()];
    snapshot.extend((0..3).map(|proxy| format!("* SUBSCRIBE {proxy} p0 21.5 1")));
    for slice in 0..replicas * 6 {
        snapshot.extend([format!("* GRANT {slice} 1"), format!("* ROW {slice} s-{} 1", slice % replicas)]);
    }
    snapshot.push("*".into());
    apply(now, snapshot.into_iter().map(relay_event).collect());
    for iteration in 0..24 {
        now = now + Span::ms(250);
        if iteration == 12 {
            apply(now, vec![listed(list(2, (0..replicas / 2).map(|n| (n, "leaving"))))]);
        }
        apply(now, vec![Event::InputDrained]);
    }
    longest
}

/// The evacuation of a slice examines replicas in order and stops before it has examined all of them, so that the time
/// of an iteration is about linear. A fleet four times as large takes about 5 times as long in a release build and up
/// to 10 times in a debug build.
#[test]
fn iteration_time_grows_linearly_with_the_fleet() {
    let shortest = |replicas| (0..3).map(|_| longest_iteration(replicas)).min().unwrap();
    let (small, large) = (shortest(256), shortest(FLEET_SIZE));
    println!("longest iteration while half of the replicas drain: {small:?} with 256 replicas, {large:?} with {FLEET_SIZE}");
    assert!(large < small * 16, "{large:?} with {FLEET_SIZE} replicas, {small:?} with 256");
}
