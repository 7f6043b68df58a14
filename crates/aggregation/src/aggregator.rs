//! The reducer: all state of an aggregator, one event at a time, without input, output or clock.

use crate::configuration::Configuration;
use crate::coverage::Coverage;
use crate::feed::{Feed, Link};
use crate::limits;
use crate::membership::{owner, Heartbeat, Peers};
use crate::messages::{ConnectionId, Effect, Event, Note};
use crate::registry::Registry;
use crate::sums::{Sum, Sums, Taken};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use whinwall_policy::time::{Moment, Span};
use whinwall_protocol::collector::Report;
use whinwall_protocol::discovery::List;
use whinwall_subsetting::{Planner, Replica};

/// What is counted since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counters {
    /// Reports summed.
    pub reports: u64,
    /// Reports of a replica that the registry lacks, or of a slice that no controller has.
    pub reports_unknown: u64,
    /// Reports for which there was no room.
    pub reports_dropped: u64,
    /// Lines to controllers.
    pub lines_sent: u64,
    /// Their bytes.
    pub bytes_sent: u64,
    /// Turns in which not all lines fitted into the budget.
    pub budget_stretches: u64,
    /// Times that it was not running and started anew.
    pub stalls: u64,
    /// Assignments computed.
    pub assignments: u64,
}

/// What is so now.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct State {
    /// It passes reports on.
    pub ready: bool,
    /// Controllers that are its to serve.
    pub controllers_owned: usize,
    /// Controllers that it is connected to.
    pub controllers_connected: usize,
    /// Other aggregators that are alive.
    pub peers_alive: usize,
    /// Zones that are known.
    pub zones: usize,
    /// Zones that are missing.
    pub zones_missing: usize,
    /// Replicas listed.
    pub replicas: usize,
    /// Series held.
    pub series: usize,
    /// The list's version.
    pub registry_version: u64,
}

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
    called: Moment,
    /// Reports are passed on from then on.
    hold_until: Option<Moment>,
    next_heartbeat: Moment,
    next_sweep: Moment,
    /// The registry or the members changed since subsets were computed.
    subsets_due: bool,
    next_subsets: Moment,
    /// When discovery is to be asked.
    follow_at: Option<Moment>,
    sharing: Vec<String>,
    was_fresh: bool,
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
            called: now,
            hold_until: None,
            next_heartbeat: now,
            next_sweep: now + limits::CLASS_IDLE,
            subsets_due: false,
            next_subsets: now,
            follow_at: Some(now),
            sharing: Vec::new(),
            was_fresh: true,
            behind_since: None,
            renew_at: now + limits::REGISTRY_RENEWED,
        };
        aggregator.apply_members(now);
        aggregator
    }

    /// Takes an event and says what is to be done.
    pub fn apply(&mut self, now: Moment, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        if now - self.called > limits::STALL {
            self.stalled(now, &mut effects);
        }
        self.called = now;
        match event {
            Event::Configured(configuration) => self.configured(now, configuration, &mut effects),
            Event::CollectorJoined { connection, zone } => {
                self.collector_joined(now, connection, zone, &mut effects);
            }
            Event::ReportBody { connection, report } => self.reported(now, connection, report, &mut effects),
            Event::ConnectionEnded(connection) => {
                effects.extend(self.coverage.end(connection).map(Effect::Log));
            }
            Event::RegistryListed(list) => self.listed(now, list, &mut effects),
            Event::RegistryAlive => self.registry.alive(now),
            Event::RegistryLost => self.follow_at = Some(now + limits::RETRY),
            Event::HeartbeatReceived(heartbeat) => self.heartbeat(now, heartbeat, &mut effects),
            Event::ControllerConnected(controller) => {
                self.controller_connected(now, controller, &mut effects)
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

    /// What is so now.
    pub fn state(&self) -> State {
        let connected = self.feeds.values().filter(|feed| feed.link == Link::Connected).count();
        State {
            ready: self.is_ready(self.called),
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
    fn stalled(&mut self, now: Moment, effects: &mut Vec<Effect>) {
        self.counters.stalls += 1;
        let paused_ms = (now - self.called).as_ns() / Span::ms(1).as_ns();
        effects.push(Effect::Log(Note::Stalled(paused_ms)));
        self.sums.clear(now);
        self.coverage.restart(now);
        self.peers.restart();
        self.hold_until = Some(now + limits::START_HOLD);
        self.next_heartbeat = now;
        self.share_out(now, effects);
    }

    fn configured(&mut self, now: Moment, configuration: Configuration, effects: &mut Vec<Effect>) {
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
        self.sharing.clear();
    }

    fn collector_joined(
        &mut self,
        now: Moment,
        connection: ConnectionId,
        zone: &str,
        effects: &mut Vec<Effect>,
    ) {
        if !self.coverage.join(now, connection, zone) {
            effects.push(Effect::Log(Note::BoundReached("zones")));
            effects.push(Effect::RefuseCollector(connection));
        }
    }

    fn reported(&mut self, now: Moment, connection: ConnectionId, report: Report, effects: &mut Vec<Effect>) {
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
            Taken::Summed => self.counters.reports += 1,
            Taken::Unknown => self.counters.reports_unknown += 1,
            Taken::NoRoom => self.counters.reports_dropped += 1,
        }
    }

    fn listed(&mut self, now: Moment, list: List, effects: &mut Vec<Effect>) {
        let applied = self.registry.apply(now, list);
        self.renew_at = now + limits::REGISTRY_RENEWED;
        if applied.is_old {
            self.follow_at = Some(now + limits::RETRY);
        }
        if applied.left_out {
            effects.push(Effect::Log(Note::BoundReached("replicas")));
        }
        self.subsets_due |= applied.changed;
    }

    fn heartbeat(&mut self, now: Moment, heartbeat: Heartbeat, effects: &mut Vec<Effect>) {
        if !self.has_peer(&heartbeat.name) {
            return;
        }
        for zone in &heartbeat.zones {
            self.coverage.expect(now, zone);
        }
        effects.extend(self.peers.heard(now, heartbeat).map(Effect::Log));
    }

    fn controller_connected(&mut self, now: Moment, controller: &str, effects: &mut Vec<Effect>) {
        let index = self.configuration.membership.index(controller).unwrap_or_default();
        let phase = limits::REPORT_PERIOD.times(index as f64 / self.configuration.membership.len() as f64);
        let Some(zone) = self.zone.clone().or_else(|| self.coverage.first().map(str::to_string)) else {
            effects.push(Effect::Disconnect { controller: controller.into() });
            return self.controller_lost(now, controller, effects);
        };
        let Some(feed) = self.feeds.get_mut(controller).filter(|feed| feed.owned) else { return };
        if feed.pause > limits::RETRY {
            let controller = controller.to_string();
            effects.push(Effect::Log(Note::ControllerReachable { controller, reachable: true }));
        }
        feed.connected(now, phase);
        let lines = crate::wire::source(&zone);
        self.zone = Some(zone);
        effects.push(Effect::Send { controller: controller.into(), lines });
    }

    fn controller_lost(&mut self, now: Moment, controller: &str, effects: &mut Vec<Effect>) {
        let Some(feed) = self.feeds.get_mut(controller).filter(|feed| feed.owned) else { return };
        if feed.pause == limits::RETRY {
            let controller = controller.to_string();
            effects.push(Effect::Log(Note::ControllerReachable { controller, reachable: false }));
        }
        feed.lost(now);
    }

    fn tick(&mut self, now: Moment, effects: &mut Vec<Effect>) {
        if self.follow_at.is_some_and(|at| now >= at) {
            self.follow_at = None;
            effects.push(Effect::FollowRegistry { since: self.registry.version() });
        }
        effects.extend(self.coverage.tick(now).into_iter().map(Effect::Log));
        effects.extend(self.peers.tick(now).into_iter().map(Effect::Log));
        self.note_registry(now, effects);
        self.compute_subsets(now);
        self.share_out(now, effects);
        if now >= self.next_heartbeat {
            self.next_heartbeat = now + limits::HEARTBEAT;
            effects.push(Effect::SendHeartbeat(self.own_heartbeat(now)));
        }
        if now >= self.next_sweep {
            self.next_sweep = now + limits::CLASS_IDLE;
            self.sums.forget_idle(now);
        }
        self.drop_silent(now, effects);
        self.dial(now, effects);
        self.serve(now, effects);
    }

    fn drop_silent(&mut self, now: Moment, effects: &mut Vec<Effect>) {
        let silent = self.feeds.iter().filter(|(_, feed)| feed.is_silent(now));
        let silent: Vec<_> = silent.map(|(name, _)| name.clone()).collect();
        for controller in silent {
            effects.push(Effect::Disconnect { controller: controller.clone() });
            self.controller_lost(now, &controller, effects);
        }
    }

    fn note_registry(&mut self, now: Moment, effects: &mut Vec<Effect>) {
        let fresh = self.registry.is_fresh(now) || !self.registry.is_known();
        if fresh != self.was_fresh {
            effects.push(Effect::Log(Note::RegistryStale(!fresh)));
        }
        self.was_fresh = fresh;
        let (own, peer) = (self.registry.version(), self.peers.latest_version());
        if own >= peer || !self.registry.is_known() {
            self.behind_since = None;
        } else if self.behind_since.is_none() {
            self.behind_since = Some(now);
            effects.push(Effect::Log(Note::RegistryBehind { own, peer }));
        }
        let is_behind = self.behind_since.is_some_and(|since| now - since >= limits::REGISTRY_BEHIND);
        if is_behind || now >= self.renew_at {
            // Its signs of life may go on while it missed a change.
            self.behind_since = self.behind_since.map(|_| now);
            (self.follow_at, self.renew_at) = (Some(now), now + limits::REGISTRY_RENEWED);
        }
    }

    fn compute_subsets(&mut self, now: Moment) {
        if !self.subsets_due || now < self.next_subsets || !self.registry.is_known() {
            return;
        }
        (self.subsets_due, self.next_subsets) = (false, now + limits::SUBSETS_EVERY);
        self.counters.assignments += 1;
        let entries: Vec<_> = self.registry.replicas().collect();
        let replicas: Vec<_> = entries
            .iter()
            .map(|entry| Replica {
                id: &entry.replica,
                zone: &entry.zone,
                group: &entry.machine,
                weight: entry.weight,
            })
            .collect();
        let assignment = self.planner.assign(&replicas);
        let names = entries.iter().map(|entry| Arc::from(entry.replica.as_str())).collect();
        self.sums.keep_replicas(now, &names);
        for feed in self.feeds.values_mut() {
            feed.subset.clear();
        }
        let membership = assignment.membership();
        for (replica, controllers) in assignment.replicas() {
            let replica: Arc<str> = replica.into();
            for name in controllers.iter().filter_map(|index| membership.name(*index as usize)) {
                if let Some(feed) = self.feeds.get_mut(name) {
                    feed.subset.push(replica.clone());
                }
            }
        }
    }

    fn is_ready(&self, now: Moment) -> bool {
        self.registry.is_known() && self.hold_until.is_some_and(|until| now >= until)
    }

    fn own_heartbeat(&self, now: Moment) -> Heartbeat {
        Heartbeat {
            name: self.configuration.own.clone(),
            ready: self.is_ready(now),
            list_age_ms: self.registry.age(now).as_ns() / Span::ms(1).as_ns(),
            version: self.registry.version(),
            zones: self.coverage.present().map(str::to_string).collect(),
        }
    }

    /// Decides which controllers are this one's to serve, where those who share them have changed.
    fn share_out(&mut self, now: Moment, effects: &mut Vec<Effect>) {
        let own = self.own_heartbeat(now);
        let sharing = self.peers.sharing(&own);
        if self.sharing == sharing && !sharing.is_empty() {
            return;
        }
        let mut owned = 0;
        for (name, feed) in &mut self.feeds {
            let is_owner = feed.address.is_some() && owner(name, &sharing) == Some(own.name.as_str());
            owned += usize::from(is_owner);
            if feed.owned && !is_owner {
                if feed.link != Link::Idle {
                    effects.push(Effect::Disconnect { controller: name.clone() });
                }
                feed.released();
            }
            feed.owned = is_owner;
        }
        let sharing: Vec<_> = sharing.into_iter().map(str::to_string).collect();
        if self.sharing != sharing {
            effects.push(Effect::Log(Note::Serving { controllers: owned, aggregators: sharing.len() }));
        }
        self.sharing = sharing;
    }

    fn dial(&mut self, now: Moment, effects: &mut Vec<Effect>) {
        for (name, feed) in self.feeds.iter_mut().filter(|(_, feed)| feed.owned) {
            let is_due = match feed.link {
                Link::Idle => true,
                Link::Waiting(until) => now >= until,
                Link::Dialing | Link::Connected => false,
            };
            if let (true, Some(address)) = (is_due, feed.address) {
                feed.link = Link::Dialing;
                effects.push(Effect::Connect { controller: name.clone(), address });
            }
        }
    }

    fn serve(&mut self, now: Moment, effects: &mut Vec<Effect>) {
        let Some(zone) = &self.zone else { return };
        for (name, feed) in self.feeds.iter_mut().filter(|(_, feed)| feed.is_due(now)) {
            let budget = self.configuration.bytes_per_period;
            let turn = feed.turn(now, zone, budget, &self.sums, &self.coverage);
            self.counters.budget_stretches += u64::from(turn.is_stretched);
            if turn.is_overdue && !feed.overdue {
                effects.push(Effect::Log(Note::BudgetTooSmall { controller: name.clone() }));
            }
            feed.overdue = turn.is_overdue;
            self.counters.lines_sent += turn.lines;
            self.counters.bytes_sent += turn.text.len() as u64;
            effects.push(Effect::Send { controller: name.clone(), lines: turn.text });
        }
    }
}

/// Collectors tell what their own zone saw; a line that says which zones it lacks is another aggregator's sum, and would
/// be counted twice.
fn is_partial(report: &Report) -> bool {
    match report {
        Report::EndpointReport { missing, .. } | Report::DemandReport { missing, .. } => *missing > 0,
    }
}
