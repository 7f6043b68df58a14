//! `apply` takes one event after another, feeds the decisions with it, and asks for effects. Orders are made
//! only once all that had arrived is in, and only while no call is open: then they rest on the newest view.

use super::names::Names;
use super::outbox::Outbox;
use super::snapshot::{Snapshot, Table, PIECES};
use crate::protocol::collector::{self, Message};
use crate::protocol::discovery::List;
use crate::protocol::relay::{Answer, News, Order};
use crate::transport::{limits, CallError, ConnectionId};
use std::collections::{BTreeMap, BTreeSet};
use whinwall::interface::*;
use whinwall::logic::Governor;
use whinwall::time::{Moment, Span};
use whinwall_briefing::Briefing;

#[derive(Debug)]
pub enum Event {
    Started,
    Message {
        from: ConnectionId,
        message: Message,
    },
    News(News),
    NewsLost,
    Answer(Result<Answer, CallError>),
    List(List),
    ListLost,
    /// A time that was asked for has come.
    Due,
    /// All that had arrived is in.
    Quiet,
}

#[derive(Debug, PartialEq)]
pub enum Effect {
    Pong { to: ConnectionId },
    Call(String),
    FollowNews,
    FollowList { since: u64 },
    WakeAt(Moment),
    Note(String),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Decisions(u64),
    Call,
    News,
    List,
    Snapshot,
}

pub struct Reducer {
    governor: Governor,
    briefing: Briefing,
    names: Names,
    list_version: u64,
    proxies: BTreeSet<ProxyId>,
    /// The tables as the store has them, once it has carried out what was ordered.
    tables: BTreeMap<SliceId, Table>,
    snapshot: Option<Snapshot>,
    outbox: Outbox,
    agenda: BTreeSet<(Moment, Due)>,
    effects: Vec<Effect>,
}

impl Reducer {
    pub fn start(briefing: Briefing, seed: u64, known: &List, now: Moment) -> Self {
        let mut reducer = Reducer {
            governor: Governor::start(briefing.deployment.clone(), seed, now),
            briefing,
            names: Names::default(),
            list_version: known.version,
            proxies: BTreeSet::new(),
            tables: BTreeMap::new(),
            snapshot: None,
            outbox: Outbox::default(),
            agenda: BTreeSet::new(),
            effects: Vec::new(),
        };
        let list = reducer.listings(known);
        reducer.governor.listed(now, ListScope::Remembered, &list);
        reducer
    }

    pub fn apply(&mut self, now: Moment, event: Event) -> Vec<Effect> {
        match event {
            Event::Started => {
                self.effects.push(Effect::FollowNews);
                if self.briefing.deployment.list_pushed {
                    self.effects.push(Effect::FollowList { since: self.list_version });
                }
            }
            Event::Message { from, message } => self.message(now, from, message),
            Event::News(news) => self.news(now, news),
            Event::NewsLost => {
                self.snapshot = None;
                self.after_pause(now, Due::News);
            }
            Event::Answer(outcome) => self.answer(now, outcome),
            Event::List(list) => {
                let scope = if list.whole { ListScope::Whole } else { ListScope::Changes };
                let listings = self.listings(&list);
                self.list_version = list.version;
                self.governor.listed(now, scope, &listings);
            }
            // Where the list is asked for, the decisions say when to ask again.
            Event::ListLost if !self.briefing.deployment.list_pushed => self.governor.list_failed(now),
            Event::ListLost => self.after_pause(now, Due::List),
            Event::Due => {}
            Event::Quiet => self.quiet(now),
        }
        std::mem::take(&mut self.effects)
    }

    fn after_pause(&mut self, now: Moment, due: Due) {
        self.agenda.insert((now + Span::ns(limits::PAUSE.as_nanos() as u64), due));
    }

    fn listings(&mut self, list: &List) -> Vec<Listing> {
        let places = &self.briefing.places;
        let place = |name: &str| places.iter().position(|known| known == name).unwrap_or(PlaceId::MAX);
        let listing = |entry: &crate::protocol::discovery::Entry| Listing {
            server: self.names.number(&entry.server),
            place: place(&entry.place),
            machine: entry.machine.clone(),
            standing: entry.state.into(),
            size: entry.size,
            started: (entry.started_ms > 0).then(|| Moment::default() + Span::ms(entry.started_ms)),
        };
        list.entries.iter().map(listing).collect()
    }

    fn message(&mut self, now: Moment, from: ConnectionId, message: Message) {
        let span = |ms: f64| Span::ms(1).times(ms);
        match message {
            Message::Ping => self.effects.push(Effect::Pong { to: from }),
            Message::Met(collector::Met { place, server, tries, aborted, mean_latency_ms, covers_ms }) => {
                let places = &self.briefing.places;
                let place = places.iter().position(|known| *known == place).unwrap_or(PlaceId::MAX);
                let (covers, mean_latency) = (span(covers_ms), span(mean_latency_ms));
                if let Some(server) = self.names.known(&server) {
                    self.governor.met(now, server, Met { place, covers, tries, aborted, mean_latency });
                }
            }
            Message::Asked(collector::Asked { slice, op_type, came, aborted, covers_ms }) => {
                if let Some(op_type) = self.briefing.op_types.iter().position(|known| *known == op_type) {
                    let asked = Asked { op_type, covers: span(covers_ms), came, aborted };
                    self.governor.asked(now, slice, asked);
                }
            }
            Message::Source { .. } | Message::Unknown => {}
        }
    }

    fn news(&mut self, now: Moment, news: News) {
        let stands = matches!(news, News::Joined { .. } | News::Granted { .. } | News::Line { .. });
        if !stands && !matches!(news, News::Acked { .. }) {
            self.close_snapshot(now);
        }
        match news {
            News::Begins => self.snapshot = Some(Snapshot::new(true, now)),
            News::Alive => {}
            News::Joined { proxy, bare } => match &mut self.snapshot {
                Some(snapshot) if snapshot.whole => _ = snapshot.proxies.insert(proxy, bare),
                _ => self.joined(now, proxy, bare),
            },
            News::Left { proxy } => {
                self.proxies.remove(&proxy);
                self.governor.proxy_left(now, proxy);
            }
            News::Acked { proxy, mark } => self.governor.applied(now, proxy, mark),
            News::Granted { slice } => {
                let snapshot = self.snapshot.get_or_insert_with(|| Snapshot::new(false, now));
                snapshot.tables.insert(slice, Table::new());
            }
            News::Line { slice, server, weight } => {
                let server = self.names.number(&server);
                let given = self.snapshot.as_mut().and_then(|snapshot| snapshot.tables.get_mut(&slice));
                if let Some(table) = given {
                    table.insert(server, weight);
                }
            }
            News::Revoked { slice } => {
                self.tables.remove(&slice);
                self.governor.slice_taken(now, slice);
            }
        }
        if let Some(snapshot) = self.snapshot.as_mut().filter(|_| stands) {
            snapshot.last = now;
        }
    }

    fn joined(&mut self, now: Moment, proxy: ProxyId, bare: bool) {
        self.proxies.insert(proxy);
        self.governor.proxy_joined(now, proxy, bare);
    }

    /// Rows belong with their grant: the decisions get both at once, or they would take a table for empty.
    fn close_snapshot(&mut self, now: Moment) {
        let Some(snapshot) = self.snapshot.take() else { return };
        if snapshot.whole {
            let (proxies, slices) = (self.proxies.clone(), self.tables.keys().copied());
            let taken: Vec<_> = slices.filter(|slice| !snapshot.tables.contains_key(slice)).collect();
            for proxy in proxies.into_iter().filter(|proxy| !snapshot.proxies.contains_key(proxy)) {
                self.proxies.remove(&proxy);
                self.governor.proxy_left(now, proxy);
            }
            for slice in taken {
                self.tables.remove(&slice);
                self.governor.slice_taken(now, slice);
            }
            for (proxy, bare) in snapshot.proxies {
                self.joined(now, proxy, bare);
            }
        }
        for (slice, table) in snapshot.tables {
            // After a break in the news most tables are as we left them; what is remembered of them holds.
            if !snapshot.whole || self.tables.get(&slice) != Some(&table) {
                let lines: Vec<_> = table.iter().map(|(server, weight)| (*server, *weight)).collect();
                self.governor.slice_given(now, slice, &lines);
                self.tables.insert(slice, table);
            }
        }
    }

    fn answer(&mut self, now: Moment, outcome: Result<Answer, CallError>) {
        match outcome {
            Ok(answer) => {
                let refused = self.outbox.answered(&answer);
                if let Answer::NotNow(why) | Answer::Unusable(why) = &answer {
                    self.effects.push(Effect::Note(format!("a call was turned away: {why}")));
                } else if let Some(order) = refused {
                    self.effects
                        .push(Effect::Note(format!("an order can't be used and is skipped: {order}")));
                }
                if matches!(answer, Answer::NotNow(_)) {
                    self.outbox.hold();
                    self.after_pause(now, Due::Call);
                }
            }
            Err(why) => {
                self.effects.push(Effect::Note(format!("a call failed and is repeated: {why}")));
                self.outbox.failed();
                if matches!(why, CallError::NotSent(_)) {
                    self.outbox.hold();
                    self.after_pause(now, Due::Call);
                }
            }
        }
    }

    fn quiet(&mut self, now: Moment) {
        while let Some((at, due)) = self.agenda.first().copied().filter(|(at, _)| *at <= now) {
            self.agenda.remove(&(at, due));
            match due {
                Due::Decisions(token) => self.governor.woken(now, token),
                Due::Call => self.outbox.release(),
                Due::News => self.effects.push(Effect::FollowNews),
                Due::List => self.effects.push(Effect::FollowList { since: self.list_version }),
                Due::Snapshot => {}
            }
        }
        if let Some(last) = self.snapshot.as_ref().map(|snapshot| snapshot.last) {
            if now - last >= PIECES {
                self.close_snapshot(now);
            } else {
                self.agenda.insert((last + PIECES, Due::Snapshot));
            }
        }
        if self.outbox.is_clear() && self.snapshot.is_none() {
            self.collect(now);
        }
        self.effects.extend(self.outbox.next().map(Effect::Call));
        self.effects.extend(self.agenda.first().map(|(at, _)| Effect::WakeAt(*at)));
    }

    fn collect(&mut self, now: Moment) {
        let mut orders = Vec::new();
        for step in self.governor.collect(now) {
            let order = match step {
                Step::Line { slice, server, weight } => {
                    let table = self.tables.entry(slice).or_default();
                    if weight > 0.0 {
                        table.insert(server, weight);
                    } else {
                        table.remove(&server);
                    }
                    let named = self.names.name(server).map(str::to_string);
                    named.map(|server| Order::Line { slice, server, weight })
                }
                Step::Withdraw { server, out } => {
                    let named = self.names.name(server).map(str::to_string);
                    named.map(|server| Order::Withdraw { server, out })
                }
                Step::Level { slice, op_types, share, tries } => {
                    let named = self.briefing.op_types.iter().enumerate();
                    let meant = named.filter(|(at, _)| op_types >> at & 1 == 1);
                    let op_types = meant.map(|(_, name)| name.clone()).collect();
                    Some(Order::Level { slice, op_types, share, tries })
                }
                Step::Mark { number } => Some(Order::Mark { number, of_all: false }),
                Step::FollowList => {
                    self.effects.push(Effect::FollowList { since: self.list_version });
                    None
                }
                Step::Wake { token, after } => {
                    self.agenda.insert((now + after, Due::Decisions(token)));
                    None
                }
                Step::Note(text) => {
                    self.effects.push(Effect::Note(text));
                    None
                }
            };
            orders.extend(order);
        }
        self.outbox.put(&orders);
    }
}
