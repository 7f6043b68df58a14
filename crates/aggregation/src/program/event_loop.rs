//! The event loop: turns inputs into events of the reducer and executes its effects.

mod lines;

use super::configuration::{self, Members};
use super::controller_connections::{ConnectionEvent, ControllerConnections};
use super::error::ServeError;
use super::metrics::{self, Metrics, SharedMetrics, Traffic};
use super::peer_connections::PeerConnections;
use lines::LineSender;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::{self, Receiver};
use tokio::time::{interval, sleep_until, Instant, MissedTickBehavior};
use whinwall_aggregation::aggregator::Aggregator;
use whinwall_aggregation::coverage::ConnectionId;
use whinwall_aggregation::limits::TICK_PERIOD;
use whinwall_aggregation::messages::{Effect, Event};
use whinwall_aggregation::wire;
use whinwall_policy::time::{Moment, Span};
use whinwall_protocol::{collector, discovery};
use whinwall_runtime::clock::Clock;
use whinwall_runtime::signals::{Signal, Signals};
use whinwall_runtime::task::Task;
use whinwall_serving::accept;
use whinwall_serving::shutdown::{self, RunningConnections, ShutdownSignal};
use whinwall_transport::{
    limits, listener, registry_watch, Bounds, ConnectionShutdown, Input, InputSender, WatchId,
};

/// Maximum number of connections to the listener. Collectors of all zones and the other aggregators may each have more
/// than one.
const MAX_CONNECTIONS: usize = 512;
/// Memory limit for incomplete lines in bytes.
const MAX_LINE_BYTES: usize = 16 << 20;
/// Reason in the reply to a peer whose last line is incomplete at shutdown.
const SHUTTING_DOWN: &str = "shutting down";
/// Interval of the summary in the log.
const SUMMARY_INTERVAL: Span = Span::ms(60_000);

/// The start-up configuration of the program.
pub struct AggregatorConfig {
    /// Path of the operators' file.
    pub operators: PathBuf,
    /// Name of this aggregator in the file.
    pub name: String,
    /// Address that collectors and the other aggregators connect to.
    pub listen: SocketAddr,
    /// Address of the discovery agent.
    pub discovery: SocketAddr,
    /// Zone named in report lines.
    pub zone: Option<String>,
    /// Address of the metrics endpoint.
    pub metrics: Option<SocketAddr>,
    /// Contents of the operators' file.
    pub members: Members,
}

struct EventLoop {
    clock: Clock,
    aggregator: Aggregator,
    controllers: ControllerConnections,
    peers: PeerConnections,
    http_client: awc::Client,
    discovery: SocketAddr,
    registry_lines: InputSender,
    /// Id of the latest registry watch. Lines of previous watches are ignored.
    watch_id: WatchId,
    registry_watch: Option<Task>,
    /// Authenticated connections of collectors and peers. Bounded by the listener; an entry is removed when its
    /// connection ends.
    authenticated: BTreeSet<ConnectionId>,
    traffic: Traffic,
    metrics: SharedMetrics,
    next_summary: Moment,
}

/// Serves until a terminating signal arrives, and returns the name of the signal.
///
/// # Errors
///
/// Fails if the program cannot listen on the address.
pub async fn serve(config: AggregatorConfig, mut signals: Signals) -> Result<&'static str, ServeError> {
    let listener = accept::listen(config.listen);
    let listener = listener.map_err(|source| ServeError::Listen { address: config.listen, source })?;
    let address = listener.local_addr().map_err(ServeError::LocalAddress)?;
    // Two queues, so that a flood of lines at the listener does not delay those of discovery.
    let (registry_lines, mut from_registry) = mpsc::channel(limits::MAX_QUEUED_INPUTS);
    let (listener_lines, mut from_listener) = mpsc::channel(limits::MAX_QUEUED_INPUTS);
    let bounds = Bounds::new(MAX_CONNECTIONS, MAX_LINE_BYTES);
    let reader = listener::LocalReader { bounds: bounds.clone(), inputs: listener_lines };
    let (shutdown_trigger, signal, mut running) = shutdown::channel();
    let notice = collector::encode(collector::Reply::Nack { why: SHUTTING_DOWN }).into();
    let connection_shutdown = ConnectionShutdown { signal: signal.clone(), notice };
    let _listener =
        Task::spawn(listener::listen_until(Rc::new(listener), bounds, reader, connection_shutdown));
    let metrics = SharedMetrics::default();
    let metrics_signal = signal.clone();
    let _metrics =
        config.metrics.map(|address| Task::spawn(serve_metrics(address, metrics.clone(), metrics_signal)));
    // The shutdown waits until all copies of the signal are dropped.
    drop(signal);
    let mut event_loop = EventLoop::new(&config, registry_lines, metrics);
    tracing::info!(%address, aggregator = config.name, "listening for collectors");
    let mut ticks = interval(Duration::from_nanos(TICK_PERIOD.as_ns()));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    let termination = loop {
        tokio::select! {
            biased;
            signal = signals.next() => match signal {
                Signal::Terminate(termination) => break termination,
                Signal::Reload => event_loop.reload(&config),
            },
            _ = ticks.tick() => event_loop.tick(),
            (controller, event) = event_loop.controllers.next_event() => {
                event_loop.handle_controller_event(&controller, event);
            }
            Some(input) = from_registry.recv() => event_loop.handle_input(input),
            Some(input) = from_listener.recv() => event_loop.handle_queued_inputs(input, &mut from_listener),
        }
    };
    let deadline = Instant::now() + limits::CLOSE_TIMEOUT;
    shutdown_trigger.close(deadline);
    event_loop.handle_inputs_until_closed(deadline, &mut from_listener, &mut signals, &mut running).await;
    Ok(termination.signal)
}

async fn serve_metrics(address: SocketAddr, metrics: SharedMetrics, signal: ShutdownSignal) {
    if let Err(error) = metrics::serve(address, metrics, signal).await {
        tracing::error!("{error}");
    }
}

impl EventLoop {
    fn new(config: &AggregatorConfig, registry_lines: InputSender, metrics: SharedMetrics) -> Self {
        let clock = Clock::start();
        let configuration = config.members.configuration.clone();
        let aggregator = Aggregator::new(clock.now(), configuration, config.zone.clone());
        let mut peers = PeerConnections::default();
        peers.configure(&config.members.peers);
        EventLoop {
            clock,
            aggregator,
            controllers: ControllerConnections::new(),
            peers,
            http_client: awc::Client::builder().disable_timeout().finish(),
            discovery: config.discovery,
            registry_lines,
            watch_id: 0,
            registry_watch: None,
            authenticated: BTreeSet::new(),
            traffic: Traffic::default(),
            metrics,
            next_summary: clock.now() + SUMMARY_INTERVAL,
        }
    }

    fn reload(&mut self, config: &AggregatorConfig) {
        match configuration::read(&config.operators, &config.name) {
            Ok(members) => {
                tracing::info!("configuration reloaded");
                self.peers.configure(&members.peers);
                self.apply(Event::Configured(members.configuration));
            }
            Err(reason) => tracing::error!(%reason, "reload failed, keeping the previous configuration"),
        }
    }

    fn tick(&mut self) {
        self.apply(Event::Tick);
        self.traffic.batches_dropped = self.controllers.dropped_batches;
        let (traffic, counters) = (self.traffic, self.aggregator.counters());
        let status = self.aggregator.status();
        *self.metrics.borrow_mut() = Metrics { traffic, counters, status };
        if self.clock.now() >= self.next_summary {
            self.next_summary = self.clock.now() + SUMMARY_INTERVAL;
            tracing::info!(
                controllers_connected = status.controllers_connected,
                controllers_owned = status.controllers_owned,
                peers_alive = status.peers_alive,
                zones_missing = status.zones_missing,
                zones = status.zones,
                replicas = status.replicas,
                lines_in = traffic.lines_in,
                lines_out = counters.lines_sent,
                "summary"
            );
        }
    }

    fn handle_controller_event(&mut self, controller: &str, event: ConnectionEvent) {
        self.apply(match event {
            ConnectionEvent::Connected => Event::ControllerConnected(controller),
            ConnectionEvent::Answered => Event::ControllerAnswered(controller),
            ConnectionEvent::Lost => Event::ControllerLost(controller),
        });
    }

    /// Handles the remaining inputs of the connections until all are closed or the deadline has passed. Further
    /// signals are ignored, because the deadline ends the program in any case.
    async fn handle_inputs_until_closed(
        &mut self,
        deadline: Instant,
        queue: &mut Receiver<Input>,
        signals: &mut Signals,
        running: &mut RunningConnections,
    ) {
        loop {
            tokio::select! {
                biased;
                _ = signals.next() => {}
                Some(input) = queue.recv() => self.handle_input(input),
                () = running.ended() => return,
                () = sleep_until(deadline) => return,
            }
        }
    }

    /// Handles at most one full queue of inputs, so that ticks are not delayed.
    fn handle_queued_inputs(&mut self, first: Input, queue: &mut Receiver<Input>) {
        self.handle_input(first);
        for _ in 0..limits::MAX_QUEUED_INPUTS {
            let Ok(input) = queue.try_recv() else { return };
            self.handle_input(input);
        }
    }

    fn handle_input(&mut self, input: Input) {
        match input {
            Input::Line { from, line, commands, .. } => {
                self.handle_line(&LineSender { connection: from, commands: &commands }, &line);
            }
            Input::Disconnected(connection, _) => {
                self.authenticated.remove(&connection);
                self.apply(Event::ConnectionEnded(connection));
            }
            Input::RegistryLine(id, _) if id != self.watch_id => {}
            Input::RegistryLine(_, Ok(line)) => self.handle_registry_line(&line),
            Input::RegistryLine(_, Err(reason)) => {
                tracing::warn!(%reason, "registry watch lost");
                self.apply(Event::RegistryLost);
            }
            // An aggregator does not connect to a relay.
            Input::WatchLine(..) | Input::RelayResponse(_) | Input::UnsolicitedResponse => {}
        }
    }

    fn handle_registry_line(&mut self, line: &str) {
        match discovery::decode(line) {
            Ok(Some(list)) => self.apply(Event::RegistryListed(list)),
            Ok(None) => self.apply(Event::RegistryAlive),
            Err(reason) => {
                tracing::warn!(%reason, "registry watch lost");
                self.registry_watch = None;
                self.apply(Event::RegistryLost);
            }
        }
    }

    fn apply(&mut self, event: Event) {
        self.apply_for(event, None);
    }

    /// Applies an event. `sender` is the connection that caused it, if any.
    fn apply_for(&mut self, event: Event, sender: Option<&LineSender>) {
        for effect in self.aggregator.apply(self.clock.now(), event) {
            self.execute(effect, sender);
        }
    }

    fn execute(&mut self, effect: Effect, sender: Option<&LineSender>) {
        match effect {
            Effect::Connect { controller, address } => self.controllers.connect(&controller, address),
            Effect::Disconnect { controller } => self.controllers.disconnect(&controller),
            Effect::Send { controller, lines } => {
                if !self.controllers.send(&controller, lines) {
                    self.apply(Event::ControllerLost(&controller));
                }
            }
            Effect::SendHeartbeat(heartbeat) => self.peers.send(wire::encode_heartbeat(&heartbeat)),
            // This effect results only from events of that connection.
            Effect::RefuseCollector(_) => sender.into_iter().for_each(LineSender::refuse),
            Effect::FollowRegistry { since } => self.watch_registry(since),
            Effect::Log(event) if event.is_warning() => tracing::warn!("{event}"),
            Effect::Log(event) => tracing::info!("{event}"),
        }
    }

    fn watch_registry(&mut self, since: u64) {
        self.watch_id += 1;
        let url = format!("http://{}{}", self.discovery, discovery::watch_path(since));
        let (client, lines) = (self.http_client.clone(), self.registry_lines.clone());
        self.registry_watch = Some(Task::spawn(registry_watch::follow(self.watch_id, client, url, lines)));
    }
}
