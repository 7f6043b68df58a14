//! `apply` takes one event after another, feeds the decisions with it, and asks for effects. Orders are made
//! only once all that had arrived is in, and only while no call is open: then they rest on the newest view.

mod reports;
mod subsets;

use super::events::{Effect, Event};
use super::known::{self, Known};
use super::names::Names;
use super::outbox::Outbox;
use super::overrides::{OverrideConfig, Overrides};
use super::snapshot::{Snapshot, Table};
use super::subset::Subsets;
use reports::Aggregated;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use whinwall_management_api::messages::{Reply, Request, Status};
use whinwall_overrides::{ClockReading, OverrideEffect, OverrideError, RequestId};
use whinwall_policy::api::*;
use whinwall_policy::random::Random;
use whinwall_policy::time::{Moment, Span};
use whinwall_policy::Policy;
use whinwall_protocol::collector::Message;
use whinwall_protocol::discovery::{Entry, List};
use whinwall_protocol::relay::{Command, RelayEvent, Response};
use whinwall_protocol::InvalidMessage;
use whinwall_settings::Settings;
use whinwall_transport::{limits, ConnectionId, RequestError, StreamError, Targets};

/// The part of a pause that is drawn.
const PAUSE_DRAWN: f64 = 0.5;
/// Orders remembered as unusable; beyond that they are forgotten, and cost a reading of the store each.
const MOST_SKIPPED: usize = 256;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Decisions(u64),
    Call,
    RelayEvent,
    List,
    /// The list has told no change for a while.
    Renewal,
    /// Subsets are computed for the registry as it is by then.
    Subsets,
}

/// Where all we know comes from; of each the first failure is noted, and its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Source {
    RelayEvent,
    List,
    Calls,
}

impl Source {
    fn name(self) -> &'static str {
        match self {
            Source::RelayEvent => "the relay's news",
            Source::List => "discovery's watch",
            Source::Calls => "a call on the relay",
        }
    }
}

pub struct Reducer {
    policy: Policy,
    settings: Settings,
    targets: Targets,
    names: Names,
    list_version: u64,
    /// Since when the list has been told in versions below the one that is held.
    behind_since: Option<Moment>,
    /// For pauses: controllers whose ways broke together must not come again together.
    random: Random,
    /// The connections that have joined.
    collectors: BTreeSet<ConnectionId>,
    proxies: BTreeSet<ProxyId>,
    /// The tables as the store has them, once it has carried out what was ordered.
    tables: BTreeMap<SliceId, Table>,
    snapshot: Snapshot,
    /// Slices with orders that were open, or made, since the news was last asked for: of these a snapshot may
    /// show what was before or what comes after.
    in_motion: BTreeSet<SliceId>,
    /// Slices that the news which is being told was the first to give us: a line that it adds to them later is
    /// a late piece, whatever was ordered meanwhile.
    first_given: BTreeSet<SliceId>,
    /// A call was dropped, or crossed with a slice that changed hands: no orders are made until the store was
    /// read anew, or can't be read.
    in_doubt: bool,
    outbox: Outbox,
    /// Orders that the relay could not use, since the list last changed.
    skipped: BTreeSet<String>,
    /// What has failed since it last worked, and how often.
    failures: BTreeMap<Source, u32>,
    agenda: BTreeSet<(Moment, Due)>,
    /// There where the operators' file is.
    overrides: Option<Overrides>,
    /// There where aggregators report.
    aggregated: Option<Aggregated>,
    /// There where the operators' file names a fleet.
    subsets: Option<Subsets>,
    started: Moment,
    effects: Vec<Effect>,
}

impl Reducer {
    pub fn start(settings: Settings, targets: Targets, seed: u64, known: &List, now: Moment) -> Self {
        let mut reducer = Reducer {
            policy: Policy::start(settings.deployment.clone(), seed, now),
            settings,
            targets,
            names: Names::default(),
            list_version: known.version,
            behind_since: None,
            random: Random::from_seed(!seed),
            collectors: BTreeSet::new(),
            proxies: BTreeSet::new(),
            tables: BTreeMap::new(),
            snapshot: Snapshot::default(),
            in_motion: BTreeSet::new(),
            first_given: BTreeSet::new(),
            in_doubt: false,
            outbox: Outbox::default(),
            skipped: BTreeSet::new(),
            failures: BTreeMap::new(),
            agenda: BTreeSet::new(),
            overrides: None,
            aggregated: None,
            subsets: None,
            started: now,
            effects: Vec::new(),
        };
        let list = reducer.listings(known);
        reducer.policy.replicas_listed(now, ListScope::Cached, &list);
        reducer
    }

    pub fn apply(&mut self, now: Moment, event: Event) -> Vec<Effect> {
        match event {
            Event::Started => {
                self.follow_news();
                if self.settings.deployment.list_pushed {
                    self.follow_list(now);
                }
            }
            Event::Configured(targets) => self.configured(now, targets),
            Event::SubsettingConfigured(fleet) => {
                // Wherever there is a fleet there are aggregators, and controllers are told by them alone.
                self.aggregate_reports(now, fleet.is_some());
                self.subsetting_configured(now, fleet);
            }
            Event::Message { from, message } => self.message(now, from, message),
            Event::Invalid { from, error } => match error {
                InvalidMessage::Malformed(why) => self.pass_over(from, why),
                InvalidMessage::Unreadable(why) => {
                    // What it still says counts for nothing either.
                    let joined = self.collectors.remove(&from);
                    if joined {
                        self.note(format!("a collector goes on with what can't be read: {why}"));
                    }
                    let why = (!joined).then_some("unreadable");
                    self.effects.push(Effect::Disconnect { to: from, why });
                }
            },
            Event::Reports { from, reports } if self.collectors.contains(&from) => {
                self.reports(now, from, reports);
            }
            Event::Reports { from, .. } => self.pass_over(from, "reports"),
            Event::ReportBytes(bytes) => self.report_bytes(now, bytes),
            Event::Disconnected(from) => _ = self.collectors.remove(&from),
            Event::Relay(news) => self.news(now, news),
            Event::WatchLost(why) => {
                self.snapshot = Snapshot::default();
                self.in_doubt = false;
                self.lost(Source::RelayEvent, why);
                self.after_pause(now, Due::RelayEvent);
            }
            Event::RelayReply(outcome) => self.answer(now, outcome),
            Event::UnexpectedReply => {
                self.note("the relay answers what nobody asked; the store is read anew".into());
                self.doubt();
            }
            Event::Registry(list) => self.list(now, &list),
            Event::RegistryLost(why) => {
                if matches!(why, StreamError::Unreadable(_)) {
                    self.list_version = 0;
                }
                self.lost(Source::List, why);
                self.agenda.retain(|(_, due)| *due != Due::Renewal);
                match self.settings.deployment.list_pushed {
                    true => self.after_pause(now, Due::List),
                    // Where the list is asked for, the decisions say when to ask again.
                    false => self.policy.list_request_failed(now),
                }
            }
            Event::OperatorConfigChanged(wanted, reading) => self.wanted(now, wanted, &reading),
            Event::ManagementRequest { ticket, request } => self.asked(now, ticket, request),
            Event::StoreRead { records, stamp, reading } => self.with_overrides(now, |overrides| {
                overrides.clerk.handle_store_read(now, &reading, stamp.as_deref(), &records);
            }),
            Event::StoreNotRead(why) => {
                self.with_overrides(now, |overrides| overrides.clerk.handle_store_unavailable(&why));
            }
            Event::Saved { serial, outcome } => {
                self.with_overrides(now, |overrides| {
                    overrides.clerk.handle_save_outcome(now, serial, outcome)
                });
            }
            Event::WallStepped(wall) => {
                self.with_overrides(now, |overrides| overrides.clerk.handle_wall_clock_step(now, wall));
            }
            Event::InputDrained => self.quiet(now),
        }
        std::mem::take(&mut self.effects)
    }

    /// What readers have to know; none where it is as that of so many changes.
    pub fn known(&self, than: Option<u64>) -> Option<Known> {
        let changes = self.names.changes();
        (than != Some(changes)).then(|| Known {
            zones: self.settings.zones.clone(),
            request_classes: self.settings.request_classes.clone(),
            replicas: self.names.numbers().clone(),
            changes,
        })
    }

    fn after_pause(&mut self, now: Moment, due: Due) {
        let pause = limits::span(limits::RETRY_BACKOFF).times(1.0 - PAUSE_DRAWN * self.random.draw());
        self.agenda.insert((now + pause, due));
    }

    fn follow_news(&mut self) {
        self.in_motion = self.outbox.slices();
        // A break that waits to be made up for is made up for by this: another would only cut it short.
        self.agenda.retain(|(_, due)| *due != Due::RelayEvent);
        self.effects.push(Effect::WatchRelay { relay: self.targets.relay });
    }

    fn follow_list(&mut self, now: Moment) {
        self.agenda.retain(|(_, due)| *due != Due::List);
        let (discovery, since) = (self.targets.discovery, self.list_version);
        self.effects.push(Effect::WatchRegistry { discovery, since });
        self.renew_later(now);
    }

    /// Where the list is pushed it costs nothing to ask again.
    fn renew_later(&mut self, now: Moment) {
        self.agenda.retain(|(_, due)| *due != Due::Renewal);
        if self.settings.deployment.list_pushed {
            self.agenda.insert((now + limits::span(limits::REGISTRY_RENEWAL_INTERVAL), Due::Renewal));
        }
    }

    fn renew_list(&mut self, now: Moment) {
        let (discovery, since) = (self.targets.discovery, self.list_version);
        self.effects.push(Effect::RenewRegistryWatch { discovery, since });
        self.renew_later(now);
    }

    fn list(&mut self, now: Moment, list: &List) {
        self.found(Source::List);
        self.renew_later(now);
        let mut listings = self.listings(list);
        let mut scope = if list.is_complete { ListScope::Complete } else { ListScope::Changes };
        if list.version < self.list_version {
            // An agent that is behind can tell what is new to us, and takes nothing back: no replica that leaves
            // returns without a new start, and none is gone for being absent.
            let known = |entry: &ReplicaListing| self.policy.replica_state(entry.replica);
            let returns = |entry: &ReplicaListing| {
                entry.state == ReplicaState::Ready
                    && known(entry)
                        .is_some_and(|(was, start)| was != ReplicaState::Ready && start == entry.started)
            };
            listings.retain(|entry| !returns(entry));
            scope = ListScope::Changes;
            let since = *self.behind_since.get_or_insert(now);
            if now - since >= limits::span(limits::REGISTRY_LAG_TIMEOUT) {
                // It does not catch up: its count began anew.
                (self.list_version, self.behind_since) = (0, None);
                self.follow_list(now);
            }
        } else {
            (self.list_version, self.behind_since) = (list.version, None);
        }
        self.policy.replicas_listed(now, scope, &listings);
        self.subsets_due(now, list);
        if !list.entries.is_empty() {
            self.skipped.clear();
        }
        // A replica may have come, or come back under another number.
        self.with_overrides(now, |_| {});
    }

    /// What has moved is asked for at its new address; all that is known stays, and a call that is open stays
    /// the first: what its former address does not answer is said again at the new one.
    fn configured(&mut self, now: Moment, targets: Targets) {
        let former = std::mem::replace(&mut self.targets, targets);
        if former.relay != targets.relay {
            self.snapshot = Snapshot::default();
            self.outbox.release();
            self.follow_news();
        }
        if former.discovery != targets.discovery {
            self.follow_list(now);
        }
    }

    /// One that can't be changes nothing, as with the rest of the file.
    fn wanted(&mut self, now: Moment, wanted: OverrideConfig, reading: &ClockReading) {
        self.overrides.get_or_insert_with(|| Overrides::start(now, reading, &wanted));
        let mut refused = None;
        self.with_overrides(now, |overrides| {
            let said =
                overrides.clerk.apply_configuration(now, reading.wall_time, wanted.bounds, wanted.orders);
            refused = said.err();
        });
        if let Some(why) = refused {
            self.note(format!("operators' file: {why}; the overrides stay as they were"));
        }
    }

    fn asked(&mut self, now: Moment, ticket: RequestId, request: Request) {
        let reply = match (request, &self.overrides) {
            (Request::Change(ask), Some(_)) => {
                return self
                    .with_overrides(now, |overrides| overrides.clerk.handle_request(now, ticket, ask));
            }
            (Request::Change(_), None) => Reply::Rejected(OverrideError::LimitReached { limit: 0 }),
            (Request::List, overrides) => {
                let list = |overrides: &Overrides| {
                    let listed = overrides.clerk.registry().listed();
                    listed.map(|one| overrides.shown(&self.policy, one)).collect()
                };
                Reply::Listed { overrides: overrides.as_ref().map_or_else(Vec::new, list), now }
            }
            // The program has them; here nothing is counted.
            (Request::Metrics, _) => Reply::Metrics(String::new()),
            (Request::Status, overrides) => {
                let book = overrides.as_ref().map(|overrides| overrides.clerk.registry());
                Reply::Status(Status {
                    now,
                    started_at: self.started,
                    proxies: self.proxies.len(),
                    slices: self.tables.len(),
                    replicas: self.names.len(),
                    failures: self.failures.iter().map(|(source, many)| (source.name(), *many)).collect(),
                    has_open_commands: !self.outbox.is_clear(),
                    active_overrides: book.map_or(0, |book| book.active().count()),
                    listed_overrides: book.map_or(0, |book| book.listed().count()),
                    subsetting: self.subsets.as_ref().map(Subsets::status),
                    reports: self.report_freshness(now),
                })
            }
        };
        self.effects.push(Effect::Reply { ticket, reply });
    }

    /// Whatever is done to the overrides, the decisions hear of it and what it asks for is asked for.
    fn with_overrides(&mut self, now: Moment, work: impl FnOnce(&mut Overrides)) {
        let Some(mut overrides) = self.overrides.take() else { return };
        work(&mut overrides);
        overrides.tell(now, &self.names, &mut self.policy);
        for act in overrides.clerk.take_effects() {
            self.effects.push(match act {
                OverrideEffect::Save { serial, writes, removals, timeline } => {
                    Effect::Save { serial, puts: writes, drops: removals, line: timeline }
                }
                OverrideEffect::Log(event) => Effect::Log(event.to_string()),
                OverrideEffect::Reply { request_id, reply } => {
                    let shown = |number| {
                        let one = overrides.clerk.registry().get_by_number(number)?;
                        Some(overrides.shown(&self.policy, one))
                    };
                    Effect::Reply { ticket: request_id, reply: Reply::from_change(reply, now, shown) }
                }
            });
        }
        self.overrides = Some(overrides);
    }

    /// A place that the settings do not name is like no other.
    fn zone(&self, name: &str) -> ZoneId {
        self.known_zone(name).unwrap_or(ZoneId::MAX)
    }

    /// Where the settings name none, any will do.
    fn known_zone(&self, name: &str) -> Option<ZoneId> {
        known::zone(&self.settings.zones, name)
    }

    fn listings(&mut self, list: &List) -> Vec<ReplicaListing> {
        for entry in &list.entries {
            let is_named = self.settings.zones.contains(&entry.zone);
            let replica = self.names.number(&entry.replica);
            self.names.set_unnamed_zone(replica, (!is_named).then_some(entry.zone.as_str()));
        }
        let listing = |entry: &Entry| ReplicaListing {
            zone: self.zone(&entry.zone),
            replica: self.names.number(&entry.replica),
            machine: entry.machine.clone(),
            state: entry.state.into(),
            weight: entry.weight,
            started: (entry.started_ms > 0).then(|| Moment::default() + Span::ms(entry.started_ms)),
            stable_hash: known::lot(&entry.replica),
            subset: self.share(&entry.replica),
        };
        list.entries.iter().map(listing).collect()
    }

    fn message(&mut self, now: Moment, from: ConnectionId, message: Message) {
        let joined = self.collectors.contains(&from);
        match message {
            Message::Ping => self.effects.push(Effect::Pong { to: from }),
            Message::Source { zone } if self.known_zone(&zone).is_some() => {
                self.collectors.insert(from);
                self.effects.push(Effect::Admit { to: from });
            }
            Message::EndpointReport(met) if joined => self.met(now, from, &met),
            Message::DemandReport(asked) if joined => self.asked_of_slice(now, from, &asked),
            other => self.pass_over(from, format!("{other:?}")),
        }
    }

    fn news(&mut self, now: Moment, news: RelayEvent) {
        if matches!(
            news,
            RelayEvent::Heartbeat | RelayEvent::ProxyLeft { .. } | RelayEvent::SliceRevoked { .. }
        ) {
            self.end_snapshot(now);
        }
        match news {
            RelayEvent::SnapshotStarted => {
                self.found(Source::RelayEvent);
                self.snapshot = Snapshot::beginning();
                self.first_given.clear();
            }
            RelayEvent::Heartbeat => {}
            RelayEvent::ProxyJoined { proxy, has_no_table } => {
                self.snapshot.joined(proxy);
                self.proxies.insert(proxy);
                let tables = if has_no_table { ProxyTables::Empty } else { ProxyTables::Retained };
                self.policy.proxy_joined(now, proxy, tables);
            }
            RelayEvent::ProxyLeft { proxy } => self.left(now, proxy),
            RelayEvent::Acknowledged { proxy, version } => {
                self.outbox.acked(version);
                self.policy.ack_received(now, proxy, version);
            }
            RelayEvent::SliceGranted { slice } => {
                self.first_given.extend((!self.tables.contains_key(&slice)).then_some(slice));
                self.snapshot.granted(now, slice);
            }
            RelayEvent::EndpointSet { slice, replica, weight } => {
                let line = (self.names.number(&replica), weight);
                self.snapshot.line(now, slice, self.tables.get(&slice), line);
            }
            RelayEvent::SliceRevoked { slice } => self.revoked(now, slice),
        }
    }

    fn left(&mut self, now: Moment, proxy: ProxyId) {
        self.proxies.remove(&proxy);
        self.policy.proxy_left(now, proxy);
    }

    fn revoked(&mut self, now: Moment, slice: SliceId) {
        self.snapshot.revoked(slice);
        self.tables.remove(&slice);
        self.drop_reports_on(slice);
        self.outbox.changed_hands(slice);
        self.policy.slice_revoked(now, slice);
    }

    /// Lines belong with their grant: the decisions get both at once, or they would take a table for empty
    /// and fill it (against news that come in pieces, or break in the middle of a table).
    fn given(&mut self, now: Moment, tables: BTreeMap<SliceId, Table>, again: bool) {
        for (slice, table) in tables {
            // After a break in the news most tables are as we left them, or as orders on their way leave
            // them: what is remembered of their loads must not be lost over that.
            let ours = self.tables.get(&slice);
            let holds = ours.is_some_and(|ours| *ours == table || self.in_motion.contains(&slice));
            if !(again && holds) {
                let lines: Vec<_> = table.iter().map(|(replica, weight)| (*replica, *weight)).collect();
                self.outbox.changed_hands(slice);
                match again && ours.is_some() {
                    true => self.policy.slice_table_reread(now, slice, &lines),
                    false => self.policy.slice_granted(now, slice, &lines),
                }
                self.tables.insert(slice, table);
                self.snapshot.differed();
            }
        }
    }

    /// All that stands has been said: what is not there any more left while nobody told us.
    fn end_snapshot(&mut self, now: Moment) {
        let (tables, again) = (self.snapshot.rest(), self.snapshot.is_whole());
        self.given(now, tables, again);
        let Some(named) = self.snapshot.ended() else { return };
        self.first_given.clear();
        self.in_doubt = false;
        self.policy.acks_lost();
        let gone: Vec<_> = self.proxies.difference(&named.proxies).copied().collect();
        gone.into_iter().for_each(|proxy| self.left(now, proxy));
        let taken = self.tables.keys().copied().filter(|slice| !named.slices.contains(slice));
        taken.collect::<Vec<_>>().into_iter().for_each(|slice| self.revoked(now, slice));
        let (proxies, slices) = (self.proxies.len(), self.tables.len());
        let (differ, replicas) = (named.differ, self.names.len());
        self.note(format!(
            "the relay's news stands: {proxies} proxies, {slices} slices, {differ} new to us, {replicas} servers known"
        ));
    }

    fn answer(&mut self, now: Moment, outcome: Result<Response, RequestError>) {
        let sent = self.outbox.sent();
        let outcome = outcome.and_then(|answer| match answer {
            Response::Accepted(many) if many > sent => {
                let why = format!("{many} orders taken of {sent}");
                Err(RequestError::OutcomeUnknown(StreamError::Unreadable(why)))
            }
            answer => Ok(answer),
        });
        let may_be_done = !matches!(outcome, Ok(Response::Retryable(_)) | Err(RequestError::NotSent(_)));
        let mut in_doubt = may_be_done && self.outbox.is_crossed();
        match outcome {
            Ok(Response::Accepted(many)) => {
                self.found(Source::Calls);
                let refused = many == 0 && sent > 0;
                if let Some(order) = self.outbox.taken(many) {
                    self.note(format!("an order can't be used and is skipped: {order}"));
                    // Its change stands with us and not in the store, unless the answers were spoilt. An order that was
                    // skipped before can't be used whatever the store holds.
                    if self.skipped.len() >= MOST_SKIPPED {
                        self.skipped.clear();
                    }
                    in_doubt |= self.skipped.insert(order);
                }
                // Should the figure be wrong, they have one message more.
                let version = self.outbox.version().filter(|_| refused);
                version.into_iter().for_each(|version| self.policy.command_resent(now, version));
            }
            Ok(Response::Rejected(why)) => {
                self.note(format!("a call is dropped, the relay can't use it: {why}"));
                // Its orders stand in our tables and nowhere else.
                in_doubt = true;
                self.outbox.dropped();
            }
            Ok(Response::Retryable(why)) => self.failed(now, why, false),
            Err(why) => self.failed(now, why, may_be_done),
        }
        if in_doubt {
            self.doubt();
        }
    }

    /// Nobody can tell what the store holds: it is read anew before orders are made.
    fn doubt(&mut self) {
        self.in_doubt = true;
        self.follow_news();
    }

    fn failed(&mut self, now: Moment, why: impl fmt::Display, may_be_done: bool) {
        self.lost(Source::Calls, why);
        if self.outbox.failed(may_be_done) {
            self.after_pause(now, Due::Call);
        }
    }

    /// What may have been carried out is said again only where the channel has room for both (rule 5).
    fn weigh_again(&mut self, now: Moment) {
        self.outbox.forget_proven();
        let Some(version) = self.outbox.unclear() else { return };
        if self.policy.may_resend(now, version) {
            self.policy.command_resent(now, version);
        } else {
            self.outbox.hold();
            self.after_pause(now, Due::Call);
        }
    }

    /// What stays out of reach fails many times a second, and is worth one line.
    fn lost(&mut self, source: Source, why: impl fmt::Display) {
        let failures = self.failures.entry(source).or_default();
        *failures += 1;
        if *failures == 1 {
            self.note(format!("{} failed: {why}", source.name()));
        }
    }

    fn found(&mut self, source: Source) {
        if let Some(failures) = self.failures.remove(&source) {
            self.note(format!("{} works again, after {failures} failures", source.name()));
        }
    }

    fn note(&mut self, text: String) {
        self.effects.push(Effect::Log(text));
    }

    fn quiet(&mut self, now: Moment) {
        while let Some((at, due)) = self.agenda.first().copied().filter(|(at, _)| *at <= now) {
            self.agenda.remove(&(at, due));
            match due {
                Due::Decisions(token) => self.policy.timer_fired(now, token),
                Due::Call => self.outbox.release(),
                Due::RelayEvent => self.follow_news(),
                Due::List => self.follow_list(now),
                Due::Renewal => self.renew_list(now),
                Due::Subsets => self.compute_subsets(now),
            }
        }
        if self.overrides.as_ref().and_then(Overrides::due).is_some_and(|at| at <= now) {
            self.with_overrides(now, |overrides| overrides.clerk.tick(now));
        }
        self.follow_reports(now);
        let (tables, again) = (self.snapshot.settled(now), self.snapshot.is_whole());
        self.given(now, tables, again);
        if self.outbox.is_clear() && self.snapshot.settles().is_none() && !self.in_doubt {
            self.collect(now);
        } else {
            let asides = self.policy.take_background_actions();
            asides.into_iter().for_each(|step| _ = self.order(now, step));
        }
        self.weigh_again(now);
        let call = self.outbox.next();
        let relay = self.targets.relay;
        self.effects.extend(call.map(|(line, needs_new_connection)| Effect::RelayRequest {
            relay,
            line,
            needs_new_connection,
        }));
        let next = self.agenda.first().map(|(at, _)| *at).into_iter();
        let next = next.chain(self.snapshot.settles());
        let next = next.chain(self.overrides.as_ref().and_then(Overrides::due));
        self.effects.extend(next.min().map(Effect::WakeAt));
    }

    fn collect(&mut self, now: Moment) {
        let actions = self.policy.collect_actions(now);
        let orders: Vec<_> = actions.into_iter().filter_map(|step| self.order(now, step)).collect();
        let moved = orders.iter().filter_map(Command::slice);
        self.in_motion.extend(moved.filter(|slice| !self.first_given.contains(slice)));
        self.outbox.put(&orders);
        // Only now: an order may be the last that a replica is named in.
        if self.names.len() > self.policy.known_replica_count() {
            let needed = |replica| self.policy.knows_replica(replica) || self.snapshot.mentions(replica);
            self.names.keep(needed);
            self.drop_reports_on_unknown();
            self.with_overrides(now, |_| {});
        }
    }

    /// The order that a step stands for; what concerns nobody but us is seen to here.
    fn order(&mut self, now: Moment, step: Action) -> Option<Command> {
        Some(match step {
            Action::SetEndpoint { slice, replica, weight } => {
                let name = self.names.name(replica)?;
                let table = self.tables.entry(slice).or_default();
                if weight > 0.0 {
                    // Where one owner writes, a new line takes the place of the former.
                    if self.settings.deployment.single_writer {
                        table.clear();
                    }
                    table.insert(replica, weight);
                } else {
                    table.remove(&replica);
                }
                Command::SetEndpoint { slice, replica: name, weight }
            }
            Action::Withdraw { replica } => {
                Command::Withdraw { replica: self.names.name(replica)?, out: true }
            }
            Action::Reinstate { replica } => {
                Command::Withdraw { replica: self.names.name(replica)?, out: false }
            }
            Action::SetAdmission { slice, request_classes, share, retries } => {
                let named = self.settings.request_classes.iter().enumerate();
                let meant = named.filter(|(at, _)| request_classes >> at & 1 == 1);
                let request_classes = meant.map(|(_, name)| name.clone()).collect();
                Command::SetAdmission { slice, request_classes, share, retries }
            }
            Action::Sync { number } => Command::Sync { number },
            Action::RequestReplicaList => {
                self.follow_list(now);
                return None;
            }
            Action::StartTimer { token, after } => {
                self.agenda.insert((now + after, Due::Decisions(token)));
                return None;
            }
            Action::ReplicaEjected { replica, cause } => {
                let name = self.names.name(replica)?;
                self.note(format!("server {name} is taken for sick: {cause}"));
                return None;
            }
        })
    }
}
