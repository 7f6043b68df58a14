//! A simulated fleet in virtual time: aggregators with the real reducer, and fake collectors, discovery and
//! controllers, without sockets.
#![allow(dead_code)] // each test file compiles this module and uses only a part of it

use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use whinwall_aggregation::aggregator::Aggregator;
use whinwall_aggregation::configuration::{Configuration, ControllerMember};
use whinwall_aggregation::log_event::LogEvent;
use whinwall_aggregation::messages::{Effect, Event};
use whinwall_policy::time::{Moment, Span};
use whinwall_protocol::collector::Report;
use whinwall_protocol::discovery::{Entry, List, State};
use whinwall_subsetting::Parameters;

/// Interval of the ticks of the simulation and of each aggregator.
pub const STEP_MS: u64 = 100;
/// Report period of collectors.
const PERIOD_MS: u64 = 1000;
/// Tolerance for the comparison of times, as windows are rounded to 0.1 us.
const TIME_TOLERANCE_MS: f64 = 0.01;

/// A line that a controller received.
#[derive(Clone, Debug)]
pub struct ReceivedLine {
    pub at_ms: f64,
    pub aggregator: usize,
    pub connection: u64,
    pub bytes: usize,
    /// `None` for lines other than reports.
    pub report: Option<ReportLine>,
}

/// A report line as a controller reads it, including the optional field `missing`.
#[derive(Clone, Debug, Deserialize)]
pub struct ReportLine {
    #[serde(rename = "@type")]
    pub kind: String,
    #[serde(default)]
    pub az: Option<String>,
    #[serde(default)]
    pub host: Option<String>,
    #[serde(default)]
    pub partition: Option<u32>,
    #[serde(rename = "kind", default)]
    pub class: Option<String>,
    #[serde(default)]
    pub n: f64,
    #[serde(default)]
    pub bad: f64,
    #[serde(default)]
    pub avg: f64,
    #[serde(default)]
    pub window: f64,
    #[serde(default)]
    pub missing: usize,
}

impl ReportLine {
    /// Returns the key of the report.
    pub fn key(&self) -> String {
        match &self.host {
            Some(host) => host.clone(),
            None => format!("{}/{}", self.partition.unwrap(), self.class.as_deref().unwrap()),
        }
    }
}

/// The health of an aggregator.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Health {
    #[default]
    Healthy,
    /// The process does not run.
    Dead,
    /// The process is stopped: its connections stay open, but it reads no input.
    Hung,
    /// The process runs only in every n-th step.
    Slow(u64),
}

struct Machine {
    aggregator: Option<Aggregator>,
    health: Health,
    /// Zones whose collectors cannot reach the aggregator.
    unreachable_zones: BTreeSet<usize>,
    /// Peers whose heartbeats do not reach the aggregator.
    blocked_peers: BTreeSet<usize>,
    /// Controllers that the aggregator cannot reach.
    unreachable: BTreeSet<String>,
    /// The watch of discovery sends nothing.
    is_list_silent: bool,
    /// The watch of discovery sends heartbeats but no changes until a new watch is requested.
    is_list_frozen: bool,
    list_version: u64,
    /// Open connections to controllers, by name.
    connections: BTreeMap<String, u64>,
    /// Events of controllers for the next step.
    pending_events: Vec<Reply>,
    log_events: Vec<LogEvent>,
}

enum Reply {
    Connected(String),
    Lost(String),
    Answered(String),
}

/// A report that a collector sent, for comparison with the reports that controllers received.
#[derive(Clone, Copy, Debug)]
pub struct CollectorReport {
    pub at_ms: f64,
    pub zone: usize,
    pub n: f64,
    pub bad: f64,
    pub avg: f64,
}

pub struct Fleet {
    pub now_ms: u64,
    pub zones: usize,
    pub controllers: Vec<ControllerMember>,
    pub subset_size: usize,
    pub budget: u64,
    machines: Vec<Machine>,
    replicas: BTreeMap<String, Entry>,
    version: u64,
    /// Zones whose collectors send nothing.
    pub silent_zones: BTreeSet<usize>,
    pub received: BTreeMap<String, Vec<ReceivedLine>>,
    pub sent_reports: BTreeMap<String, Vec<CollectorReport>>,
    next_connection: u64,
    /// State of the random number generator.
    random_state: u64,
    /// True if collectors send reports.
    pub reporting: bool,
    /// Replicas without attempts, which collectors do not report.
    pub idle_replicas: BTreeSet<String>,
    /// Request classes reported for each slice.
    pub classes: Vec<&'static str>,
}

pub fn moment(ms: f64) -> Moment {
    Moment::at_ns(0) + Span::ms(1).times(ms)
}

pub fn member(name: &str, slices: &[(u32, u32)]) -> ControllerMember {
    let address: SocketAddr = "127.0.0.1:9".parse().unwrap();
    ControllerMember { name: name.into(), address: Some(address), slices: slices.to_vec() }
}

pub fn replica(id: &str, zone: usize) -> Entry {
    Entry {
        replica: id.into(),
        zone: zone_name(zone),
        machine: "m".into(),
        state: State::Ready,
        weight: 1.0,
        started_ms: 0,
    }
}

pub fn zone_name(zone: usize) -> String {
    format!("z{zone}")
}

fn aggregator_name(index: usize) -> String {
    format!("m{index}")
}

/// Returns the offset within a second at which the collectors of a zone report. It differs between zones and never
/// coincides with a tick.
fn zone_offset_ms(zone: usize) -> u64 {
    (zone as u64 * 130 + 37) % PERIOD_MS
}

/// Returns the connection number of the collector of a zone.
fn connection_of(zone: usize) -> u64 {
    1000 + zone as u64
}

impl Fleet {
    pub fn new(controllers: usize, replicas: usize, zones: usize, subset_size: usize, budget: u64) -> Self {
        let slice = |n: usize| (2 * n as u32, 2 * n as u32 + 1);
        let controllers = (0..controllers).map(|n| member(&format!("g{n}"), &[slice(n)])).collect();
        let replicas = (0..replicas).map(|n| (format!("s-{n}"), replica(&format!("s-{n}"), n % zones)));
        let mut fleet = Fleet {
            now_ms: 10_000,
            zones,
            controllers,
            subset_size,
            budget,
            machines: Vec::new(),
            replicas: replicas.collect(),
            version: 1,
            silent_zones: BTreeSet::new(),
            received: BTreeMap::new(),
            sent_reports: BTreeMap::new(),
            next_connection: 0,
            random_state: 0x9E37_79B9_7F4A_7C15,
            reporting: true,
            idle_replicas: BTreeSet::new(),
            classes: vec!["lookup", "write"],
        };
        for _ in 0..4 {
            let health = Health::Dead;
            fleet.machines.push(Machine {
                aggregator: None,
                health,
                unreachable_zones: BTreeSet::new(),
                blocked_peers: BTreeSet::new(),
                unreachable: BTreeSet::new(),
                is_list_silent: false,
                is_list_frozen: false,
                list_version: 0,
                connections: BTreeMap::new(),
                pending_events: Vec::new(),
                log_events: Vec::new(),
            });
        }
        fleet
    }

    /// Returns a fleet in which all four aggregators have run until it is stable.
    pub fn settled(controllers: usize, replicas: usize, zones: usize, subset: usize, budget: u64) -> Self {
        let mut fleet = Fleet::new(controllers, replicas, zones, subset, budget);
        (0..4).for_each(|machine| fleet.start(machine));
        fleet.run(12_000);
        fleet
    }

    pub fn configuration(&self, own: usize) -> Configuration {
        let aggregators: Vec<_> = (0..4).map(aggregator_name).collect();
        let parameters = Parameters::new(self.subset_size).unwrap();
        let controllers = self.controllers.clone();
        Configuration::new(&aggregator_name(own), parameters, self.budget, controllers, &aggregators).unwrap()
    }

    /// Starts the process of a machine.
    pub fn start(&mut self, index: usize) {
        let now = moment(self.now_ms as f64);
        let aggregator = Aggregator::new(now, self.configuration(index), None);
        let machine = &mut self.machines[index];
        (machine.aggregator, machine.health) = (Some(aggregator), Health::Healthy);
        machine.list_version = 0;
        self.connect_collectors(index);
    }

    /// Ends the process of a machine; its connections are reset.
    pub fn kill(&mut self, index: usize) {
        let machine = &mut self.machines[index];
        machine.aggregator = None;
        machine.health = Health::Dead;
        machine.connections.clear();
        machine.pending_events.clear();
    }

    pub fn set_health(&mut self, index: usize, health: Health) {
        self.machines[index].health = health;
    }

    pub fn aggregator(&self, index: usize) -> &Aggregator {
        self.machines[index].aggregator.as_ref().unwrap()
    }

    pub fn log_events(&self, index: usize) -> &[LogEvent] {
        &self.machines[index].log_events
    }

    /// Disconnects the collectors of a zone from a machine with a connection reset.
    pub fn disconnect_zone(&mut self, index: usize, zone: usize) {
        self.machines[index].unreachable_zones.insert(zone);
        self.apply(index, Event::ConnectionEnded(connection_of(zone)));
    }

    /// Drops the reports of a zone's collectors to a machine; their connections stay open.
    pub fn silence_zone(&mut self, index: usize, zone: usize) {
        self.machines[index].unreachable_zones.insert(zone);
    }

    pub fn connect_zone(&mut self, index: usize, zone: usize) {
        self.machines[index].unreachable_zones.remove(&zone);
        let name = zone_name(zone);
        self.apply(index, Event::CollectorJoined { connection: connection_of(zone), zone: &name });
    }

    /// Blocks the heartbeats of `from` to `to`.
    pub fn block_heartbeats(&mut self, to: usize, from: usize) {
        self.machines[to].blocked_peers.insert(from);
    }

    /// Removes all blocks of heartbeats.
    pub fn unblock_heartbeats(&mut self) {
        self.machines.iter_mut().for_each(|machine| machine.blocked_peers.clear());
    }

    pub fn silence_list(&mut self, index: usize, silent: bool) {
        self.machines[index].is_list_silent = silent;
        if !silent {
            self.machines[index].list_version = 0;
        }
    }

    pub fn set_reachable(&mut self, controller: &str, reachable: bool) {
        (0..self.machines.len()).for_each(|machine| self.set_reachable_from(machine, controller, reachable));
    }

    /// Sets whether a machine can reach a controller. An open connection to an unreachable one is reset.
    pub fn set_reachable_from(&mut self, index: usize, controller: &str, reachable: bool) {
        let machine = &mut self.machines[index];
        match reachable {
            true => _ = machine.unreachable.remove(controller),
            false => _ = machine.unreachable.insert(controller.into()),
        }
        if !reachable && machine.connections.remove(controller).is_some() {
            machine.pending_events.push(Reply::Lost(controller.into()));
        }
    }

    /// Connects a peer that names a zone and sends nothing else.
    pub fn connect_unauthenticated_peer(&mut self, index: usize, zone: &str) {
        let connection = 5000 + index as u64;
        self.apply(index, Event::CollectorJoined { connection, zone });
    }

    pub fn freeze_list(&mut self, index: usize) {
        self.machines[index].is_list_frozen = true;
    }

    /// Changes the registry and increments its version.
    pub fn change_registry(&mut self, change: impl FnOnce(&mut BTreeMap<String, Entry>)) {
        change(&mut self.replicas);
        self.version += 1;
    }

    /// Makes all machines reload their configuration after a change of the controllers.
    pub fn reconfigure(&mut self) {
        for index in 0..self.machines.len() {
            let configuration = self.configuration(index);
            self.apply(index, Event::Configured(configuration));
        }
    }

    fn connect_collectors(&mut self, index: usize) {
        let reporting_zones: Vec<_> =
            (0..self.zones).filter(|zone| !self.silent_zones.contains(zone)).collect();
        for zone in reporting_zones {
            self.connect_zone(index, zone);
        }
    }

    pub fn owners(&self, controller: &str) -> Vec<usize> {
        let owns = |index: &usize| {
            let aggregator = self.machines[*index].aggregator.as_ref();
            aggregator.is_some_and(|aggregator| aggregator.owned_controllers().any(|name| name == controller))
        };
        (0..self.machines.len()).filter(owns).collect()
    }

    /// Returns the expected subset of a controller.
    pub fn subset(&self, controller: &str) -> BTreeSet<String> {
        let membership = self.controllers.iter().map(|controller| controller.name.clone());
        let membership = whinwall_subsetting::Membership::new(membership).unwrap();
        let replicas: Vec<_> = self
            .replicas
            .values()
            .map(|entry| whinwall_subsetting::Replica {
                id: &entry.replica,
                zone: &entry.zone,
                group: &entry.machine,
                weight: entry.weight,
            })
            .collect();
        let parameters = Parameters::new(self.subset_size).unwrap();
        let assignment = whinwall_subsetting::Assignment::compute(&membership, &replicas, &parameters);
        assignment.subset_of(controller).into_iter().map(str::to_string).collect()
    }

    pub fn run(&mut self, ms: u64) {
        let end = self.now_ms + ms;
        while self.now_ms < end {
            self.send_due_reports();
            self.now_ms += STEP_MS;
            for index in 0..self.machines.len() {
                self.step(index);
            }
        }
    }

    fn random_below(&mut self, bound: u64) -> u64 {
        // Marsaglia's xorshift generator.
        self.random_state ^= self.random_state << 13;
        self.random_state ^= self.random_state >> 7;
        self.random_state ^= self.random_state << 17;
        self.random_state % bound
    }

    /// Sends the reports of collectors that are due before the next tick.
    fn send_due_reports(&mut self) {
        for zone in 0..self.zones {
            let report_at_ms = (self.now_ms / PERIOD_MS) * PERIOD_MS + zone_offset_ms(zone);
            if !self.reporting || self.silent_zones.contains(&zone) {
                continue;
            }
            if (self.now_ms..self.now_ms + STEP_MS).contains(&report_at_ms) {
                self.send_zone_reports(zone, report_at_ms as f64);
            }
        }
    }

    fn send_zone_reports(&mut self, zone: usize, at_ms: f64) {
        let zone_name = zone_name(zone);
        let reported: Vec<_> =
            self.replicas.keys().filter(|id| !self.idle_replicas.contains(*id)).cloned().collect();
        for id in reported {
            let (n, avg) = (1.0 + self.random_below(500) as f64, 1.0 + self.random_below(400) as f64 / 8.0);
            let bad = self.random_below(n as u64 + 1) as f64;
            let sent = CollectorReport { at_ms, zone, n, bad, avg };
            self.sent_reports.entry(id.clone()).or_default().push(sent);
            let report = Report::EndpointReport {
                zone: &zone_name,
                replica: &id,
                attempts: n,
                failed: bad,
                mean_latency_ms: avg,
                window_ms: PERIOD_MS as f64,
                missing: 0,
            };
            self.send_to_all(zone, at_ms, report);
        }
        for (slice, class) in self.slice_classes() {
            let (n, bad) = (self.random_below(300) as f64, self.random_below(10) as f64);
            let sent = CollectorReport { at_ms, zone, n, bad, avg: 0.0 };
            self.sent_reports.entry(format!("{slice}/{class}")).or_default().push(sent);
            let window_ms = PERIOD_MS as f64;
            let report = Report::DemandReport {
                slice,
                request_class: class,
                requests: n,
                failed: bad,
                window_ms,
                missing: 0,
            };
            self.send_to_all(zone, at_ms, report);
        }
    }

    /// Returns all combinations of the controllers' slices and the request classes.
    fn slice_classes(&self) -> Vec<(u32, &'static str)> {
        let ranges = self.controllers.iter().flat_map(|controller| controller.slices.iter());
        let slices = ranges.flat_map(|(first, last)| *first..=*last);
        slices.flat_map(|slice| self.classes.iter().map(move |class| (slice, *class))).collect()
    }

    fn send_to_all(&mut self, zone: usize, at_ms: f64, report: Report) {
        for index in 0..self.machines.len() {
            if self.machines[index].unreachable_zones.contains(&zone) {
                continue;
            }
            let event = Event::ReportReceived { connection: connection_of(zone), report };
            self.apply_at(index, at_ms, event);
        }
    }

    fn step(&mut self, index: usize) {
        let machine = &mut self.machines[index];
        match machine.health {
            Health::Dead | Health::Hung => return,
            Health::Slow(steps) if !(self.now_ms / STEP_MS).is_multiple_of(steps) => return,
            Health::Slow(_) | Health::Healthy => {}
        }
        let events = std::mem::take(&mut machine.pending_events);
        for event in events {
            match event {
                Reply::Connected(controller) => self.apply(index, Event::ControllerConnected(&controller)),
                Reply::Lost(controller) => self.apply(index, Event::ControllerLost(&controller)),
                Reply::Answered(controller) => self.apply(index, Event::ControllerAnswered(&controller)),
            }
        }
        if !self.machines[index].is_list_silent {
            let machine = &mut self.machines[index];
            let is_unchanged = machine.is_list_frozen || machine.list_version == self.version;
            match is_unchanged {
                true => self.apply(index, Event::RegistryAlive),
                false => {
                    let entries = self.replicas.values().cloned().collect();
                    let list = List { version: self.version, is_complete: true, entries };
                    machine.list_version = self.version;
                    self.apply(index, Event::RegistryListed(list));
                }
            }
        }
        self.apply(index, Event::Tick);
    }

    fn apply(&mut self, index: usize, event: Event) {
        self.apply_at(index, self.now_ms as f64, event);
    }

    fn apply_at(&mut self, index: usize, at_ms: f64, event: Event) {
        let machine = &mut self.machines[index];
        if matches!(machine.health, Health::Dead | Health::Hung) {
            return;
        }
        let Some(aggregator) = machine.aggregator.as_mut() else { return };
        for effect in aggregator.apply(moment(at_ms), event) {
            self.execute(index, at_ms, effect);
        }
    }

    fn execute(&mut self, index: usize, at_ms: f64, effect: Effect) {
        match effect {
            Effect::Connect { controller, .. } => {
                let machine = &mut self.machines[index];
                if machine.unreachable.contains(&controller) {
                    machine.pending_events.push(Reply::Lost(controller));
                    return;
                }
                self.next_connection += 1;
                machine.connections.insert(controller.clone(), self.next_connection);
                machine.pending_events.push(Reply::Connected(controller));
            }
            Effect::Disconnect { controller } => _ = self.machines[index].connections.remove(&controller),
            Effect::Send { controller, lines } => self.deliver_lines(index, at_ms, &controller, &lines),
            Effect::SendHeartbeat(heartbeat) => {
                for peer in (0..self.machines.len()).filter(|peer| *peer != index) {
                    if !self.machines[peer].blocked_peers.contains(&index) {
                        self.apply_at(peer, at_ms, Event::HeartbeatReceived(heartbeat.clone()));
                    }
                }
            }
            Effect::Log(event) => self.machines[index].log_events.push(event),
            Effect::FollowRegistry { .. } => self.machines[index].is_list_frozen = false,
            Effect::RefuseCollector(_) => {}
        }
    }

    fn deliver_lines(&mut self, index: usize, at_ms: f64, controller: &str, lines: &str) {
        let Some(connection) = self.machines[index].connections.get(controller).copied() else { return };
        for line in lines.split_inclusive('\n') {
            let report: ReportLine = serde_json::from_str(line).unwrap();
            if report.kind == "PING" {
                self.machines[index].pending_events.push(Reply::Answered(controller.into()));
            }
            let report = matches!(report.kind.as_str(), "LOAD" | "SHARD").then_some(report);
            let received = ReceivedLine { at_ms, aggregator: index, connection, bytes: line.len(), report };
            self.received.entry(controller.into()).or_default().push(received);
        }
    }

    /// Iterates over the reports that a controller received, with the received lines.
    pub fn reports(&self, controller: &str) -> impl Iterator<Item = (&ReceivedLine, &ReportLine)> {
        let lines = self.received.get(controller).into_iter().flatten();
        lines.filter_map(|line| line.report.as_ref().map(|report| (line, report)))
    }

    /// Returns the time, at least `from_ms`, from which every controller gets reports from a single aggregator.
    pub fn single_owner_at_ms(&self, from_ms: u64) -> f64 {
        let served_at = |controller: &ControllerMember| {
            let owners = self.owners(&controller.name);
            assert_eq!(owners.len(), 1, "{} is served by {owners:?}", controller.name);
            let last_other = self.reports(&controller.name).filter(|(line, _)| line.aggregator != owners[0]);
            let last_other = last_other.map(|(line, _)| line.at_ms).fold(from_ms as f64, f64::max);
            let mut first = self.reports(&controller.name).map(|(line, _)| line);
            first.find(|line| line.aggregator == owners[0] && line.at_ms >= last_other).unwrap().at_ms
        };
        self.controllers.iter().map(served_at).fold(0.0, f64::max)
    }

    /// Returns the longest gap and the longest overlap between the windows of consecutive lines of a key, over all
    /// controllers and keys, for lines received from `from_ms` on.
    pub fn gaps_and_overlaps_ms(&self, from_ms: u64) -> (f64, f64) {
        let (mut gap, mut overlap) = (0.0_f64, 0.0_f64);
        for controller in &self.controllers {
            let mut covered: BTreeMap<String, f64> = BTreeMap::new();
            for (line, report) in
                self.reports(&controller.name).filter(|(line, _)| line.at_ms >= from_ms as f64)
            {
                let window_start = line.at_ms - report.window;
                if let Some(until) = covered.get(&report.key()) {
                    gap = gap.max(window_start - until);
                    overlap = overlap.max(until - window_start);
                }
                covered.insert(report.key(), line.at_ms);
            }
        }
        (gap, overlap)
    }

    /// Returns the maximum number of bytes that any controller received within any half-open interval of this length.
    pub fn max_bytes_within(&self, length_ms: f64) -> usize {
        let mut max_bytes = 0;
        for lines in self.received.values() {
            let (mut sum, mut first) = (0, 0);
            for line in lines {
                sum += line.bytes;
                while line.at_ms - lines[first].at_ms >= length_ms {
                    sum -= lines[first].bytes;
                    first += 1;
                }
                max_bytes = max_bytes.max(sum);
            }
        }
        max_bytes
    }

    /// Asserts that each line has exactly the counts that collectors reported within its window, and that the windows
    /// of a key do not overlap on the same connection.
    pub fn assert_counts_exact(&self, zones_of: impl Fn(usize) -> BTreeSet<usize>) {
        for controller in &self.controllers {
            let mut covered: BTreeMap<(u64, String), f64> = BTreeMap::new();
            for (line, report) in self.reports(&controller.name) {
                let (window_start, key) = (line.at_ms - report.window, report.key());
                let context = format!("{} {key} at {}: {report:?}", controller.name, line.at_ms);
                let zones = zones_of(line.aggregator);
                let sent = self.sent_within(&key, window_start - TIME_TOLERANCE_MS, line.at_ms);
                let sent = sent.iter().filter(|sent| zones.contains(&sent.zone));
                let (mut n, mut bad, mut answered_ms) = (0.0, 0.0, 0.0);
                for report in sent {
                    (n, bad) = (n + report.n, bad + report.bad);
                    answered_ms += (report.n - report.bad) * report.avg;
                }
                assert_eq!((report.n, report.bad), (n, bad), "counts in {context}");
                let reported_ms = (report.n - report.bad) * report.avg;
                let is_close = (reported_ms - answered_ms).abs() <= 1e-3 * answered_ms.max(1.0);
                assert!(
                    is_close || report.host.is_none(),
                    "{reported_ms} ms instead of {answered_ms} ms in {context}"
                );
                let previous_end = covered.insert((line.connection, key), line.at_ms);
                assert!(
                    previous_end.is_none_or(|end| window_start >= end - TIME_TOLERANCE_MS),
                    "overlapping windows in {context}"
                );
            }
        }
    }

    /// Returns the reports that collectors sent for a key within a time interval.
    fn sent_within(&self, key: &str, from_ms: f64, to_ms: f64) -> &[CollectorReport] {
        let sent = self.sent_reports.get(key).map_or(&[][..], Vec::as_slice);
        let first = sent.partition_point(|sent| sent.at_ms < from_ms);
        let last = sent.partition_point(|sent| sent.at_ms <= to_ms);
        &sent[first..last.max(first)]
    }

    /// Returns the time of the last line that is not marked with missing zones although it lacks reports that collectors
    /// sent within its window, or `None` if there is no such line.
    pub fn last_undercount_ms(&self) -> Option<f64> {
        let mut last = None;
        for controller in &self.controllers {
            for (line, report) in self.reports(&controller.name).filter(|(_, report)| report.missing == 0) {
                let window_start = line.at_ms - report.window;
                let sent = self.sent_within(&report.key(), window_start + TIME_TOLERANCE_MS, line.at_ms);
                let sent: f64 = sent.iter().map(|sent| sent.n).sum();
                if report.n < sent {
                    last = Some(last.unwrap_or(0.0_f64).max(line.at_ms));
                }
            }
        }
        last
    }

    pub fn all_zones(&self) -> BTreeSet<usize> {
        (0..self.zones).collect()
    }
}
