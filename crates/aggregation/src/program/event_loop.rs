//! The event loop: what arrives becomes events of the reducer, and its effects are carried out.

mod lines;

use super::configuration::{self, Members};
use super::controller_connections::{ConnectionEvent, ControllerConnections};
use super::error::ServeError;
use super::metrics::{self, Metrics, SharedMetrics, Traffic};
use super::peer_connections::PeerConnections;
use lines::Sender;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::{self, Receiver};
use tokio::time::{interval, sleep_until, Instant, MissedTickBehavior};
use whinwall_aggregation::aggregator::Aggregator;
use whinwall_aggregation::coverage::ConnectionId;
use whinwall_aggregation::limits::TICK;
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

/// Connections to the listener: collectors of all zones and the other aggregators, each more than once.
const MAX_CONNECTIONS: usize = 512;
/// Memory for lines that lack their end, and as much again for lines that wait for the event loop, in bytes.
const MAX_LINE_BYTES: usize = 16 << 20;
/// Why a peer that has sent half a line gets no other answer.
const SHUTTING_DOWN: &str = "shutting down";
/// How often the log gets a summary.
const SUMMARY_INTERVAL: Span = Span::ms(60_000);

/// What the program is started with.
pub struct AggregatorConfig {
    /// The operators' file.
    pub operators: PathBuf,
    /// This aggregator's name in the file.
    pub name: String,
    /// Where collectors and the other aggregators connect.
    pub listen: SocketAddr,
    /// Discovery's agent.
    pub discovery: SocketAddr,
    /// The zone that report lines name.
    pub zone: Option<String>,
    /// Where metrics are served.
    pub metrics: Option<SocketAddr>,
    /// What the file says.
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
    /// The latest registry watch; what a former one still says is ignored.
    watch_id: WatchId,
    registry_watch: Option<Task>,
    /// Connections that may stay: collectors and peers. Bounded by the listener; an entry ends with its connection.
    admitted: BTreeSet<ConnectionId>,
    traffic: Traffic,
    metrics: SharedMetrics,
    next_summary: Moment,
}

/// Serves until a signal ends it, and returns the signal's name.
///
/// # Errors
///
/// Where the address can't be listened at.
pub async fn serve(config: AggregatorConfig, mut signals: Signals) -> Result<&'static str, ServeError> {
    let listener = accept::listen(config.listen);
    let listener = listener.map_err(|source| ServeError::Listen { address: config.listen, source })?;
    let address = listener.local_addr().map_err(ServeError::LocalAddress)?;
    // Two queues, so that a flood at the listener does not delay discovery.
    let (registry_lines, mut from_registry) = mpsc::channel(limits::MAX_QUEUED_INPUTS);
    let (listener_lines, mut from_listener) = mpsc::channel(limits::MAX_QUEUED_INPUTS);
    let bounds = Bounds::new(MAX_CONNECTIONS, MAX_LINE_BYTES);
    let reader = listener::LocalReader { bounds: bounds.clone(), inputs: listener_lines };
    let (trigger, signal, mut running) = shutdown::channel();
    let notice = collector::encode(collector::Reply::Nack { why: SHUTTING_DOWN }).into();
    let ending = ConnectionShutdown { signal: signal.clone(), notice };
    let _listener = Task::spawn(listener::listen_until(Rc::new(listener), bounds, reader, ending));
    let metrics = SharedMetrics::default();
    let metrics_signal = signal.clone();
    let _metrics =
        config.metrics.map(|address| Task::spawn(serve_metrics(address, metrics.clone(), metrics_signal)));
    // The shutdown waits for whoever holds it.
    drop(signal);
    let mut event_loop = EventLoop::new(&config, registry_lines, metrics);
    tracing::info!(%address, aggregator = config.name, "listening for collectors");
    let mut ticks = interval(Duration::from_nanos(TICK.as_ns()));
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
                event_loop.controller_event(&controller, event);
            }
            Some(input) = from_registry.recv() => event_loop.input(input),
            Some(input) = from_listener.recv() => event_loop.drain(input, &mut from_listener),
        }
    };
    let deadline = Instant::now() + limits::CLOSE_TIMEOUT;
    trigger.close(deadline);
    event_loop.answer_until_closed(deadline, &mut from_listener, &mut signals, &mut running).await;
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
            admitted: BTreeSet::new(),
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
            Err(reason) => tracing::error!(%reason, "configuration rejected, the former one stays"),
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

    fn controller_event(&mut self, controller: &str, event: ConnectionEvent) {
        self.apply(match event {
            ConnectionEvent::Connected => Event::ControllerConnected(controller),
            ConnectionEvent::Answered => Event::ControllerAnswered(controller),
            ConnectionEvent::Lost => Event::ControllerLost(controller),
        });
    }

    /// Answers what the connections have read until all have closed, or for a bounded time. Further signals change nothing:
    /// the end comes in time without them.
    async fn answer_until_closed(
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
                Some(input) = queue.recv() => self.input(input),
                () = running.ended() => return,
                () = sleep_until(deadline) => return,
            }
        }
    }

    /// Takes no more than what the queue holds at once: ticks are due meanwhile.
    fn drain(&mut self, first: Input, queue: &mut Receiver<Input>) {
        self.input(first);
        for _ in 0..limits::MAX_QUEUED_INPUTS {
            let Ok(input) = queue.try_recv() else { return };
            self.input(input);
        }
    }

    fn input(&mut self, input: Input) {
        match input {
            Input::Line { from, line, commands, .. } => {
                self.line(&Sender { connection: from, commands: &commands }, &line);
            }
            Input::Disconnected(connection, _) => {
                self.admitted.remove(&connection);
                self.apply(Event::ConnectionEnded(connection));
            }
            Input::RegistryLine(id, _) if id != self.watch_id => {}
            Input::RegistryLine(_, Ok(line)) => self.registry_line(&line),
            Input::RegistryLine(_, Err(reason)) => {
                tracing::warn!(%reason, "registry watch lost");
                self.apply(Event::RegistryLost);
            }
            // Aggregators have no relay.
            Input::WatchLine(..) | Input::RelayResponse(_) | Input::UnsolicitedResponse => {}
        }
    }

    fn registry_line(&mut self, line: &str) {
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

    /// Applies an event of the connection that `sender` speaks on.
    fn apply_for(&mut self, event: Event, sender: Option<&Sender>) {
        for effect in self.aggregator.apply(self.clock.now(), event) {
            self.carry_out(effect, sender);
        }
    }

    fn carry_out(&mut self, effect: Effect, sender: Option<&Sender>) {
        match effect {
            Effect::Connect { controller, address } => self.controllers.connect(&controller, address),
            Effect::Disconnect { controller } => self.controllers.disconnect(&controller),
            Effect::Send { controller, lines } => {
                if !self.controllers.send(&controller, lines) {
                    self.apply(Event::ControllerLost(&controller));
                }
            }
            Effect::SendHeartbeat(heartbeat) => self.peers.send(wire::heartbeat(&heartbeat)),
            // It is always the effect of an event of that connection.
            Effect::RefuseCollector(_) => sender.into_iter().for_each(Sender::refuse),
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
