//! A simulated controller: the real reducer with fakes that answer immediately, and with its own clock that can be
//! advanced. It has no sockets; time-outs and connection resets arrive as the events that the transport would emit.

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

/// The id of the connection that reports arrive on.
const COLLECTOR_CONNECTION: ConnectionId = 1;
/// Step by which the clock of a partitioned controller is advanced.
const PARTITION_CLOCK_STEP: Duration = Duration::from_secs(60);
/// Minimum time between two turns of the event loop of a controller that is not involved in an event. Each rebalancing
/// round processes all replicas, and hundreds of controllers share a few threads.
const IDLE_TURN_INTERVAL: Duration = Duration::from_secs(10);
/// Maximum time without a turn, the same as in the event loop of the controller program.
const MAX_SLEEP: Duration = Duration::from_secs(1);
/// Constant from which the seed of each controller is derived.
const BASE_SEED: u64 = 0x9e37_79b9_7f4a_7c15;

/// A failure that the transport would report for an unanswered request or a silent watch, with its time.
struct PendingFailure {
    due_at: Moment,
    event: Event,
}

/// The connectivity of the controller's region.
#[derive(Clone, Copy, PartialEq)]
enum Connectivity {
    Connected,
    /// The region is partitioned from the network. The remaining time is by the controller's own clock.
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
    /// The last received version of the endpoint list.
    list_version: u64,
    /// Time by which the controller's clock is ahead of the run's clock.
    clock_advance: Span,
    connectivity: Connectivity,
    relay_watch_failure: Option<PendingFailure>,
    registry_watch_failure: Option<PendingFailure>,
    relay_request_failure: Option<PendingFailure>,
    wake_at: Moment,
    last_turn: Moment,
    /// True while an event has reached the controller and may be incomplete. Its turns are not delayed then.
    in_event: bool,
    /// CPU time of the controller's turns since the event reached it.
    event_processor_time: Duration,
    next_report_at: Moment,
    /// CPU time of the turns of all controllers, in nanoseconds.
    total_processor_time: Arc<AtomicU64>,
}

impl SimulatedController {
    /// Creates a controller and processes its start-up events.
    pub fn start(
        controller: ControllerId,
        environment: Arc<Environment>,
        total_processor_time: Arc<AtomicU64>,
    ) -> Result<Self, SettingsError> {
        let settings =
            whinwall_settings::parse_settings(&environment.plan.configuration(controller)["settings"])?;
        let now = environment.run_start.current_time();
        let site = Site::First;
        let reducer = Reducer::new(
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

    /// Returns the index of the controller.
    pub fn controller(&self) -> ControllerId {
        self.controller
    }

    /// Restarts without state, as a restarted process does. The store keeps its routing tables.
    pub fn restart(&mut self) {
        let now = self.now();
        self.incarnation += 1;
        let seed = (BASE_SEED ^ self.controller as u64).wrapping_mul(self.incarnation);
        let (settings, targets) = (self.settings.clone(), site_targets(self.site));
        self.reducer = Reducer::new(settings, targets, seed, &List::default(), now);
        (self.list_version, self.report_names) = (0, ReportNames::default());
        (self.relay_watch_failure, self.registry_watch_failure, self.relay_request_failure) =
            (None, None, None);
        self.send_startup_events(now);
    }

    fn send_startup_events(&mut self, now: Moment) {
        self.mark_event_started();
        let zone = self.environment.plan.zone(0);
        let source = Event::Message { from: COLLECTOR_CONNECTION, message: Message::Source { zone } };
        let ping = Event::Message { from: COLLECTOR_CONNECTION, message: Message::Ping };
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

    /// Configures another site.
    pub fn configure(&mut self, site: Site) {
        self.site = site;
        self.mark_event_started();
        self.process_events(self.now(), vec![Event::TargetsConfigured(site_targets(site))]);
    }

    /// Partitions the controller's region from the network for the duration in the plan, by the controller's own clock.
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

    /// Reconnects the region. Pending requests and watches are reset, and the controller retries them.
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

    /// Returns true while the region is partitioned from the network.
    pub fn is_partitioned(&self) -> bool {
        self.connectivity != Connectivity::Connected
    }

    /// Performs all due work; returns true if it must be called again without a pause.
    pub fn run_due_work(&mut self) -> bool {
        if let Connectivity::Partitioned { remaining } = self.connectivity {
            return self.step_through_partition(remaining);
        }
        let now = self.now();
        // Controllers that are not involved in an event pause during it, so that they do not distort its measured cost.
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

    /// Advances the clock by one step while the region is partitioned from the network. Only the failures that the
    /// transport would report arrive. Returns true if time of the partition remains.
    fn step_through_partition(&mut self, remaining: Duration) -> bool {
        let step = PARTITION_CLOCK_STEP.min(remaining);
        if step.is_zero() {
            return false;
        }
        self.clock_advance = self.clock_advance + to_span(step);
        self.connectivity = Connectivity::Partitioned { remaining: remaining - step };
        let now = self.now();
        let mut events = Vec::new();
        for failure in
            [&mut self.relay_watch_failure, &mut self.registry_watch_failure, &mut self.relay_request_failure]
        {
            if failure.as_ref().is_some_and(|failure| failure.due_at <= now) {
                events.extend(failure.take().map(|failure| failure.event));
            }
        }
        self.process_events(now, events);
        if step == remaining {
            self.record_condition(Condition::PartitionDetected);
        }
        step < remaining
    }

    /// Returns the time of the next turn if no event arrives earlier.
    fn next_turn_at(&self) -> Moment {
        match self.in_event {
            true => self.wake_at,
            false => self.wake_at.max(self.last_turn + to_span(IDLE_TURN_INTERVAL)),
        }
    }

    /// Returns the time until the controller next has work to do.
    pub fn next_work_in(&self) -> Duration {
        let next = match self.connectivity {
            Connectivity::Connected => self.next_turn_at().min(self.next_report_at),
            Connectivity::Partitioned { .. } => return MAX_SLEEP,
        };
        Duration::from_nanos((next - self.now()).as_ns())
    }

    /// Applies events to the reducer and executes its effects, until no effect results in another event.
    fn process_events(&mut self, now: Moment, events: Vec<Event>) {
        let mut events = events;
        let mut conditions = Vec::new();
        (self.wake_at, self.last_turn) = (now + to_span(MAX_SLEEP), now);
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
