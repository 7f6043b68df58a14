//! The loop: takes all that has arrived, decodes it, feeds the reducer, and carries out what it asks for.

use super::configuration::Start;
use super::signals::Signals;
use crate::protocol::{collector, discovery, relay};
use crate::routing::{Effect, Event, Reducer};
use crate::transport::{calls, limits, listener, news, watch, Broken, CallError, ConnectionId, Inbox, Input};
use actix_rt::net::TcpListener;
use actix_rt::task::JoinHandle;
use std::collections::BTreeMap;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::mpsc;
use whinwall::time::{Moment, Span};

/// The wall's time at the start, and from then on a clock that never jumps.
struct Clock {
    wall: Moment,
    start: Instant,
}

impl Clock {
    fn start() -> Self {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { wall: Moment::at_ns(wall.as_nanos() as u64), start: Instant::now() }
    }

    fn now(&self) -> Moment {
        self.wall + Span::ns(self.start.elapsed().as_nanos() as u64)
    }
}

struct Loop {
    start: Start,
    clock: Clock,
    reducer: Reducer,
    inbox: Inbox,
    calls: mpsc::Sender<String>,
    discovery: awc::Client,
    news: Option<JoinHandle<()>>,
    list: Option<JoinHandle<()>>,
    wake: Option<Moment>,
    /// The ways back of those who spoke in this turn.
    backs: BTreeMap<ConnectionId, mpsc::Sender<String>>,
}

pub async fn serve(start: Start) -> Result<String, String> {
    let mut signals = Signals::listen().map_err(|why| format!("signals: {why}"))?;
    let listener = TcpListener::bind(start.listen).await;
    let listener = listener.map_err(|why| format!("listen: {}: {why}", start.listen))?;
    let (inbox, mut arrived) = mpsc::channel(limits::INBOX);
    let (calls, to_make) = mpsc::channel(1);
    actix_rt::spawn(calls::serve(start.relay, to_make, inbox.clone()));
    actix_rt::spawn(listener::listen(listener, start.connections, inbox.clone()));
    log::info!("{} serves at {}", start.name, start.listen);
    let clock = Clock::start();
    let reducer = Reducer::start(start.briefing.clone(), start.seed, &start.known, clock.now());
    let discovery = awc::Client::builder().disable_timeout().finish();
    let (news, list, wake, backs) = (None, None, None, BTreeMap::new());
    let mut turn = Loop { start, clock, reducer, inbox, calls, discovery, news, list, wake, backs };
    turn.apply(Event::Started);
    turn.apply(Event::Quiet);
    loop {
        let wait = turn
            .wake
            .map_or(Duration::from_secs(1), |at| Duration::from_nanos((at - turn.clock.now()).as_ns()));
        tokio::select! {
            biased;
            signal = signals.come() => return Ok(signal.into()),
            Some(first) = arrived.recv() => {
                turn.take(first);
                while let Ok(more) = arrived.try_recv() {
                    turn.take(more);
                }
            }
            _ = actix_rt::time::sleep(wait) => {}
        }
        turn.apply(Event::Quiet);
        turn.backs.clear();
    }
}

impl Loop {
    fn take(&mut self, input: Input) {
        let event = match input {
            Input::Line { from, line, back } => match collector::decode(&line) {
                Ok(message) => {
                    self.backs.insert(from, back);
                    Event::Message { from, message }
                }
                Err(wrong) => {
                    log::warn!("connection {from}: {wrong}");
                    return;
                }
            },
            Input::News(line) => match relay::decode_news(&line) {
                Ok(news) => {
                    log::debug!("news: {line}");
                    Event::News(news)
                }
                Err(wrong) => {
                    log::warn!("news: {wrong}");
                    self.news.take().inspect(|task| task.abort());
                    Event::NewsLost
                }
            },
            Input::NewsLost(why) => {
                log::warn!("the relay's news ended: {why}");
                Event::NewsLost
            }
            Input::Answer(outcome) => Event::Answer(outcome.and_then(|line| {
                log::debug!("answer: {line}");
                relay::decode_answer(&line)
                    .map_err(|wrong| CallError::OutcomeUnknown(Broken::Unreadable(wrong.to_string())))
            })),
            Input::List(line) => match discovery::decode(&line) {
                Ok(Some(list)) => {
                    log::debug!("list: version {}, {} entries", list.version, list.entries.len());
                    Event::List(list)
                }
                Ok(None) => return,
                Err(wrong) => {
                    log::warn!("discovery: {wrong}");
                    self.list.take().inspect(|task| task.abort());
                    Event::ListLost
                }
            },
            Input::ListLost(why) => {
                log::warn!("discovery's watch ended: {why}");
                Event::ListLost
            }
        };
        self.apply(event);
    }

    fn apply(&mut self, event: Event) {
        let now = self.clock.now();
        for effect in self.reducer.apply(now, event) {
            self.carry_out(effect);
        }
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Pong { to } => {
                let back = self.backs.get(&to);
                // Whoever asks and does not read loses answers, not we our time.
                back.into_iter().for_each(|back| _ = back.try_send(collector::PONG.into()));
            }
            Effect::Call(call) => {
                log::debug!("call: {call}");
                _ = self.calls.try_send(call);
            }
            Effect::FollowNews => {
                let task = news::follow(self.start.relay, relay::WATCH, self.inbox.clone());
                self.news.replace(actix_rt::spawn(task)).into_iter().for_each(|old| old.abort());
            }
            Effect::FollowList { since } => {
                let url = format!("http://{}{}", self.start.discovery, discovery::watch_path(since));
                let task = watch::follow(self.discovery.clone(), url, self.inbox.clone());
                self.list.replace(actix_rt::spawn(task)).into_iter().for_each(|old| old.abort());
            }
            Effect::WakeAt(at) => self.wake = Some(at),
            Effect::Note(text) => log::info!("{text}"),
        }
    }
}
