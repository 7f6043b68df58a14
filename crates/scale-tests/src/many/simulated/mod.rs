//! A simulated controller: the real reducer behind stand-ins that answer at once, with a clock of its own that can be
//! moved forward. It has no sockets; timeouts and resets reach it as the events that the transport would send.

mod effects;
mod environment;

pub use environment::Environment;

use super::cost;
use super::plan::ControllerId;
use super::store::Store;
use super::tracker::{Condition, Site};
use environment::{site_targets, to_span};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use whinwall_policy::time::{Moment, Span};
use whinwall_protocol::collector::Message;
use whinwall_protocol::discovery::List;
use whinwall_routing::report_names::ReportNames;
use whinwall_routing::{Event, Reducer};
use whinwall_settings::{Settings, SettingsError};
use whinwall_transport::{limits, ConnectionId, RequestError, StreamError};

/// The connection that its reports come on.
const COLLECTOR: ConnectionId = 1;
/// By how much the clock of a partitioned controller is moved forward in one step.
const PARTITION_CLOCK_STEP: Duration = Duration::from_secs(60);
/// The least time between two turns of a controller that takes no part in an event: each rebalancing round looks at all
/// replicas, and hundreds of controllers share a few threads here.
const IDLE_TURN_INTERVAL: Duration = Duration::from_secs(10);
/// The longest time without a turn, as in the event loop of the program.
const LONGEST_SLEEP: Duration = Duration::from_secs(1);
/// Combined with a controller's number into its seed.
const BASE_SEED: u64 = 0x9e37_79b9_7f4a_7c15;

/// The failure that the transport would report for an unanswered request or a silent watch, and when.
struct PendingFailure {
    due_at: Moment,
    event: Event,
}

/// Whether its region can be reached.
#[derive(Clone, Copy, PartialEq)]
enum Connectivity {
    Connected,
    /// Partitioned from the network; the remaining time is by its own clock.
    Partitioned {
        remaining: Duration,
    },
}

/// One simulated controller.
pub struct SimulatedController {
    controller: ControllerId,
    environment: Arc<Environment>,
    settings: Settings,
    reducer: Reducer,
    incarnation: u64,
    site: Site,
    store: Store,
    report_names: ReportNames,
    /// The version of the list that it received.
    list_version: u64,
    /// How far its clock is ahead of the others'.
    clock_advance: Span,
    connectivity: Connectivity,
    relay_watch_failure: Option<PendingFailure>,
    registry_watch_failure: Option<PendingFailure>,
    relay_request_failure: Option<PendingFailure>,
    wake_at: Moment,
    last_turn: Moment,
    /// An event has reached it and may not be complete: its turns are not delayed.
    in_event: bool,
    /// CPU time that its turns have taken since the event came to it.
    event_processor_time: Duration,
    next_report_at: Moment,
    /// Nanoseconds of CPU time that the turns of all controllers have taken.
    total_processor_time: Arc<AtomicU64>,
}

impl SimulatedController {
    /// A controller that has just started.
    pub fn start(
        controller: ControllerId,
        environment: Arc<Environment>,
        total_processor_time: Arc<AtomicU64>,
    ) -> Result<Self, SettingsError> {
        let settings =
            whinwall_settings::parse_settings(&environment.plan.configuration(controller)["settings"])?;
        let now = environment.run_start.current_time();
        let site = Site::First;
        let reducer = Reducer::start(
            settings.clone(),
            site_targets(site),
            BASE_SEED ^ controller as u64,
            &List::default(),
            now,
        );
        let first_report_delay = environment
            .plan
            .simulated_report_period
            .mul_f64(controller as f64 / environment.plan.controllers() as f64);
        let mut simulated_controller = SimulatedController {
            controller,
            settings,
            reducer,
            incarnation: 1,
            site,
            store: Store::new(&environment.plan, controller),
            environment,
            report_names: ReportNames::default(),
            list_version: 0,
            clock_advance: Span::default(),
            connectivity: Connectivity::Connected,
            relay_watch_failure: None,
            registry_watch_failure: None,
            relay_request_failure: None,
            wake_at: now,
            last_turn: now,
            in_event: true,
            event_processor_time: Duration::ZERO,
            next_report_at: now + to_span(first_report_delay),
            total_processor_time,
        };
        simulated_controller.send_startup_events(now);
        Ok(simulated_controller)
    }

    /// Its number.
    pub fn controller(&self) -> ControllerId {
        self.controller
    }

    /// Starts again from nothing, as a restarted process does; the store keeps its tables.
    pub fn restart(&mut self) {
        let now = self.now();
        self.incarnation += 1;
        let seed = (BASE_SEED ^ self.controller as u64).wrapping_mul(self.incarnation);
        let (settings, targets) = (self.settings.clone(), site_targets(self.site));
        self.reducer = Reducer::start(settings, targets, seed, &List::default(), now);
        (self.list_version, self.report_names) = (0, ReportNames::default());
        (self.relay_watch_failure, self.registry_watch_failure, self.relay_request_failure) =
            (None, None, None);
        self.send_startup_events(now);
    }

    fn send_startup_events(&mut self, now: Moment) {
        self.mark_event_started();
        let zone = self.environment.plan.zone(0);
        let source = Event::Message { from: COLLECTOR, message: Message::Source { zone } };
        let ping = Event::Message { from: COLLECTOR, message: Message::Ping };
        self.process_events(now, vec![Event::Started, source, ping]);
    }

    fn now(&self) -> Moment {
        self.environment.run_start.current_time() + self.clock_advance
    }

    fn mark_event_started(&mut self) {
        (self.in_event, self.event_processor_time) = (true, Duration::ZERO);
    }

    fn record_condition(&self, condition: Condition) {
        if self.environment.tracker.record_condition(self.controller, condition) {
            self.environment.tracker.record_processor_time(self.controller, self.event_processor_time);
        }
    }

    /// Its configuration names another site.
    pub fn configure(&mut self, site: Site) {
        self.site = site;
        self.mark_event_started();
        self.process_events(self.now(), vec![Event::TargetsConfigured(site_targets(site))]);
    }

    /// Partitions its region from the network, for the time in the plan by its own clock.
    pub fn partition(&mut self) {
        let now = self.now();
        self.connectivity =
            Connectivity::Partitioned { remaining: self.environment.plan.virtual_partition_duration };
        self.mark_event_started();
        self.relay_watch_failure = Some(PendingFailure {
            due_at: now + to_span(limits::RELAY_WATCH_IDLE_TIMEOUT),
            event: Event::RelayWatchLost(StreamError::TimedOut),
        });
        self.registry_watch_failure = Some(PendingFailure {
            due_at: now + to_span(limits::REGISTRY_WATCH_IDLE_TIMEOUT),
            event: Event::EndpointListWatchLost(StreamError::TimedOut),
        });
    }

    /// Connects its region again: pending requests and watches are reset, and it retries them.
    pub fn reconnect(&mut self) {
        self.connectivity = Connectivity::Connected;
        self.mark_event_started();
        let reset = || StreamError::Lost("reset".into());
        let mut events = Vec::new();
        events.extend(self.relay_watch_failure.take().map(|_| Event::RelayWatchLost(reset())));
        events.extend(self.registry_watch_failure.take().map(|_| Event::EndpointListWatchLost(reset())));
        events.extend(
            self.relay_request_failure
                .take()
                .map(|_| Event::RelayResponse(Err(RequestError::NotSent(reset())))),
        );
        self.process_events(self.now(), events);
    }

    /// Whether its region is partitioned from the network.
    pub fn is_partitioned(&self) -> bool {
        self.connectivity != Connectivity::Connected
    }

    /// Does what is due; true where it is to be called again without a pause.
    pub fn run_due_work(&mut self) -> bool {
        if let Connectivity::Partitioned { remaining } = self.connectivity {
            return self.step_through_partition(remaining);
        }
        let now = self.now();
        // The cost of an event is measured without noise: controllers that take no part in it pause meanwhile.
        let is_paused = !self.in_event && self.environment.tracker.is_event_in_progress();
        let mut events = Vec::new();
        let has_new_list = self.list_version < self.environment.catalog.version() && self.list_version > 0;
        if has_new_list {
            let list_event = self.list_event(self.list_version);
            events.push(list_event);
            self.mark_event_started();
        }
        if self.next_report_at <= now && !is_paused {
            self.next_report_at = now + to_span(self.environment.plan.simulated_report_period);
            events.push(self.load_report_event(now));
        }
        self.in_event = self.in_event && self.environment.tracker.is_waiting_for(self.controller);
        if !events.is_empty() || (self.next_turn_at() <= now && !is_paused) {
            self.process_events(now, events);
            self.record_list_version();
        }
        false
    }

    /// One step of its clock while its region is partitioned from the network; nothing arrives but
    /// the failures that the transport would report.
    fn step_through_partition(&mut self, remaining: Duration) -> bool {
        let step = PARTITION_CLOCK_STEP.min(remaining);
        if step.is_zero() {
            return false;
        }
        self.clock_advance = self.clock_advance + to_span(step);
        self.connectivity = Connectivity::Partitioned { remaining: remaining - step };
        let now = self.now();
        let mut events = Vec::new();
        for slot in
            [&mut self.relay_watch_failure, &mut self.registry_watch_failure, &mut self.relay_request_failure]
        {
            if slot.as_ref().is_some_and(|failure| failure.due_at <= now) {
                events.extend(slot.take().map(|failure| failure.event));
            }
        }
        self.process_events(now, events);
        if step == remaining {
            self.record_condition(Condition::PartitionDetected);
        }
        step < remaining
    }

    /// When its next turn is, if nothing comes before.
    fn next_turn_at(&self) -> Moment {
        match self.in_event {
            true => self.wake_at,
            false => self.wake_at.max(self.last_turn + to_span(IDLE_TURN_INTERVAL)),
        }
    }

    /// When it next has something to do, from now on.
    pub fn next_work_in(&self) -> Duration {
        let next = match self.connectivity {
            Connectivity::Connected => self.next_turn_at().min(self.next_report_at),
            Connectivity::Partitioned { .. } => return LONGEST_SLEEP,
        };
        Duration::from_nanos((next - self.now()).as_ns())
    }

    /// Applies events to the reducer and executes its effects, until no effect leads to another event.
    fn process_events(&mut self, now: Moment, events: Vec<Event>) {
        let mut events = events;
        let mut conditions = Vec::new();
        (self.wake_at, self.last_turn) = (now + to_span(LONGEST_SLEEP), now);
        loop {
            let began = cost::of_current_thread();
            let mut effects: Vec<_> =
                events.drain(..).flat_map(|event| self.reducer.apply(now, event)).collect();
            effects.extend(self.reducer.apply(now, Event::InputDrained));
            let elapsed = cost::of_current_thread().saturating_sub(began);
            self.event_processor_time += elapsed;
            self.total_processor_time.fetch_add(elapsed.as_nanos() as u64, Ordering::Relaxed);
            conditions.drain(..).for_each(|condition| self.record_condition(condition));
            for effect in effects {
                self.execute_effect(now, effect, &mut events, &mut conditions);
            }
            if events.is_empty() {
                break;
            }
        }
        conditions.into_iter().for_each(|condition| self.record_condition(condition));
    }
}
