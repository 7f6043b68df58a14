//! The loop: takes all that has arrived, decodes it, feeds the reducer, and carries out what it asks for.

use super::configuration::Start;
use super::fronts::{self, Fronts};
use super::meters::{self, Meters, ReportFigures};
use super::readers::{self, Batch, Hand, Heard, Item, Pool};
use actix_rt::net::TcpListener;
use actix_rt::time::sleep;
use futures_util::FutureExt;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::{self, Receiver, Sender};
use tokio::sync::watch;
use tokio::time::{sleep_until, timeout_at, Instant};
use tracing::{debug_span, Span};
use whinwall_ingest::sequence::Due;
use whinwall_management_api::messages::{Reply, Request};
use whinwall_management_api::server::PendingRequest;
use whinwall_override_store::storage_thread::StoreReply;
use whinwall_override_store::WriteBatch;
use whinwall_overrides::{encoding, ClockStamp, WallClockMonitor};
use whinwall_policy::time::Moment;
use whinwall_protocol::collector;
use whinwall_protocol::{discovery, relay, DecodeError};
use whinwall_routing::overrides::OverrideConfig;
use whinwall_routing::{Effect, Event, Reducer};
use whinwall_runtime::clock::Clock;
use whinwall_runtime::logger::Form;
use whinwall_runtime::signals::{Signal, Signals};
use whinwall_runtime::task::Task;
use whinwall_transport::{limits, listener, registry_watch, relay_requests, relay_watch};
use whinwall_transport::{
    ConnectionCommand, ConnectionId, Input, InputSender, RequestError, StreamError, WatchId,
};

/// Wakes so often at least, whatever the reducer asks for.
const LONGEST_SLEEP: Duration = Duration::from_secs(1);
/// How often readers are looked at.
const LOOK_EACH: Duration = Duration::from_millis(200);
/// A former process may hold our address a moment longer.
const BIND_ATTEMPTS: u32 = 50;

/// Why nothing is served any more.
enum Over {
    Ended(&'static str),
    Failed(String),
}

impl From<&'static str> for Over {
    fn from(signal: &'static str) -> Self {
        Over::Ended(signal)
    }
}

/// Serves until a signal ends it.
pub async fn serve(start: Start, signals: Signals, form: Form) -> Result<&'static str, String> {
    match serve_incarnations(start, signals, form).await {
        Over::Ended(why) => Ok(why),
        Over::Failed(why) => Err(why),
    }
}

/// A panic costs what the reducer remembered, as a restart would, and not the process: the relay and discovery know
/// all that stands.
async fn serve_incarnations(mut start: Start, mut signals: Signals, form: Form) -> Over {
    let listener = match bind(start.listen, &mut signals).await {
        Ok(listener) => Rc::new(listener),
        Err(over) => return over,
    };
    match listener.local_addr() {
        Ok(address) => tracing::info!("{} serves at {address}", start.name),
        Err(why) => return Over::Failed(format!("listen: {why}")),
    }
    let mut fronts = match Fronts::open(&start.name, start.operators.as_ref(), form) {
        Ok(fronts) => fronts,
        Err(why) => return Over::Failed(why),
    };
    loop {
        let incarnation = live(&mut start, listener.clone(), &mut signals, &mut fronts);
        match AssertUnwindSafe(incarnation).catch_unwind().await {
            Ok(why) => return Over::Ended(why),
            Err(_) => tracing::error!("a panic; starting again from what relay and discovery know"),
        }
        start.begin_new_incarnation();
        if let Err(why) = signals.sleep(limits::RETRY_BACKOFF).await {
            return Over::Ended(why);
        }
    }
}

async fn bind(listen: SocketAddr, signals: &mut Signals) -> Result<TcpListener, Over> {
    let mut attempts = 0;
    loop {
        match TcpListener::bind(listen).await {
            Ok(listener) => return Ok(listener),
            Err(why) if attempts == BIND_ATTEMPTS => {
                return Err(Over::Failed(format!("listen: {listen}: {why}")))
            }
            Err(why) if attempts == 0 => tracing::warn!("listen: {listen}: {why}; trying for a while"),
            Err(_) => {}
        }
        attempts += 1;
        signals.sleep(limits::RETRY_BACKOFF).await?;
    }
}

async fn live(
    start: &mut Start,
    listener: Rc<TcpListener>,
    signals: &mut Signals,
    fronts: &mut Fronts,
) -> &'static str {
    // Two inboxes, so that whoever floods our address delays neither relay nor discovery.
    let (inbox, mut arrived) = mpsc::channel(limits::MAX_QUEUED_INPUTS);
    let (at_door, mut reports) = mpsc::channel(limits::MAX_QUEUED_INPUTS);
    let (calls, to_make) = mpsc::channel(1);
    let bounds = whinwall_transport::Bounds::new(start.connections, start.line_bytes);
    let (relay, at_relay) = watch::channel(Some(start.targets.relay));
    let _calls = Task::spawn(relay_requests::serve(to_make, at_relay, inbox.clone()));
    let clock = Clock::start();
    let pooled = (start.cores > 1).then(|| {
        let meters = Arc::new(Meters::of(start.cores));
        let inbox = at_door.clone();
        let started =
            Pool::start(start.cores, clock, bounds.clone(), inbox, meters.clone(), Arc::new(|_, _| {}));
        started.map(|(pool, batches)| (Rc::new(RefCell::new(pool)), batches, meters))
    });
    let (pool, mut batches, _door) = match pooled {
        Some(Ok((pool, batches, meters))) => {
            tracing::info!("{} readers beside the one who decides", start.cores);
            let door = Task::spawn(listener::listen(listener, bounds, Hand(pool.clone())));
            (Some((pool, meters)), batches, door)
        }
        other => {
            if let Some(Err(why)) = other {
                tracing::error!("readers can't be started ({why}); all is read on one core");
            }
            let here = listener::LocalReader { bounds: bounds.clone(), inputs: at_door };
            (None, mpsc::channel(1).1, Task::spawn(listener::listen(listener, bounds, here)))
        }
    };
    let mut turn = Loop::new(start, clock, inbox, (calls, relay), fronts, pool);
    turn.apply(Event::Started);
    turn.apply(Event::SubsettingConfigured(start.fleet.clone()));
    turn.want(start);
    turn.fronts.read_store();
    loop {
        turn.wake = None;
        turn.watch_wall();
        turn.look_after();
        turn.read_again(start);
        turn.count_bytes();
        turn.apply(Event::InputDrained);
        turn.backs.clear();
        turn.next();
        let longest = if turn.pool.is_some() { LOOK_EACH } else { LONGEST_SLEEP };
        let longest = if turn.reads.is_some() { limits::RETRY_BACKOFF } else { longest };
        let wait = turn.wake.map_or(longest, |at| turn.clock.until(at).min(longest));
        tokio::select! {
            biased;
            signal = signals.come() => match signal {
                Signal::End(why) => {
                    turn.end(why, signals, [&mut arrived, &mut reports], &mut batches).await;
                    return why;
                }
                Signal::ReadAnew => turn.read_anew(start),
            },
            Some(word) = turn.fronts.words.recv() => turn.word(word),
            Some(asked) = turn.fronts.asked.recv() => turn.asked(asked),
            Some(first) = arrived.recv() => turn.take(first),
            Some(first) = reports.recv() => turn.take(first),
            Some(first) = batches.recv() => turn.batch(first),
            _ = sleep(wait) => {}
        }
        for inbox in [&mut arrived, &mut reports] {
            turn.take_all(inbox);
        }
        for _ in 0..readers::BATCHES {
            let Ok(batch) = batches.try_recv() else { break };
            turn.batch(batch);
        }
        turn.take_asked();
    }
}

/// Something that is followed; what an earlier attempt still says is nobody's.
struct Follow {
    id: WatchId,
    _task: Task,
}

struct Loop<'a> {
    clock: Clock,
    wall: WallClockMonitor,
    /// Who reads, where that is not this thread, and what is counted of it.
    pool: Option<(Rc<RefCell<Pool>>, Arc<Meters>)>,
    looked: Moment,
    fronts: &'a mut Fronts,
    /// Of this turn: what comes in it, and the call that it leads to, stand in the log under its number.
    span: Span,
    turns: u64,
    reducer: Reducer,
    inbox: InputSender,
    calls: Sender<relay_requests::RelayRequest>,
    /// Where calls may be made; nowhere once we are to end.
    relay: watch::Sender<Option<SocketAddr>>,
    /// One is being made.
    calling: bool,
    discovery: awc::Client,
    news: Option<Follow>,
    list: Option<Follow>,
    /// The list asked for once more, beside the watch that goes on until this one speaks.
    renewed: Option<Follow>,
    /// When a file that could not be used is read again, and until when: it may have been half written.
    reads: Option<(Moment, Moment)>,
    follows: WatchId,
    wake: Option<Moment>,
    /// The ways back of those who spoke in this turn.
    backs: BTreeMap<ConnectionId, Sender<ConnectionCommand>>,
    /// Bytes that came at our address in this turn.
    received: u64,
}

impl<'a> Loop<'a> {
    fn new(
        start: &Start,
        clock: Clock,
        inbox: InputSender,
        (calls, relay): (Sender<relay_requests::RelayRequest>, watch::Sender<Option<SocketAddr>>),
        fronts: &'a mut Fronts,
        pool: Option<(Rc<RefCell<Pool>>, Arc<Meters>)>,
    ) -> Self {
        let reducer =
            Reducer::start(start.settings.clone(), start.targets, start.seed, &start.known, clock.now());
        let discovery = awc::Client::builder().disable_timeout().finish();
        let (news, list, renewed, wake, backs) = (None, None, None, None, BTreeMap::new());
        let (wall, span, turns, follows) = (WallClockMonitor::default(), Span::none(), 0, 0);
        Loop {
            clock,
            wall,
            pool,
            looked: clock.now(),
            fronts,
            span,
            turns,
            reducer,
            inbox,
            calls,
            relay,
            calling: false,
            discovery,
            news,
            list,
            renewed,
            reads: None,
            follows,
            wake,
            backs,
            received: 0,
        }
    }

    /// No call is made any more. One that was written is waited for: the successor reads the store, and what is
    /// carried out behind that would be none of its orders. Who has asked something by now hears an answer.
    async fn end(
        &mut self,
        why: &'static str,
        signals: &mut Signals,
        [arrived, reports]: [&mut Receiver<Input>; 2],
        batches: &mut Receiver<Batch>,
    ) {
        tracing::info!("{why}: no more calls{}", if self.calling { ", one is open" } else { "" });
        self.relay.send_replace(None);
        let end = Instant::now() + limits::SHUTDOWN_TIMEOUT;
        loop {
            let idle = timeout_at(end, sleep(limits::SHUTDOWN_QUIET_PERIOD));
            tokio::select! {
                biased;
                signal = signals.come() => match signal {
                    Signal::End(why) => return tracing::info!("{why} too: nothing is waited for"),
                    Signal::ReadAnew => {}
                },
                _ = sleep_until(end) => return,
                Some(input) = arrived.recv() => {
                    let answers = matches!(input, Input::RelayResponse(_));
                    self.take(input);
                    _ = answers.then(|| tracing::info!("the open call has its outcome"));
                }
                Some(input) = reports.recv() => self.take(input),
                Some(batch) = batches.recv() => self.batch(batch),
                _ = idle, if !self.calling => return,
            }
        }
    }

    /// A file that can't be used, or is only half there, changes nothing, and is read again for a while: who writes
    /// it may not be through.
    fn read_anew(&mut self, start: &mut Start) {
        match self.take_over(start) {
            Ok(()) => self.reads = None,
            Err(wrong) => {
                tracing::error!("configuration: {wrong}; all stays as it was");
                let now = self.clock.now();
                self.reads = Some((
                    now + limits::span(limits::RETRY_BACKOFF),
                    now + limits::span(limits::CONFIG_REREAD_PERIOD),
                ));
            }
        }
    }

    fn read_again(&mut self, start: &mut Start) {
        let now = self.clock.now();
        let Some((_, until)) = self.reads.filter(|(at, _)| *at <= now) else { return };
        let is_over = self.take_over(start).is_ok() || now >= until;
        self.reads = (!is_over).then_some((now + limits::span(limits::RETRY_BACKOFF), until));
    }

    fn take_over(&mut self, start: &mut Start) -> Result<(), String> {
        let left = start.read_anew()?;
        let targets = start.targets;
        tracing::info!("SIGHUP: relay at {}, discovery at {}", targets.relay, targets.discovery);
        for key in left {
            tracing::warn!("configuration: {key} has changed, which only a new start takes over");
        }
        self.relay.send_replace(Some(targets.relay));
        self.apply(Event::Configured(targets));
        self.apply(Event::SubsettingConfigured(start.fleet.clone()));
        if let Err(wrong) = self.fronts.follow(&start.name, start.operators.as_ref()) {
            tracing::error!("{wrong}");
        }
        self.want(start);
        Ok(())
    }

    /// What the operators' file says of overrides, where there is one.
    fn want(&mut self, start: &Start) {
        if let Some(file) = &start.operators {
            let (bounds, orders) = (file.override_limits.clone(), file.overrides.clone());
            let wanted = OverrideConfig { bounds, orders, has_store: self.fronts.has_store() };
            self.apply(Event::OperatorConfigChanged(wanted, Clock::reading()));
        }
    }

    fn watch_wall(&mut self) {
        let (now, wall) = (self.clock.now(), Clock::wall());
        if self.wall.has_stepped(now, wall) {
            tracing::warn!("the wall's clock was stepped");
            self.apply(Event::WallStepped(wall));
        }
    }

    /// The reducer is told once a turn, and not with each line.
    fn count_bytes(&mut self) {
        let bytes = std::mem::take(&mut self.received);
        if bytes > 0 {
            self.apply(Event::ReportBytes(bytes));
        }
    }

    /// A new turn: from here on all stands under its number.
    fn next(&mut self) {
        self.turns += 1;
        self.span = debug_span!("turn", n = self.turns);
    }

    fn word(&mut self, word: StoreReply) {
        let event = match word {
            StoreReply::Opened(found) => {
                if let Some(aside) = found.set_aside {
                    let path = aside.path.display();
                    tracing::error!(%path, reason = %aside.reason, "override store file is corrupt, set aside");
                }
                let (records, stamp) = (found.records, found.stamp);
                Event::StoreRead { records, stamp, reading: Clock::reading() }
            }
            StoreReply::Unavailable(why) => Event::StoreNotRead(why.to_string()),
            StoreReply::Written { serial, outcome } => {
                Event::Saved { serial, outcome: outcome.map_err(|why| why.to_string()) }
            }
        };
        self.apply(event);
    }

    fn asked(&mut self, PendingRequest { request, reply_to }: PendingRequest) {
        let ticket = self.fronts.ticket(reply_to);
        tracing::debug!("asked: {request:?}");
        if request == Request::Metrics {
            let readers = self.pool.as_ref().map(|(_, meters)| &**meters);
            let freshness = self.reducer.report_freshness(self.clock.now());
            let measured_load = self.reducer.total_measured_load();
            let reports = freshness.map(|freshness| ReportFigures { freshness, measured_load });
            if readers.is_some() || reports.is_some() {
                let text = meters::text(readers, reports.as_ref());
                return self.fronts.reply(ticket, Reply::Metrics(text));
            }
        }
        self.apply(Event::ManagementRequest { ticket, request });
    }

    /// Of words and requests no more than one turn's worth: neither can hold up the rest.
    fn take_asked(&mut self) {
        while let Ok(word) = self.fronts.words.try_recv() {
            self.word(word);
        }
        for _ in 0..fronts::ROOM {
            let Ok(asked) = self.fronts.asked.try_recv() else { return };
            self.asked(asked);
        }
    }

    fn follow(&mut self, work: impl FnOnce(WatchId) -> Task) -> Option<Follow> {
        self.follows += 1;
        Some(Follow { id: self.follows, _task: work(self.follows) })
    }

    fn follow_list(&mut self, discovery: SocketAddr, since: u64) -> Option<Follow> {
        let url = format!("http://{discovery}{}", discovery::watch_path(since));
        let (client, inbox) = (self.discovery.clone(), self.inbox.clone());
        self.follow(|id| Task::spawn(registry_watch::follow(id, client, url, inbox)))
    }

    /// No more than fit in the inbox at once: what arrives meanwhile is for the next turn.
    fn take_all(&mut self, inbox: &mut Receiver<Input>) {
        for _ in 0..limits::MAX_QUEUED_INPUTS {
            let Ok(input) = inbox.try_recv() else { return };
            self.take(input);
        }
    }

    fn take(&mut self, input: Input) {
        if let Some(event) = self.event(input) {
            self.apply(event);
        }
    }

    fn event(&mut self, input: Input) -> Option<Event> {
        let unreadable = |wrong: DecodeError| StreamError::Unreadable(wrong.to_string());
        Some(match input {
            Input::Line { from, line, back, .. } => {
                tracing::debug!("from {from}: {line}");
                self.received += line.len() as u64 + 1;
                self.backs.insert(from, back);
                match collector::decode(&line) {
                    Ok(message) => Event::Message { from, message },
                    Err(error) => Event::Invalid { from, error },
                }
            }
            Input::Disconnected(id, chunks) => {
                if let Some((pool, _)) = &self.pool {
                    let due = pool.borrow_mut().ends(self.clock.now(), id, chunks);
                    self.due(id, due);
                    return None;
                }
                Event::Disconnected(id)
            }
            Input::WatchLine(id, _) if self.news.as_ref().is_none_or(|news| news.id != id) => return None,
            Input::RegistryLine(id, Ok(_))
                if self.renewed.as_ref().is_some_and(|renewed| renewed.id == id) =>
            {
                self.list = self.renewed.take();
                return self.event(input);
            }
            Input::RegistryLine(id, _) if self.list.as_ref().is_none_or(|list| list.id != id) => return None,
            Input::WatchLine(_, Err(why)) => Event::WatchLost(why),
            Input::RegistryLine(_, Err(why)) => Event::RegistryLost(why),
            Input::WatchLine(_, Ok(line)) => match relay::decode_event(&line) {
                Ok(news) => {
                    tracing::debug!("news: {line}");
                    Event::Relay(news)
                }
                Err(wrong) => {
                    self.news = None;
                    Event::WatchLost(unreadable(wrong))
                }
            },
            Input::RelayResponse(outcome) => {
                tracing::debug!("answer: {outcome:?}");
                self.calling = false;
                let unclear = |wrong| RequestError::OutcomeUnknown(unreadable(wrong));
                Event::RelayReply(outcome.and_then(|line| relay::decode_response(&line).map_err(unclear)))
            }
            Input::UnsolicitedResponse => Event::UnexpectedReply,
            Input::RegistryLine(_, Ok(line)) => match discovery::decode(&line) {
                Ok(list) => {
                    let list = list?; // nothing but a sign of life
                    tracing::debug!("list: version {}, {} entries", list.version, list.entries.len());
                    Event::Registry(list)
                }
                Err(wrong) => {
                    self.list = None;
                    Event::RegistryLost(unreadable(wrong))
                }
            },
        })
    }

    /// What has come of a chunk, and of others that waited for it.
    fn batch(&mut self, batch: Batch) {
        let Some((pool, _)) = &self.pool else { return };
        let from = batch.info.from;
        let due = pool.borrow_mut().come(self.clock.now(), batch);
        self.due(from, due);
    }

    fn due(&mut self, from: ConnectionId, due: Due<Batch>) {
        for batch in due.chunks {
            tracing::debug!("chunk {} of {from}, by reader {}", batch.info.number, batch.core);
            self.received += batch.info.bytes as u64;
            self.backs.insert(from, batch.back);
            for item in batch.items {
                self.apply(match item {
                    Item::Reports(reports) => Event::Reports { from, reports },
                    Item::Message(message) => Event::Message { from, message },
                    Item::Invalid(error) => Event::Invalid { from, error },
                    Item::Lost => {
                        tracing::error!("a panic over what {from} said; it is let go");
                        self.back(from, ConnectionCommand::Close(None));
                        Event::Disconnected(from)
                    }
                });
            }
            if let Some((_, meters)) = &self.pool {
                meters.applied(batch.info.at.elapsed());
            }
        }
        if due.ended {
            self.apply(Event::Disconnected(from));
        }
    }

    /// Readers are told of new names at once, and looked at now and then.
    fn look_after(&mut self) {
        let Some((pool, _)) = &self.pool else { return };
        let published = pool.borrow().published();
        if let Some(known) = self.reducer.report_names(Some(published)) {
            pool.borrow().publish(known);
        }
        let now = self.clock.now();
        if now - self.looked < whinwall_policy::time::Span::ns(LOOK_EACH.as_nanos() as u64) {
            return;
        }
        self.looked = now;
        let heard = pool.borrow_mut().look(now);
        for heard in heard {
            match heard {
                Heard::Note(text) => tracing::warn!("{text}"),
                Heard::Lost(ids) => ids.into_iter().for_each(|id| self.apply(Event::Disconnected(id))),
            }
        }
    }

    fn apply(&mut self, event: Event) {
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

    /// Whoever asks and does not read loses answers, then its connection, and costs us no time.
    fn back(&self, to: ConnectionId, back: ConnectionCommand) {
        _ = self.backs.get(&to).map(|way| way.try_send(back));
    }

    fn carry_out(&mut self, effect: Effect) {
        let ends = self.relay.borrow().is_none();
        match effect {
            // Who is to end learns nothing more, and orders nothing.
            Effect::RelayRequest { .. }
            | Effect::WatchRelay { .. }
            | Effect::WatchRegistry { .. }
            | Effect::RenewRegistryWatch { .. }
                if ends => {}
            Effect::Pong { to } => {
                self.back(to, ConnectionCommand::Send(collector::encode(collector::Reply::Pong)))
            }
            Effect::Admit { to } => self.back(to, ConnectionCommand::Admit),
            Effect::Disconnect { to, why } => {
                let last = why.map(|why| collector::encode(collector::Reply::Nack { why }));
                self.back(to, ConnectionCommand::Close(last));
            }
            Effect::RelayRequest { relay, line, needs_new_connection } => {
                tracing::debug!("call: {line}");
                // One is made at a time: there is room.
                self.calling = true;
                _ = self.calls.try_send(relay_requests::RelayRequest { relay, line, needs_new_connection });
            }
            Effect::WatchRelay { relay } => {
                let inbox = self.inbox.clone();
                self.news = self
                    .follow(|id| Task::spawn(relay_watch::follow(id, relay, relay::WATCH_REQUEST, inbox)));
            }
            Effect::WatchRegistry { discovery, since } => {
                self.renewed = None;
                self.list = self.follow_list(discovery, since);
            }
            Effect::RenewRegistryWatch { discovery, since } => {
                self.renewed = self.follow_list(discovery, since)
            }
            Effect::Save { serial, puts, drops, line } => {
                let stamp =
                    ClockStamp { position: line.to_persistent(self.clock.now()), reading: Clock::reading() };
                let batch =
                    WriteBatch { writes: puts, removals: drops, stamp: encoding::encode_stamp(&stamp) };
                if !self.fronts.keep(serial, batch) {
                    self.apply(Event::Saved { serial, outcome: Err("the keeper is busy".into()) });
                }
            }
            Effect::Reply { ticket, reply } => self.fronts.reply(ticket, reply),
            Effect::WakeAt(at) => self.wake = Some(at),
            Effect::Log(text) => tracing::info!("{text}"),
        }
    }
}
