//! One of five controllers as its fleet grows: 1, 4 and 16 times 120 replicas, 1,600 proxies and 660 slices. Each row is a
//! process of its own, so that its memory can be read. The channel is a model: its pace and cap grow as the fleet.

use serde_json::json;
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};
use whinwall_policy::time::{Moment, Span};
use whinwall_protocol::collector::{EndpointReport, Message};
use whinwall_protocol::discovery;
use whinwall_protocol::relay::{decode_event, Response};
use whinwall_routing::{Effect, Event, Reducer};
use whinwall_transport::Targets;

const DAYS: [&str; 4] = ["quiet", "zone-lost", "replaced", "joined"];
const ZONES: usize = 3;
const CONTROLLERS: usize = 5;
const HEAD: f64 = 8.0;
/// From an order's way out of the channel to its ack.
const WAY: Span = Span::ms(200);
const TICK: Span = Span::ms(50);

struct Rig {
    reducer: Reducer,
    now: Moment,
    pace: f64,
    proxies: usize,
    /// When the channel has sent all that it was given.
    free: Moment,
    /// Marks, by when they are acked.
    acks: BTreeMap<Moment, String>,
    turns: Vec<Duration>,
    lines: f64,
    /// Replicas that drain and that no order withdrew yet; and when the last proxy was told of the last.
    untold: Vec<String>,
    told: Moment,
}

impl Rig {
    /// One turn: all that has arrived, and what it leads to.
    fn turn(&mut self, events: Vec<Event>) {
        let began = Instant::now();
        let mut effects: Vec<_> =
            events.into_iter().flat_map(|event| self.reducer.apply(self.now, event)).collect();
        effects.extend(self.reducer.apply(self.now, Event::InputDrained));
        self.turns.push(began.elapsed());
        for effect in effects {
            let Effect::RelayRequest { line, .. } = effect else { continue };
            let orders: Vec<_> = line.trim_start_matches("APPLY ").split(';').collect();
            let lines = (orders.len() as f64 + HEAD) * self.proxies as f64;
            self.lines += lines;
            self.free = self.free.max(self.now) + Span::ms(1000).times(lines / self.pace);
            let many = self.untold.len();
            self.untold.retain(|replica| !orders.contains(&format!("OUT,{replica}").as_str()));
            self.told = if self.untold.len() < many { self.free + WAY } else { self.told };
            let version = orders.iter().find_map(|order| order.strip_prefix("SYNC,")?.split(',').next());
            version
                .into_iter()
                .for_each(|version| _ = self.acks.insert(self.free + WAY, version.to_string()));
            self.turn(vec![Event::RelayReply(Ok(Response::Accepted(orders.len())))]);
        }
    }

    fn come(&mut self, more: Vec<Event>) {
        let later = self.acks.split_off(&(self.now + Span::ns(1)));
        let due = std::mem::replace(&mut self.acks, later);
        let proxies = 0..self.proxies;
        let ack = |version: &String| {
            let all = proxies.clone();
            let version = version.clone();
            all.map(move |proxy| {
                Event::Relay(decode_event(&format!("* ACK {proxy} {version} 200.0")).unwrap())
            })
        };
        let acks = due.values().flat_map(ack);
        self.turn(acks.chain(more).collect());
    }
}

fn list(version: u64, whole: bool, entries: impl Iterator<Item = (usize, &'static str, u64)>) -> Event {
    let entry = |(n, state, started): (usize, &str, u64)| {
        let zone = ["north", "south", "west"][n % ZONES];
        json!({"id": format!("s-{n}"), "zone": zone, "state": state, "started_ms": started})
    };
    let replicas: Vec<_> = entries.map(entry).collect();
    let list = json!({"version": version, "full": whole, "servers": replicas});
    Event::Registry(discovery::decode(&list.to_string()).unwrap().unwrap())
}

fn news(lines: impl Iterator<Item = String>) -> Vec<Event> {
    lines.map(|line| Event::Relay(decode_event(&line).unwrap())).collect()
}

fn play(times: usize, day: &str) {
    let (replicas, proxies, slices) = (120 * times, 1600 * times, 660 * times);
    let mut settings: serde_json::Value =
        serde_json::from_str::<serde_json::Value>(include_str!("../../../deploy/example.json")).unwrap()
            ["settings"]
            .take();
    let pace = 150_000.0 * times as f64;
    let cap = pace * 1.5;
    let fleet = &mut settings["familyInfo"];
    (fleet["pushRate"], fleet["queueCap"], fleet["partitionsN"]) = (json!(pace), json!(cap), json!(slices));
    settings["obligations"]["drainGraceNs"] = json!(2_500_000_000u64);
    (settings["me"], settings["peersTotal"]) = (json!(0), json!(CONTROLLERS));
    let settings = whinwall_settings::read(&settings).unwrap();
    let now = Moment::default() + Span::ms(1_800_000_000_000);
    let here = |port| SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port);
    let targets = Targets { discovery: here(8500), relay: here(6400) };
    let reducer = Reducer::start(settings, targets, 7, &discovery::List::default(), now);
    let (acks, turns, untold) = (BTreeMap::new(), Vec::new(), Vec::new());
    let mut rig = Rig { reducer, now, pace, proxies, free: now, acks, turns, lines: 0.0, untold, told: now };
    rig.turn(vec![list(1, true, (0..replicas).map(|n| (n, "active", 0)))]);
    let joins = |proxy: usize| format!("* SUBSCRIBE {proxy} north 1.0 1");
    let given = |slice: usize| {
        [format!("* GRANT {slice} 1"), format!("* ROW {slice} s-{} 1", slice / CONTROLLERS % replicas)]
    };
    let (ours, others): (Vec<_>, Vec<_>) = (0..slices).partition(|slice| slice.is_multiple_of(CONTROLLERS));
    // On the day on which four others die their proxies come later.
    rig.proxies = if day == "joined" { proxies / CONTROLLERS } else { proxies };
    let stands = std::iter::once("OK".to_string()).chain((0..rig.proxies).map(joins));
    rig.turn(news(stands.chain(ours.iter().copied().flat_map(given)).chain(["*".to_string()])));
    let from: Vec<_> = (0..ZONES as u64).collect();
    for (from, zone) in from.iter().zip(["north", "south", "west"]) {
        let message = Message::Source { zone: zone.into() };
        rig.turn(vec![Event::Message { from: *from, message }]);
    }
    let mut held = ours;
    let began = rig.now;
    let mut drained = began;
    for tick in 0..600u64 {
        rig.now = began + TICK.times(tick as f64);
        let mut events = Vec::new();
        if tick % 20 == 0 {
            for n in 0..replicas {
                let met = EndpointReport {
                    zone: ["north", "south", "west"][n % ZONES].into(),
                    replica: format!("s-{n}"),
                    attempts: 3.0,
                    failed: 0.0,
                    mean_latency_ms: 250.0,
                    window_ms: 1000.0,
                    missing: 0,
                };
                events
                    .push(Event::Message { from: (n % ZONES) as u64, message: Message::EndpointReport(met) });
            }
            for slice in &held {
                let line = json!({"@type": "SHARD", "partition": slice, "kind": "lookup", "n": 1 + slice % 5, "bad": 0, "window": 1000.0});
                let message = whinwall_protocol::collector::decode(&line.to_string()).unwrap();
                events.push(Event::Message { from: 0, message });
            }
        }
        if tick == 200 {
            // The measured part begins.
            (rig.turns, rig.lines, drained) = (Vec::new(), 0.0, rig.now);
            let unix = (rig.now - Moment::default()).as_ns() / 1_000_000;
            match day {
                "zone-lost" => {
                    let lost = (0..replicas).step_by(ZONES);
                    rig.untold = lost.clone().map(|n| format!("s-{n}")).collect();
                    events.push(list(2, false, lost.map(|n| (n, "left", 0))));
                }
                "replaced" => {
                    let new = replicas..replicas + replicas * 6 / 10;
                    events.push(list(2, false, new.map(|n| (n, "active", unix))));
                    let old = 0..replicas * 6 / 10;
                    rig.untold = old.clone().map(|n| format!("s-{n}")).collect();
                    events.push(list(3, false, old.map(|n| (n, "leaving", 0))));
                }
                "joined" => {
                    events.extend(news((rig.proxies..proxies).map(joins)));
                    events.extend(news(others.iter().copied().flat_map(given)));
                    held.extend(&others);
                    rig.proxies = proxies;
                }
                _ => {}
            }
        }
        if day == "zone-lost" && tick == 300 {
            let unix = (rig.now - Moment::default()).as_ns() / 1_000_000;
            events.push(list(4, false, (0..replicas).step_by(ZONES).map(|n| (n, "active", unix))));
        }
        rig.come(events);
    }
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let memory = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap().trim();
    rig.turns.sort();
    let at = |part: f64| rig.turns[((rig.turns.len() - 1) as f64 * part) as usize].as_secs_f64() * 1e3;
    // A replica that no table of ours names needs no order.
    let told = (rig.told > drained).then(|| format!("{:.2} s", (rig.told - drained).seconds()));
    let told = told.unwrap_or("-".into());
    println!(
        "| {day} | {times} | {:.2} | {:.1} | {:.0} | {:.0} | {memory} | {:.1} million | {told} |",
        at(0.5),
        at(0.99),
        at(1.0),
        rig.turns.iter().sum::<Duration>().as_secs_f64() * 1e3,
        rig.lines / 1e6,
    );
}

/// Without arguments all rows, each by this program again.
fn main() {
    let arguments: Vec<_> = std::env::args().skip(1).filter(|argument| !argument.starts_with("--")).collect();
    if let [times, day] = &arguments[..] {
        return play(times.parse().unwrap(), day);
    }
    println!("| day | times | turn, median ms | 99 in 100 | longest | all turns of 20 s | memory at most | lines | last proxy told of the last drain |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for day in DAYS {
        for times in ["1", "4", "16"] {
            let this = std::env::current_exe().unwrap();
            let ended = std::process::Command::new(this).args([times, day]).status().unwrap();
            assert!(ended.success());
        }
    }
}
