//! Applies events to the reducer and executes the effects that it returns.

use super::configuration::ControllerConfig;
use super::services::OperatorServices;
use super::watches::Watches;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use tokio::sync::mpsc::Sender;
use tokio::sync::{oneshot, watch};
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

/// Error text of a write that the storage thread did not accept. It is part of management API responses.
const STORAGE_BUSY: &str = "the keeper is busy";

/// Sends requests to the relay, one at a time.
pub(super) struct RelayRequests {
    requests: Sender<RelayRequest>,
    /// Address of the relay; `None` during shutdown, when no more requests are sent.
    target: watch::Sender<Option<SocketAddr>>,
    has_request_in_flight: bool,
    /// Cancels the newest request when it is dropped; `None` before the first one.
    cancellation: Option<oneshot::Sender<()>>,
}

impl RelayRequests {
    pub(super) fn new(requests: Sender<RelayRequest>, target: watch::Sender<Option<SocketAddr>>) -> Self {
        RelayRequests { requests, target, has_request_in_flight: false, cancellation: None }
    }

    fn send(&mut self, relay: SocketAddr, line: String, needs_new_connection: bool) {
        let (canceller, cancellation) = oneshot::channel();
        self.has_request_in_flight = true;
        self.cancellation = Some(canceller);
        // The reducer waits for the response before its next request, so the queue of capacity 1 is never full.
        _ = self.requests.try_send(RelayRequest { relay, line, needs_new_connection, cancellation });
    }

    /// Cancels the request in flight if it has not been sent yet.
    fn cancel_unsent(&mut self) {
        self.cancellation = None;
    }

    pub(super) fn set_target(&self, relay: SocketAddr) {
        self.target.send_replace(Some(relay));
    }

    /// Stops sending requests.
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

/// The reducer and the components that its effects act on.
pub(super) struct Dispatcher<'a> {
    pub(super) clock: Clock,
    pub(super) reducer: Reducer,
    pub(super) relay: RelayRequests,
    pub(super) watches: Watches,
    pub(super) services: &'a mut OperatorServices,
    /// Command senders of the connections that sent input in the current iteration.
    connections: BTreeMap<ConnectionId, Sender<ConnectionCommand>>,
    /// Time at which the reducer asked to be called next.
    wake_at: Option<Moment>,
    iteration_count: u64,
    /// Log span of the current iteration. The log lines about its input and about the resulting relay request contain
    /// its number.
    iteration_span: Span,
}

impl<'a> Dispatcher<'a> {
    pub(super) fn new(
        config: &ControllerConfig,
        clock: Clock,
        relay: RelayRequests,
        watches: Watches,
        services: &'a mut OperatorServices,
    ) -> Self {
        let reducer = Reducer::new(
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
            iteration_count: 0,
            iteration_span: Span::none(),
        }
    }

    /// Clears the wake-up time; the reducer sets it again in the next iteration.
    pub(super) fn clear_wake_at(&mut self) {
        self.wake_at = None;
    }

    pub(super) fn wake_at(&self) -> Option<Moment> {
        self.wake_at
    }

    /// Begins an iteration of the event loop.
    pub(super) fn begin_iteration(&mut self) {
        self.connections.clear();
        self.iteration_count += 1;
        self.iteration_span = debug_span!("iteration", number = self.iteration_count);
    }

    /// Stores the command sender of a connection until the end of the iteration.
    pub(super) fn set_connection(&mut self, connection: ConnectionId, commands: Sender<ConnectionCommand>) {
        self.connections.insert(connection, commands);
    }

    /// Applies an event to the reducer and executes the resulting effects.
    pub(super) fn apply(&mut self, event: Event) {
        let span = match &event {
            Event::Message { from, .. } => debug_span!(parent: &self.iteration_span, "report", from),
            _ => self.iteration_span.clone(),
        };
        span.in_scope(|| {
            for effect in self.reducer.apply(self.clock.now(), event) {
                self.execute(effect);
            }
        });
    }

    /// Applies the override configuration of the operators' file, if there is one.
    pub(super) fn apply_override_config(&mut self, config: &ControllerConfig) {
        if let Some(file) = &config.operators {
            let (limits, configured) = (file.override_limits.clone(), file.overrides.clone());
            let overrides = OverrideConfig { limits, configured, has_store: self.services.has_store() };
            self.apply(Event::OperatorConfigChanged(overrides, Clock::read_machine_clocks()));
        }
    }

    /// Queues a command for a connection. If the queue is full because the peer does not read its replies, the command
    /// is dropped, as the event loop must not block; the connection is closed by its own time-out.
    pub(super) fn send_command(&self, to: ConnectionId, command: ConnectionCommand) {
        if let Some(commands) = self.connections.get(&to) {
            _ = commands.try_send(command);
        }
    }

    fn execute(&mut self, effect: Effect) {
        let is_shutting_down = self.relay.is_stopped();
        match effect {
            // During shutdown, no requests are sent and no watches are opened.
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
                self.relay.send(relay, line, needs_new_connection);
            }
            Effect::CancelUnsentRelayRequest => self.relay.cancel_unsent(),
            Effect::WatchRelay { relay } => self.watches.watch_relay(relay),
            Effect::WatchRegistry { discovery, since } => self.watches.watch_registry(discovery, since),
            Effect::RenewRegistryWatch { discovery, since } => {
                self.watches.renew_registry_watch(discovery, since);
            }
            Effect::Save { serial, writes, removals, timeline } => {
                self.save_overrides(serial, writes, removals, &timeline);
            }
            Effect::Reply { request_id, reply } => self.services.reply(request_id, reply),
            Effect::WakeAt(at) => self.wake_at = Some(at),
            Effect::Log(event) => tracing::info!("{event}"),
        }
    }

    fn save_overrides(
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
