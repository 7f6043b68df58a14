//! A day: what happens one after the other, in virtual time. The same sizes, troubles and seed make the same
//! day.

use crate::channel::{self, Channel, Store};
use crate::policy::{self, Policy};
use crate::proxy::{Obeyed, Proxy};
use crate::rules::{Rules, Violation};
use crate::server::{Job, Offer, Server, State};
use crate::sizes::{Care, OpKind, Sizes};
use crate::trouble::{Odd, Trouble, What};
use crate::{ProxyIx, ServerIx, SliceIx};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use whinwall::chance::Chance;
use whinwall::time::{Moment, Span};
use whinwall_governor::protocol::collector::{Asked, Message, Met};
use whinwall_governor::protocol::discovery;
use whinwall_governor::protocol::relay::{decode_news, Answer};
use whinwall_governor::routing::overrides::Wanted;
use whinwall_governor::routing::{Effect, Event, Reducer};
use whinwall_governor::transport::{Broken, CallError, Targets};
use whinwall_management::ask::Request;
use whinwall_overrides::{Ask, Bounds, Kind, Order, Reading};

/// The wall's time at which a day begins.
const MORNING: Span = Span::ms(1_800_000_000_000);
const WAY: Span = Span::ms(1);
const FAR_WAY: Span = Span::ms(4);
const MUTE: Span = Span::ms(150);
const AGAIN: Span = Span::ms(300);
const COMEBACKS: u32 = 2;
/// Until another governor is given the slices of one that was killed, and until one that is back has its own;
/// within which time proxies come over to it.
const TAKEN_OVER: Span = Span::ms(1500);
const GIVEN_BACK: Span = Span::ms(2000);
const COME_OVER: Span = Span::ms(4000);
/// Of servers that are replaced, half drain so much after the others.
const SECOND_WAVE: Span = Span::ms(3000);
/// The rules' time begins no sooner than so long after a governor's start.
const STARTING: Span = Span::ms(1000);
/// Before figures count: the fleet finds its feet.
const SETTLING: Span = Span::ms(5000);

/// Where a governor is a program of its own: what is said to it goes out as lines, on whatever ways there
/// are.
pub trait Wire {
    fn news(&mut self, line: &str);
    fn cut_news(&mut self);
    fn list(&mut self, line: &str);
    fn cut_list(&mut self);
    fn report(&mut self, place: usize, line: &str);
    /// To the call that is open; none where it gets no answer.
    fn answer(&mut self, line: Option<&str>);
}

/// What such a program has said.
#[derive(Clone, Debug, PartialEq)]
pub enum Heard {
    /// It asks for the news, or for the list.
    Watch,
    List,
    Call(String),
}

/// What a day came to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outcome {
    /// Payoff served within its target, of all that was asked for.
    pub service: f64,
    pub ops: u64,
    pub acked: u64,
    pub late: u64,
    pub rejected: u64,
    pub aborted: u64,
    pub orders: u64,
    /// Orders that gave a slice another owner, or one more.
    pub moves: u64,
    pub most_lines: f64,
    pub verdicts: u64,
    pub violations: Vec<Violation>,
    pub broken: BTreeMap<u8, usize>,
}

struct Op {
    slice: SliceIx,
    kind: usize,
    key: u32,
    proxy: ProxyIx,
    came: Moment,
    /// Of the newest try: its number, and where it went.
    attempt: u32,
    server: Option<ServerIx>,
    /// Further tries and comebacks that it had.
    tries: u8,
    comebacks: u32,
}

enum Step {
    Arrive,
    Reaches {
        server: ServerIx,
        job: Job,
    },
    Done {
        server: ServerIx,
        life: u64,
        job: Job,
    },
    Back {
        server: ServerIx,
        job: Job,
        answer: Back,
    },
    GivenUp {
        op: u64,
        attempt: u32,
    },
    ComesAgain {
        op: u64,
    },
    Report,
    Watch,
    Channel(usize),
    To(usize, u64, Box<Event>),
    /// The list, to a governor of this life.
    Told(usize, u64, Box<discovery::List>),
    News(usize, u64, String),
    Quiet(usize, u64),
    Call(usize, u64, String),
    Begins(usize),
    Ends(usize),
    /// The next server of a release, and what is done with it.
    Release {
        server: ServerIx,
        to: ServerIx,
        stage: u8,
    },
    Alive,
    TakeOver(usize),
    GiveBack(usize),
    ComesOver {
        governor: usize,
        proxy: ProxyIx,
    },
}

#[derive(Clone, Copy, PartialEq)]
enum Back {
    Acked,
    Refused,
    Failed,
}

struct Governor {
    reducer: Option<Reducer>,
    wire: Option<Box<dyn Wire>>,
    channel: Channel,
    follows: bool,
    /// Grows with each life; what was meant for an earlier one is lost.
    life: u64,
    quiet: Option<Moment>,
    born: Moment,
    /// Since when it knows which servers drain.
    told: BTreeMap<ServerIx, Moment>,
}

#[derive(Clone, Copy, Default)]
struct Seen {
    tries: f64,
    aborted: f64,
    busy: f64,
}

pub struct Day {
    sizes: Sizes,
    policy: Policy,
    now: Moment,
    chance: Chance,
    agenda: BTreeMap<(Moment, u64), Step>,
    steps: u64,
    servers: Vec<Server>,
    names: BTreeMap<String, ServerIx>,
    proxies: Vec<Proxy>,
    governors: Vec<Governor>,
    store: Store,
    /// By slice, whose it is.
    holders: Vec<usize>,
    given: Vec<Moment>,
    garbled: f64,
    /// By server, as discovery lists it; its version.
    listed: Vec<&'static str>,
    version: u64,
    /// How the list is told now, and what was told last.
    odd: Option<Odd>,
    list_before: Option<discovery::List>,
    ops: BTreeMap<u64, Op>,
    next_op: u64,
    /// By slice, how much comes for it.
    heat: Vec<f64>,
    burst: f64,
    troubles: Vec<Trouble>,
    relay_away: bool,
    relay_mute: bool,
    discovery_away: bool,
    /// Until then a governor, the relay or the list could not be heard: what follows from that is no fault.
    excused: Moment,
    met: BTreeMap<(usize, ServerIx), Seen>,
    asked: BTreeMap<(SliceIx, usize), (f64, f64)>,
    out: BTreeMap<(ProxyIx, ServerIx), u32>,
    meddler: Option<Meddler>,
    /// Whose time-line is kept.
    about: Option<String>,
    told: Vec<(Span, String)>,
    rules: Rules,
    outcome: Outcome,
    payoff: (f64, f64),
}

pub fn play(sizes: &Sizes, policy: Policy, troubles: &[Trouble], seed: u64) -> Outcome {
    let mut day = Day::new(sizes.clone(), policy, troubles.to_vec(), seed);
    day.run();
    day.outcome
}

/// A day, and the time-line of one server or slice: what befell it, what was said of it, ordered for it and
/// decided about it, and what it did each second.
pub fn play_told(
    sizes: &Sizes,
    troubles: &[Trouble],
    seed: u64,
    about: &str,
) -> (Outcome, Vec<(Span, String)>) {
    let mut day = Day::new(sizes.clone(), Policy::Governed, troubles.to_vec(), seed);
    day.about = Some(about.to_string());
    day.run();
    (day.outcome, day.told)
}

/// What somebody makes of each order on its way to the proxies; the governors do not know of it.
pub type Meddler = fn(&str) -> Vec<String>;

/// A day on which orders are meddled with: the checkers are to notice.
pub fn play_meddled(sizes: &Sizes, troubles: &[Trouble], seed: u64, meddler: Meddler) -> Outcome {
    let mut day = Day::new(sizes.clone(), Policy::Governed, troubles.to_vec(), seed);
    day.meddler = Some(meddler);
    day.run();
    day.outcome
}

fn server_name(at: ServerIx) -> String {
    format!("s-{at}")
}

impl Day {
    pub fn new(sizes: Sizes, policy: Policy, troubles: Vec<Trouble>, seed: u64) -> Self {
        let now = Moment::default() + MORNING;
        let mut chance = Chance::from_seed(seed);
        let heat = (0..sizes.slices).map(|_| 0.3 + chance.draw() * chance.draw() * 3.0).collect();
        let table = |slice: SliceIx| Arc::new(BTreeMap::from([(slice % sizes.servers, 1.0)]));
        let store = Store((0..sizes.slices).map(|slice| (slice, table(slice))).collect());
        let mut proxies = vec![Proxy::default(); sizes.proxies];
        for proxy in &mut proxies {
            proxy.joined = true;
            proxy.reads(&store.0);
        }
        let governor = |_| Governor {
            reducer: None,
            wire: None,
            channel: Channel::new(),
            follows: false,
            life: 0,
            quiet: None,
            born: now,
            told: BTreeMap::new(),
        };
        Day {
            now,
            chance,
            agenda: BTreeMap::new(),
            steps: 0,
            servers: (0..sizes.servers).map(|_| Server::new()).collect(),
            names: (0..sizes.servers).map(|at| (server_name(at), at)).collect(),
            proxies,
            governors: (0..sizes.governors).map(governor).collect(),
            store,
            holders: (0..sizes.slices).map(|slice| slice % sizes.governors).collect(),
            given: vec![now; sizes.slices],
            garbled: 0.0,
            odd: None,
            list_before: None,
            listed: vec!["active"; sizes.servers],
            version: 1,
            ops: BTreeMap::new(),
            next_op: 0,
            heat,
            burst: 1.0,
            troubles,
            relay_away: false,
            relay_mute: false,
            discovery_away: false,
            excused: now + SETTLING,
            met: BTreeMap::new(),
            asked: BTreeMap::new(),
            out: BTreeMap::new(),
            meddler: None,
            about: None,
            told: Vec::new(),
            rules: Rules::default(),
            outcome: Outcome::default(),
            payoff: (0.0, 0.0),
            policy,
            sizes,
        }
    }

    fn after(&mut self, pause: Span, step: Step) {
        self.steps += 1;
        self.agenda.insert((self.now + pause, self.steps), step);
    }

    fn run(&mut self) {
        let end = self.begin();
        while let Some(at) = self.due().filter(|at| *at <= end) {
            self.now = at;
            self.go_on();
        }
        self.end();
    }

    /// Sets all going; when the day ends.
    fn begin(&mut self) -> Moment {
        let end = self.now + self.sizes.lasts;
        if self.policy == Policy::Governed {
            let here: Vec<_> =
                (0..self.governors.len()).filter(|at| self.governors[*at].wire.is_none()).collect();
            here.into_iter().for_each(|at| self.start(at));
        }
        self.after(WAY, Step::Arrive);
        self.after(Span::ms(1000), Step::Report);
        self.after(Span::ms(500), Step::Watch);
        self.after(Span::ms(1000), Step::Alive);
        for at in 0..self.troubles.len() {
            let (begins, lasts) = (self.troubles[at].begins, self.troubles[at].lasts);
            self.after(begins, Step::Begins(at));
            self.after(begins + lasts, Step::Ends(at));
        }
        end
    }

    /// When something is next to be done.
    fn due(&self) -> Option<Moment> {
        self.agenda.first_key_value().map(|((at, _), _)| *at)
    }

    /// Does the next step.
    fn go_on(&mut self) {
        if let Some((_, step)) = self.agenda.pop_first() {
            self.step(step);
        }
    }

    fn end(&mut self) {
        self.outcome.service = self.payoff.0 / self.payoff.1.max(1.0);
        self.outcome.violations = std::mem::take(&mut self.rules.violations);
        self.outcome.broken = std::mem::take(&mut self.rules.counts);
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Arrive => self.arrive(),
            Step::Reaches { server, job } => self.reaches(server, job),
            Step::Done { server, life, job } => self.done(server, life, job),
            Step::Back { server, job, answer } => self.back(server, job, answer),
            Step::GivenUp { op, attempt } => self.given_up(op, attempt),
            Step::ComesAgain { op } => self.attempt(op, None),
            Step::Report => self.report(),
            Step::Watch => self.watch(),
            Step::Channel(at) => self.channel(at),
            Step::To(at, life, event) if self.governors[at].life == life => self.tell(at, *event),
            Step::Told(at, life, list) if self.governors[at].life == life => self.is_told(at, *list),
            Step::Quiet(at, life) if self.governors[at].life == life => {
                if self.governors[at].quiet.is_some_and(|due| due <= self.now) {
                    self.governors[at].quiet = None;
                    self.tell(at, Event::Quiet);
                }
            }
            Step::Call(at, life, line) if self.governors[at].life == life => self.call(at, &line),
            Step::News(at, life, line) if self.governors[at].life == life => self.news(at, &line),
            Step::News(..) | Step::To(..) | Step::Told(..) | Step::Quiet(..) | Step::Call(..) => {}
            Step::Begins(at) => self.begins(at),
            Step::Ends(at) => self.ends(at),
            Step::Release { server, to, stage } => self.release(server, to, stage),
            Step::TakeOver(from) => {
                let heir = (0..self.governors.len()).find(|at| self.governors[*at].reducer.is_some());
                self.hand_all(|_, holder| heir.filter(|_| holder == from));
            }
            Step::GiveBack(to) => {
                let many = self.governors.len();
                self.hand_all(|slice, _| (slice % many == to).then_some(to));
            }
            Step::ComesOver { governor, proxy } => self.comes_over(governor, proxy),
            Step::Alive => {
                self.after(Span::ms(1000), Step::Alive);
                for at in 0..self.governors.len() {
                    let garbled = self.garbled > 0.0 && self.chance.draw() < self.garbled;
                    if garbled && self.governors[at].follows {
                        self.governors[at].follows = false;
                        self.tell(at, Event::NewsLost(Broken::Unreadable("garbled".into())));
                    } else if self.governors[at].follows && !self.relay_away {
                        self.news(at, "*");
                    }
                }
            }
        }
    }
}

/// Ops.
impl Day {
    fn arrive(&mut self) {
        let pause = -(1.0 - self.chance.draw()).ln() / (self.sizes.coming() * self.burst);
        self.after(Span::ms(1000).times(pause), Step::Arrive);
        let whole: f64 = self.heat.iter().sum();
        let mut left = self.chance.draw() * whole;
        let hit = self.heat.iter().position(|heat| {
            left -= heat;
            left < 0.0
        });
        let slice = hit.unwrap_or(0);
        let mut left = self.chance.draw();
        let hit = self.sizes.kinds.iter().position(|kind| {
            left -= kind.share;
            left < 0.0
        });
        let kind = hit.unwrap_or(0);
        let key = slice as u32 * self.sizes.keys_a_slice
            + (self.chance.draw() * f64::from(self.sizes.keys_a_slice)) as u32;
        let proxy = (self.chance.draw() * self.proxies.len() as f64) as usize;
        let op = self.next_op;
        self.next_op += 1;
        let (came, server) = (self.now, None);
        self.ops.insert(op, Op { slice, kind, key, proxy, came, attempt: 0, server, tries: 0, comebacks: 0 });
        if self.counts(came) {
            self.outcome.ops += 1;
            self.payoff.1 += self.sizes.kinds[kind].payoff;
        }
        self.attempt(op, None);
    }

    /// Whether an op that came then is part of the figures.
    fn counts(&self, came: Moment) -> bool {
        came - (Moment::default() + MORNING) > SETTLING
    }

    /// One try of an op, not at the server that it has just been refused by.
    fn attempt(&mut self, id: u64, tried: Option<ServerIx>) {
        let Some(op) = self.ops.get_mut(&id) else { return };
        (op.attempt, op.server) = (op.attempt + 1, None);
        let (slice, kind, key, proxy, attempt) = (op.slice, op.kind, op.key, op.proxy, op.attempt);
        if tried.is_none() {
            self.asked.entry((slice, kind)).or_default().0 += 1.0;
        }
        let tables = matches!(self.policy, Policy::Governed | Policy::HandsOff);
        let lets_in =
            tried.is_some() || !tables || self.proxies[proxy].lets_in(slice, kind, &mut self.chance);
        let of = (slice, self.holders[slice]);
        let to = match tables {
            true => self.proxies[proxy].pick(self.now, of, tried, &mut self.chance),
            false => {
                let listed: Vec<_> = self.listed.iter().map(|state| *state == "active").collect();
                let out = |server| self.out.get(&(proxy, server)).copied().unwrap_or(0);
                policy::pick(self.policy, slice, &listed, &self.servers, &out, &mut self.chance)
            }
        };
        let Some(server) = to.filter(|_| lets_in) else { return self.over(id, Back::Refused) };
        if let Some(op) = self.ops.get_mut(&id) {
            op.server = Some(server);
        }
        *self.out.entry((proxy, server)).or_default() += 1;
        let far = proxy % self.sizes.places != server % self.sizes.places;
        let way = if far { FAR_WAY } else { WAY };
        self.after(way, Step::Reaches { server, job: Job { op: id, attempt, key, from: proxy } });
        self.after(self.sizes.op_timeout, Step::GivenUp { op: id, attempt });
    }

    fn reaches(&mut self, server: ServerIx, job: Job) {
        self.drains(server, job.op);
        let was_cold = self.servers[server].is_cold(self.now, &self.sizes);
        let push = self.servers[server].push(self.now, &self.sizes);
        match self.servers[server].offer(self.now, job, &self.sizes, &mut self.chance) {
            Offer::Waits => {}
            Offer::Runs(takes) => {
                let life = self.servers[server].life;
                self.after(takes, Step::Done { server, life, job });
            }
            Offer::Refused => self.answer(server, job, Back::Refused),
            Offer::Failed => {
                // Half of what fails has run before it did.
                if self.chance.draw() < 0.5 {
                    self.ran(job);
                }
                self.answer(server, job, Back::Failed);
            }
            Offer::Falls => {
                if was_cold && self.policy == Policy::Governed && self.now > self.excused {
                    let what =
                        format!("{} is pushed over at {push:.1} times what it can do", server_name(server));
                    self.rules.broken(4, self.now, what, &server_name(server));
                }
                self.answer(server, job, Back::Failed);
                let back = self.sizes.restart;
                self.agenda_restart(server, back);
            }
        }
    }

    /// Rule 3: counted from when the governor whose slice it is knew, was there, had the slice and the proxy.
    fn drains(&mut self, server: ServerIx, op: u64) {
        let Some((slice, proxy)) = self.ops.get(&op).map(|op| (op.slice, op.proxy)) else { return };
        let of = self.holders[slice];
        let governor = &self.governors[of];
        let Some(told) = governor.told.get(&server) else { return };
        let joined = self.proxies[proxy].since.get(&of).copied().unwrap_or_default();
        let since = [*told, governor.born + STARTING, self.given[slice], joined].into_iter().max();
        let late = since.map_or(Span::default(), |since| self.now - since);
        let binds = self.policy == Policy::Governed && self.now > self.excused + self.sizes.grace;
        if binds && late > self.sizes.grace && self.proxies[proxy].has_stream(of) {
            let (name, late) = (server_name(server), late.seconds());
            let what =
                format!("proxy {proxy} sends to {name} that drains for {late:.1} s, slice {slice} of {of}");
            self.rules.broken(3, self.now, what, &name);
        }
    }

    /// A process that has fallen is started again by whoever looks after it.
    fn agenda_restart(&mut self, server: ServerIx, pause: Span) {
        self.after(pause, Step::Release { server, to: server, stage: 2 });
    }

    fn answer(&mut self, server: ServerIx, job: Job, answer: Back) {
        if self.servers[server].state != State::Silent {
            self.after(WAY, Step::Back { server, job, answer });
        }
    }

    fn ran(&mut self, job: Job) {
        let once = self.ops.get(&job.op).is_some_and(|op| self.sizes.kinds[op.kind].care == Care::OnceOnly);
        // One that was given up runs all the same: who made it come again would have it run twice.
        if once {
            self.rules.ran(self.now, job.op);
        }
    }

    fn done(&mut self, server: ServerIx, life: u64, job: Job) {
        if self.servers[server].life != life || self.servers[server].state == State::Hung {
            return;
        }
        self.ran(job);
        self.answer(server, job, Back::Acked);
        if let Some((next, takes)) = self.servers[server].done(self.now, &self.sizes, &mut self.chance) {
            self.after(takes, Step::Done { server, life, job: next });
        }
    }

    fn seen(&mut self, proxy: ProxyIx, server: ServerIx, took: Option<Span>) {
        let seen = self.met.entry((proxy % self.sizes.places, server)).or_default();
        seen.tries += 1.0;
        match took {
            Some(took) => seen.busy += took.seconds(),
            None => seen.aborted += 1.0,
        }
        self.proxies[proxy].met(self.now, server, took.is_some());
        let out = self.out.entry((proxy, server)).or_default();
        *out = out.saturating_sub(1);
    }

    fn back(&mut self, server: ServerIx, job: Job, answer: Back) {
        let current = |op: &&Op| op.attempt == job.attempt && op.server == Some(server);
        let Some(op) = self.ops.get(&job.op).filter(current) else { return };
        let (proxy, came, kind, slice, tries) = (op.proxy, op.came, op.kind, op.slice, op.tries);
        let took = (answer == Back::Acked).then(|| self.now - came);
        self.seen(proxy, server, took);
        match answer {
            Back::Acked => {
                let OpKind { payoff, target, .. } = self.sizes.kinds[kind];
                if self.counts(came) {
                    self.outcome.acked += 1;
                    match self.now - came <= target {
                        true => self.payoff.0 += payoff,
                        false => self.outcome.late += 1,
                    }
                }
                self.ops.remove(&job.op);
            }
            // Proof that it did not run: another try, if the tables allow one.
            Back::Refused if tries < self.proxies[proxy].tries(slice) => {
                if let Some(op) = self.ops.get_mut(&job.op) {
                    op.tries += 1;
                }
                self.attempt(job.op, Some(server));
            }
            // Told to, it tries again without proof.
            Back::Failed if tries + 1 < self.proxies[proxy].tries(slice) => {
                if let Some(op) = self.ops.get_mut(&job.op) {
                    op.tries += 1;
                }
                self.attempt(job.op, Some(server));
            }
            other => self.over(job.op, other),
        }
    }

    fn given_up(&mut self, id: u64, attempt: u32) {
        let Some(op) = self.ops.get(&id).filter(|op| op.attempt == attempt) else { return };
        let (proxy, server) = (op.proxy, op.server);
        server.into_iter().for_each(|server| self.seen(proxy, server, None));
        self.over(id, Back::Failed);
    }

    /// Its client hears so at once, and comes again where it may.
    fn over(&mut self, id: u64, how: Back) {
        let Some(op) = self.ops.get_mut(&id) else { return };
        let (slice, kind, came) = (op.slice, op.kind, op.came);
        if how == Back::Failed || op.server.is_some() {
            self.asked.entry((slice, kind)).or_default().1 += 1.0;
        }
        // An op that the module or a server refused did not run; after any other failure nobody knows.
        let may = how == Back::Refused || self.sizes.kinds[kind].care == Care::Retryable;
        if may && op.comebacks < COMEBACKS {
            (op.comebacks, op.tries, op.attempt, op.server) = (op.comebacks + 1, 0, op.attempt + 1, None);
            let pause = AGAIN.times(0.5 + self.chance.draw());
            return self.after(pause, Step::ComesAgain { op: id });
        }
        self.ops.remove(&id);
        if self.counts(came) {
            match how {
                Back::Refused => self.outcome.rejected += 1,
                _ => self.outcome.aborted += 1,
            }
        }
    }
}

/// An event in the words of the protocol.
fn say(wire: &mut dyn Wire, event: Event) {
    match event {
        Event::Message { from, message: Message::Met(met) } => {
            let Met { place, server, tries, aborted, mean_latency_ms, covers_ms } = met;
            let line = serde_json::json!({"@type": "LOAD", "az": place, "host": server, "n": tries, "bad": aborted,
                "avg": mean_latency_ms, "window": covers_ms});
            wire.report(from as usize, &line.to_string());
        }
        Event::Message { from, message: Message::Asked(asked) } => {
            let Asked { slice, op_type, came, aborted, covers_ms } = asked;
            let line = serde_json::json!({"@type": "SHARD", "partition": slice, "kind": op_type, "n": came,
                "bad": aborted, "window": covers_ms});
            wire.report(from as usize, &line.to_string());
        }
        Event::Answer(Ok(Answer::Taken(many))) => wire.answer(Some(&format!("OK {many}"))),
        Event::Answer(Ok(Answer::NotNow(why) | Answer::Unusable(why))) => {
            wire.answer(Some(&format!("ERR {why}")))
        }
        Event::Answer(Err(_)) => wire.answer(None),
        Event::NewsLost(_) => wire.cut_news(),
        Event::ListLost(_) => wire.cut_list(),
        _ => {}
    }
}

/// For whoever plays a day in real time.
impl Day {
    pub fn seat(&mut self, at: usize, wire: Box<dyn Wire>) {
        self.governors[at].wire = Some(wire);
    }

    pub fn begins_now(&mut self) -> Moment {
        self.begin()
    }

    /// What is due by now is done; when the next is.
    pub fn catch_up(&mut self, now: Moment) -> Option<Moment> {
        while self.due().is_some_and(|at| at <= now) {
            self.now = self.due().unwrap_or(now);
            self.go_on();
        }
        self.now = now;
        self.due()
    }

    pub fn heard(&mut self, at: usize, heard: Heard) {
        match heard {
            Heard::Watch => self.follow_news(at),
            Heard::List if self.discovery_away => self.tell(at, Event::ListLost(Broken::Silent)),
            Heard::List => {
                let text = self.list_text();
                self.governors[at].wire.iter_mut().for_each(|wire| wire.list(&text));
            }
            Heard::Call(line) => self.call(at, &line),
        }
    }

    pub fn is_over(mut self) -> Outcome {
        self.end();
        self.outcome
    }
}

/// Governors, the relay, discovery and collectors.
impl Day {
    fn start(&mut self, at: usize) {
        let settings = self.sizes.settings(at);
        let settings = whinwall_settings::read(&settings).expect("our own settings");
        let here = |port| SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port);
        let targets = Targets { discovery: here(8500), relay: here(6400) };
        let seed = (self.chance.draw() * 1e15) as u64;
        let known = discovery::List::default();
        let reducer = Reducer::start(settings, targets, seed, &known, self.now);
        let governor = &mut self.governors[at];
        governor.life += 1;
        (governor.reducer, governor.follows, governor.quiet) = (Some(reducer), false, None);
        (governor.born, governor.told) = (self.now, BTreeMap::new());
        governor.channel.lost();
        self.tell(at, Event::Started);
        let wanted = Wanted { bounds: Bounds::default(), orders: Vec::new(), has_store: false };
        let reading = Reading { boot: String::new(), since_boot: Span::default(), wall: self.now };
        self.tell(at, Event::Wanted(wanted, reading));
        for place in 0..self.sizes.places {
            let message = Message::Source { place: self.sizes.place(place) };
            self.tell(at, Event::Message { from: place as u64, message });
        }
    }

    /// Events go in as they come, and `Quiet` once all of a moment are in.
    fn tell(&mut self, at: usize, event: Event) {
        let quiet = matches!(event, Event::Quiet);
        if let Some(wire) = &mut self.governors[at].wire {
            let list = matches!(event, Event::List(_));
            say(wire.as_mut(), event);
            if list {
                let text = self.list_text();
                self.governors[at].wire.iter_mut().for_each(|wire| wire.list(&text));
            }
            return;
        }
        let Some(reducer) = &mut self.governors[at].reducer else { return };
        let effects = reducer.apply(self.now, event);
        let life = self.governors[at].life;
        for effect in effects {
            match effect {
                Effect::Call { line, .. } => self.after(WAY, Step::Call(at, life, line)),
                Effect::FollowNews { .. } => self.follow_news(at),
                Effect::FollowList { .. } => match self.discovery_away {
                    true => self.after(WAY, Step::To(at, life, Box::new(Event::ListLost(Broken::Silent)))),
                    false => self.after(WAY, Step::Told(at, life, Box::new(self.list()))),
                },
                Effect::WakeAt(due) => self.quiet_at(at, due),
                Effect::Note(text) => {
                    self.outcome.verdicts += u64::from(text.contains("is taken for sick"));
                    self.line(&text, || format!("governor {at}: {text}"));
                }
                _ => {}
            }
        }
        if !quiet {
            self.quiet_at(at, self.now);
        }
    }

    /// Notes what names whom the time-line is about.
    fn line(&mut self, names: &str, text: impl FnOnce() -> String) {
        let Some(about) = &self.about else { return };
        if names.split(|c: char| c.is_whitespace() || ",:".contains(c)).any(|word| word == about) {
            self.told.push((self.now - (Moment::default() + MORNING), text()));
        }
    }

    fn quiet_at(&mut self, at: usize, due: Moment) {
        let governor = &mut self.governors[at];
        if governor.quiet.is_none_or(|known| due < known) {
            governor.quiet = Some(due);
            let life = governor.life;
            self.after(due - self.now, Step::Quiet(at, life));
        }
    }

    fn news(&mut self, at: usize, line: &str) {
        if let Some(wire) = &mut self.governors[at].wire {
            return wire.news(line);
        }
        let event = Event::News(decode_news(line).expect("our own news"));
        self.tell(at, event);
    }

    fn is_of(&self, slice: SliceIx, at: usize) -> bool {
        self.holders[slice] == at
    }

    /// A slice changes hands: who had it hears so, then who has it, with the table as the store has it.
    fn hand_over(&mut self, slice: SliceIx, to: usize) {
        let former = std::mem::replace(&mut self.holders[slice], to);
        if self.relay_away || former == to {
            return;
        }
        self.given[slice] = self.now;
        if self.governors[former].follows {
            self.news(former, &format!("* GRANT {slice} 0"));
        }
        if self.governors[to].follows {
            self.news(to, &format!("* GRANT {slice} 1"));
            let table = self.store.0.get(&slice).cloned().unwrap_or_default();
            for (server, weight) in &*table {
                self.news(to, &format!("* ROW {slice} {} {weight}", server_name(*server)));
            }
        }
    }

    fn follow_news(&mut self, at: usize) {
        let life = self.governors[at].life;
        if self.relay_away {
            self.governors[at].follows = false;
            let lost = Event::NewsLost(Broken::Unreachable("away".into()));
            return self.after(WAY, Step::To(at, life, Box::new(lost)));
        }
        self.governors[at].follows = true;
        let mut lines = vec!["OK".to_string()];
        let joined = self.proxies.iter().enumerate().filter(|(_, proxy)| proxy.has_stream(at));
        lines.extend(joined.map(|(n, _)| format!("* SUBSCRIBE {n} {} 1.0 1", self.sizes.place(n))));
        for (slice, table) in self.store.0.iter().filter(|(slice, _)| self.is_of(**slice, at)) {
            lines.push(format!("* GRANT {slice} 1"));
            lines.extend(
                table
                    .iter()
                    .map(|(server, weight)| format!("* ROW {slice} {} {weight}", server_name(*server))),
            );
        }
        lines.push("*".into());
        for line in lines {
            self.after(WAY, Step::News(at, life, line));
        }
    }

    fn list(&self) -> discovery::List {
        discovery::decode(&self.list_text()).ok().flatten().expect("our own list")
    }

    fn list_text(&self) -> String {
        let entry = |at: ServerIx| {
            let started =
                self.servers[at].started.map_or(0, |at| (at - Moment::default()).as_ns() / 1_000_000);
            serde_json::json!({"id": server_name(at), "zone": self.sizes.place(at), "state": self.listed[at], "started_ms": started})
        };
        let all: Vec<_> =
            (0..self.servers.len()).filter(|at| self.listed[*at] != "left").map(entry).collect();
        serde_json::json!({"version": self.version, "full": true, "servers": all}).to_string()
    }

    fn relist(&mut self, server: ServerIx, state: &'static str) {
        let name = server_name(server);
        self.line(&name, || format!("the list: {name} is {state}"));
        self.listed[server] = state;
        self.version += 1;
        self.tell_list();
    }

    fn tell_list(&mut self) {
        if self.discovery_away {
            return;
        }
        let list = self.list();
        let before = self.list_before.replace(list.clone()).unwrap_or_else(|| list.clone());
        let (lists, late) = match self.odd {
            None => (vec![list], Span::default()),
            Some(Odd::Late(by)) => (vec![list], by),
            Some(Odd::Again) => (vec![list.clone(), list.clone(), list], Span::default()),
            Some(Odd::Back) => (vec![list.clone(), before, list], Span::default()),
            Some(Odd::Lossy(each)) => {
                let mut lossy = list.clone();
                let mut at = self.version as usize;
                lossy.entries.retain(|_| {
                    at += 1;
                    !at.is_multiple_of(each)
                });
                (vec![lossy, list], Span::default())
            }
        };
        for (at, list) in (0..self.governors.len()).flat_map(|at| lists.iter().map(move |list| (at, list))) {
            match late == Span::default() {
                true => self.is_told(at, list.clone()),
                false => {
                    let life = self.governors[at].life;
                    self.after(late, Step::Told(at, life, Box::new(list.clone())));
                }
            }
        }
    }

    /// From when on it knows that servers drain: what it is told counts, not what is so.
    fn is_told(&mut self, at: usize, list: discovery::List) {
        let leaving = list.entries.iter().filter(|entry| entry.state == discovery::State::Draining);
        let leaving: BTreeSet<_> =
            leaving.filter_map(|entry| self.names.get(&entry.server).copied()).collect();
        let told = &mut self.governors[at].told;
        told.retain(|server, _| leaving.contains(server));
        leaving.into_iter().for_each(|server| _ = told.entry(server).or_insert(self.now));
        self.tell(at, Event::List(list));
    }

    fn hand_all(&mut self, to: impl Fn(SliceIx, usize) -> Option<usize>) {
        for slice in 0..self.sizes.slices {
            let to = to(slice, self.holders[slice]).filter(|to| self.governors[*to].reducer.is_some());
            to.into_iter().for_each(|to| self.hand_over(slice, to));
        }
    }

    /// Of the first so many governors, those that a day can end and start.
    fn mortal(&self, many: usize) -> Vec<usize> {
        (0..many).filter(|at| self.governors[*at].wire.is_none()).collect()
    }

    fn is_killed(&mut self, at: usize) {
        let governor = &mut self.governors[at];
        (governor.reducer, governor.follows) = (None, false);
        governor.life += 1;
        governor.channel.lost();
    }

    /// A stream to a governor comes up; the proxy holds what it held.
    fn comes_over(&mut self, at: usize, proxy: ProxyIx) {
        self.proxies[proxy].away.remove(&at);
        self.proxies[proxy].since.insert(at, self.now);
        self.proxies[proxy].reads(&self.store.0);
        if self.proxies[proxy].joined && self.governors[at].follows {
            self.news(at, &format!("* SUBSCRIBE {proxy} {} 1.0 0", self.sizes.place(proxy)));
        }
    }

    fn call(&mut self, at: usize, line: &str) {
        let life = self.governors[at].life;
        if self.relay_away {
            let outcome = Err(CallError::NotSent(Broken::Unreachable("away".into())));
            return self.after(WAY, Step::To(at, life, Box::new(Event::Answer(outcome))));
        }
        let kinds: Vec<_> = self.sizes.kinds.iter().map(|kind| kind.name).collect();
        let many = line.split(';').count();
        let meddled = self.meddler.map(|meddler| {
            let orders = line.trim_start_matches("APPLY ").split(';').flat_map(meddler);
            format!("APPLY {}", orders.collect::<Vec<_>>().join(";"))
        });
        let line = meddled.as_deref().unwrap_or(line);
        let Some((orders, mark)) = channel::read(line, &self.names, &kinds) else {
            let outcome = Ok(Answer::Unusable("bad_request".into()));
            return self.after(WAY, Step::To(at, life, Box::new(Event::Answer(outcome))));
        };
        self.outcome.orders += orders.len() as u64;
        self.rules.ordered(self.now, line.trim_start_matches("APPLY ").split(';').map(String::from));
        if self.about.is_some() {
            let orders: Vec<_> = line.trim_start_matches("APPLY ").split(';').map(String::from).collect();
            orders.iter().for_each(|order| self.line(order, || format!("order {order}")));
        }
        for order in &orders {
            self.outcome.moves += u64::from(self.store.is_move(order));
            self.store.carry_out(order);
            if let Obeyed::Line { slice, .. } = order {
                if self.store.0[slice].is_empty() {
                    self.rules.broken(
                        1,
                        self.now,
                        format!("slice {slice} is left bare in the store"),
                        &slice.to_string(),
                    );
                }
            }
        }
        let joined: Vec<_> = (0..self.proxies.len()).filter(|n| self.proxies[*n].has_stream(at)).collect();
        let orders = Arc::new(orders);
        let channel = &mut self.governors[at].channel;
        let broken = channel.send(self.now, joined.into_iter(), &orders, mark, &self.sizes);
        self.outcome.most_lines = self.outcome.most_lines.max(channel.lines());
        let next = channel.next();
        broken.into_iter().for_each(|what| self.rules.broken(5, self.now, what, ""));
        next.into_iter().for_each(|due| self.after(due - self.now, Step::Channel(at)));
        let garbled = self.garbled > 0.0 && self.chance.draw() < self.garbled;
        let (pause, outcome) = match () {
            _ if self.relay_mute => (MUTE, Err(CallError::OutcomeUnknown(Broken::Silent))),
            _ if garbled => (WAY, Err(CallError::OutcomeUnknown(Broken::Unreadable("garbled".into())))),
            _ => (WAY, Ok(Answer::Taken(many))),
        };
        self.after(pause, Step::To(at, life, Box::new(Event::Answer(outcome))));
    }

    fn channel(&mut self, at: usize) {
        while let Some(message) = self.governors[at].channel.arrives(self.now) {
            let proxy = &mut self.proxies[message.proxy];
            if !proxy.has_stream(at) {
                continue;
            }
            message.orders.iter().for_each(|order| proxy.obey(at, order));
            if let (Some(mark), true) = (message.mark, self.governors[at].follows) {
                self.news(at, &format!("* ACK {} {mark}", message.proxy));
            }
        }
        if let Some(due) = self.governors[at].channel.next() {
            self.after(due - self.now, Step::Channel(at));
        }
    }

    /// What the one whose time-line is kept did in this second.
    fn line_of_second(
        &mut self,
        met: &BTreeMap<(usize, ServerIx), Seen>,
        asked: &BTreeMap<(SliceIx, usize), (f64, f64)>,
    ) {
        let Some(about) = self.about.clone() else { return };
        if let Some(server) = self.names.get(&about).copied() {
            let all = met.iter().filter(|((_, at), _)| *at == server).map(|(_, seen)| *seen);
            let sum = all.fold(Seen::default(), |sum, seen| Seen {
                tries: sum.tries + seen.tries,
                aborted: sum.aborted + seen.aborted,
                busy: sum.busy + seen.busy,
            });
            let mean = sum.busy * 1000.0 / (sum.tries - sum.aborted).max(1.0);
            let burden = self.servers[server].burden();
            self.line(&about, || {
                format!(
                    "{} tries, {} aborted, {mean:.0} ms on average, {burden} in hand",
                    sum.tries, sum.aborted
                )
            });
        } else if let Ok(slice) = about.parse::<SliceIx>() {
            let all = asked.iter().filter(|((at, _), _)| *at == slice).map(|(_, counts)| *counts);
            let (came, aborted) = all.fold((0.0, 0.0), |sum, counts| (sum.0 + counts.0, sum.1 + counts.1));
            let table = self.store.0.get(&slice).map(|table| {
                let lines = table.iter().map(|(server, weight)| format!("{} {weight}", server_name(*server)));
                lines.collect::<Vec<_>>().join(", ")
            });
            self.line(&about, || {
                format!("{came} came, {aborted} aborted; table {}", table.unwrap_or_default())
            });
        }
    }

    /// What the collectors of each place have gathered in a second, a little late.
    fn report(&mut self) {
        self.after(Span::ms(1000), Step::Report);
        let (met, asked) = (std::mem::take(&mut self.met), std::mem::take(&mut self.asked));
        if self.policy != Policy::Governed {
            return;
        }
        let covers_ms = 1000.0;
        let mut messages = Vec::new();
        self.line_of_second(&met, &asked);
        for ((place, server), seen) in met {
            let answered = (seen.tries - seen.aborted).max(1.0);
            let met = Met {
                place: self.sizes.place(place),
                server: server_name(server),
                tries: seen.tries,
                aborted: seen.aborted,
                mean_latency_ms: seen.busy * 1000.0 / answered,
                covers_ms,
            };
            messages.push((None, place, Message::Met(met)));
        }
        for ((slice, kind), (came, aborted)) in asked {
            let op_type = self.sizes.kinds[kind].name.to_string();
            let asked = Asked { slice: slice as u32, op_type, came, aborted, covers_ms };
            messages.push((Some(slice), slice % self.sizes.places, Message::Asked(asked)));
        }
        for at in 0..self.governors.len() {
            let (life, lag) = (self.governors[at].life, Span::ms(50 + (self.chance.draw() * 200.0) as u64));
            let mine: Vec<_> = messages
                .iter()
                .filter(|(slice, ..)| slice.is_none_or(|slice| self.is_of(slice, at)))
                .cloned()
                .collect();
            for (_, place, message) in mine {
                let event = Event::Message { from: place as u64, message };
                self.after(lag, Step::To(at, life, Box::new(event)));
            }
        }
    }
}

/// Troubles, and the look of the checkers.
impl Day {
    fn excuse(&mut self, after: Span) {
        self.excused = self.excused.max(self.now + after);
    }

    fn begins(&mut self, at: usize) {
        let Trouble { lasts, what, .. } = self.troubles[at].clone();
        let about = self.about.clone().unwrap_or_default();
        self.line(&about, || format!("trouble begins: {what:?}"));
        let aftermath = Span::ms(8000);
        match what {
            What::Crash { server } => {
                self.servers[server].falls();
                // The list says so as long as nobody is there.
                self.relist(server, "left");
            }
            What::Hang { server } => self.servers[server].state = State::Hung,
            What::Silence { server } => self.servers[server].state = State::Silent,
            What::Slow { server, factor } => self.servers[server].slow = factor,
            What::FastErrors { server, share } => self.servers[server].failing = share,
            What::Drain { server } => self.relist(server, "leaving"),
            What::Release { from, to } => self.release(from, to, 0),
            What::Replaced { from, to } => {
                for server in from..to {
                    let wave = SECOND_WAVE.times(((server - from) % 2) as f64);
                    self.after(wave, Step::Release { server, to: server + 1, stage: 0 });
                }
            }
            What::PlaceLost { place } => {
                for server in self.place_servers(place) {
                    self.servers[server].falls();
                    self.listed[server] = "left";
                }
                self.version += 1;
                self.tell_list();
            }
            What::OddList { how } => self.odd = Some(how),
            What::WrongList { from, to } => {
                self.excuse(lasts + aftermath);
                (from..to).for_each(|server| self.listed[server] = "left");
                self.version += 1;
                self.tell_list();
            }
            What::HotSlice { slice, factor } => self.heat[slice] *= factor,
            What::Burst { factor } => self.burst = factor,
            What::PlaceCut { place } => {
                self.excuse(lasts + aftermath);
                for server in self.place_servers(place) {
                    self.servers[server].state = State::Silent;
                }
                for proxy in (place..self.proxies.len()).step_by(self.sizes.places) {
                    self.leaves(proxy);
                }
            }
            What::RelayAway => {
                self.excuse(lasts + aftermath);
                self.relay_away = true;
                for at in 0..self.governors.len() {
                    self.governors[at].follows = false;
                    self.tell(at, Event::NewsLost(Broken::Silent));
                }
            }
            What::RelayMute => {
                self.excuse(lasts + aftermath);
                self.relay_mute = true;
            }
            What::DiscoveryAway => {
                self.excuse(lasts + aftermath);
                self.discovery_away = true;
                (0..self.governors.len()).for_each(|at| self.tell(at, Event::ListLost(Broken::Silent)));
            }
            What::GovernorKilled { governor } if self.governors[governor].wire.is_some() => {}
            What::GovernorKilled { governor } => {
                self.excuse(lasts + aftermath);
                self.is_killed(governor);
            }
            What::Herd { governors } => {
                for at in self.mortal(governors) {
                    self.is_killed(at);
                    self.proxies.iter_mut().for_each(|proxy| _ = proxy.away.insert(at));
                    self.after(TAKEN_OVER, Step::TakeOver(at));
                }
            }
            What::SlowChannel { part } => {
                self.excuse(lasts + aftermath);
                self.governors.iter_mut().for_each(|governor| governor.channel.slow = part);
            }
            What::ProxiesLeave { many } => (0..many).for_each(|proxy| self.leaves(proxy)),
            What::HandOver { from, to } => {
                for slice in from..to {
                    let next = (self.holders[slice] + 1) % self.governors.len();
                    self.hand_over(slice, next);
                }
            }
            What::Garbled { share } => self.garbled = share,
            What::OutOfService { server } => {
                let kind = Kind::Out { server: server_name(server) };
                let (id, author, reason) = (format!("t{at}"), "day".to_string(), "trouble".to_string());
                for governor in 0..self.governors.len() {
                    let (id, kind, author, reason) =
                        (id.clone(), kind.clone(), author.clone(), reason.clone());
                    let order = Order { id, kind, author, reason, lasts };
                    self.tell(
                        governor,
                        Event::Asked { ticket: 0, request: Request::Change(Ask::Set(order)) },
                    );
                }
            }
        }
    }

    fn ends(&mut self, at: usize) {
        let (about, what) = (self.about.clone().unwrap_or_default(), self.troubles[at].what.clone());
        self.line(&about, || format!("trouble ends: {what:?}"));
        match self.troubles[at].what.clone() {
            What::Crash { server } => self.comes_back(server),
            What::Hang { server } => {
                let life = self.servers[server].life;
                for (job, takes) in self.servers[server].wakes(self.now, &self.sizes, &mut self.chance) {
                    self.after(takes, Step::Done { server, life, job });
                }
            }
            What::Silence { server } if self.servers[server].state == State::Silent => {
                self.servers[server].state = State::Up;
            }
            What::Silence { .. } => {}
            What::Slow { server, .. } => self.servers[server].slow = 1.0,
            What::FastErrors { server, .. } => self.servers[server].failing = 0.0,
            What::Drain { server } => self.comes_back(server),
            What::Release { .. } | What::Replaced { .. } | What::OutOfService { .. } => {}
            What::PlaceLost { place } => {
                for server in self.place_servers(place) {
                    if self.servers[server].state == State::Down {
                        self.comes_back(server);
                    }
                }
            }
            What::OddList { .. } => self.odd = None,
            What::WrongList { from, to } => {
                (from..to).for_each(|server| self.listed[server] = "active");
                self.version += 1;
                self.tell_list();
            }
            What::HotSlice { slice, factor } => self.heat[slice] /= factor,
            What::Burst { .. } => self.burst = 1.0,
            What::PlaceCut { place } => {
                for server in self.place_servers(place) {
                    if self.servers[server].state == State::Silent {
                        self.servers[server].state = State::Up;
                    }
                }
                (place..self.proxies.len()).step_by(self.sizes.places).for_each(|proxy| self.joins(proxy));
            }
            What::RelayAway => self.relay_away = false,
            What::RelayMute => self.relay_mute = false,
            What::DiscoveryAway => {
                self.discovery_away = false;
                self.tell_list();
            }
            What::GovernorKilled { governor } if self.governors[governor].wire.is_none() => {
                self.start(governor)
            }
            What::GovernorKilled { .. } => {}
            What::Herd { governors } => {
                for governor in self.mortal(governors) {
                    self.start(governor);
                    self.after(GIVEN_BACK, Step::GiveBack(governor));
                    for proxy in 0..self.proxies.len() {
                        let pause = COME_OVER.times(self.chance.draw() * self.chance.draw());
                        self.after(pause, Step::ComesOver { governor, proxy });
                    }
                }
            }
            What::SlowChannel { .. } => {
                self.governors.iter_mut().for_each(|governor| governor.channel.slow = 1.0);
            }
            What::ProxiesLeave { many } => (0..many).for_each(|proxy| self.joins(proxy)),
            What::HandOver { from, to } => {
                for slice in from..to {
                    let former = (self.holders[slice] + self.governors.len() - 1) % self.governors.len();
                    self.hand_over(slice, former);
                }
            }
            What::Garbled { .. } => self.garbled = 0.0,
        }
    }

    fn place_servers(&self, place: usize) -> impl Iterator<Item = ServerIx> + use<> {
        (place..self.servers.len()).step_by(self.sizes.places)
    }

    fn comes_back(&mut self, server: ServerIx) {
        self.servers[server].restart(self.now);
        self.relist(server, "active");
    }

    /// Stage 0 drains, 1 ends the process, 2 starts it again; then the next server's turn.
    fn release(&mut self, server: ServerIx, to: ServerIx, stage: u8) {
        match stage {
            0 => {
                self.relist(server, "leaving");
                self.after(Span::ms(4000), Step::Release { server, to, stage: 1 });
            }
            1 => {
                self.servers[server].falls();
                self.relist(server, "left");
                self.after(self.sizes.restart, Step::Release { server, to, stage: 2 });
                if server + 1 < to {
                    self.after(Span::ms(500), Step::Release { server: server + 1, to, stage: 0 });
                }
            }
            _ if self.servers[server].state == State::Down => self.comes_back(server),
            _ => {}
        }
    }

    fn leaves(&mut self, proxy: ProxyIx) {
        if !std::mem::replace(&mut self.proxies[proxy].joined, false) {
            return;
        }
        for at in 0..self.governors.len() {
            self.governors[at].channel.left(proxy);
            if self.governors[at].follows {
                self.news(at, &format!("* CLOSED {proxy}"));
            }
        }
    }

    fn joins(&mut self, proxy: ProxyIx) {
        if std::mem::replace(&mut self.proxies[proxy].joined, true) {
            return;
        }
        self.proxies[proxy].reads(&self.store.0);
        for at in 0..self.governors.len() {
            self.proxies[proxy].since.insert(at, self.now);
            if self.governors[at].follows && self.proxies[proxy].has_stream(at) {
                self.news(at, &format!("* SUBSCRIBE {proxy} {} 1.0 0", self.sizes.place(proxy)));
            }
        }
    }

    fn watch(&mut self) {
        self.after(Span::ms(500), Step::Watch);
        let good = |server: &Server| {
            server.state == State::Up
                && !server.is_cold(self.now, &self.sizes)
                && server.failing == 0.0
                && server.slow < 2.0
        };
        let any =
            self.servers.iter().zip(&self.listed).any(|(server, listed)| good(server) && *listed == "active");
        if self.policy != Policy::Governed || !any || self.now < self.excused {
            return self.rules.nobody_bare();
        }
        for (n, proxy) in self.proxies.iter().enumerate() {
            for slice in 0..self.sizes.slices {
                let of = self.holders[slice];
                let there = self.governors[of].reducer.is_some() && proxy.has_stream(of);
                let is_bare = there && proxy.is_bare(slice, of);
                self.rules.bare(self.now, n, slice, is_bare, self.sizes.bare);
            }
        }
    }
}
