//! A small fleet that does what a controller says, and panics as soon as one of the five rules is broken.
#![allow(dead_code)] // each file of tests compiles this one for itself and uses a part of it

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use whinwall_policy::api::*;
use whinwall_policy::deployment::{Deployment, RequestClass};
use whinwall_policy::time::{Moment, Span};
use whinwall_policy::Policy;

pub const GRACE_MS: u64 = 2500;
const BARE_MS: u64 = 5000;
const TICK_MS: u64 = 100;

pub fn site() -> Deployment {
    let request_class = |priority_weight| RequestClass { priority_weight, target_latency: Span::ms(1000) };
    Deployment {
        request_classes: vec![request_class(1.0), request_class(4.0)],
        report_period: Span::ms(1000),
        list_pushed: true,
        delisting_is_advisory: false,
        weights_known: false,
        admission_supported: true,
        controller_count: 1,
        controller_index: 0,
        slice_count: 0,
        single_writer: false,
        tenure: Span::ms(1000),
        write_lifetime: Span::ms(50),
        cold_capacity_share: 0.2,
        warm_up: Span::ms(10_000),
        collapse_multiple: 3.0,
        drain_grace: Span::ms(GRACE_MS),
        message_overhead_lines: 8.0,
        lines_per_second: 1500.0,
        queue_capacity_lines: 300.0,
        message_limit: 30,
        message_window: Span::ms(10_000),
    }
}

pub fn at(ms: u64) -> Moment {
    Moment::at_ns(ms * 1_000_000)
}

pub fn listing(replica: ReplicaId, standing: ReplicaState, started_ms: u64) -> ReplicaListing {
    let started = (started_ms > 0).then(|| at(started_ms));
    let (zone, lot) = (replica as usize % 3, u64::from(replica));
    ReplicaListing {
        replica,
        zone,
        machine: "m".into(),
        state: standing,
        weight: 1.0,
        started,
        stable_hash: lot,
        subset: SubsetMembership::Everyone,
    }
}

#[derive(Clone, PartialEq, Debug)]
pub struct Node {
    pub standing: ReplicaState,
    pub started_ms: u64,
    pub answers: bool,
    pub told_ms: u64,
}

#[derive(Clone)]
struct Message {
    proxy: ProxyId,
    lines: f64,
    versions: Vec<u16>,
    actions: Vec<Action>,
}

#[derive(Default, Clone)]
struct Proxy {
    joined: bool,
    tables: BTreeMap<SliceId, BTreeMap<ReplicaId, f64>>,
    halted: BTreeSet<SliceId>,
    shut: BTreeSet<ReplicaId>,
    bare_since: BTreeMap<SliceId, u64>,
    written_ms: VecDeque<u64>,
    inbox: VecDeque<(u64, Message)>,
}

pub struct Fleet {
    pub policy: Policy,
    pub site: Deployment,
    pub now_ms: u64,
    pub nodes: BTreeMap<ReplicaId, Node>,
    pub rates: BTreeMap<SliceId, f64>,
    /// How replicas are shared with other controllers, and what those bring a second; where not named, nobody else does.
    pub shares: BTreeMap<ReplicaId, SubsetMembership>,
    pub others: BTreeMap<ReplicaId, f64>,
    pub store: BTreeMap<SliceId, BTreeMap<ReplicaId, f64>>,
    pub lines_a_tick: f64,
    pub slow_ms: u64,
    pub log: Vec<Action>,
    proxies: BTreeMap<ProxyId, Proxy>,
    queue: VecDeque<Message>,
    wakes: BTreeMap<u64, Vec<u64>>,
    parted_ms: u64,
}

impl Fleet {
    pub fn new(site: Deployment, replicas: u32, slices: u32, proxies: u32) -> Self {
        let node = Node { standing: ReplicaState::Ready, started_ms: 0, answers: true, told_ms: 0 };
        let mut fleet = Fleet {
            policy: Policy::start(site.clone(), 7, at(1000)),
            site,
            now_ms: 1000,
            nodes: (0..replicas).map(|s| (s, node.clone())).collect(),
            rates: (0..slices).map(|n| (n, 2.0 + f64::from(n % 3))).collect(),
            shares: BTreeMap::new(),
            others: BTreeMap::new(),
            store: (0..slices).map(|n| (n, BTreeMap::from([(n % replicas, 1.0)]))).collect(),
            lines_a_tick: 150.0,
            slow_ms: 0,
            log: Vec::new(),
            proxies: (0..proxies).map(|p| (p, Proxy::default())).collect(),
            queue: VecDeque::new(),
            wakes: BTreeMap::new(),
            parted_ms: 0,
        };
        fleet.introduce(7);
        fleet
    }

    /// A new life of the controller: its last list, its slices, the proxies that are there.
    pub fn introduce(&mut self, seed: u64) {
        let now = at(self.now_ms);
        self.policy = Policy::start(self.site.clone(), seed, now);
        (self.queue, self.wakes) = (VecDeque::new(), BTreeMap::new());
        let list: Vec<_> = self.nodes.keys().map(|id| self.entry(*id)).collect();
        self.policy.replicas_listed(now, ListScope::Cached, &list);
        self.policy.replicas_listed(now, ListScope::Complete, &list);
        self.nodes.values_mut().for_each(|n| n.told_ms = self.now_ms);
        for (n, table) in &self.store {
            let table: Vec<_> = table.iter().map(|(s, w)| (*s, *w)).collect();
            self.policy.slice_granted(now, *n, &table);
        }
        for p in self.proxies.keys().copied().collect::<Vec<_>>() {
            self.join(p);
        }
        self.reply();
    }

    fn entry(&self, replica: ReplicaId) -> ReplicaListing {
        let node = &self.nodes[&replica];
        let share = self.shares.get(&replica).copied().unwrap_or_default();
        ReplicaListing { subset: share, ..listing(replica, node.standing, node.started_ms) }
    }

    pub fn join(&mut self, proxy: ProxyId) {
        let Some(p) = self.proxies.get_mut(&proxy) else { return };
        let shut = std::mem::take(&mut p.shut);
        *p = Proxy { joined: true, tables: self.store.clone(), shut, ..Proxy::default() };
        self.policy.proxy_joined(at(self.now_ms), proxy, ProxyTables::Retained);
    }

    pub fn part(&mut self, proxy: ProxyId) {
        self.proxies.entry(proxy).or_default().joined = false;
        self.queue.retain(|m| m.proxy != proxy);
        self.parted_ms = self.now_ms;
        self.policy.proxy_left(at(self.now_ms), proxy);
    }

    pub fn news(&mut self, replica: ReplicaId) {
        let node = self.nodes.get_mut(&replica).expect("a known server");
        node.told_ms = self.now_ms;
        let entry = self.entry(replica);
        self.policy.replicas_listed(at(self.now_ms), ListScope::Changes, &[entry]);
        self.reply();
    }

    /// Takes the reply, in order, and puts it on the channel.
    pub fn reply(&mut self) {
        let actions = self.policy.collect_actions(at(self.now_ms));
        let versions: Vec<u16> = actions
            .iter()
            .filter_map(|s| if let Action::Sync { number } = s { Some(*number) } else { None })
            .collect();
        let mut orders = Vec::new();
        for step in &actions {
            match step {
                Action::SetEndpoint { slice, replica, weight } => {
                    let table = self.store.get_mut(slice).expect("rule: only slices that exist");
                    if self.site.single_writer {
                        table.clear();
                    }
                    table.insert(*replica, *weight);
                    table.retain(|_, w| *w > 0.0);
                    assert!(!table.is_empty(), "rule 1: slice {slice} left bare by {step:?}");
                    orders.push(step.clone());
                }
                Action::SetAdmission { retries, .. } => {
                    assert!(*retries <= 1, "rule 2: tries without proof");
                    orders.push(step.clone());
                }
                Action::Withdraw { .. } | Action::Reinstate { .. } => orders.push(step.clone()),
                Action::StartTimer { token, after } => {
                    self.wakes.entry(self.now_ms + after.as_ns() / 1_000_000).or_default().push(*token);
                }
                _ => {}
            }
        }
        if !orders.is_empty() {
            for (id, p) in self.proxies.iter_mut().filter(|(_, p)| p.joined) {
                let lines = self.site.message_overhead_lines + orders.len() as f64 + versions.len() as f64;
                self.queue.push_back(Message {
                    proxy: *id,
                    lines,
                    versions: versions.clone(),
                    actions: orders.clone(),
                });
                p.written_ms.push_back(self.now_ms);
                p.written_ms.retain(|ms| ms + 10_000 > self.now_ms);
                assert!(p.written_ms.len() <= self.site.message_limit as usize, "rule 5: too many messages");
            }
        }
        let waiting: f64 = self.queue.iter().map(|m| m.lines).sum();
        assert!(waiting <= self.site.queue_capacity_lines, "rule 5: {waiting} lines wait");
        self.log.extend(actions);
    }

    fn deliver(&mut self) {
        let mut left = self.lines_a_tick;
        while let Some(message) = self.queue.front_mut() {
            let sent = left.min(message.lines);
            (message.lines, left) = (message.lines - sent, left - sent);
            if message.lines > 0.0 {
                return;
            }
            let message = self.queue.pop_front().expect("looked at above");
            let p = self.proxies.get_mut(&message.proxy).expect("a known proxy");
            p.inbox.push_back((self.now_ms + TICK_MS * u64::from(message.proxy), message));
        }
    }

    fn arrive(&mut self) {
        let now_ms = self.now_ms;
        let due = |p: &mut Proxy| p.joined.then(|| p.inbox.pop_front_if(|(ms, _)| *ms <= now_ms))?;
        while let Some((_, message)) = self.proxies.values_mut().find_map(due) {
            let single = self.site.single_writer;
            for step in &message.actions {
                let p = self.proxies.get_mut(&message.proxy).expect("a known proxy");
                match step {
                    Action::SetEndpoint { slice, replica, weight } => {
                        let table = p.tables.entry(*slice).or_default();
                        let new = !table.contains_key(replica);
                        if single {
                            table.clear();
                        }
                        table.insert(*replica, *weight);
                        table.retain(|_, w| *w > 0.0);
                        let held = |p: &Proxy| {
                            !p.joined || p.halted.contains(slice) || p.tables[slice].contains_key(replica)
                        };
                        assert!(
                            !single || !new || self.proxies.values().all(held),
                            "rule 2: two owners write"
                        );
                    }
                    Action::Withdraw { replica } => _ = p.shut.insert(*replica),
                    Action::Reinstate { replica } => _ = p.shut.remove(replica),
                    Action::SetAdmission { slice: Some(n), share, .. } => {
                        _ = if *share == 0.0 { p.halted.insert(*n) } else { p.halted.remove(n) };
                    }
                    _ => {}
                }
            }
            for version in &message.versions {
                self.policy.ack_received(at(self.now_ms), message.proxy, *version);
            }
            self.reply();
        }
    }

    fn report(&mut self) {
        let mut sent = self.others.clone();
        let now = at(self.now_ms);
        let covers = Span::ms(1000);
        for (n, came) in &self.rates {
            let Some(table) = self.store.get(n) else { continue };
            let whole: f64 = table.values().sum();
            let dead = table.iter().filter(|(s, _)| self.nodes.get(s).is_none_or(|n| !n.answers));
            let failed = came * dead.map(|(_, weight)| weight).sum::<f64>() / whole;
            self.policy.demand_reported(
                now,
                *n,
                DemandReport { request_class: 0, window: covers, requests: *came, failed },
            );
            for (s, weight) in table {
                *sent.entry(*s).or_default() += came * weight / whole;
            }
        }
        for (s, attempts) in sent {
            let failed = if self.nodes.get(&s).is_some_and(|n| n.answers) { 0.0 } else { attempts };
            let met = EndpointReport {
                attempts,
                failed,
                window: covers,
                mean_latency: Span::ms(200),
                ..EndpointReport::default()
            };
            self.policy.endpoint_reported(now, s, met);
        }
        self.reply();
    }

    pub fn advance(&mut self, ms: u64) {
        for _ in 0..ms / TICK_MS {
            self.now_ms += TICK_MS;
            self.deliver();
            self.arrive();
            let later = self.wakes.split_off(&(self.now_ms + 1));
            for token in std::mem::replace(&mut self.wakes, later).into_values().flatten() {
                self.policy.timer_fired(at(self.now_ms), token);
            }
            self.reply();
            if self.now_ms.is_multiple_of(1000) {
                self.report();
            }
            self.check();
        }
    }

    /// What must hold at any time (rules 1, 3 and 4; the others are checked where they could break).
    fn check(&mut self) {
        let now_ms = self.now_ms;
        let usable = |n: &&Node| n.standing == ReplicaState::Ready && n.answers;
        let warm = |n: &Node| n.started_ms == 0 || n.started_ms + 10_000 < now_ms;
        let easy = now_ms > self.slow_ms + 8000 && now_ms > self.parted_ms + GRACE_MS;
        let good = self.nodes.values().filter(usable).filter(|n| warm(n)).count();
        for p in self.proxies.values_mut() {
            let shut = &p.shut;
            let bare = |t: &BTreeMap<ReplicaId, f64>| t.keys().all(|s| shut.contains(s));
            let now_bare: Vec<_> = p.tables.iter().filter(|(_, t)| bare(t)).map(|(n, _)| *n).collect();
            p.bare_since.retain(|n, _| p.joined && good > 0 && now_bare.contains(n));
            for n in now_bare {
                let since = *p.bare_since.entry(n).or_insert(now_ms);
                assert!(
                    !easy || since + BARE_MS >= now_ms,
                    "rule 1: slice {n} bare since {since}, now {now_ms}"
                );
            }
        }
        if !easy || good * 2 < self.nodes.len() {
            return;
        }
        for (id, node) in &self.nodes {
            let late = node.told_ms + GRACE_MS < now_ms;
            for p in self.proxies.values().filter(|p| p.joined && !p.shut.contains(id)) {
                let sends = p.tables.values().any(|t| t.contains_key(id));
                let leaves = node.standing != ReplicaState::Ready;
                assert!(!(late && leaves && sends), "rule 3: {id} is {node:?} at {now_ms}");
            }
            let into = |(n, t): (&SliceId, &BTreeMap<ReplicaId, f64>)| {
                t.get(id).map_or(0.0, |weight| self.rates[n] * weight / t.values().sum::<f64>())
            };
            let load: f64 = self.store.iter().map(into).sum();
            let age = (now_ms - node.started_ms) as f64 / 10_000.0;
            // Warm, a replica of this fleet does twice its even part of the usual load.
            let capacity = 2.0 * 3.0 * self.store.len() as f64 / self.nodes.len() as f64;
            let budget = 3.0 * capacity * (0.2 + 0.8 * age).min(1.0);
            assert!(warm(node) || !late || load <= budget, "rule 4: {load} on cold {id}, budget {budget}");
        }
    }
}
