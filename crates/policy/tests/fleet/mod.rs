//! A simulated small fleet that applies a controller's commands and panics as soon as one of the five rules is
//! violated:
//!
//! 1. A slice always has a usable endpoint.
//! 2. A request takes effect at most once: it is retried at most once, and under single writer no two owners of a
//!    slice are written to at the same time.
//! 3. A replica that is draining or gone receives no requests after the drain grace period.
//! 4. A cold replica is not sent more than its slow-start budget.
//! 5. Neither the queue's capacity nor the message limit is exceeded.
#![allow(dead_code)] // each test file compiles this module separately and uses a part of it

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use whinwall_policy::api::*;
use whinwall_policy::deployment::{Deployment, RequestClass};
use whinwall_policy::time::{Moment, Span};
use whinwall_policy::Policy;

pub const DRAIN_GRACE_MS: u64 = 2500;
const MAX_MS_WITHOUT_ENDPOINT: u64 = 5000;
const TICK_MS: u64 = 100;

pub fn deployment() -> Deployment {
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
        fleet_size: 0,
        slice_count: 0,
        single_writer: false,
        table_lease: Span::ms(1000),
        write_lifetime: Span::ms(50),
        cold_capacity_share: 0.2,
        warm_up: Span::ms(10_000),
        collapse_multiple: 3.0,
        drain_grace: Span::ms(DRAIN_GRACE_MS),
        message_overhead_lines: 8.0,
        lines_per_second: 1500.0,
        queue_capacity_lines: 300.0,
        message_limit: 30,
        message_window: Span::ms(10_000),
    }
}

pub fn at_ms(ms: u64) -> Moment {
    Moment::at_ns(ms * 1_000_000)
}

pub fn listing(replica: ReplicaId, state: ReplicaState, started_ms: u64) -> ReplicaListing {
    let started = (started_ms > 0).then(|| at_ms(started_ms));
    let (zone, stable_hash) = (replica as usize % 3, u64::from(replica));
    ReplicaListing {
        replica,
        zone,
        machine: "m".into(),
        state,
        weight: 1.0,
        started,
        stable_hash,
        subset: SubsetMembership::AllControllers,
    }
}

/// A simulated replica.
#[derive(Clone, PartialEq, Debug)]
pub struct Node {
    pub state: ReplicaState,
    /// The start time of the replica's process; 0 if it was running before the test.
    pub started_ms: u64,
    /// True if the replica answers requests; otherwise all requests to it fail.
    pub answers: bool,
    /// The time at which the replica's listing was last sent to the policy.
    pub listed_ms: u64,
}

/// A message in the command channel to one proxy.
#[derive(Clone)]
struct Message {
    proxy: ProxyId,
    /// The lines that have not been transmitted yet.
    remaining_lines: f64,
    versions: Vec<u16>,
    actions: Vec<Action>,
}

#[derive(Default, Clone)]
struct Proxy {
    joined: bool,
    tables: BTreeMap<SliceId, BTreeMap<ReplicaId, f64>>,
    /// The slices whose requests the proxy holds back.
    halted: BTreeSet<SliceId>,
    withdrawn: BTreeSet<ReplicaId>,
    without_endpoint_since: BTreeMap<SliceId, u64>,
    /// The times of the messages sent to the proxy within the message window.
    sent_ms: VecDeque<u64>,
    /// Transmitted messages, each with the time at which the proxy applies it.
    inbox: VecDeque<(u64, Message)>,
}

pub struct Fleet {
    pub policy: Policy,
    pub deployment: Deployment,
    pub now_ms: u64,
    pub nodes: BTreeMap<ReplicaId, Node>,
    /// The requests per second for each slice.
    pub request_rates: BTreeMap<SliceId, f64>,
    /// The controllers that steer each replica. A replica without an entry is steered by all controllers.
    pub subsets: BTreeMap<ReplicaId, SubsetMembership>,
    /// The requests per second to each replica from the slices of other controllers.
    pub others_requests: BTreeMap<ReplicaId, f64>,
    /// False while no collector reports.
    pub collectors_report: bool,
    /// The routing tables as stored by the relay.
    pub store: BTreeMap<SliceId, BTreeMap<ReplicaId, f64>>,
    /// The number of lines that the command channel transmits per tick.
    pub lines_per_tick: f64,
    /// The time at which the command channel stopped being slow; in the far future while it is slow.
    pub slow_until_ms: u64,
    /// All actions of the policy.
    pub log: Vec<Action>,
    proxies: BTreeMap<ProxyId, Proxy>,
    queue: VecDeque<Message>,
    timers: BTreeMap<u64, Vec<u64>>,
    last_left_ms: u64,
}

impl Fleet {
    pub fn new(deployment: Deployment, replicas: u32, slices: u32, proxies: u32) -> Self {
        let node = Node { state: ReplicaState::Ready, started_ms: 0, answers: true, listed_ms: 0 };
        let mut fleet = Fleet {
            policy: Policy::start(deployment.clone(), 7, at_ms(1000)),
            deployment,
            now_ms: 1000,
            nodes: (0..replicas).map(|id| (id, node.clone())).collect(),
            request_rates: (0..slices).map(|slice| (slice, 2.0 + f64::from(slice % 3))).collect(),
            subsets: BTreeMap::new(),
            others_requests: BTreeMap::new(),
            collectors_report: true,
            store: (0..slices).map(|slice| (slice, BTreeMap::from([(slice % replicas, 1.0)]))).collect(),
            lines_per_tick: 150.0,
            slow_until_ms: 0,
            log: Vec::new(),
            proxies: (0..proxies).map(|id| (id, Proxy::default())).collect(),
            queue: VecDeque::new(),
            timers: BTreeMap::new(),
            last_left_ms: 0,
        };
        fleet.start_incarnation(7);
        fleet
    }

    /// Starts a new incarnation of the controller with its cached list, its slices and the connected proxies.
    pub fn start_incarnation(&mut self, seed: u64) {
        let now = at_ms(self.now_ms);
        self.policy = Policy::start(self.deployment.clone(), seed, now);
        (self.queue, self.timers) = (VecDeque::new(), BTreeMap::new());
        let list: Vec<_> = self.nodes.keys().map(|id| self.current_listing(*id)).collect();
        self.policy.replicas_listed(now, ListScope::Cached, &list);
        self.policy.replicas_listed(now, ListScope::Complete, &list);
        self.nodes.values_mut().for_each(|node| node.listed_ms = self.now_ms);
        for (slice, table) in &self.store {
            let table: Vec<_> = table.iter().map(|(replica, weight)| (*replica, *weight)).collect();
            self.policy.slice_granted(now, *slice, &table);
        }
        for proxy in self.proxies.keys().copied().collect::<Vec<_>>() {
            self.connect(proxy);
        }
        self.collect_reply();
    }

    fn current_listing(&self, replica: ReplicaId) -> ReplicaListing {
        let node = &self.nodes[&replica];
        let subset = self.subsets.get(&replica).copied().unwrap_or_default();
        ReplicaListing { subset, ..listing(replica, node.state, node.started_ms) }
    }

    pub fn connect(&mut self, proxy: ProxyId) {
        let Some(proxy_state) = self.proxies.get_mut(&proxy) else { return };
        let withdrawn = std::mem::take(&mut proxy_state.withdrawn);
        *proxy_state = Proxy { joined: true, tables: self.store.clone(), withdrawn, ..Proxy::default() };
        self.policy.proxy_joined(at_ms(self.now_ms), proxy, ProxyTables::Retained);
    }

    pub fn disconnect(&mut self, proxy: ProxyId) {
        self.proxies.entry(proxy).or_default().joined = false;
        self.queue.retain(|message| message.proxy != proxy);
        self.last_left_ms = self.now_ms;
        self.policy.proxy_left(at_ms(self.now_ms), proxy);
    }

    pub fn list_replica(&mut self, replica: ReplicaId) {
        let node = self.nodes.get_mut(&replica).expect("replica exists");
        node.listed_ms = self.now_ms;
        let entry = self.current_listing(replica);
        self.policy.replicas_listed(at_ms(self.now_ms), ListScope::Changes, &[entry]);
        self.collect_reply();
    }

    /// Collects the reply and queues its commands on the channel, in order.
    pub fn collect_reply(&mut self) {
        let actions = self.policy.collect_actions(at_ms(self.now_ms));
        let versions: Vec<u16> = actions
            .iter()
            .filter_map(|action| if let Action::Sync { version } = action { Some(*version) } else { None })
            .collect();
        let mut commands = Vec::new();
        for action in &actions {
            match action {
                Action::SetEndpoint { slice, replica, weight } => {
                    let table = self.store.get_mut(slice).expect("command for a slice that does not exist");
                    if self.deployment.single_writer {
                        table.clear();
                    }
                    table.insert(*replica, *weight);
                    table.retain(|_, weight| *weight > 0.0);
                    assert!(
                        !table.is_empty(),
                        "rule 1: {action:?} removes the last endpoint of slice {slice}"
                    );
                    commands.push(action.clone());
                }
                Action::SetAdmission { retries, .. } => {
                    assert!(*retries <= 1, "rule 2: {retries} retries permitted, at most 1 allowed");
                    commands.push(action.clone());
                }
                Action::Withdraw { .. } | Action::Reinstate { .. } => commands.push(action.clone()),
                Action::StartTimer { token, after } => {
                    self.timers.entry(self.now_ms + after.as_ns() / 1_000_000).or_default().push(*token);
                }
                _ => {}
            }
        }
        if !commands.is_empty() {
            for (id, proxy_state) in self.proxies.iter_mut().filter(|(_, proxy_state)| proxy_state.joined) {
                let lines =
                    self.deployment.message_overhead_lines + commands.len() as f64 + versions.len() as f64;
                self.queue.push_back(Message {
                    proxy: *id,
                    remaining_lines: lines,
                    versions: versions.clone(),
                    actions: commands.clone(),
                });
                proxy_state.sent_ms.push_back(self.now_ms);
                proxy_state.sent_ms.retain(|ms| ms + 10_000 > self.now_ms);
                assert!(
                    proxy_state.sent_ms.len() <= self.deployment.message_limit as usize,
                    "rule 5: {} messages to proxy {id} within 10 s, limit {}",
                    proxy_state.sent_ms.len(),
                    self.deployment.message_limit
                );
            }
        }
        let queued: f64 = self.queue.iter().map(|message| message.remaining_lines).sum();
        assert!(
            queued <= self.deployment.queue_capacity_lines,
            "rule 5: {queued} lines queued, capacity {}",
            self.deployment.queue_capacity_lines
        );
        self.log.extend(actions);
    }

    fn transmit(&mut self) {
        let mut available_lines = self.lines_per_tick;
        while let Some(message) = self.queue.front_mut() {
            let sent = available_lines.min(message.remaining_lines);
            message.remaining_lines -= sent;
            available_lines -= sent;
            if message.remaining_lines > 0.0 {
                return;
            }
            let message = self.queue.pop_front().expect("queue is not empty");
            let proxy_state = self.proxies.get_mut(&message.proxy).expect("proxy exists");
            proxy_state.inbox.push_back((self.now_ms + TICK_MS * u64::from(message.proxy), message));
        }
    }

    fn apply_messages(&mut self) {
        let now_ms = self.now_ms;
        let due_message = |proxy_state: &mut Proxy| {
            proxy_state.joined.then(|| proxy_state.inbox.pop_front_if(|(ms, _)| *ms <= now_ms))?
        };
        while let Some((_, message)) = self.proxies.values_mut().find_map(due_message) {
            let single_writer = self.deployment.single_writer;
            for action in &message.actions {
                let proxy_state = self.proxies.get_mut(&message.proxy).expect("proxy exists");
                match action {
                    Action::SetEndpoint { slice, replica, weight } => {
                        let table = proxy_state.tables.entry(*slice).or_default();
                        let is_new = !table.contains_key(replica);
                        if single_writer {
                            table.clear();
                        }
                        table.insert(*replica, *weight);
                        table.retain(|_, weight| *weight > 0.0);
                        let is_halted_or_has_endpoint = |proxy_state: &Proxy| {
                            !proxy_state.joined
                                || proxy_state.halted.contains(slice)
                                || proxy_state.tables[slice].contains_key(replica)
                        };
                        assert!(
                            !single_writer || !is_new || self.proxies.values().all(is_halted_or_has_endpoint),
                            "rule 2: slice {slice} has two owners that are written to"
                        );
                    }
                    Action::Withdraw { replica } => _ = proxy_state.withdrawn.insert(*replica),
                    Action::Reinstate { replica } => _ = proxy_state.withdrawn.remove(replica),
                    Action::SetAdmission { slice: Some(slice), admission_rate, .. } => {
                        _ = if *admission_rate == 0.0 {
                            proxy_state.halted.insert(*slice)
                        } else {
                            proxy_state.halted.remove(slice)
                        };
                    }
                    _ => {}
                }
            }
            for version in &message.versions {
                self.policy.ack_received(at_ms(self.now_ms), message.proxy, *version);
            }
            self.collect_reply();
        }
    }

    fn send_reports(&mut self) {
        let mut sent = self.others_requests.clone();
        let now = at_ms(self.now_ms);
        let window = Span::ms(1000);
        for (slice, requests) in &self.request_rates {
            let Some(table) = self.store.get(slice) else { continue };
            let total_weight: f64 = table.values().sum();
            let failing =
                table.iter().filter(|(replica, _)| self.nodes.get(replica).is_none_or(|node| !node.answers));
            let failed = requests * failing.map(|(_, weight)| weight).sum::<f64>() / total_weight;
            self.policy.demand_reported(
                now,
                *slice,
                DemandReport { request_class: 0, window, requests: *requests, failed },
            );
            for (replica, weight) in table {
                *sent.entry(*replica).or_default() += requests * weight / total_weight;
            }
        }
        for (replica, attempts) in sent {
            let failed =
                if self.nodes.get(&replica).is_some_and(|node| node.answers) { 0.0 } else { attempts };
            let report = EndpointReport {
                attempts,
                failed,
                window,
                mean_latency: Span::ms(200),
                ..EndpointReport::default()
            };
            self.policy.endpoint_reported(now, replica, report);
        }
        self.collect_reply();
    }

    /// Runs the simulation for a time, in ticks.
    pub fn advance(&mut self, ms: u64) {
        for _ in 0..ms / TICK_MS {
            self.now_ms += TICK_MS;
            self.transmit();
            self.apply_messages();
            let later = self.timers.split_off(&(self.now_ms + 1));
            for token in std::mem::replace(&mut self.timers, later).into_values().flatten() {
                self.policy.timer_fired(at_ms(self.now_ms), token);
            }
            self.collect_reply();
            if self.now_ms.is_multiple_of(1000) && self.collectors_report {
                self.send_reports();
            }
            self.check_rules();
        }
    }

    /// Checks the rules that must hold at any time (1, 3 and 4); the others are checked where they could be
    /// violated.
    fn check_rules(&mut self) {
        let now_ms = self.now_ms;
        let is_usable = |node: &&Node| node.state == ReplicaState::Ready && node.answers;
        let is_warm = |node: &Node| node.started_ms == 0 || node.started_ms + 10_000 < now_ms;
        // While the channel is slow, or a proxy has just left, commands may arrive later than the rules require.
        let is_undisturbed =
            now_ms > self.slow_until_ms + 8000 && now_ms > self.last_left_ms + DRAIN_GRACE_MS;
        let usable_count = self.nodes.values().filter(is_usable).filter(|node| is_warm(node)).count();
        for proxy_state in self.proxies.values_mut() {
            let withdrawn = &proxy_state.withdrawn;
            let lacks_usable_endpoint =
                |table: &BTreeMap<ReplicaId, f64>| table.keys().all(|replica| withdrawn.contains(replica));
            let now_without_endpoint: Vec<_> = proxy_state
                .tables
                .iter()
                .filter(|(_, table)| lacks_usable_endpoint(table))
                .map(|(slice, _)| *slice)
                .collect();
            proxy_state.without_endpoint_since.retain(|slice, _| {
                proxy_state.joined && usable_count > 0 && now_without_endpoint.contains(slice)
            });
            for slice in now_without_endpoint {
                let since = *proxy_state.without_endpoint_since.entry(slice).or_insert(now_ms);
                assert!(
                    !is_undisturbed || since + MAX_MS_WITHOUT_ENDPOINT >= now_ms,
                    "rule 1: slice {slice} without usable endpoint since {since} ms, now {now_ms} ms"
                );
            }
        }
        if !is_undisturbed || usable_count * 2 < self.nodes.len() {
            return;
        }
        for (id, node) in &self.nodes {
            let grace_has_passed = node.listed_ms + DRAIN_GRACE_MS < now_ms;
            for proxy_state in self
                .proxies
                .values()
                .filter(|proxy_state| proxy_state.joined && !proxy_state.withdrawn.contains(id))
            {
                let receives_requests = proxy_state.tables.values().any(|table| table.contains_key(id));
                let must_be_evacuated = node.state != ReplicaState::Ready;
                assert!(
                    !(grace_has_passed && must_be_evacuated && receives_requests),
                    "rule 3: replica {id} still receives requests at {now_ms} ms: {node:?}"
                );
            }
            let load_on_replica = |(slice, table): (&SliceId, &BTreeMap<ReplicaId, f64>)| {
                table
                    .get(id)
                    .map_or(0.0, |weight| self.request_rates[slice] * weight / table.values().sum::<f64>())
            };
            let load: f64 = self.store.iter().map(load_on_replica).sum();
            let age = (now_ms - node.started_ms) as f64 / 10_000.0;
            // A warm replica of this fleet can handle twice the mean load.
            let capacity = 2.0 * 3.0 * self.store.len() as f64 / self.nodes.len() as f64;
            let budget = 3.0 * capacity * (0.2 + 0.8 * age).min(1.0);
            assert!(
                is_warm(node) || !grace_has_passed || load <= budget,
                "rule 4: load {load} on cold replica {id}, budget {budget}"
            );
        }
    }
}

/// Creates a fleet whose replicas 0, 1, ... own slices of these loads; slices are numbered consecutively.
pub fn fleet_with_loads(single_writer: bool, loads: &[&[f64]]) -> Fleet {
    deployed_fleet_with_loads(Deployment { single_writer, ..deployment() }, loads)
}

/// Like `fleet_with_loads`, for any deployment.
pub fn deployed_fleet_with_loads(deployment: Deployment, loads: &[&[f64]]) -> Fleet {
    let mut fleet = Fleet::new(deployment, loads.len() as u32, 0, 2);
    let owners = loads
        .iter()
        .enumerate()
        .flat_map(|(replica, own)| own.iter().map(move |load| (replica as u32, *load)));
    for (slice, (replica, load)) in owners.enumerate() {
        fleet.request_rates.insert(slice as u32, load);
        fleet.store.insert(slice as u32, [(replica, 1.0)].into());
    }
    fleet.start_incarnation(1);
    fleet
}

/// Returns the owners of a slice, without standbys.
pub fn owners_of(fleet: &Fleet, slice: SliceId) -> Vec<ReplicaId> {
    fleet.store[&slice].iter().filter(|(_, weight)| **weight >= 1.0).map(|(replica, _)| *replica).collect()
}
