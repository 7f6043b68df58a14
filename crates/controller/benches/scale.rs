//! Measures one of five controllers at three fleet sizes: 1, 4 and 16 times 120 replicas, 1,600 proxies and 660
//! slices. Each row runs in a separate process, so that its memory use can be measured. The command channel is a
//! model, whose rate limit and queue grow in proportion to the fleet.

use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};
use whinwall_policy::time::{Moment, Span};
use whinwall_protocol::collector::{EndpointReport, Message};
use whinwall_protocol::discovery;
use whinwall_protocol::relay::{decode_event, Response};
use whinwall_routing::{Effect, Event, Reducer};
use whinwall_settings::Settings;
use whinwall_transport::Targets;

/// The names of the scenarios, as used in the argument of this program.
const SCENARIOS: [&str; 4] = ["quiet", "zone-lost", "replaced", "joined"];
const ZONES: [&str; 3] = ["north", "south", "west"];
const CONTROLLERS: usize = 5;
/// Lines that the channel sends to each proxy for each relay request, in addition to one line for each command.
const REQUEST_OVERHEAD_LINES: f64 = 8.0;
/// Time from the sending of a command by the channel until its acknowledgement.
const ACKNOWLEDGEMENT_DELAY: Span = Span::ms(200);
const TICK: Span = Span::ms(50);
const TICKS: u64 = 600;
/// Number of ticks between two reports of a collector.
const TICKS_PER_REPORT: u64 = 20;
/// The tick of the scenario's disturbance, at which the measurement begins.
const MEASURED_FROM_TICK: u64 = 200;
/// The tick at which a lost zone recovers.
const ZONE_RECOVERY_TICK: u64 = 300;

/// The reducer with a model of the relay's command channel.
struct TestBed {
    reducer: Reducer,
    now: Moment,
    /// Number of lines that the channel sends per second.
    lines_per_second: f64,
    proxies: usize,
    /// Time at which the channel has sent all queued lines.
    idle_at: Moment,
    /// Versions by the time of their acknowledgement.
    acknowledgements: BTreeMap<Moment, String>,
    iteration_durations: Vec<Duration>,
    lines_sent: f64,
    /// Draining replicas that no command has withdrawn yet.
    pending_withdrawals: Vec<String>,
    /// Time at which the last proxy acknowledged the last withdrawal.
    notified_at: Moment,
}

impl TestBed {
    fn new(reducer: Reducer, now: Moment, lines_per_second: f64, proxies: usize) -> Self {
        TestBed {
            reducer,
            now,
            lines_per_second,
            proxies,
            idle_at: now,
            acknowledgements: BTreeMap::new(),
            iteration_durations: Vec::new(),
            lines_sent: 0.0,
            pending_withdrawals: Vec::new(),
            notified_at: now,
        }
    }

    /// Applies the events in one iteration, and then the responses to the resulting relay requests.
    fn apply(&mut self, events: Vec<Event>) {
        let started_at = Instant::now();
        let mut effects: Vec<_> =
            events.into_iter().flat_map(|event| self.reducer.apply(self.now, event)).collect();
        effects.extend(self.reducer.apply(self.now, Event::InputDrained));
        self.iteration_durations.push(started_at.elapsed());
        for effect in effects {
            let Effect::RelayRequest { line, .. } = effect else { continue };
            let command_count = self.send_request(&line);
            self.apply(vec![Event::RelayResponse(Ok(Response::Accepted(command_count)))]);
        }
    }

    /// Queues a relay request in the channel, and returns the number of its commands.
    fn send_request(&mut self, request: &str) -> usize {
        let commands: Vec<_> = request.trim_start_matches("APPLY ").split(';').collect();
        let lines = (commands.len() as f64 + REQUEST_OVERHEAD_LINES) * self.proxies as f64;
        self.lines_sent += lines;
        self.idle_at = self.idle_at.max(self.now) + Span::ms(1000).times(lines / self.lines_per_second);
        let acknowledged_at = self.idle_at + ACKNOWLEDGEMENT_DELAY;
        let pending_before = self.pending_withdrawals.len();
        self.pending_withdrawals.retain(|replica| !commands.contains(&format!("OUT,{replica}").as_str()));
        if self.pending_withdrawals.len() < pending_before {
            self.notified_at = acknowledged_at;
        }
        let version = commands.iter().find_map(|command| command.strip_prefix("SYNC,")?.split(',').next());
        if let Some(version) = version {
            self.acknowledgements.insert(acknowledged_at, version.to_string());
        }
        commands.len()
    }

    /// Applies the acknowledgements that are due, followed by `events`.
    fn apply_with_acknowledgements(&mut self, events: Vec<Event>) {
        let later = self.acknowledgements.split_off(&(self.now + Span::ns(1)));
        let due = std::mem::replace(&mut self.acknowledgements, later);
        let proxies = 0..self.proxies;
        let lines = due
            .values()
            .flat_map(|version| proxies.clone().map(move |proxy| format!("* ACK {proxy} {version} 200.0")));
        self.apply(relay_events(lines).into_iter().chain(events).collect());
    }

    fn milliseconds_since_epoch(&self) -> u64 {
        (self.now - Moment::default()).as_ns() / 1_000_000
    }
}

fn endpoint_list(
    version: u64,
    is_complete: bool,
    entries: impl Iterator<Item = (usize, &'static str, u64)>,
) -> Event {
    let entry = |(replica, state, started): (usize, &str, u64)| {
        let zone = ZONES[replica % ZONES.len()];
        json!({"id": format!("s-{replica}"), "zone": zone, "state": state, "started_ms": started})
    };
    let replicas: Vec<_> = entries.map(entry).collect();
    let list = json!({"version": version, "full": is_complete, "servers": replicas});
    Event::EndpointListReceived(discovery::decode(&list.to_string()).unwrap().unwrap())
}

fn relay_events(lines: impl Iterator<Item = String>) -> Vec<Event> {
    lines.map(|line| Event::Relay(decode_event(&line).unwrap())).collect()
}

fn subscribe_line(proxy: usize) -> String {
    format!("* SUBSCRIBE {proxy} north 1.0 1")
}

fn read_settings(slices: usize, lines_per_second: f64) -> Settings {
    let example = include_str!("../../../deploy/example.json");
    let mut settings = serde_json::from_str::<Value>(example).unwrap()["settings"].take();
    let queue_lines = lines_per_second * 1.5;
    let fleet = &mut settings["familyInfo"];
    fleet["pushRate"] = json!(lines_per_second);
    fleet["queueCap"] = json!(queue_lines);
    fleet["partitionsN"] = json!(slices);
    settings["obligations"]["drainGraceNs"] = json!(2_500_000_000u64);
    settings["me"] = json!(0);
    settings["peersTotal"] = json!(CONTROLLERS);
    whinwall_settings::parse_settings(&settings).unwrap()
}

/// One run of a scenario with one fleet size.
struct ScenarioRun<'a> {
    test_bed: TestBed,
    scenario: &'a str,
    replicas: usize,
    proxies: usize,
    /// Slices of the measured controller.
    own_slices: Vec<usize>,
    /// Slices of the other controllers.
    other_slices: Vec<usize>,
}

impl<'a> ScenarioRun<'a> {
    fn new(size_factor: usize, scenario: &'a str) -> Self {
        let (replicas, proxies, slices) = (120 * size_factor, 1600 * size_factor, 660 * size_factor);
        let lines_per_second = 150_000.0 * size_factor as f64;
        let settings = read_settings(slices, lines_per_second);
        let now = Moment::default() + Span::ms(1_800_000_000_000);
        let local = |port| SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port);
        let targets = Targets { discovery: local(8500), relay: local(6400) };
        let reducer = Reducer::new(settings, targets, 7, &discovery::List::default(), now);
        let test_bed = TestBed::new(reducer, now, lines_per_second, proxies);
        let (own_slices, other_slices) = (0..slices).partition(|slice| slice.is_multiple_of(CONTROLLERS));
        ScenarioRun { test_bed, scenario, replicas, proxies, own_slices, other_slices }
    }

    /// Returns the lines with which the relay grants these slices.
    fn grant_lines(&self, slices: &[usize]) -> Vec<String> {
        let grant = |slice: &usize| {
            let replica = slice / CONTROLLERS % self.replicas;
            [format!("* GRANT {slice} 1"), format!("* ROW {slice} s-{replica} 1")]
        };
        slices.iter().flat_map(grant).collect()
    }

    fn start(&mut self) {
        let all = (0..self.replicas).map(|replica| (replica, "active", 0));
        self.test_bed.apply(vec![endpoint_list(1, true, all)]);
        // If the four other controllers fail later, their proxies also join only then.
        let is_joined = self.scenario == "joined";
        self.test_bed.proxies = if is_joined { self.proxies / CONTROLLERS } else { self.proxies };
        let mut snapshot = vec!["OK".to_string()];
        snapshot.extend((0..self.test_bed.proxies).map(subscribe_line));
        snapshot.extend(self.grant_lines(&self.own_slices));
        snapshot.push("*".to_string());
        self.test_bed.apply(relay_events(snapshot.into_iter()));
        for (from, zone) in (0..).zip(ZONES) {
            let message = Message::Source { zone: zone.into() };
            self.test_bed.apply(vec![Event::Message { from, message }]);
        }
    }

    fn reports(&self) -> Vec<Event> {
        let endpoint = |replica: usize| {
            let report = EndpointReport {
                zone: ZONES[replica % ZONES.len()].into(),
                replica: format!("s-{replica}"),
                attempts: 3.0,
                failed: 0.0,
                mean_latency_ms: 250.0,
                window_ms: 1000.0,
                missing: 0,
            };
            let from = (replica % ZONES.len()) as u64;
            Event::Message { from, message: Message::EndpointReport(report) }
        };
        let demand = |slice: &usize| {
            let line = json!({"@type": "SHARD", "partition": slice, "kind": "lookup", "n": 1 + slice % 5, "bad": 0, "window": 1000.0});
            let message = whinwall_protocol::collector::decode(&line.to_string()).unwrap();
            Event::Message { from: 0, message }
        };
        (0..self.replicas).map(endpoint).chain(self.own_slices.iter().map(demand)).collect()
    }

    /// Returns the events of the scenario's disturbance.
    fn disturb(&mut self) -> Vec<Event> {
        let started = self.test_bed.milliseconds_since_epoch();
        match self.scenario {
            "zone-lost" => {
                let lost = (0..self.replicas).step_by(ZONES.len());
                self.test_bed.pending_withdrawals =
                    lost.clone().map(|replica| format!("s-{replica}")).collect();
                vec![endpoint_list(2, false, lost.map(|replica| (replica, "left", 0)))]
            }
            "replaced" => {
                let replaced = self.replicas * 6 / 10;
                let new = self.replicas..self.replicas + replaced;
                self.test_bed.pending_withdrawals =
                    (0..replaced).map(|replica| format!("s-{replica}")).collect();
                vec![
                    endpoint_list(2, false, new.map(|replica| (replica, "active", started))),
                    endpoint_list(3, false, (0..replaced).map(|replica| (replica, "leaving", 0))),
                ]
            }
            "joined" => {
                let mut lines: Vec<_> = (self.test_bed.proxies..self.proxies).map(subscribe_line).collect();
                lines.extend(self.grant_lines(&self.other_slices));
                self.own_slices.extend(&self.other_slices);
                self.test_bed.proxies = self.proxies;
                relay_events(lines.into_iter())
            }
            _ => Vec::new(),
        }
    }

    /// Runs all ticks, and returns the start of the measurement.
    fn run(&mut self) -> Moment {
        let started_at = self.test_bed.now;
        let mut measured_from = started_at;
        for tick in 0..TICKS {
            self.test_bed.now = started_at + TICK.times(tick as f64);
            let mut events = if tick.is_multiple_of(TICKS_PER_REPORT) { self.reports() } else { Vec::new() };
            if tick == MEASURED_FROM_TICK {
                (self.test_bed.iteration_durations, self.test_bed.lines_sent, measured_from) =
                    (Vec::new(), 0.0, self.test_bed.now);
                events.extend(self.disturb());
            }
            if self.scenario == "zone-lost" && tick == ZONE_RECOVERY_TICK {
                let started = self.test_bed.milliseconds_since_epoch();
                let recovered = (0..self.replicas).step_by(ZONES.len());
                events.push(endpoint_list(4, false, recovered.map(|replica| (replica, "active", started))));
            }
            self.test_bed.apply_with_acknowledgements(events);
        }
        measured_from
    }
}

fn run_scenario(size_factor: usize, scenario: &str) {
    let mut run = ScenarioRun::new(size_factor, scenario);
    run.start();
    let measured_from = run.run();
    let test_bed = &mut run.test_bed;
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let memory = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap().trim();
    test_bed.iteration_durations.sort();
    let quantile = |fraction: f64| {
        test_bed.iteration_durations[((test_bed.iteration_durations.len() - 1) as f64 * fraction) as usize]
            .as_secs_f64()
            * 1e3
    };
    // Replicas that are in none of the controller's routing tables are withdrawn without a command.
    let is_notified = test_bed.notified_at > measured_from;
    let notified = is_notified.then(|| format!("{:.2} s", (test_bed.notified_at - measured_from).seconds()));
    println!(
        "| {scenario} | {size_factor} | {:.2} | {:.1} | {:.0} | {:.0} | {memory} | {:.1} million | {} |",
        quantile(0.5),
        quantile(0.99),
        quantile(1.0),
        test_bed.iteration_durations.iter().sum::<Duration>().as_secs_f64() * 1e3,
        test_bed.lines_sent / 1e6,
        notified.unwrap_or("-".into()),
    );
}

/// Without arguments, runs this program once for each row of the table, with the size factor and the scenario as
/// arguments.
fn main() {
    let arguments: Vec<_> = std::env::args().skip(1).filter(|argument| !argument.starts_with("--")).collect();
    if let [size_factor, scenario] = &arguments[..] {
        return run_scenario(size_factor.parse().unwrap(), scenario);
    }
    println!("| scenario | times | iteration, median ms | p99 | longest | all iterations of 20 s | peak memory | lines | last proxy notified of the last drain |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for scenario in SCENARIOS {
        for size_factor in ["1", "4", "16"] {
            let program = std::env::current_exe().unwrap();
            let status = std::process::Command::new(program).args([size_factor, scenario]).status().unwrap();
            assert!(status.success());
        }
    }
}
