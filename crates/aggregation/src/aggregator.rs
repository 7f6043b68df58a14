//! The reducer: all state of an aggregator, one event at a time, without I/O or clock.

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

/// An aggregator's state.
#[derive(Debug)]
pub struct Aggregator {
    configuration: Configuration,
    planner: Planner,
    /// The zone that its lines name.
    zone: Option<String>,
    sums: Sums,
    coverage: Coverage,
    peers: Peers,
    registry: Registry,
    feeds: BTreeMap<String, Feed>,
    counters: Counters,
    /// When it was called last.
    last_call: Moment,
    /// Reports are passed on from then on.
    hold_until: Option<Moment>,
    next_heartbeat: Moment,
    next_sweep: Moment,
    /// The registry or the members changed since subsets were computed.
    subsets_due: bool,
    next_subsets: Moment,
    /// When discovery is to be asked.
    watch_registry_at: Option<Moment>,
    /// Names of the aggregators that share the controllers, as of the last assignment.
    sharing_aggregators: Vec<String>,
    was_registry_fresh: bool,
    /// Since when a peer has a later version of the list.
    behind_since: Option<Moment>,
    /// When discovery is asked anew although its watch goes on.
    renew_at: Moment,
}

impl Aggregator {
    /// One that has just started. `zone` is what its lines name as their zone: one of the settings' zones, as
    /// controllers read no other; without one it is the first by name of those heard when the first line goes.
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
            hold_until: None,
            next_heartbeat: now,
            next_sweep: now + limits::CLASS_IDLE,
            subsets_due: false,
            next_subsets: now,
            watch_registry_at: Some(now),
            sharing_aggregators: Vec::new(),
            was_registry_fresh: true,
            behind_since: None,
            renew_at: now + limits::REGISTRY_RENEWED,
        };
        aggregator.apply_members(now);
        aggregator
    }

    /// Takes an event and says what is to be done.
    pub fn apply(&mut self, now: Moment, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        if now - self.last_call > limits::STALL {
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
                effects.extend(self.coverage.end(connection).map(Effect::Log));
            }
            Event::RegistryListed(list) => self.apply_list(now, list, &mut effects),
            Event::RegistryAlive => self.registry.alive(now),
            Event::RegistryLost => self.watch_registry_at = Some(now + limits::RETRY),
            Event::HeartbeatReceived(heartbeat) => self.receive_heartbeat(now, heartbeat, &mut effects),
            Event::ControllerConnected(controller) => {
                self.controller_connected(now, controller, &mut effects);
            }
            Event::ControllerAnswered(controller) => {
                self.feeds.get_mut(controller).into_iter().for_each(|feed| feed.answered = now);
            }
            Event::ControllerLost(controller) => self.controller_lost(now, controller, &mut effects),
            Event::Tick => self.tick(now, &mut effects),
        }
        effects
    }

    /// What was counted.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Current values.
    pub fn status(&self) -> Status {
        let connected = self.feeds.values().filter(|feed| feed.link == Link::Connected).count();
        Status {
            ready: self.is_ready(self.last_call),
            controllers_owned: self.feeds.values().filter(|feed| feed.owned).count(),
            controllers_connected: connected,
            peers_alive: self.peers.alive(),
            zones: self.coverage.len(),
            zones_missing: self.coverage.missing(),
            replicas: self.registry.len(),
            series: self.sums.len(),
            registry_version: self.registry.version(),
        }
    }

    /// Whether another aggregator of this name is in the configuration.
    pub fn has_peer(&self, name: &str) -> bool {
        name != self.configuration.own && self.configuration.aggregators.contains(name)
    }

    /// The controllers that are its to serve.
    pub fn owned(&self) -> impl Iterator<Item = &str> {
        self.feeds.iter().filter(|(_, feed)| feed.owned).map(|(name, _)| name.as_str())
    }

    /// Whoever did not run for a while holds partial sums: it starts anew, and controllers go to others meanwhile.
    fn restart_after_stall(&mut self, now: Moment, effects: &mut Vec<Effect>) {
        self.counters.stalls += 1;
        let paused_ms = (now - self.last_call).as_ns() / Span::ms(1).as_ns();
        effects.push(Effect::Log(LogEvent::Stalled(paused_ms)));
        self.sums.clear(now);
        self.coverage.restart(now);
        self.peers.restart();
        self.hold_until = Some(now + limits::START_HOLD);
        self.next_heartbeat = now;
        self.reassign_controllers(now, effects);
    }

    fn apply_configuration(&mut self, now: Moment, configuration: Configuration, effects: &mut Vec<Effect>) {
        self.planner = Planner::new(configuration.membership.clone(), configuration.parameters);
        self.configuration = configuration;
        let members: BTreeMap<_, _> =
            self.configuration.controllers.iter().map(|one| (&one.name, one)).collect();
        self.feeds.retain(|name, feed| {
            let stays = members.get(name).is_some_and(|member| member.address == feed.address);
            if !stays && feed.link != Link::Idle {
                effects.push(Effect::Disconnect { controller: name.clone() });
            }
            stays
        });
        self.apply_members(now);
    }

    /// Feeds, peers and slices as the configuration names them.
    fn apply_members(&mut self, now: Moment) {
        let configuration = &self.configuration;
        self.peers.configure(&configuration.own, &configuration.aggregators);
        let mut slices = BTreeSet::new();
        for member in &configuration.controllers {
            let feed = self.feeds.entry(member.name.clone()).or_insert_with(|| Feed::of(member));
            feed.slices = member.slices.clone();
            slices.extend(member.slices.iter().flat_map(|(first, last)| *first..=*last));
        }
        self.sums.keep_slices(now, &slices);
        self.subsets_due = true;
        // Who serves a new controller is decided with the next tick.
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
            effects.push(Effect::Log(LogEvent::BoundReached("zones")));
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
        match self.coverage.heard(now, connection) {
            Ok(note) => {
                effects.extend(note.map(Effect::Log));
                self.hold_until.get_or_insert(now + limits::START_HOLD);
            }
            Err(_) => {
                effects.push(Effect::RefuseCollector(connection));
                return;
            }
        }
        let taken = match report {
            Report::EndpointReport { replica, attempts, failed, mean_latency_ms, window_ms, .. } => {
                let sum = Sum::of(attempts, failed, mean_latency_ms);
                self.sums.add_load(now, replica, Span::ms(1).times(window_ms), sum)
            }
            Report::DemandReport { slice, request_class, requests, failed, window_ms, .. } => {
                let sum = Sum::of(requests, failed, 0.0);
                self.sums.add_shard(now, slice, request_class, Span::ms(1).times(window_ms), sum)
            }
        };
        match taken {
            AddOutcome::Added => self.counters.reports += 1,
            AddOutcome::Unknown => self.counters.reports_unknown += 1,
            AddOutcome::Full => self.counters.reports_dropped += 1,
        }
    }

    fn tick(&mut self, now: Moment, effects: &mut Vec<Effect>) {
        if self.watch_registry_at.is_some_and(|at| now >= at) {
            self.watch_registry_at = None;
            effects.push(Effect::FollowRegistry { since: self.registry.version() });
        }
        effects.extend(self.coverage.tick(now).into_iter().map(Effect::Log));
        effects.extend(self.peers.tick(now).into_iter().map(Effect::Log));
        self.check_registry(now, effects);
        self.compute_subsets(now);
        self.reassign_controllers(now, effects);
        if now >= self.next_heartbeat {
            self.next_heartbeat = now + limits::HEARTBEAT;
            effects.push(Effect::SendHeartbeat(self.own_heartbeat(now)));
        }
        if now >= self.next_sweep {
            self.next_sweep = now + limits::CLASS_IDLE;
            self.sums.forget_idle(now);
        }
        self.drop_silent(now, effects);
        self.connect_due(now, effects);
        self.send_due(now, effects);
    }

    fn is_ready(&self, now: Moment) -> bool {
        self.registry.is_known() && self.hold_until.is_some_and(|until| now >= until)
    }
}

/// Collectors tell what their own zone saw; a line that says which zones it lacks is another aggregator's sum, and would
/// be counted twice.
fn is_partial(report: &Report) -> bool {
    match report {
        Report::EndpointReport { missing, .. } | Report::DemandReport { missing, .. } => *missing > 0,
    }
}
