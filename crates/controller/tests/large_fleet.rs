//! The largest lists that operators may have: 1,024 controllers and 1,024 replicas in hundreds of zones.

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

const MANY: usize = 1024;
const ZONES: usize = 300;

fn zone(n: usize) -> String {
    format!("p{}", n % ZONES)
}

fn list(version: u64, states: impl Iterator<Item = (usize, &'static str)>) -> Value {
    let entry =
        |(n, state)| json!({"id": format!("s-{n}"), "addr": "127.0.0.9:1", "zone": zone(n), "state": state});
    json!({"version": version, "full": version == 1, "servers": states.map(entry).collect::<Vec<_>>()})
}

/// Resident memory in kB, and the number of threads.
fn resident_kb_and_threads(program: &ControllerProcess) -> (usize, usize) {
    let status = std::fs::read_to_string(format!("/proc/{}/status", program.child.id())).unwrap();
    let figure = |key: &str| {
        let line = status.lines().find_map(|line| line.strip_prefix(key)).unwrap();
        line.split_whitespace().next().unwrap().parse().unwrap()
    };
    (figure("VmRSS:"), figure("Threads:"))
}

/// All replicas are known at the start and listed, and each zone has a collector; within the smallest limits.
#[test]
fn controller_serves_a_large_fleet_within_the_smallest_memory_limit() {
    let (mut relay, mut discovery) = (FakeRelay::start(), FakeDiscovery::start());
    let program = ControllerProcess::start_with(&relay, &discovery, |file| {
        file["limits"] = json!({"cores": 1.0, "memory_mb": 32, "sockets": 512});
        file["peers"] = (0..MANY).map(|n| json!(format!("127.1.{}.{}:7946", n / 256, n % 256))).collect();
        file["known"] = list(1, (0..MANY).map(|n| (n, "active")));
        file["settings"]["zones"] = (0..ZONES).map(zone).collect();
        file["settings"]["peersTotal"] = json!(MANY);
    });
    let watch = discovery.accept_watch(1);
    let say = |list: Value| watch.lines.send(format!("{list}\n")).unwrap();
    say(list(1, (0..MANY).map(|n| (n, "active"))));
    let joined = |n| {
        let mut collector = program.connect();
        collector.send_line(&json!({"@type": "SOURCE", "az": zone(n)}).to_string());
        collector.ping();
        collector
    };
    let mut collectors: Vec<_> = (0..ZONES).map(joined).collect();
    let mut news = relay.serve_fleet_snapshot(MANY, 2 * MANY, 3);
    // Signs of life, for as long as somebody listens.
    std::thread::spawn(move || {
        while news.write_all(b"*\r\n").is_ok() {
            std::thread::sleep(Duration::from_millis(500));
        }
    });
    relay.accept_requests_until("SYNC").accept();
    say(list(2, [(MANY - 1, "leaving")].into_iter()));
    relay.accept_requests_until(&format!("OUT,s-{};", MANY - 1)).accept();
    collectors.iter_mut().for_each(Peer::ping);
    let (kilobytes, threads) = resident_kb_and_threads(&program);
    assert!(kilobytes < 32 << 10 && threads <= 2, "{kilobytes} kB, {threads} threads");
}

/// Half of a fleet drains at once, in the reducer. Returns the longest iteration that this causes.
fn longest_iteration(replicas: usize) -> Duration {
    let mut file = example_config();
    file["settings"]["zones"] = (0..ZONES).map(zone).collect();
    file["settings"]["familyInfo"]["queueCap"] = json!(1e9);
    file["settings"]["familyInfo"]["pushRate"] = json!(1e9);
    let settings = whinwall_settings::parse_settings(&file["settings"]).unwrap();
    let mut now = Moment::default() + Span::ms(1_800_000_000_000);
    let here = |port| SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port);
    let targets = Targets { discovery: here(8500), relay: here(6400) };
    let mut reducer = Reducer::start(settings, targets, 7, &discovery::List::default(), now);
    let listed =
        |list: Value| Event::EndpointListReceived(discovery::decode(&list.to_string()).unwrap().unwrap());
    let news = |line: String| Event::Relay(decode_event(&line).unwrap());
    let mut longest = Duration::ZERO;
    let mut tell = |now: Moment, events: Vec<Event>| {
        let mut events: Vec<_> = events.into_iter().rev().collect();
        let began = Instant::now();
        while let Some(event) = events.pop() {
            for effect in reducer.apply(now, event) {
                let Effect::RelayRequest { line, .. } = effect else { continue };
                let version =
                    line.split(';').find_map(|order| order.strip_prefix("SYNC,")?.split(',').next());
                let acks = version
                    .into_iter()
                    .flat_map(|version| (0..3).map(move |proxy| format!("* ACK {proxy} {version} 1")));
                events.extend(acks.map(news));
                events.push(Event::RelayResponse(Ok(Response::Accepted(line.split(';').count()))));
            }
        }
        longest = longest.max(began.elapsed());
    };
    tell(now, vec![listed(list(1, (0..replicas).map(|n| (n, "active"))))]);
    let mut stands = vec!["OK".to_string()];
    stands.extend((0..3).map(|proxy| format!("* SUBSCRIBE {proxy} p0 21.5 1")));
    for slice in 0..replicas * 6 {
        stands.extend([format!("* GRANT {slice} 1"), format!("* ROW {slice} s-{} 1", slice % replicas)]);
    }
    stands.push("*".into());
    tell(now, stands.into_iter().map(news).collect());
    for turn in 0..24 {
        now = now + Span::ms(250);
        if turn == 12 {
            tell(now, vec![listed(list(2, (0..replicas / 2).map(|n| (n, "leaving"))))]);
        }
        tell(now, vec![Event::InputDrained]);
    }
    longest
}

/// A slice to be evacuated tries replicas in their order, and does not look at all of them: four times as many of everything
/// cost about five times as much in a release build, up to ten in a debug build.
#[test]
fn iteration_time_grows_linearly_with_the_fleet() {
    let turn = |replicas| (0..3).map(|_| longest_iteration(replicas)).min().unwrap();
    let (small, large) = (turn(256), turn(MANY));
    println!("half of the servers leave: {small:?} a turn with 256 servers, {large:?} with {MANY}");
    assert!(large < small * 16, "{large:?} against {small:?}");
}
