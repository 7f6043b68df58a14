//! An in-process controller: the real reducer behind stand-ins that answer at once, with a clock of its own that can be
//! moved forward. It has no sockets; silence and refusals are told to it as the transport would tell them.

use super::catalog::Catalog;
use super::cost;
use super::plan::{ControllerId, Plan, REQUEST_CLASS};
use super::store::Store;
use super::tracker::{Condition, Site, Tracker, Traffic};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use whinwall_policy::api::Report;
use whinwall_policy::time::{Moment, Span};
use whinwall_protocol::collector::{Message, Report as ReportLine};
use whinwall_protocol::discovery::List;
use whinwall_protocol::relay::{decode_event, Response};
use whinwall_routing::report_names::ReportNames;
use whinwall_routing::{Effect, Event, Reducer};
use whinwall_settings::Settings;
use whinwall_transport::{limits, ConnectionId, RequestError, StreamError, Targets};

/// The one connection that its reports come on.
const COLLECTOR: ConnectionId = 1;
/// A step of a controller whose clock is moved forward.
const CUT_STEP: Duration = Duration::from_secs(60);
/// A controller that no event waits for does what it has planned in turns no closer than this: each of its plans costs a
/// look at all replicas, and hundreds of controllers share a few threads here.
const REST_TURN: Duration = Duration::from_secs(10);
/// It wakes so often at least, as the program's loop does.
const LONGEST_SLEEP: Duration = Duration::from_secs(1);
/// Of a controller's seed, the part that all have in common.
const SEED: u64 = 0x9e37_79b9_7f4a_7c15;

/// What the in-process controllers of a run share.
pub struct Surroundings {
    /// Sizes of the run.
    pub plan: Arc<Plan>,
    /// The list.
    pub catalog: Arc<Catalog>,
    /// Who is told what was reached.
    pub tracker: Arc<Tracker>,
    /// When the run began, and what the wall's clock said then.
    pub began: (Instant, Moment),
}

impl Surroundings {
    /// The run begins now.
    pub fn new(plan: Arc<Plan>, catalog: Arc<Catalog>, tracker: Arc<Tracker>) -> Self {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Surroundings {
            plan,
            catalog,
            tracker,
            began: (Instant::now(), Moment::at_ns(wall.as_nanos() as u64)),
        }
    }
}

/// An answer that is still out, and when the transport gives up waiting for it.
struct Waiting {
    gives_up: Moment,
    event: Event,
}

/// How its region is doing.
#[derive(Clone, Copy, PartialEq)]
enum Reach {
    Connected,
    /// Cut off, for so long yet by its own clock.
    Cut {
        left: Duration,
    },
}

/// One in-process controller.
pub struct Hollow {
    controller: ControllerId,
    around: Arc<Surroundings>,
    settings: Settings,
    reducer: Reducer,
    starts: u64,
    site: Site,
    store: Store,
    known: ReportNames,
    /// The version of the list that it was told.
    told: u64,
    /// How far its clock is ahead of the others'.
    ahead: Span,
    reach: Reach,
    news: Option<Waiting>,
    list: Option<Waiting>,
    call: Option<Waiting>,
    wakes: Moment,
    last_turn: Moment,
    /// An event has come to it and may not have come to its end: its plans are not put off.
    in_event: bool,
    /// Processor time that its turns have taken since the event came to it.
    event_processor: Duration,
    reports: Moment,
    /// Nanoseconds of processor time that the turns of all controllers have taken.
    processor: Arc<AtomicU64>,
}

/// Stands for the relay and discovery of a site; nobody listens there.
fn targets(site: Site) -> Targets {
    let port = |port| SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port);
    match site {
        Site::First => Targets { relay: port(1), discovery: port(2) },
        Site::Second => Targets { relay: port(3), discovery: port(4) },
    }
}

fn span(time: Duration) -> Span {
    Span::ns(time.as_nanos() as u64)
}

impl Hollow {
    /// A controller that has just started.
    pub fn start(
        controller: ControllerId,
        around: Arc<Surroundings>,
        processor: Arc<AtomicU64>,
    ) -> Result<Self, String> {
        let settings = whinwall_settings::read(&around.plan.configuration(controller)["settings"])
            .map_err(|error| error.to_string())?;
        let now = around.began.1 + span(around.began.0.elapsed());
        let site = Site::First;
        let reducer =
            Reducer::start(settings.clone(), targets(site), SEED ^ controller as u64, &List::default(), now);
        let share =
            around.plan.hollow_report_period.mul_f64(controller as f64 / around.plan.controllers() as f64);
        let mut hollow = Hollow {
            controller,
            settings,
            reducer,
            starts: 1,
            site,
            store: Store::new(&around.plan, controller),
            around,
            known: ReportNames::default(),
            told: 0,
            ahead: Span::default(),
            reach: Reach::Connected,
            news: None,
            list: None,
            call: None,
            wakes: now,
            last_turn: now,
            in_event: true,
            event_processor: Duration::ZERO,
            reports: now + span(share),
            processor,
        };
        hollow.begin(now);
        Ok(hollow)
    }

    /// Its number.
    pub fn controller(&self) -> ControllerId {
        self.controller
    }

    /// Starts again from nothing, as a restarted process does; the store keeps its tables.
    pub fn restart(&mut self) {
        let now = self.now();
        self.starts += 1;
        let seed = (SEED ^ self.controller as u64).wrapping_mul(self.starts);
        let (settings, targets) = (self.settings.clone(), targets(self.site));
        self.reducer = Reducer::start(settings, targets, seed, &List::default(), now);
        (self.told, self.known) = (0, ReportNames::default());
        (self.news, self.list, self.call) = (None, None, None);
        self.begin(now);
    }

    fn begin(&mut self, now: Moment) {
        self.enter_event();
        let zone = self.around.plan.zone(0);
        let joins = Event::Message { from: COLLECTOR, message: Message::Source { zone } };
        let ping = Event::Message { from: COLLECTOR, message: Message::Ping };
        self.turn(now, vec![Event::Started, joins, ping]);
    }

    fn now(&self) -> Moment {
        let (began, wall) = self.around.began;
        wall + span(began.elapsed()) + self.ahead
    }

    fn enter_event(&mut self) {
        (self.in_event, self.event_processor) = (true, Duration::ZERO);
    }

    fn reached(&self, condition: Condition) {
        if self.around.tracker.reached(self.controller, condition) {
            self.around.tracker.spent(self.controller, self.event_processor);
        }
    }

    /// Its configuration names another site.
    pub fn configure(&mut self, site: Site) {
        self.site = site;
        self.enter_event();
        self.turn(self.now(), vec![Event::Configured(targets(site))]);
    }

    /// Its region is cut off for so long by its own clock.
    pub fn cut(&mut self) {
        let now = self.now();
        self.reach = Reach::Cut { left: self.around.plan.virtual_cut };
        self.enter_event();
        let (news, list) =
            (Event::WatchLost(StreamError::TimedOut), Event::RegistryLost(StreamError::TimedOut));
        self.news = Some(Waiting { gives_up: now + span(limits::RELAY_WATCH_IDLE_TIMEOUT), event: news });
        self.list = Some(Waiting { gives_up: now + span(limits::REGISTRY_WATCH_IDLE_TIMEOUT), event: list });
    }

    /// Its region is back: what it waits for is reset, and it asks anew.
    pub fn reconnect(&mut self) {
        self.reach = Reach::Connected;
        self.enter_event();
        let reset = || StreamError::Lost("reset".into());
        let mut events = Vec::new();
        events.extend(self.news.take().map(|_| Event::WatchLost(reset())));
        events.extend(self.list.take().map(|_| Event::RegistryLost(reset())));
        events.extend(self.call.take().map(|_| Event::RelayReply(Err(RequestError::NotSent(reset())))));
        self.turn(self.now(), events);
    }

    /// Whether its region is cut off.
    pub fn is_cut(&self) -> bool {
        self.reach != Reach::Connected
    }

    /// Does what is due; true where it is to be called again at once.
    pub fn step(&mut self) -> bool {
        if let Reach::Cut { left } = self.reach {
            return self.step_through_cut(left);
        }
        let now = self.now();
        // What an event leads to is measured by itself: whoever has no part in it stands still meanwhile.
        let rests = !self.in_event && self.around.tracker.in_event();
        let mut events = Vec::new();
        let is_new = self.told < self.around.catalog.version() && self.told > 0;
        if is_new {
            let told = self.list_told(self.told);
            events.push(told);
            self.enter_event();
        }
        if self.reports <= now && !rests {
            self.reports = now + span(self.around.plan.hollow_report_period);
            events.push(self.load(now));
        }
        self.in_event = self.in_event && self.around.tracker.waits_for(self.controller);
        if !events.is_empty() || (self.next_turn() <= now && !rests) {
            self.turn(now, events);
            self.told_list();
        }
        false
    }

    /// One step of its clock while its region is cut off; nothing arrives but what the transport gives up.
    fn step_through_cut(&mut self, left: Duration) -> bool {
        let step = CUT_STEP.min(left);
        if step.is_zero() {
            return false;
        }
        self.ahead = self.ahead + span(step);
        self.reach = Reach::Cut { left: left - step };
        let now = self.now();
        let mut events = Vec::new();
        for slot in [&mut self.news, &mut self.list, &mut self.call] {
            if slot.as_ref().is_some_and(|waiting| waiting.gives_up <= now) {
                events.extend(slot.take().map(|waiting| waiting.event));
            }
        }
        self.turn(now, events);
        if step == left {
            self.reached(Condition::CutNoticed);
        }
        step < left
    }

    /// When its next turn is, if nothing comes before.
    fn next_turn(&self) -> Moment {
        match self.in_event {
            true => self.wakes,
            false => self.wakes.max(self.last_turn + span(REST_TURN)),
        }
    }

    /// When it next has something to do, from now on.
    pub fn due_in(&self) -> Duration {
        let next = match self.reach {
            Reach::Connected => self.next_turn().min(self.reports),
            Reach::Cut { .. } => return LONGEST_SLEEP,
        };
        Duration::from_nanos((next - self.now()).as_ns())
    }

    /// Takes what has arrived, then follows up on what that leads to until nothing more is to be done.
    fn turn(&mut self, now: Moment, events: Vec<Event>) {
        let mut events = events;
        let mut reached = Vec::new();
        (self.wakes, self.last_turn) = (now + span(LONGEST_SLEEP), now);
        loop {
            let began = cost::of_thread();
            let mut effects: Vec<_> =
                events.drain(..).flat_map(|event| self.reducer.apply(now, event)).collect();
            effects.extend(self.reducer.apply(now, Event::InputDrained));
            let took = cost::of_thread().saturating_sub(began);
            self.event_processor += took;
            self.processor.fetch_add(took.as_nanos() as u64, Ordering::Relaxed);
            reached.drain(..).for_each(|condition| self.reached(condition));
            for effect in effects {
                self.carry_out(now, effect, &mut events, &mut reached);
            }
            if events.is_empty() {
                break;
            }
        }
        reached.into_iter().for_each(|condition| self.reached(condition));
    }

    fn carry_out(
        &mut self,
        now: Moment,
        effect: Effect,
        events: &mut Vec<Event>,
        reached: &mut Vec<Condition>,
    ) {
        let after = |time: Duration| now + span(time);
        match effect {
            Effect::Pong { .. } => reached.push(Condition::Ponged),
            Effect::WakeAt(at) => self.wakes = self.wakes.min(at),
            Effect::WatchRelay { .. } if self.is_cut() => {
                let event = Event::WatchLost(StreamError::TimedOut);
                self.news = Some(Waiting { gives_up: after(limits::RELAY_WATCH_RESPONSE_TIMEOUT), event });
            }
            Effect::WatchRelay { .. } => {
                self.news = None;
                events.extend(self.news_told());
                reached.push(Condition::NewsFrom(self.site));
            }
            Effect::WatchRegistry { .. } if self.is_cut() => {
                let gives_up = after(limits::REGISTRY_REQUEST_INTERVAL * limits::MAX_CONNECT_ATTEMPTS as u32);
                self.list = Some(Waiting { gives_up, event: Event::RegistryLost(StreamError::TimedOut) });
            }
            // Beside a watch that is silent as well.
            Effect::RenewRegistryWatch { .. } if self.is_cut() => {}
            Effect::WatchRegistry { since, .. } | Effect::RenewRegistryWatch { since, .. } => {
                self.list = None;
                if !self.in_event && self.told < self.around.catalog.version() {
                    self.enter_event();
                }
                events.push(self.list_told(since));
                reached.extend([Condition::ListFrom(self.site), Condition::ListVersion(self.told)]);
            }
            Effect::RelayRequest { .. } if self.is_cut() => {
                let event = Event::RelayReply(Err(RequestError::NotSent(StreamError::TimedOut)));
                self.call = Some(Waiting { gives_up: after(limits::RELAY_RESPONSE_TIMEOUT), event });
            }
            Effect::RelayRequest { line, .. } => {
                events.extend(self.called(&line));
                let drained = self.around.tracker.drained();
                if drained.is_some_and(|replica| self.store.has_left(&replica)) {
                    reached.push(Condition::Withdrawn);
                }
            }
            _ => {}
        }
    }

    fn called(&mut self, line: &str) -> Vec<Event> {
        let Some(applied) = self.store.apply(line) else {
            return vec![Event::RelayReply(Ok(Response::Rejected("bad_request".into())))];
        };
        let mut events = vec![Event::RelayReply(Ok(Response::Accepted(applied.orders)))];
        events.extend(self.news_lines(&applied.acks));
        events
    }

    fn news_told(&self) -> Vec<Event> {
        self.news_lines(&self.store.snapshot())
    }

    fn news_lines(&self, lines: &[String]) -> Vec<Event> {
        // Each ends in CRLF on the wire.
        let bytes = lines.iter().map(|line| line.len() + 2).sum();
        self.around.tracker.sent(self.controller, Traffic::RelayEvent, bytes);
        lines.iter().filter_map(|line| decode_event(line).ok()).map(Event::Relay).collect()
    }

    fn list_told(&mut self, since: u64) -> Event {
        let told = self.around.catalog.since(since);
        self.around.tracker.sent(self.controller, Traffic::List, told.line.len());
        self.told = told.version;
        Event::Registry(told.list.clone())
    }

    fn told_list(&self) {
        self.reached(Condition::ListVersion(self.told));
    }

    /// What the collectors tell in one period, taken apart as a reader does.
    fn load(&mut self, now: Moment) -> Event {
        let plan = self.around.plan.clone();
        if let Some(known) = self.reducer.report_names(Some(self.known.version)) {
            self.known = known;
        }
        let window_ms = plan.hollow_report_period.as_secs_f64() * 1e3;
        let zones: Vec<_> = (0..plan.zones).map(|zone| plan.zone(zone)).collect();
        let hosts: Vec<_> = (0..plan.replicas).map(|replica| plan.replica(replica)).collect();
        let met = hosts.iter().enumerate().map(|(index, replica)| ReportLine::EndpointReport {
            zone: &zones[plan.zone_of(index)],
            replica,
            attempts: 26.0,
            failed: 0.0,
            mean_latency_ms: 41.7,
            window_ms,
            missing: 0,
        });
        let asked = self.store.slices().map(|slice| ReportLine::DemandReport {
            slice,
            request_class: REQUEST_CLASS,
            requests: 4.0,
            failed: 0.0,
            window_ms,
            missing: 0,
        });
        let lines = met.chain(asked).filter_map(|line| self.known.resolve(&line));
        let reports = lines.map(|what| Report { at: now, line_count: 1.0, body: what }).collect();
        Event::Reports { from: COLLECTOR, reports }
    }
}
