//! A day: what happens one after the other, in virtual time. The same sizes, troubles and seed make the same
//! day.

mod checks;
mod controllers;
mod faults;
mod real_time;
mod registry;
mod relay;
mod reports;
mod requests;

pub use real_time::{Heard, Wire};

use crate::channel::{Channel, Store};
use crate::policy::Policy;
use crate::proxy::Proxy;
use crate::replica::{Job, Replica};
use crate::rules::{Rules, Violation};
use crate::sizes::Sizes;
use crate::subsets;
use crate::trouble::{Odd, Trouble};
use crate::{ProxyIx, ReplicaIx, SliceIx};
use std::collections::BTreeMap;
use std::sync::Arc;
use whinwall_policy::random::Random;
use whinwall_policy::time::{Moment, Span};
use whinwall_protocol::discovery;
use whinwall_routing::{Event, Reducer};
use whinwall_transport::StreamError;

/// The wall's time at which a day begins.
const MORNING: Span = Span::ms(1_800_000_000_000);
const WAY: Span = Span::ms(1);
const FAR_WAY: Span = Span::ms(4);
const MUTE: Span = Span::ms(150);
const AGAIN: Span = Span::ms(300);
const COMEBACKS: u32 = 2;
/// Until another controller is given the slices of one that was killed, and until one that is back has its own;
/// within which time proxies come over to it.
const TAKEN_OVER: Span = Span::ms(1500);
const GIVEN_BACK: Span = Span::ms(2000);
const COME_OVER: Span = Span::ms(4000);
/// Of replicas that are replaced, half drain so much after the others.
const SECOND_WAVE: Span = Span::ms(3000);
/// The rules' time begins no sooner than so long after a controller's start.
const STARTING: Span = Span::ms(1000);
/// Before figures count: the fleet finds its feet.
const SETTLING: Span = Span::ms(5000);

/// What a day came to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outcome {
    /// Payoff served within its target, of all that was asked for.
    pub service: f64,
    pub requests: u64,
    pub acked: u64,
    pub late: u64,
    pub rejected: u64,
    pub failed: u64,
    pub orders: u64,
    /// Orders that gave a slice another owner, or one more.
    pub moves: u64,
    pub most_lines: f64,
    pub verdicts: u64,
    pub violations: Vec<Violation>,
    pub broken: BTreeMap<u8, usize>,
}

struct Request {
    slice: SliceIx,
    kind: usize,
    key: u32,
    proxy: ProxyIx,
    came: Moment,
    /// Of the newest try: its number, and where it went.
    attempt: u32,
    replica: Option<ReplicaIx>,
    /// Further tries and comebacks that it had.
    attempts: u8,
    comebacks: u32,
}

enum Step {
    Arrive,
    Reaches {
        replica: ReplicaIx,
        job: Job,
    },
    Done {
        replica: ReplicaIx,
        incarnation: u64,
        job: Job,
    },
    Back {
        replica: ReplicaIx,
        job: Job,
        answer: Back,
    },
    GivenUp {
        request: u64,
        attempt: u32,
    },
    ComesAgain {
        request: u64,
    },
    Report,
    Watch,
    Channel(usize),
    To(usize, u64, Box<Event>),
    /// The list, to a controller of this life.
    Told(usize, u64, Box<discovery::List>),
    RelayEvent(usize, u64, String),
    Quiet(usize, u64),
    Call(usize, u64, String),
    Begins(usize),
    Ends(usize),
    /// The next replica of a release, and what is done with it.
    Release {
        replica: ReplicaIx,
        to: ReplicaIx,
        stage: u8,
    },
    Alive,
    TakeOver(usize),
    GiveBack(usize),
    ComesOver {
        controller: usize,
        proxy: ProxyIx,
    },
}

#[derive(Clone, Copy, PartialEq)]
enum Back {
    Acked,
    Refused,
    Failed,
}

struct Controller {
    reducer: Option<Reducer>,
    wire: Option<Box<dyn Wire>>,
    channel: Channel,
    follows: bool,
    /// Grows with each life; what was meant for an earlier one is lost.
    incarnation: u64,
    quiet: Option<Moment>,
    born: Moment,
    /// Since when it knows which replicas drain.
    told: BTreeMap<ReplicaIx, Moment>,
}

#[derive(Clone, Copy, Default)]
struct Seen {
    attempts: f64,
    failed: f64,
    busy: f64,
}

pub struct Day {
    sizes: Sizes,
    policy: Policy,
    now: Moment,
    random: Random,
    agenda: BTreeMap<(Moment, u64), Step>,
    steps: u64,
    replicas: Vec<Replica>,
    names: BTreeMap<String, ReplicaIx>,
    proxies: Vec<Proxy>,
    controllers: Vec<Controller>,
    store: Store,
    /// By slice, whose it is.
    holders: Vec<usize>,
    given: Vec<Moment>,
    garbled: f64,
    /// By replica, as discovery lists it; its version.
    listed: Vec<&'static str>,
    version: u64,
    /// How the list is told now, and what was told last.
    odd: Option<Odd>,
    list_before: Option<discovery::List>,
    requests: BTreeMap<u64, Request>,
    next_request: u64,
    /// By slice, how much comes for it.
    heat: Vec<f64>,
    burst: f64,
    troubles: Vec<Trouble>,
    relay_away: bool,
    relay_mute: bool,
    discovery_away: bool,
    /// Until then a controller, the relay or the list could not be heard: what follows from that is no fault.
    excused: Moment,
    met: BTreeMap<(usize, ReplicaIx), Seen>,
    /// Seconds that were reported so far.
    reports: u32,
    asked: BTreeMap<(SliceIx, usize), (f64, f64)>,
    out: BTreeMap<(ProxyIx, ReplicaIx), u32>,
    meddler: Option<Meddler>,
    /// Whose time-line is kept.
    about: Option<String>,
    told: Vec<(Span, String)>,
    rules: Rules,
    outcome: Outcome,
    priority_weight: (f64, f64),
}

pub fn play(sizes: &Sizes, policy: Policy, troubles: &[Trouble], seed: u64) -> Outcome {
    let mut day = Day::new(sizes.clone(), policy, troubles.to_vec(), seed);
    day.run();
    day.outcome
}

/// A day, and the time-line of one replica or slice: what befell it, what was said of it, ordered for it and
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

/// What somebody makes of each order on its way to the proxies; the controllers do not know of it.
pub type Meddler = fn(&str) -> Vec<String>;

/// A day on which orders are meddled with: the checkers are to notice.
pub fn play_meddled(sizes: &Sizes, troubles: &[Trouble], seed: u64, meddler: Meddler) -> Outcome {
    let mut day = Day::new(sizes.clone(), Policy::Governed, troubles.to_vec(), seed);
    day.meddler = Some(meddler);
    day.run();
    day.outcome
}

fn replica_name(at: ReplicaIx) -> String {
    format!("s-{at}")
}

impl Day {
    pub fn new(sizes: Sizes, policy: Policy, troubles: Vec<Trouble>, seed: u64) -> Self {
        let now = Moment::default() + MORNING;
        let mut random = Random::from_seed(seed);
        let heat = (0..sizes.slices).map(|_| 0.3 + random.draw() * random.draw() * 3.0).collect();
        let names: Vec<_> = (0..sizes.replicas).map(replica_name).collect();
        let holders: Vec<_> = (0..sizes.slices).map(|slice| slice % sizes.controllers).collect();
        let tables = subsets::first_tables(&sizes, &names, &holders);
        let store = Store(tables.into_iter().map(|(slice, table)| (slice, Arc::new(table))).collect());
        let mut proxies = vec![Proxy::default(); sizes.proxies];
        for proxy in &mut proxies {
            proxy.joined = true;
            proxy.reads(&store.0);
        }
        let controller = |_| Controller {
            reducer: None,
            wire: None,
            channel: Channel::new(),
            follows: false,
            incarnation: 0,
            quiet: None,
            born: now,
            told: BTreeMap::new(),
        };
        Day {
            now,
            random,
            agenda: BTreeMap::new(),
            steps: 0,
            replicas: (0..sizes.replicas).map(|_| Replica::new()).collect(),
            names: names.into_iter().zip(0..).collect(),
            proxies,
            controllers: (0..sizes.controllers).map(controller).collect(),
            store,
            holders,
            given: vec![now; sizes.slices],
            garbled: 0.0,
            odd: None,
            list_before: None,
            listed: vec!["active"; sizes.replicas],
            version: 1,
            requests: BTreeMap::new(),
            next_request: 0,
            heat,
            burst: 1.0,
            troubles,
            relay_away: false,
            relay_mute: false,
            discovery_away: false,
            excused: now + SETTLING,
            met: BTreeMap::new(),
            reports: 0,
            asked: BTreeMap::new(),
            out: BTreeMap::new(),
            meddler: None,
            about: None,
            told: Vec::new(),
            rules: Rules::default(),
            outcome: Outcome::default(),
            priority_weight: (0.0, 0.0),
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
                (0..self.controllers.len()).filter(|at| self.controllers[*at].wire.is_none()).collect();
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
        self.outcome.service = self.priority_weight.0 / self.priority_weight.1.max(1.0);
        self.outcome.violations = std::mem::take(&mut self.rules.violations);
        self.outcome.broken = std::mem::take(&mut self.rules.counts);
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Arrive => self.arrive(),
            Step::Reaches { replica, job } => self.reaches(replica, job),
            Step::Done { replica, incarnation, job } => self.done(replica, incarnation, job),
            Step::Back { replica, job, answer } => self.back(replica, job, answer),
            Step::GivenUp { request, attempt } => self.given_up(request, attempt),
            Step::ComesAgain { request } => self.attempt(request, None),
            Step::Report => self.report(),
            Step::Watch => self.watch(),
            Step::Channel(at) => self.channel(at),
            Step::To(at, incarnation, event) if self.controllers[at].incarnation == incarnation => {
                self.tell(at, *event)
            }
            Step::Told(at, incarnation, list) if self.controllers[at].incarnation == incarnation => {
                self.is_told(at, *list)
            }
            Step::Quiet(at, incarnation) if self.controllers[at].incarnation == incarnation => {
                if self.controllers[at].quiet.is_some_and(|due| due <= self.now) {
                    self.controllers[at].quiet = None;
                    self.tell(at, Event::InputDrained);
                }
            }
            Step::Call(at, incarnation, line) if self.controllers[at].incarnation == incarnation => {
                self.call(at, &line)
            }
            Step::RelayEvent(at, incarnation, line) if self.controllers[at].incarnation == incarnation => {
                self.news(at, &line)
            }
            Step::RelayEvent(..) | Step::To(..) | Step::Told(..) | Step::Quiet(..) | Step::Call(..) => {}
            Step::Begins(at) => self.begins(at),
            Step::Ends(at) => self.ends(at),
            Step::Release { replica, to, stage } => self.release(replica, to, stage),
            Step::TakeOver(from) => {
                let heir = (0..self.controllers.len()).find(|at| self.controllers[*at].reducer.is_some());
                self.hand_all(|_, holder| heir.filter(|_| holder == from));
            }
            Step::GiveBack(to) => {
                let many = self.controllers.len();
                self.hand_all(|slice, _| (slice % many == to).then_some(to));
            }
            Step::ComesOver { controller, proxy } => self.comes_over(controller, proxy),
            Step::Alive => {
                self.after(Span::ms(1000), Step::Alive);
                for at in 0..self.controllers.len() {
                    let garbled = self.garbled > 0.0 && self.random.draw() < self.garbled;
                    if garbled && self.controllers[at].follows {
                        self.controllers[at].follows = false;
                        self.tell(at, Event::WatchLost(StreamError::Unreadable("garbled".into())));
                    } else if self.controllers[at].follows && !self.relay_away {
                        self.news(at, "*");
                    }
                }
            }
        }
    }
}
