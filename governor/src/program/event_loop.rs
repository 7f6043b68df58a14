//! The loop: takes all that has arrived, decodes it, feeds the reducer, and carries out what it asks for.

use super::clock::Clock;
use super::configuration::Start;
use super::signals::{Signal, Signals};
use crate::protocol::collector::{self, Reply};
use crate::protocol::{discovery, relay, Malformed};
use crate::routing::{Effect, Event, Reducer};
use crate::transport::{calls, limits, listener, news, watch};
use crate::transport::{Back, Broken, CallError, ConnectionId, FollowId, Inbox, Input};
use actix_rt::net::TcpListener;
use actix_rt::task::JoinHandle;
use actix_rt::time::sleep;
use futures_util::FutureExt;
use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::{self, Receiver, Sender};
use whinwall::time::Moment;

/// Wakes so often at least, whatever the reducer asks for.
const LONGEST_SLEEP: Duration = Duration::from_secs(1);
/// A former process may hold our address a moment longer.
const BIND_ATTEMPTS: u32 = 50;

/// Serves until a signal ends it. A panic costs what the reducer remembered, as a restart would, and not the
/// process: the relay and discovery know all that stands.
pub async fn serve(mut start: Start, mut signals: Signals) -> Result<&'static str, String> {
    let listener = tokio::select! {
        biased;
        listener = bind(start.listen) => Rc::new(listener?),
        why = until_end(&mut signals) => return Ok(why),
    };
    let address = listener.local_addr().map_err(|why| format!("listen: {why}"))?;
    log::info!("{} serves at {address}", start.name);
    loop {
        let life = live(&mut start, listener.clone(), &mut signals);
        match AssertUnwindSafe(life).catch_unwind().await {
            Ok(why) => return Ok(why),
            Err(_) => log::error!("a panic; starting again from what relay and discovery know"),
        }
        sleep(limits::PAUSE).await;
    }
}

/// The file is read only now and has nothing newer: other signals are passed over.
async fn until_end(signals: &mut Signals) -> &'static str {
    loop {
        if let Signal::End(why) = signals.come().await {
            return why;
        }
    }
}

async fn bind(listen: SocketAddr) -> Result<TcpListener, String> {
    let mut attempts = 0;
    loop {
        match TcpListener::bind(listen).await {
            Ok(listener) => return Ok(listener),
            Err(why) if attempts == BIND_ATTEMPTS => return Err(format!("listen: {listen}: {why}")),
            Err(_) => attempts += 1,
        }
        sleep(limits::PAUSE).await;
    }
}

async fn live(start: &mut Start, listener: Rc<TcpListener>, signals: &mut Signals) -> &'static str {
    // Two inboxes, so that whoever floods our address delays neither relay nor discovery.
    let (inbox, mut arrived) = mpsc::channel(limits::INBOX);
    let (at_door, mut reports) = mpsc::channel(limits::INBOX);
    let (calls, to_make) = mpsc::channel(1);
    let bounds = listener::Bounds::new(start.connections, start.line_bytes);
    let _calls = Task::spawn(calls::serve(to_make, inbox.clone()));
    let _door = Task::spawn(listener::listen(listener, bounds, at_door));
    let mut turn = Loop::new(start, inbox, calls);
    turn.apply(Event::Started);
    loop {
        turn.wake = None;
        turn.apply(Event::Quiet);
        turn.backs.clear();
        let wait = turn.wake.map_or(LONGEST_SLEEP, |at| turn.clock.until(at).min(LONGEST_SLEEP));
        tokio::select! {
            biased;
            signal = signals.come() => match signal {
                Signal::End(why) => return why,
                Signal::ReadAnew => turn.read_anew(start),
            },
            Some(first) = arrived.recv() => turn.take(first),
            Some(first) = reports.recv() => turn.take(first),
            _ = sleep(wait) => {}
        }
        for inbox in [&mut arrived, &mut reports] {
            turn.take_all(inbox);
        }
    }
}

/// Ends with its handle.
struct Task(JoinHandle<()>);

impl Task {
    fn spawn(work: impl Future<Output = ()> + 'static) -> Self {
        Task(actix_rt::spawn(work))
    }
}

impl Drop for Task {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Something that is followed; what an earlier attempt still says is nobody's.
struct Follow {
    id: FollowId,
    _task: Task,
}

struct Loop {
    clock: Clock,
    reducer: Reducer,
    inbox: Inbox,
    calls: Sender<calls::Call>,
    discovery: awc::Client,
    news: Option<Follow>,
    list: Option<Follow>,
    follows: FollowId,
    wake: Option<Moment>,
    /// The ways back of those who spoke in this turn.
    backs: BTreeMap<ConnectionId, Sender<Back>>,
}

impl Loop {
    fn new(start: &Start, inbox: Inbox, calls: Sender<calls::Call>) -> Self {
        let clock = Clock::start();
        let reducer =
            Reducer::start(start.briefing.clone(), start.targets, start.seed, &start.known, clock.now());
        let discovery = awc::Client::builder().disable_timeout().finish();
        let (news, list, wake, backs) = (None, None, None, BTreeMap::new());
        Loop { clock, reducer, inbox, calls, discovery, news, list, follows: 0, wake, backs }
    }

    /// A file that can't be used, or is only half there, changes nothing.
    fn read_anew(&mut self, start: &mut Start) {
        match start.read_anew() {
            Ok(left) => {
                let targets = start.targets;
                log::info!("SIGHUP: relay at {}, discovery at {}", targets.relay, targets.discovery);
                for key in left {
                    log::warn!("configuration: {key} has changed, which only a new start takes over");
                }
                self.apply(Event::Configured(targets));
            }
            Err(wrong) => log::error!("configuration: {wrong}; all stays as it was"),
        }
    }

    fn follow(&mut self, work: impl FnOnce(FollowId) -> Task) -> Option<Follow> {
        self.follows += 1;
        Some(Follow { id: self.follows, _task: work(self.follows) })
    }

    /// No more than fit in the inbox at once: what arrives meanwhile is for the next turn.
    fn take_all(&mut self, inbox: &mut Receiver<Input>) {
        for _ in 0..limits::INBOX {
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
        let unreadable = |wrong: Malformed| Broken::Unreadable(wrong.to_string());
        Some(match input {
            Input::Line { from, line, back, .. } => {
                log::debug!("from {from}: {line}");
                self.backs.insert(from, back);
                match collector::decode(&line) {
                    Ok(message) => Event::Message { from, message },
                    Err(wrong) => Event::Wrong { from, wrong },
                }
            }
            Input::Ended(id) => Event::Ended(id),
            Input::News(id, _) if self.news.as_ref().is_none_or(|news| news.id != id) => return None,
            Input::List(id, _) if self.list.as_ref().is_none_or(|list| list.id != id) => return None,
            Input::News(_, Err(why)) => Event::NewsLost(why),
            Input::List(_, Err(why)) => Event::ListLost(why),
            Input::News(_, Ok(line)) => match relay::decode_news(&line) {
                Ok(news) => {
                    log::debug!("news: {line}");
                    Event::News(news)
                }
                Err(wrong) => {
                    self.news = None;
                    Event::NewsLost(unreadable(wrong))
                }
            },
            Input::Answer(outcome) => {
                log::debug!("answer: {outcome:?}");
                let unclear = |wrong| CallError::OutcomeUnknown(unreadable(wrong));
                Event::Answer(outcome.and_then(|line| relay::decode_answer(&line).map_err(unclear)))
            }
            Input::List(_, Ok(line)) => match discovery::decode(&line) {
                Ok(list) => {
                    let list = list?; // nothing but a sign of life
                    log::debug!("list: version {}, {} entries", list.version, list.entries.len());
                    Event::List(list)
                }
                Err(wrong) => {
                    self.list = None;
                    Event::ListLost(unreadable(wrong))
                }
            },
        })
    }

    fn apply(&mut self, event: Event) {
        for effect in self.reducer.apply(self.clock.now(), event) {
            self.carry_out(effect);
        }
    }

    /// Whoever asks and does not read loses answers, then its connection, and costs us no time.
    fn back(&self, to: ConnectionId, back: Back) {
        _ = self.backs.get(&to).map(|way| way.try_send(back));
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Pong { to } => self.back(to, Back::Say(collector::encode(Reply::Pong))),
            Effect::Keep { to } => self.back(to, Back::Keep),
            Effect::LetGo { to, why } => {
                let last = why.map(|why| collector::encode(Reply::Nack { why }));
                self.back(to, Back::End(last));
            }
            Effect::Call { relay, line, afresh } => {
                log::debug!("call: {line}");
                // One is made at a time: there is room.
                _ = self.calls.try_send(calls::Call { relay, line, afresh });
            }
            Effect::FollowNews { relay } => {
                let inbox = self.inbox.clone();
                self.news = self.follow(|id| Task::spawn(news::follow(id, relay, relay::WATCH, inbox)));
            }
            Effect::FollowList { discovery, since } => {
                let url = format!("http://{discovery}{}", discovery::watch_path(since));
                let (client, inbox) = (self.discovery.clone(), self.inbox.clone());
                self.list = self.follow(|id| Task::spawn(watch::follow(id, client, url, inbox)));
            }
            Effect::WakeAt(at) => self.wake = Some(at),
            Effect::Note(text) => log::info!("{text}"),
        }
    }
}
