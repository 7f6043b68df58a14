//! The reducer: owns all state of an aggregator and applies one event at a time, without I/O or clock.

mod fleet;
mod serving;

use crate::configuration::Configuration;
use crate::coverage::{ConnectionId, Coverage};
use crate::feed::{Feed, Link};
use crate::limits;
use crate::log_event::LogEvent;
use crate::membership::Peers;
use crate::messages::{Effect, Event};
use crate::registry::Registry;
use crate::status::{Counters, Status};
use crate::sums::{AddOutcome, Sum, Sums};
use std::collections::{BTreeMap, BTreeSet};
use whinwall_policy::time::{Moment, Span};
use whinwall_protocol::collector::Report;
use whinwall_subsetting::Planner;

/// The state of an aggregator.
#[derive(Debug)]
pub struct Aggregator {
    configuration: Configuration,
    planner: Planner,
    /// The zone named in the lines to controllers.
    zone: Option<String>,
    sums: Sums,
    coverage: Coverage,
    peers: Peers,
    registry: Registry,
    feeds: BTreeMap<String, Feed>,
    counters: Counters,
    /// Time of the last call of [`Aggregator::apply`].
    last_call: Moment,
    /// Time from which controllers are served.
    serve_from: Option<Moment>,
    next_heartbeat: Moment,
    next_idle_removal: Moment,
    /// True if the registry or the members have changed since subsets were computed.
    subsets_due: bool,
    next_subset_computation: Moment,
    /// Time at which a new watch of discovery is due.
    registry_watch_at: Option<Moment>,
    /// Names of the aggregators that shared the controllers at the last assignment.
    sharing_aggregators: Vec<String>,
    was_registry_fresh: bool,
    /// Time since which a peer has had a later version of the endpoint list.
    behind_since: Option<Moment>,
    /// Time at which the watch of discovery is renewed even if it is alive.
    registry_renewal_at: Moment,
}

impl Aggregator {
    /// Creates an aggregator that has just started. `zone` is the zone named in its lines. It must be one of the zones
    /// in the controllers' settings, because controllers ignore other zones. Without it, the first zone by name that
    /// has reported is used when the first controller connects.
    pub fn new(now: Moment, configuration: Configuration, zone: Option<String>) -> Self {
        let planner = Planner::new(configuration.membership.clone(), configuration.parameters);
        let mut aggregator = Aggregator {
            configuration,
            planner,
            zone,
            sums: Sums::default(),
            coverage: Coverage::default(),
            peers: Peers::default(),
            registry: Registry::default(),
            feeds: BTreeMap::new(),
            counters: Counters::default(),
            last_call: now,
            serve_from: None,
            next_heartbeat: now,
            next_idle_removal: now + limits::CLASS_IDLE_TIMEOUT,
            subsets_due: false,
            next_subset_computation: now,
            registry_watch_at: Some(now),
            sharing_aggregators: Vec::new(),
            was_registry_fresh: true,
            behind_since: None,
            registry_renewal_at: now + limits::REGISTRY_RENEWAL_PERIOD,
        };
        aggregator.apply_members(now);
        aggregator
    }

    /// Applies an event and returns the effects to execute.
    pub fn apply(&mut self, now: Moment, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        if now - self.last_call > limits::STALL_THRESHOLD {
            self.restart_after_stall(now, &mut effects);
        }
        self.last_call = now;
        match event {
            Event::Configured(configuration) => self.apply_configuration(now, configuration, &mut effects),
            Event::CollectorJoined { connection, zone } => {
                self.collector_joined(now, connection, zone, &mut effects);
            }
            Event::ReportReceived { connection, report } => {
                self.add_report(now, connection, report, &mut effects);
            }
            Event::ConnectionEnded(connection) => {
                effects.extend(self.coverage.end_connection(connection).map(Effect::Log));
            }
            Event::RegistryListed(list) => self.apply_list(now, list, &mut effects),
            Event::RegistryAlive => self.registry.record_heartbeat(now),
            Event::RegistryLost => self.registry_watch_at = Some(now + limits::RETRY_DELAY),
            Event::HeartbeatReceived(heartbeat) => self.receive_heartbeat(now, heartbeat, &mut effects),
            Event::ControllerConnected(controller) => {
                self.controller_connected(now, controller, &mut effects);
            }
            Event::ControllerAnswered(controller) => {
                self.feeds.get_mut(controller).into_iter().for_each(|feed| feed.last_answer = now);
            }
            Event::ControllerLost(controller) => self.controller_lost(now, controller, &mut effects),
            Event::Tick => self.tick(now, &mut effects),
        }
        effects
    }

    /// Returns the counters since the start.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Returns the current state for metrics.
    pub fn status(&self) -> Status {
        let connected = self.feeds.values().filter(|feed| feed.link == Link::Connected).count();
        Status {
            ready: self.is_ready(self.last_call),
            controllers_owned: self.feeds.values().filter(|feed| feed.is_owned).count(),
            controllers_connected: connected,
            peers_alive: self.peers.alive_count(),
            zones: self.coverage.len(),
            zones_missing: self.coverage.missing_count(),
            replicas: self.registry.len(),
            series: self.sums.len(),
            registry_version: self.registry.version(),
        }
    }

    /// Returns true if the name is that of another configured aggregator.
    pub fn has_peer(&self, name: &str) -> bool {
        name != self.configuration.own && self.configuration.aggregators.contains(name)
    }

    /// Iterates over the controllers that this aggregator serves.
    pub fn owned_controllers(&self) -> impl Iterator<Item = &str> {
        self.feeds.iter().filter(|(_, feed)| feed.is_owned).map(|(name, _)| name.as_str())
    }

    /// Restarts after the process has not been running for a while: the sums are partial and are discarded. Until this
    /// aggregator is ready again, its controllers are served by others.
    fn restart_after_stall(&mut self, now: Moment, effects: &mut Vec<Effect>) {
        self.counters.stalls += 1;
        let paused_ms = (now - self.last_call).as_ns() / Span::ms(1).as_ns();
        effects.push(Effect::Log(LogEvent::Stalled(paused_ms)));
        self.sums.clear(now);
        self.coverage.restart(now);
        self.peers.restart();
        self.serve_from = Some(now + limits::START_HOLD_TIME);
        self.next_heartbeat = now;
        self.reassign_controllers(now, effects);
    }

    fn apply_configuration(&mut self, now: Moment, configuration: Configuration, effects: &mut Vec<Effect>) {
        self.planner = Planner::new(configuration.membership.clone(), configuration.parameters);
        self.configuration = configuration;
        let members: BTreeMap<_, _> =
            self.configuration.controllers.iter().map(|member| (&member.name, member)).collect();
        self.feeds.retain(|name, feed| {
            let is_unchanged = members.get(name).is_some_and(|member| member.address == feed.address);
            if !is_unchanged && feed.link != Link::Idle {
                effects.push(Effect::Disconnect { controller: name.clone() });
            }
            is_unchanged
        });
        self.apply_members(now);
    }

    /// Updates feeds, peers and slices to the configuration.
    fn apply_members(&mut self, now: Moment) {
        let configuration = &self.configuration;
        self.peers.configure(&configuration.own, &configuration.aggregators);
        let mut slices = BTreeSet::new();
        for member in &configuration.controllers {
            let feed = self.feeds.entry(member.name.clone()).or_insert_with(|| Feed::new(member));
            feed.slices = member.slices.clone();
            slices.extend(member.slices.iter().flat_map(|(first, last)| *first..=*last));
        }
        self.sums.retain_slices(now, &slices);
        self.subsets_due = true;
        // The next tick assigns new controllers.
        self.sharing_aggregators.clear();
    }

    fn collector_joined(
        &mut self,
        now: Moment,
        connection: ConnectionId,
        zone: &str,
        effects: &mut Vec<Effect>,
    ) {
        if !self.coverage.join(now, connection, zone) {
            effects.push(Effect::Log(LogEvent::LimitReached("zones")));
            effects.push(Effect::RefuseCollector(connection));
        }
    }

    fn add_report(
        &mut self,
        now: Moment,
        connection: ConnectionId,
        report: Report,
        effects: &mut Vec<Effect>,
    ) {
        if is_partial(&report) {
            effects.push(Effect::RefuseCollector(connection));
            return;
        }
        match self.coverage.record_report(now, connection) {
            Ok(log_event) => {
                effects.extend(log_event.map(Effect::Log));
                self.serve_from.get_or_insert(now + limits::START_HOLD_TIME);
            }
            Err(_) => {
                effects.push(Effect::RefuseCollector(connection));
                return;
            }
        }
        let outcome = match report {
            Report::EndpointReport { replica, attempts, failed, mean_latency_ms, window_ms, .. } => {
                let sum = Sum::from_report(attempts, failed, mean_latency_ms);
                self.sums.add_endpoint_report(now, replica, Span::ms(1).times(window_ms), sum)
            }
            Report::DemandReport { slice, request_class, requests, failed, window_ms, .. } => {
                let sum = Sum::from_report(requests, failed, 0.0);
                self.sums.add_demand_report(now, slice, request_class, Span::ms(1).times(window_ms), sum)
            }
        };
        match outcome {
            AddOutcome::Added => self.counters.reports += 1,
            AddOutcome::Unknown => self.counters.reports_unknown += 1,
            AddOutcome::Full => self.counters.reports_dropped += 1,
        }
    }

    fn tick(&mut self, now: Moment, effects: &mut Vec<Effect>) {
        if self.registry_watch_at.is_some_and(|at| now >= at) {
            self.registry_watch_at = None;
            effects.push(Effect::FollowRegistry { since: self.registry.version() });
        }
        effects.extend(self.coverage.tick(now).into_iter().map(Effect::Log));
        effects.extend(self.peers.tick(now).into_iter().map(Effect::Log));
        self.monitor_registry(now, effects);
        self.compute_subsets(now);
        self.reassign_controllers(now, effects);
        if now >= self.next_heartbeat {
            self.next_heartbeat = now + limits::HEARTBEAT_PERIOD;
            effects.push(Effect::SendHeartbeat(self.own_heartbeat(now)));
        }
        if now >= self.next_idle_removal {
            self.next_idle_removal = now + limits::CLASS_IDLE_TIMEOUT;
            self.sums.remove_idle_classes(now);
        }
        self.disconnect_silent_controllers(now, effects);
        self.connect_controllers(now, effects);
        self.send_batches(now, effects);
    }

    fn is_ready(&self, now: Moment) -> bool {
        self.registry.is_known() && self.serve_from.is_some_and(|from| now >= from)
    }
}

/// Returns true if the report is marked with missing zones. Only aggregators send such reports. They are not added,
/// because the collectors' reports in the sum of another aggregator would be counted twice.
fn is_partial(report: &Report) -> bool {
    match report {
        Report::EndpointReport { missing, .. } | Report::DemandReport { missing, .. } => *missing > 0,
    }
}
