//! The state of a scenario: the emulated fleet, the schedule and the counters.

use super::connection::ControllerConnection;
use super::counters::{DemandCountsBySlice, EndpointCountsByZone, PriorityWeightTotals};
use super::event::{Delivery, ScheduledEvent};
use super::outcome::Outcome;
use super::timeline::TimelineEntry;
use crate::channel::Channel;
use crate::config::ScenarioConfig;
use crate::fault::{Fault, ListAnomaly};
use crate::policy::Policy;
use crate::proxy::Proxy;
use crate::relay_store::RelayStore;
use crate::replica::Replica;
use crate::rules::Rules;
use crate::{subsets, ControllerIndex, ProxyIndex, ReplicaIndex, RequestClassIndex, SliceIndex};
use std::collections::BTreeMap;
use std::sync::Arc;
use whinwall_policy::random::Random;
use whinwall_policy::time::{Moment, Span};
use whinwall_protocol::discovery;
use whinwall_routing::Reducer;

/// The wall-clock time at the start of a scenario, since the Unix epoch.
pub(super) const EPOCH: Span = Span::ms(1_800_000_000_000);
/// The network delay within a zone.
pub(super) const NETWORK_DELAY: Span = Span::ms(1);
/// The time for the fleet to reach a steady state. Requests that arrive earlier do not count, and the rules are not
/// enforced.
pub(super) const WARM_UP_PERIOD: Span = Span::ms(5000);

/// Replaces a command of a controller with other commands before the relay applies them. The controller receives
/// the response to its original request.
pub type CommandInterceptor = fn(&str) -> Vec<String>;

/// An unfinished request.
pub(super) struct Request {
    pub(super) slice: SliceIndex,
    pub(super) class: RequestClassIndex,
    pub(super) key: u32,
    pub(super) proxy: ProxyIndex,
    pub(super) arrived_at: Moment,
    /// The number of the latest attempt. A client retry increments it as well.
    pub(super) attempt: u32,
    /// The replica that the latest attempt was sent to.
    pub(super) replica: Option<ReplicaIndex>,
    /// Retries by the proxy since the client's last retry.
    pub(super) proxy_retries: u8,
    pub(super) client_retries: u32,
}

/// The state in which discovery lists a replica.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum ListedState {
    Active,
    Draining,
    Removed,
}

impl ListedState {
    /// Returns the name of the state in discovery's protocol.
    pub(super) fn wire_name(self) -> &'static str {
        match self {
            ListedState::Active => "active",
            ListedState::Draining => "leaving",
            ListedState::Removed => "left",
        }
    }
}

/// A controller: either a reducer within this process or a connection to a separate process.
pub(super) struct Controller {
    pub(super) reducer: Option<Reducer>,
    pub(super) connection: Option<Box<dyn ControllerConnection>>,
    pub(super) channel: Channel,
    /// True while the controller watches the relay.
    pub(super) is_watching: bool,
    /// Incremented by each start and each kill. Deliveries to an earlier incarnation are dropped.
    pub(super) incarnation: u64,
    /// The time of the next `InputDrained` event.
    pub(super) drain_input_at: Option<Moment>,
    pub(super) started_at: Moment,
    /// By draining replica, the time at which the drain was first delivered to the controller.
    pub(super) draining_since: BTreeMap<ReplicaIndex, Moment>,
}

/// A running scenario.
pub struct Scenario {
    pub(super) config: ScenarioConfig,
    pub(super) policy: Policy,
    pub(super) now: Moment,
    pub(super) random: Random,
    /// The scheduled events, ordered by time and then by the order of scheduling.
    pub(super) schedule: BTreeMap<(Moment, u64), ScheduledEvent>,
    scheduled_count: u64,
    pub(super) replicas: Vec<Replica>,
    pub(super) replicas_by_name: BTreeMap<String, ReplicaIndex>,
    pub(super) proxies: Vec<Proxy>,
    pub(super) controllers: Vec<Controller>,
    pub(super) store: RelayStore,
    /// By slice, the responsible controller.
    pub(super) slice_controllers: Vec<ControllerIndex>,
    /// By slice, the time since which that controller has been responsible.
    pub(super) reassigned_at: Vec<Moment>,
    /// The share of malformed responses and keepalives of the relay.
    pub(super) garbled_share: f64,
    pub(super) listed_states: Vec<ListedState>,
    pub(super) list_version: u64,
    pub(super) list_anomaly: Option<ListAnomaly>,
    pub(super) previous_list: Option<discovery::List>,
    pub(super) requests: BTreeMap<u64, Request>,
    pub(super) next_request: u64,
    /// By slice, the demand relative to other slices.
    pub(super) demand_weights: Vec<f64>,
    /// The factor of the demand for all slices.
    pub(super) demand_factor: f64,
    pub(super) faults: Vec<Fault>,
    pub(super) is_relay_unreachable: bool,
    pub(super) is_relay_unresponsive: bool,
    pub(super) is_discovery_unreachable: bool,
    /// The rules are not enforced until this time: the end of the warm-up period, or the end of the recovery from
    /// a fault that suspends them.
    pub(super) exempt_until: Moment,
    pub(super) endpoint_counts: EndpointCountsByZone,
    pub(super) demand_counts: DemandCountsBySlice,
    /// The number of seconds for which reports have been sent.
    pub(super) reported_seconds: u32,
    /// By proxy and replica, the number of attempts without a result.
    pub(super) outstanding_attempts: BTreeMap<(ProxyIndex, ReplicaIndex), u32>,
    pub(super) command_interceptor: Option<CommandInterceptor>,
    /// The replica or slice whose timeline is recorded.
    pub(super) timeline_subject: Option<String>,
    pub(super) timeline: Vec<TimelineEntry>,
    pub(super) rules: Rules,
    pub(super) outcome: Outcome,
    pub(super) priority_weights: PriorityWeightTotals,
}

/// Returns the name of a replica in the endpoint list.
pub(super) fn replica_name(replica: ReplicaIndex) -> String {
    format!("s-{replica}")
}

/// Returns a relay store with one endpoint for each slice.
fn initial_store(
    config: &ScenarioConfig,
    replica_names: &[String],
    slice_controllers: &[ControllerIndex],
) -> RelayStore {
    let tables = subsets::initial_tables(config, replica_names, slice_controllers);
    RelayStore(tables.into_iter().map(|(slice, table)| (slice, Arc::new(table))).collect())
}

/// Returns connected proxies that have loaded the tables of the store.
fn connected_proxies(count: usize, store: &RelayStore) -> Vec<Proxy> {
    let mut proxy = Proxy::default();
    proxy.is_connected = true;
    proxy.load_tables(&store.0);
    vec![proxy; count]
}

impl Controller {
    fn not_started(now: Moment) -> Self {
        Controller {
            reducer: None,
            connection: None,
            channel: Channel::default(),
            is_watching: false,
            incarnation: 0,
            drain_input_at: None,
            started_at: now,
            draining_since: BTreeMap::new(),
        }
    }
}

impl Scenario {
    /// Creates a scenario that has not started.
    pub fn new(config: ScenarioConfig, policy: Policy, faults: Vec<Fault>, seed: u64) -> Self {
        let now = Moment::default() + EPOCH;
        let mut random = Random::from_seed(seed);
        let demand_weights = (0..config.slices).map(|_| 0.3 + random.draw() * random.draw() * 3.0).collect();
        let replica_names: Vec<_> = (0..config.replicas).map(replica_name).collect();
        let slice_controllers: Vec<_> = (0..config.slices).map(|slice| slice % config.controllers).collect();
        let store = initial_store(&config, &replica_names, &slice_controllers);
        Scenario {
            now,
            random,
            schedule: BTreeMap::new(),
            scheduled_count: 0,
            replicas: (0..config.replicas).map(|_| Replica::default()).collect(),
            replicas_by_name: replica_names.into_iter().zip(0..).collect(),
            proxies: connected_proxies(config.proxies, &store),
            controllers: (0..config.controllers).map(|_| Controller::not_started(now)).collect(),
            store,
            slice_controllers,
            reassigned_at: vec![now; config.slices],
            garbled_share: 0.0,
            listed_states: vec![ListedState::Active; config.replicas],
            list_version: 1,
            list_anomaly: None,
            previous_list: None,
            requests: BTreeMap::new(),
            next_request: 0,
            demand_weights,
            demand_factor: 1.0,
            faults,
            is_relay_unreachable: false,
            is_relay_unresponsive: false,
            is_discovery_unreachable: false,
            exempt_until: now + WARM_UP_PERIOD,
            endpoint_counts: BTreeMap::new(),
            demand_counts: BTreeMap::new(),
            reported_seconds: 0,
            outstanding_attempts: BTreeMap::new(),
            command_interceptor: None,
            timeline_subject: None,
            timeline: Vec::new(),
            rules: Rules::default(),
            outcome: Outcome::default(),
            priority_weights: PriorityWeightTotals::default(),
            policy,
            config,
        }
    }

    /// Schedules an event after `delay`.
    pub(super) fn schedule_after(&mut self, delay: Span, event: ScheduledEvent) {
        self.scheduled_count += 1;
        self.schedule.insert((self.now + delay, self.scheduled_count), event);
    }

    /// Schedules a delivery to the current incarnation of a controller.
    pub(super) fn deliver_after(&mut self, delay: Span, controller: ControllerIndex, delivery: Delivery) {
        let incarnation = self.controllers[controller].incarnation;
        self.schedule_after(delay, ScheduledEvent::Deliver { controller, incarnation, delivery });
    }

    /// Returns the duration from the start of the scenario until `moment`.
    pub(super) fn since_start(moment: Moment) -> Span {
        moment - (Moment::default() + EPOCH)
    }

    /// Draws whether a response or a keepalive of the relay is malformed.
    pub(super) fn draw_garbled(&mut self) -> bool {
        self.garbled_share > 0.0 && self.random.draw() < self.garbled_share
    }
}
