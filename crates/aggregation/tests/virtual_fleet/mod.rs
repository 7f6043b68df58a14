//! Aggregators, collectors, discovery and controllers in virtual time: the real reducers, and no sockets.
#![allow(dead_code)] // each file of tests compiles this one for itself and uses a part of it

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

/// Ticks of the harness and of each aggregator.
pub const STEP_MS: u64 = 100;
/// Collectors report each second.
const PERIOD_MS: u64 = 1000;
/// Windows have a tenth of a microsecond.
const CLOSE_MS: f64 = 0.01;

/// A line as a controller heard it.
#[derive(Clone, Debug)]
pub struct Heard {
    pub at_ms: f64,
    pub aggregator: usize,
    pub connection: u64,
    pub bytes: usize,
    /// None for lines that are no reports.
    pub report: Option<Told>,
}

/// A report as a controller reads it, with the optional field.
#[derive(Clone, Debug, Deserialize)]
pub struct Told {
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

impl Told {
    /// What the line is about.
    pub fn key(&self) -> String {
        match &self.host {
            Some(host) => host.clone(),
            None => format!("{}/{}", self.partition.unwrap(), self.class.as_deref().unwrap()),
        }
    }
}

/// What may be wrong with an aggregator.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Health {
    #[default]
    Well,
    /// Its process is gone.
    Dead,
    /// It is stopped: its connections stay open, and nothing that comes is read.
    Hung,
    /// It runs in one of so many steps only.
    Slow(u64),
}

struct Machine {
    aggregator: Option<Aggregator>,
    health: Health,
    /// Zones whose collectors can't reach it.
    cut_zones: BTreeSet<usize>,
    /// Peers whose heartbeats do not reach it.
    deaf_to: BTreeSet<usize>,
    /// Controllers that it can't reach.
    unreachable: BTreeSet<String>,
    /// Discovery's watch tells it nothing.
    list_silent: bool,
    /// Discovery's watch gives signs of life and tells no change, until it is asked anew.
    list_stuck: bool,
    list_version: u64,
    /// Open connections to controllers.
    connections: BTreeMap<String, u64>,
    /// Events for its next step.
    queue: Vec<Answer>,
    notes: Vec<LogEvent>,
}

enum Answer {
    Connected(String),
    Lost(String),
    Alive(String),
}

/// One thing that collectors said, for comparison with what controllers heard.
#[derive(Clone, Copy, Debug)]
pub struct Said {
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
    /// Zones whose collectors say nothing to anybody.
    pub silent_zones: BTreeSet<usize>,
    pub heard: BTreeMap<String, Vec<Heard>>,
    pub said: BTreeMap<String, Vec<Said>>,
    next_connection: u64,
    random: u64,
    /// Collectors report.
    pub reporting: bool,
    /// Replicas that no proxy tries.
    pub untried: BTreeSet<String>,
    /// Slices that are reported, and the classes of each.
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

/// Collectors of a zone report a little after the second, each zone at its own time, never at that of a tick.
fn zone_offset_ms(zone: usize) -> u64 {
    (zone as u64 * 130 + 37) % PERIOD_MS
}

/// Collector connections are numbered by zone; one connects anew under a number of its own.
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
            heard: BTreeMap::new(),
            said: BTreeMap::new(),
            next_connection: 0,
            random: 0x9E37_79B9_7F4A_7C15,
            reporting: true,
            untried: BTreeSet::new(),
            classes: vec!["lookup", "write"],
        };
        for _ in 0..4 {
            let health = Health::Dead;
            fleet.machines.push(Machine {
                aggregator: None,
                health,
                cut_zones: BTreeSet::new(),
                deaf_to: BTreeSet::new(),
                unreachable: BTreeSet::new(),
                list_silent: false,
                list_stuck: false,
                list_version: 0,
                connections: BTreeMap::new(),
                queue: Vec::new(),
                notes: Vec::new(),
            });
        }
        fleet
    }

    /// One that has run for a while with all four.
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

    /// Starts a machine's process.
    pub fn start(&mut self, index: usize) {
        let now = moment(self.now_ms as f64);
        let aggregator = Aggregator::new(now, self.configuration(index), None);
        let machine = &mut self.machines[index];
        (machine.aggregator, machine.health) = (Some(aggregator), Health::Well);
        machine.list_version = 0;
        self.join_collectors(index);
    }

    /// Ends a machine's process; its connections are reset.
    pub fn kill(&mut self, index: usize) {
        let machine = &mut self.machines[index];
        machine.aggregator = None;
        machine.health = Health::Dead;
        machine.connections.clear();
        machine.queue.clear();
    }

    pub fn set_health(&mut self, index: usize, health: Health) {
        self.machines[index].health = health;
    }

    pub fn aggregator(&self, index: usize) -> &Aggregator {
        self.machines[index].aggregator.as_ref().unwrap()
    }

    pub fn notes(&self, index: usize) -> &[LogEvent] {
        &self.machines[index].notes
    }

    /// The collectors of a zone can't reach a machine: their connections are reset.
    pub fn cut_zone(&mut self, index: usize, zone: usize) {
        self.machines[index].cut_zones.insert(zone);
        self.event(index, Event::ConnectionEnded(connection_of(zone)));
    }

    /// The collectors of a zone can't reach a machine: their connections stay open and silent.
    pub fn mute_zone(&mut self, index: usize, zone: usize) {
        self.machines[index].cut_zones.insert(zone);
    }

    pub fn join_zone(&mut self, index: usize, zone: usize) {
        self.machines[index].cut_zones.remove(&zone);
        let name = zone_name(zone);
        self.event(index, Event::CollectorJoined { connection: connection_of(zone), zone: &name });
    }

    /// Heartbeats of `from` do not reach `to`.
    pub fn deafen(&mut self, to: usize, from: usize) {
        self.machines[to].deaf_to.insert(from);
    }

    /// All heartbeats arrive again.
    pub fn undeafen(&mut self) {
        self.machines.iter_mut().for_each(|machine| machine.deaf_to.clear());
    }

    pub fn silence_list(&mut self, index: usize, silent: bool) {
        self.machines[index].list_silent = silent;
        if !silent {
            self.machines[index].list_version = 0;
        }
    }

    pub fn set_reachable(&mut self, controller: &str, reachable: bool) {
        (0..self.machines.len()).for_each(|machine| self.set_reachable_from(machine, controller, reachable));
    }

    /// Whether a machine reaches a controller; where it does not, what is open is reset.
    pub fn set_reachable_from(&mut self, index: usize, controller: &str, reachable: bool) {
        let machine = &mut self.machines[index];
        match reachable {
            true => _ = machine.unreachable.remove(controller),
            false => _ = machine.unreachable.insert(controller.into()),
        }
        if !reachable && machine.connections.remove(controller).is_some() {
            machine.queue.push(Answer::Lost(controller.into()));
        }
    }

    /// Somebody says for which zone it speaks, and nothing else.
    pub fn stranger(&mut self, index: usize, zone: &str) {
        let connection = 5000 + index as u64;
        self.event(index, Event::CollectorJoined { connection, zone });
    }

    pub fn stick_list(&mut self, index: usize) {
        self.machines[index].list_stuck = true;
    }

    /// The registry changes.
    pub fn list(&mut self, change: impl FnOnce(&mut BTreeMap<String, Entry>)) {
        change(&mut self.replicas);
        self.version += 1;
    }

    /// The controllers change; machines reread their file.
    pub fn reconfigure(&mut self) {
        for index in 0..self.machines.len() {
            let configuration = self.configuration(index);
            self.event(index, Event::Configured(configuration));
        }
    }

    fn join_collectors(&mut self, index: usize) {
        let speaking: Vec<_> = (0..self.zones).filter(|zone| !self.silent_zones.contains(zone)).collect();
        for zone in speaking {
            self.join_zone(index, zone);
        }
    }

    pub fn owners(&self, controller: &str) -> Vec<usize> {
        let owns = |index: &usize| {
            let aggregator = self.machines[*index].aggregator.as_ref();
            aggregator.is_some_and(|aggregator| aggregator.owned().any(|name| name == controller))
        };
        (0..self.machines.len()).filter(owns).collect()
    }

    /// A controller's subset, as the aggregators should see it.
    pub fn subset(&self, controller: &str) -> BTreeSet<String> {
        let membership = self.controllers.iter().map(|one| one.name.clone());
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
            self.report();
            self.now_ms += STEP_MS;
            for index in 0..self.machines.len() {
                self.step(index);
            }
        }
    }

    fn draw(&mut self, most: u64) -> u64 {
        // Xorshift, as published by Marsaglia.
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random % most
    }

    /// What collectors say before the next tick.
    fn report(&mut self) {
        for zone in 0..self.zones {
            let at = (self.now_ms / PERIOD_MS) * PERIOD_MS + zone_offset_ms(zone);
            if !self.reporting || self.silent_zones.contains(&zone) {
                continue;
            }
            if (self.now_ms..self.now_ms + STEP_MS).contains(&at) {
                self.zone_reports(zone, at as f64);
            }
        }
    }

    fn zone_reports(&mut self, zone: usize, at_ms: f64) {
        let zone_name = zone_name(zone);
        let tried: Vec<_> = self.replicas.keys().filter(|id| !self.untried.contains(*id)).cloned().collect();
        for id in tried {
            let (n, avg) = (1.0 + self.draw(500) as f64, 1.0 + self.draw(400) as f64 / 8.0);
            let bad = self.draw(n as u64 + 1) as f64;
            let said = Said { at_ms, zone, n, bad, avg };
            self.said.entry(id.clone()).or_default().push(said);
            let report = Report::EndpointReport {
                zone: &zone_name,
                replica: &id,
                attempts: n,
                failed: bad,
                mean_latency_ms: avg,
                window_ms: PERIOD_MS as f64,
                missing: 0,
            };
            self.tell_all(zone, at_ms, report);
        }
        for (slice, class) in self.shards() {
            let (n, bad) = (self.draw(300) as f64, self.draw(10) as f64);
            let said = Said { at_ms, zone, n, bad, avg: 0.0 };
            self.said.entry(format!("{slice}/{class}")).or_default().push(said);
            let window_ms = PERIOD_MS as f64;
            let report = Report::DemandReport {
                slice,
                request_class: class,
                requests: n,
                failed: bad,
                window_ms,
                missing: 0,
            };
            self.tell_all(zone, at_ms, report);
        }
    }

    /// The slices of all controllers, each with each class.
    fn shards(&self) -> Vec<(u32, &'static str)> {
        let ranges = self.controllers.iter().flat_map(|one| one.slices.iter());
        let slices = ranges.flat_map(|(first, last)| *first..=*last);
        slices.flat_map(|slice| self.classes.iter().map(move |class| (slice, *class))).collect()
    }

    fn tell_all(&mut self, zone: usize, at_ms: f64, report: Report) {
        for index in 0..self.machines.len() {
            if self.machines[index].cut_zones.contains(&zone) {
                continue;
            }
            let event = Event::ReportReceived { connection: connection_of(zone), report };
            self.event_at(index, at_ms, event);
        }
    }

    fn step(&mut self, index: usize) {
        let machine = &mut self.machines[index];
        match machine.health {
            Health::Dead | Health::Hung => return,
            Health::Slow(steps) if !(self.now_ms / STEP_MS).is_multiple_of(steps) => return,
            Health::Slow(_) | Health::Well => {}
        }
        let queue = std::mem::take(&mut machine.queue);
        for answer in queue {
            match answer {
                Answer::Connected(controller) => self.event(index, Event::ControllerConnected(&controller)),
                Answer::Lost(controller) => self.event(index, Event::ControllerLost(&controller)),
                Answer::Alive(controller) => self.event(index, Event::ControllerAnswered(&controller)),
            }
        }
        if !self.machines[index].list_silent {
            let machine = &mut self.machines[index];
            let tells_none = machine.list_stuck || machine.list_version == self.version;
            match tells_none {
                true => self.event(index, Event::RegistryAlive),
                false => {
                    let entries = self.replicas.values().cloned().collect();
                    let list = List { version: self.version, is_complete: true, entries };
                    machine.list_version = self.version;
                    self.event(index, Event::RegistryListed(list));
                }
            }
        }
        self.event(index, Event::Tick);
    }

    fn event(&mut self, index: usize, event: Event) {
        self.event_at(index, self.now_ms as f64, event);
    }

    fn event_at(&mut self, index: usize, at_ms: f64, event: Event) {
        let machine = &mut self.machines[index];
        if matches!(machine.health, Health::Dead | Health::Hung) {
            return;
        }
        let Some(aggregator) = machine.aggregator.as_mut() else { return };
        for effect in aggregator.apply(moment(at_ms), event) {
            self.carry_out(index, at_ms, effect);
        }
    }

    fn carry_out(&mut self, index: usize, at_ms: f64, effect: Effect) {
        match effect {
            Effect::Connect { controller, .. } => {
                let machine = &mut self.machines[index];
                if machine.unreachable.contains(&controller) {
                    machine.queue.push(Answer::Lost(controller));
                    return;
                }
                self.next_connection += 1;
                machine.connections.insert(controller.clone(), self.next_connection);
                machine.queue.push(Answer::Connected(controller));
            }
            Effect::Disconnect { controller } => _ = self.machines[index].connections.remove(&controller),
            Effect::Send { controller, lines } => self.controller_hears(index, at_ms, &controller, &lines),
            Effect::SendHeartbeat(heartbeat) => {
                for peer in (0..self.machines.len()).filter(|peer| *peer != index) {
                    if !self.machines[peer].deaf_to.contains(&index) {
                        self.event_at(peer, at_ms, Event::HeartbeatReceived(heartbeat.clone()));
                    }
                }
            }
            Effect::Log(note) => self.machines[index].notes.push(note),
            Effect::FollowRegistry { .. } => self.machines[index].list_stuck = false,
            Effect::RefuseCollector(_) => {}
        }
    }

    fn controller_hears(&mut self, index: usize, at_ms: f64, controller: &str, lines: &str) {
        let Some(connection) = self.machines[index].connections.get(controller).copied() else { return };
        for line in lines.split_inclusive('\n') {
            let told: Told = serde_json::from_str(line).unwrap();
            if told.kind == "PING" {
                self.machines[index].queue.push(Answer::Alive(controller.into()));
            }
            let report = matches!(told.kind.as_str(), "LOAD" | "SHARD").then_some(told);
            let heard = Heard { at_ms, aggregator: index, connection, bytes: line.len(), report };
            self.heard.entry(controller.into()).or_default().push(heard);
        }
    }

    /// Reports that a controller heard, with the time and connection of each.
    pub fn reports(&self, controller: &str) -> impl Iterator<Item = (&Heard, &Told)> {
        let heard = self.heard.get(controller).into_iter().flatten();
        heard.filter_map(|heard| heard.report.as_ref().map(|told| (heard, told)))
    }

    /// When, from this time on, each controller has been told by whoever serves it alone; the last of them.
    pub fn served_alone_at_ms(&self, from_ms: u64) -> f64 {
        let told_at = |controller: &ControllerMember| {
            let owners = self.owners(&controller.name);
            assert_eq!(owners.len(), 1, "{} is served by {owners:?}", controller.name);
            let last_other =
                self.reports(&controller.name).filter(|(heard, _)| heard.aggregator != owners[0]);
            let last_other = last_other.map(|(heard, _)| heard.at_ms).fold(from_ms as f64, f64::max);
            let mut first = self.reports(&controller.name).map(|(heard, _)| heard);
            first.find(|heard| heard.aggregator == owners[0] && heard.at_ms >= last_other).unwrap().at_ms
        };
        self.controllers.iter().map(told_at).fold(0.0, f64::max)
    }

    /// The longest time that no line covers, between this one and the last line, over all controllers and keys that
    /// were told of before and after; and the longest time that more than one connection covers.
    pub fn gaps_and_overlaps_ms(&self, from_ms: u64) -> (f64, f64) {
        let (mut gap, mut overlap) = (0.0_f64, 0.0_f64);
        for controller in &self.controllers {
            let mut covered: BTreeMap<String, f64> = BTreeMap::new();
            for (heard, told) in
                self.reports(&controller.name).filter(|(heard, _)| heard.at_ms >= from_ms as f64)
            {
                let begins = heard.at_ms - told.window;
                if let Some(until) = covered.get(&told.key()) {
                    gap = gap.max(begins - until);
                    overlap = overlap.max(until - begins);
                }
                covered.insert(told.key(), heard.at_ms);
            }
        }
        (gap, overlap)
    }

    /// The most bytes that any controller got within any interval of this length, its start included and its end not.
    pub fn most_bytes_within(&self, length_ms: f64) -> usize {
        let mut most = 0;
        for heard in self.heard.values() {
            let (mut sum, mut first) = (0, 0);
            for line in heard {
                sum += line.bytes;
                while line.at_ms - heard[first].at_ms >= length_ms {
                    sum -= heard[first].bytes;
                    first += 1;
                }
                most = most.max(sum);
            }
        }
        most
    }

    /// Each line has the counts that were reported in the time which it covers, no more and no less; and no two lines
    /// of one key on one connection cover the same time.
    pub fn assert_counts_exact(&self, zones_of: impl Fn(usize) -> BTreeSet<usize>) {
        for controller in &self.controllers {
            let mut covered: BTreeMap<(u64, String), f64> = BTreeMap::new();
            for (heard, told) in self.reports(&controller.name) {
                let (begins, key) = (heard.at_ms - told.window, told.key());
                let context = format!("{} {key} at {}: {told:?}", controller.name, heard.at_ms);
                let zones = zones_of(heard.aggregator);
                let said = self.said_within(&key, begins - CLOSE_MS, heard.at_ms);
                let said = said.iter().filter(|said| zones.contains(&said.zone));
                let (mut n, mut bad, mut busy) = (0.0, 0.0, 0.0);
                for one in said {
                    (n, bad, busy) = (n + one.n, bad + one.bad, busy + (one.n - one.bad) * one.avg);
                }
                assert_eq!((told.n, told.bad), (n, bad), "counts of {context}");
                let told_busy = (told.n - told.bad) * told.avg;
                let close = (told_busy - busy).abs() <= 1e-3 * busy.max(1.0);
                assert!(close || told.host.is_none(), "{told_busy} and {busy} ms of {context}");
                let before = covered.insert((heard.connection, key), heard.at_ms);
                assert!(before.is_none_or(|before| begins >= before - CLOSE_MS), "twice in {context}");
            }
        }
    }

    /// What was reported of a key in a time.
    fn said_within(&self, key: &str, from_ms: f64, to_ms: f64) -> &[Said] {
        let said = self.said.get(key).map_or(&[][..], Vec::as_slice);
        let first = said.partition_point(|said| said.at_ms < from_ms);
        let last = said.partition_point(|said| said.at_ms <= to_ms);
        &said[first..last.max(first)]
    }

    /// Lines that name no missing zone and yet lack something that any zone reported in the time which they cover:
    /// the latest of them, if any.
    pub fn last_silent_lack_ms(&self) -> Option<f64> {
        let mut last = None;
        for controller in &self.controllers {
            for (heard, told) in self.reports(&controller.name).filter(|(_, told)| told.missing == 0) {
                let begins = heard.at_ms - told.window;
                let said = self.said_within(&told.key(), begins + CLOSE_MS, heard.at_ms);
                let said: f64 = said.iter().map(|said| said.n).sum();
                if told.n < said {
                    last = Some(last.unwrap_or(0.0_f64).max(heard.at_ms));
                }
            }
        }
        last
    }

    pub fn all_zones(&self) -> BTreeSet<usize> {
        (0..self.zones).collect()
    }
}
