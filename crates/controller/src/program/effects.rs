//! Feeds events to the reducer and carries out the effects that it asks for.

use super::configuration::ControllerConfig;
use super::services::OperatorServices;
use super::watches::Watches;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use tokio::sync::mpsc::Sender;
use tokio::sync::watch;
use tracing::{debug_span, Span};
use whinwall_override_store::WriteBatch;
use whinwall_overrides::{encoding, ClockStamp, SaveError, Timeline};
use whinwall_policy::api::OverrideNumber;
use whinwall_policy::time::Moment;
use whinwall_protocol::collector;
use whinwall_routing::overrides::OverrideConfig;
use whinwall_routing::{Effect, Event, Reducer};
use whinwall_runtime::clock::Clock;
use whinwall_transport::relay_requests::RelayRequest;
use whinwall_transport::{ConnectionCommand, ConnectionId};

/// The outcome of a write that the storage thread did not take; clients of the management API see it.
const STORAGE_BUSY: &str = "the keeper is busy";

/// Requests to the relay, one at a time.
pub(super) struct RelayRequests {
    requests: Sender<RelayRequest>,
    /// Where the relay is; none once the program is shutting down.
    target: watch::Sender<Option<SocketAddr>>,
    has_request_in_flight: bool,
}

impl RelayRequests {
    pub(super) fn new(requests: Sender<RelayRequest>, target: watch::Sender<Option<SocketAddr>>) -> Self {
        RelayRequests { requests, target, has_request_in_flight: false }
    }

    fn send(&mut self, request: RelayRequest) {
        self.has_request_in_flight = true;
        // The reducer waits for a reply before its next request, so that the queue of one has room.
        _ = self.requests.try_send(request);
    }

    pub(super) fn set_target(&self, relay: SocketAddr) {
        self.target.send_replace(Some(relay));
    }

    /// No request is sent from now on.
    pub(super) fn stop(&self) {
        self.target.send_replace(None);
    }

    fn is_stopped(&self) -> bool {
        self.target.borrow().is_none()
    }

    pub(super) fn has_request_in_flight(&self) -> bool {
        self.has_request_in_flight
    }

    pub(super) fn complete_request(&mut self) {
        self.has_request_in_flight = false;
    }
}

/// The reducer, and all that its effects act on.
pub(super) struct Dispatcher<'a> {
    pub(super) clock: Clock,
    pub(super) reducer: Reducer,
    pub(super) relay: RelayRequests,
    pub(super) watches: Watches,
    pub(super) services: &'a mut OperatorServices,
    /// Where commands go, for the connections that sent something in this iteration.
    connections: BTreeMap<ConnectionId, Sender<ConnectionCommand>>,
    /// When the reducer wants to be called next.
    wake_at: Option<Moment>,
    iterations: u64,
    /// The log shows under the iteration's number what came in it and the request that it led to.
    span: Span,
}

impl<'a> Dispatcher<'a> {
    pub(super) fn new(
        config: &ControllerConfig,
        clock: Clock,
        relay: RelayRequests,
        watches: Watches,
        services: &'a mut OperatorServices,
    ) -> Self {
        let reducer = Reducer::start(
            config.settings.clone(),
            config.targets,
            config.seed,
            &config.known_endpoints,
            clock.now(),
        );
        Dispatcher {
            clock,
            reducer,
            relay,
            watches,
            services,
            connections: BTreeMap::new(),
            wake_at: None,
            iterations: 0,
            span: Span::none(),
        }
    }

    /// Forgets when the reducer wanted to be called, as it says so anew.
    pub(super) fn clear_wake_at(&mut self) {
        self.wake_at = None;
    }

    pub(super) fn wake_at(&self) -> Option<Moment> {
        self.wake_at
    }

    /// Begins an iteration of the event loop.
    pub(super) fn begin_iteration(&mut self) {
        self.connections.clear();
        self.iterations += 1;
        self.span = debug_span!("iteration", number = self.iterations);
    }

    /// Remembers until the end of the iteration where commands for a connection go.
    pub(super) fn set_connection(&mut self, connection: ConnectionId, commands: Sender<ConnectionCommand>) {
        self.connections.insert(connection, commands);
    }

    /// Feeds an event to the reducer and carries out its effects.
    pub(super) fn apply(&mut self, event: Event) {
        let span = match &event {
            Event::Message { from, .. } => debug_span!(parent: &self.span, "report", from),
            _ => self.span.clone(),
        };
        span.in_scope(|| {
            for effect in self.reducer.apply(self.clock.now(), event) {
                self.carry_out(effect);
            }
        });
    }

    /// Tells the reducer what the operators' file says of overrides, where there is one.
    pub(super) fn apply_override_config(&mut self, config: &ControllerConfig) {
        if let Some(file) = &config.operators {
            let (limits, configured) = (file.override_limits.clone(), file.overrides.clone());
            let overrides = OverrideConfig { limits, configured, has_store: self.services.has_store() };
            self.apply(Event::OperatorConfigChanged(overrides, Clock::read_machine_clocks()));
        }
    }

    /// A peer that does not read its replies loses them, and then its connection; the loop does not wait for it.
    pub(super) fn send_command(&self, to: ConnectionId, command: ConnectionCommand) {
        if let Some(commands) = self.connections.get(&to) {
            _ = commands.try_send(command);
        }
    }

    fn carry_out(&mut self, effect: Effect) {
        let is_shutting_down = self.relay.is_stopped();
        match effect {
            // A program that is shutting down learns nothing more and sends no requests.
            Effect::RelayRequest { .. }
            | Effect::WatchRelay { .. }
            | Effect::WatchRegistry { .. }
            | Effect::RenewRegistryWatch { .. }
                if is_shutting_down => {}
            Effect::Pong { to } => {
                self.send_command(to, ConnectionCommand::Send(collector::encode(collector::Reply::Pong)));
            }
            Effect::Admit { to } => self.send_command(to, ConnectionCommand::MarkAuthenticated),
            Effect::Disconnect { to, reason } => {
                let close_reason = reason.map(|why| collector::encode(collector::Reply::Nack { why }));
                self.send_command(to, ConnectionCommand::Close(close_reason));
            }
            Effect::RelayRequest { relay, line, needs_new_connection } => {
                tracing::debug!(request = line, "relay request");
                self.relay.send(RelayRequest { relay, line, needs_new_connection });
            }
            Effect::WatchRelay { relay } => self.watches.watch_relay(relay),
            Effect::WatchRegistry { discovery, since } => self.watches.watch_registry(discovery, since),
            Effect::RenewRegistryWatch { discovery, since } => {
                self.watches.renew_registry_watch(discovery, since);
            }
            Effect::Save { serial, writes, removals, timeline } => {
                self.save(serial, writes, removals, &timeline);
            }
            Effect::Reply { request_id, reply } => self.services.reply(request_id, reply),
            Effect::WakeAt(at) => self.wake_at = Some(at),
            Effect::Log(event) => tracing::info!("{event}"),
        }
    }

    fn save(
        &mut self,
        serial: u64,
        writes: Vec<(OverrideNumber, Vec<u8>)>,
        removals: Vec<OverrideNumber>,
        timeline: &Timeline,
    ) {
        let position = timeline.to_persistent(self.clock.now());
        let stamp = ClockStamp { position, reading: Clock::read_machine_clocks() };
        let batch = WriteBatch { writes, removals, stamp: encoding::encode_stamp(&stamp) };
        if !self.services.write_store(serial, batch) {
            self.apply(Event::SaveCompleted { serial, outcome: Err(SaveError::new(STORAGE_BUSY)) });
        }
    }
}
