//! The loop: what arrives becomes events, what the reducer asks for is done.

use super::configuration::{self, Members};
use super::controllers::{Happened, Links};
use super::metrics::{self, Figures, Shared, Traffic};
use super::peers::Senders;
use actix_rt::net::TcpListener;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::{self, Receiver};
use tokio::time::{interval, MissedTickBehavior};
use whinwall_aggregation::aggregator::Aggregator;
use whinwall_aggregation::limits::TICK;
use whinwall_aggregation::messages::{ConnectionId, Effect, Event};
use whinwall_aggregation::wire;
use whinwall_policy::time::{Moment, Span};
use whinwall_protocol::collector::{self, Message, Reply, Report};
use whinwall_protocol::{discovery, InvalidMessage};
use whinwall_runtime::clock::Clock;
use whinwall_runtime::signals::{Signal, Signals};
use whinwall_runtime::task::Task;
use whinwall_transport::{limits, listener, registry_watch, ConnectionCommand, Input, InputSender, WatchId};

/// Connections to our address: collectors of all zones and the other aggregators, each more than once.
const CONNECTIONS: usize = 512;
/// What lines that lack their end may take in memory, and those that wait for the loop as much again.
const LINE_BYTES: usize = 16 << 20;
/// A line to the log on what is so.
const SUMMARY_EACH: Span = Span::ms(60_000);

/// What the program starts with.
pub struct Start {
    pub operators: PathBuf,
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub zone: Option<String>,
    pub metrics: Option<SocketAddr>,
    pub members: Members,
}

/// The line that is being taken, with the way back.
struct Speaker<'a> {
    id: ConnectionId,
    back: &'a mpsc::Sender<ConnectionCommand>,
}

struct Loop {
    clock: Clock,
    aggregator: Aggregator,
    links: Links,
    senders: Senders,
    client: awc::Client,
    discovery: SocketAddr,
    inbox: InputSender,
    follows: WatchId,
    watch: Option<Task>,
    /// Connections that may stay: collectors and peers. Bounded by the listener, ends with the connection.
    joined: BTreeSet<ConnectionId>,
    traffic: Traffic,
    figures: Shared,
    next_summary: Moment,
}

/// Serves until a signal ends it.
pub async fn serve(start: Start, mut signals: Signals) -> Result<&'static str, String> {
    let listener = TcpListener::bind(start.listen).await;
    let listener = listener.map_err(|why| format!("listen: {}: {why}", start.listen))?;
    let address = listener.local_addr().map_err(|why| why.to_string())?;
    // Two inboxes, so that whoever floods our address does not delay discovery.
    let (inbox, mut lists) = mpsc::channel(limits::MAX_QUEUED_INPUTS);
    let (at_door, mut lines) = mpsc::channel(limits::MAX_QUEUED_INPUTS);
    let here = listener::LocalReader {
        bounds: whinwall_transport::Bounds::new(CONNECTIONS, LINE_BYTES),
        inputs: at_door,
    };
    let _door = Task::spawn(listener::listen(Rc::new(listener), here.bounds.clone(), here));
    let figures = Shared::default();
    let _metrics = start.metrics.map(|address| Task::spawn(serve_metrics(address, figures.clone())));
    let mut turn = Loop::new(&start, inbox, figures);
    tracing::info!("aggregator {} serves at {address}", start.name);
    let mut ticks = interval(Duration::from_nanos(TICK.as_ns()));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    loop {
        tokio::select! {
            biased;
            signal = signals.next() => match signal {
                Signal::Terminate(termination) => return Ok(termination.signal),
                Signal::Reload => turn.read_anew(&start),
            },
            _ = ticks.tick() => turn.tick(),
            (controller, happened) = turn.links.happens() => turn.link(&controller, happened),
            Some(input) = lists.recv() => turn.input(input),
            Some(input) = lines.recv() => turn.take_all(input, &mut lines),
        }
    }
}

async fn serve_metrics(address: SocketAddr, figures: Shared) {
    if let Err(why) = metrics::serve(address, figures).await {
        tracing::error!("{why}");
    }
}

impl Loop {
    fn new(start: &Start, inbox: InputSender, figures: Shared) -> Self {
        let clock = Clock::start();
        let configuration = start.members.configuration.clone();
        let aggregator = Aggregator::new(clock.now(), configuration, start.zone.clone());
        let mut senders = Senders::none();
        senders.configure(&start.members.peers);
        Loop {
            clock,
            aggregator,
            links: Links::none(),
            senders,
            client: awc::Client::builder().disable_timeout().finish(),
            discovery: start.discovery,
            inbox,
            follows: 0,
            watch: None,
            joined: BTreeSet::new(),
            traffic: Traffic::default(),
            figures,
            next_summary: clock.now() + SUMMARY_EACH,
        }
    }

    fn read_anew(&mut self, start: &Start) {
        match configuration::read(&start.operators, &start.name) {
            Ok(members) => {
                tracing::info!("the file is read anew");
                self.senders.configure(&members.peers);
                self.apply(Event::Configured(members.configuration));
            }
            Err(why) => tracing::error!("configuration: {why}; the former one stays"),
        }
    }

    fn tick(&mut self) {
        self.apply(Event::Tick);
        self.traffic.batches_dropped = self.links.dropped;
        let (traffic, counters) = (self.traffic, self.aggregator.counters());
        let state = self.aggregator.state();
        *self.figures.borrow_mut() = Figures { traffic, counters, state };
        if self.clock.now() >= self.next_summary {
            self.next_summary = self.clock.now() + SUMMARY_EACH;
            tracing::info!(
                "{} of {} governors connected, {} peers, {} of {} zones missing, {} replicas, {} lines in, {} out",
                state.controllers_connected,
                state.controllers_owned,
                state.peers_alive,
                state.zones_missing,
                state.zones,
                state.replicas,
                traffic.lines_in,
                counters.lines_sent
            );
        }
    }

    fn link(&mut self, controller: &str, happened: Happened) {
        self.apply(match happened {
            Happened::Connected => Event::ControllerConnected(controller),
            Happened::Answered => Event::ControllerAnswered(controller),
            Happened::Lost => Event::ControllerLost(controller),
        });
    }

    /// No more than fit in the inbox at once: ticks are due meanwhile.
    fn take_all(&mut self, first: Input, lines: &mut Receiver<Input>) {
        self.input(first);
        for _ in 0..limits::MAX_QUEUED_INPUTS {
            let Ok(input) = lines.try_recv() else { return };
            self.input(input);
        }
    }

    fn input(&mut self, input: Input) {
        match input {
            Input::Line { from, line, back, .. } => self.line(&Speaker { id: from, back: &back }, &line),
            Input::Disconnected(id, _) => {
                self.joined.remove(&id);
                self.apply(Event::ConnectionEnded(id));
            }
            Input::RegistryLine(id, _) if id != self.follows => {}
            Input::RegistryLine(_, Ok(line)) => self.list(&line),
            Input::RegistryLine(_, Err(why)) => {
                tracing::warn!("discovery's watch: {why}");
                self.apply(Event::RegistryLost);
            }
            // Aggregators have no relay.
            Input::WatchLine(..) | Input::RelayResponse(_) | Input::UnsolicitedResponse => {}
        }
    }

    fn list(&mut self, line: &str) {
        match discovery::decode(line) {
            Ok(Some(list)) => self.apply(Event::RegistryListed(list)),
            Ok(None) => self.apply(Event::RegistryAlive),
            Err(why) => {
                tracing::warn!("discovery's watch: {why}");
                self.watch = None;
                self.apply(Event::RegistryLost);
            }
        }
    }

    fn line(&mut self, speaker: &Speaker, line: &str) {
        self.traffic.lines_in += 1;
        self.traffic.bytes_in += line.len() as u64 + 1;
        if let Some(report) = collector::decode_report(line) {
            return self.report(speaker, report);
        }
        match collector::decode_with_diagnosis(line) {
            Ok(Message::Ping) => say(speaker, ConnectionCommand::Send(collector::encode(Reply::Pong))),
            Ok(Message::Source { zone }) => {
                self.keep(speaker);
                let joined = Event::CollectorJoined { connection: speaker.id, zone: &zone };
                self.apply_for(joined, Some(speaker));
            }
            Ok(Message::EndpointReport(met)) => self.report(
                speaker,
                Report::EndpointReport {
                    zone: &met.zone,
                    replica: &met.replica,
                    attempts: met.attempts,
                    failed: met.failed,
                    mean_latency_ms: met.mean_latency_ms,
                    window_ms: met.window_ms,
                    missing: met.missing,
                },
            ),
            Ok(Message::DemandReport(asked)) => self.report(
                speaker,
                Report::DemandReport {
                    slice: asked.slice,
                    request_class: &asked.request_class,
                    requests: asked.requests,
                    failed: asked.failed,
                    window_ms: asked.window_ms,
                    missing: asked.missing,
                },
            ),
            Ok(Message::Unknown) => match wire::decode_heartbeat(line) {
                Some(heartbeat) if self.aggregator.has_peer(&heartbeat.name) => {
                    self.keep(speaker);
                    self.apply(Event::HeartbeatReceived(heartbeat));
                }
                _ => self.pass_over(speaker),
            },
            Err(InvalidMessage::Malformed(_)) => self.pass_over(speaker),
            Err(InvalidMessage::Unreadable(_)) => {
                self.traffic.lines_spoilt += 1;
                say(speaker, ConnectionCommand::Close(None));
            }
        }
    }

    fn report(&mut self, speaker: &Speaker, report: Report) {
        self.apply_for(Event::ReportBody { connection: speaker.id, report }, Some(speaker));
    }

    fn keep(&mut self, speaker: &Speaker) {
        if self.joined.insert(speaker.id) {
            say(speaker, ConnectionCommand::Admit);
        }
    }

    /// A line that is spoilt changes nothing; whoever has not joined goes.
    fn pass_over(&mut self, speaker: &Speaker) {
        self.traffic.lines_spoilt += 1;
        if !self.joined.contains(&speaker.id) {
            refuse(speaker);
        }
    }

    fn apply(&mut self, event: Event) {
        self.apply_for(event, None);
    }

    fn apply_for(&mut self, event: Event, speaker: Option<&Speaker>) {
        for effect in self.aggregator.apply(self.clock.now(), event) {
            self.carry_out(effect, speaker);
        }
    }

    fn carry_out(&mut self, effect: Effect, speaker: Option<&Speaker>) {
        match effect {
            Effect::Connect { controller, address } => self.links.connect(&controller, address),
            Effect::Disconnect { controller } => self.links.disconnect(&controller),
            Effect::Send { controller, lines } => {
                if !self.links.send(&controller, lines) {
                    self.apply(Event::ControllerLost(&controller));
                }
            }
            Effect::SendHeartbeat(heartbeat) => self.senders.send(wire::heartbeat(&heartbeat)),
            // It answers an event of that connection, always.
            Effect::RefuseCollector(_) => speaker.into_iter().for_each(refuse),
            Effect::FollowRegistry { since } => {
                self.follows += 1;
                let url = format!("http://{}{}", self.discovery, discovery::watch_path(since));
                let (client, inbox) = (self.client.clone(), self.inbox.clone());
                self.watch = Some(Task::spawn(registry_watch::follow(self.follows, client, url, inbox)));
            }
            Effect::Log(note) if note.is_warning() => tracing::warn!("{note}"),
            Effect::Log(note) => tracing::info!("{note}"),
        }
    }
}

/// What finds no room is for somebody who reads no answers.
fn say(speaker: &Speaker, back: ConnectionCommand) {
    _ = speaker.back.try_send(back);
}

fn refuse(speaker: &Speaker) {
    let nack = Reply::Nack { why: "of no use from whoever has not joined" };
    say(speaker, ConnectionCommand::Close(Some(collector::encode(nack))));
}
