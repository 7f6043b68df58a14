//! What a governor remembers: plain records, no decisions.

use crate::chance::Chance;
use crate::deployment::Deployment;
use crate::interface::{Listing, Met, ProxyId, ServerId, SliceId, Standing, Step};
use crate::ring::Ring;
use crate::time::{Moment, Span};
use std::collections::{BTreeMap, BTreeSet};

/// Twelve seconds in half-second buckets: the longest that any rule looks back.
fn ring() -> Ring {
    Ring::new(Span::ms(500), 24)
}

pub struct Server {
    pub machine: String,
    pub standing: Standing,
    pub size: f64,
    pub started: Option<Moment>,
    pub listed: bool,
    pub tries: Ring,
    pub aborted: Ring,
    pub answered: Ring,
    pub busy: Ring,
    pub asked: Ring,
    pub service: Option<f64>,
    /// Its latest answers' time against the tightest target.
    pub last_late: f64,
    pub probe_at: Moment,
    pub sick_until: Option<Moment>,
    pub strikes: u32,
    /// How much of what comes for it is to be held back, from nothing to nearly all.
    pub cut: f64,
    /// Rounds in a row above the band, or below it where negative.
    pub outside: i32,
}

/// One governor's whole memory; it is lost when the governor is killed.
pub struct Governor {
    pub(crate) site: Deployment,
    pub(crate) chance: Chance,
    pub(crate) now: Moment,
    pub(crate) born: Moment,
    pub(crate) servers: BTreeMap<ServerId, Server>,
    pub(crate) slices: BTreeMap<SliceId, Slice>,
    pub(crate) channel: Channel,
    pub(crate) steps: Vec<Step>,
    pub(crate) due: Due,
    /// The list is more than what a former life remembered.
    pub(crate) list_fresh: bool,
    /// Proxies that have joined since the start, and when one was last lost.
    pub(crate) known: BTreeSet<ProxyId>,
    pub(crate) parted_at: Moment,
    pub(crate) ration_open: bool,
    pub(crate) round_open: bool,
    pub(crate) busy_in_round: BTreeSet<ServerId>,
    pub(crate) token: u64,
}

impl Governor {
    pub(crate) fn blank(site: Deployment, seed: u64, now: Moment) -> Self {
        Governor {
            channel: Channel::new(site.message_window),
            site,
            chance: Chance::from_seed(seed),
            now,
            born: now,
            servers: BTreeMap::new(),
            slices: BTreeMap::new(),
            steps: Vec::new(),
            due: Due::default(),
            list_fresh: false,
            known: BTreeSet::new(),
            parted_at: now,
            ration_open: false,
            round_open: false,
            busy_in_round: BTreeSet::new(),
            token: 0,
        }
    }
}

/// What was met at a server within some time: counts, the seconds its answers took, what should have come.
pub struct Lately {
    pub tries: f64,
    pub aborted: f64,
    pub answered: f64,
    pub busy: f64,
    pub asked: f64,
}

impl Server {
    pub fn new(entry: &Listing, probe_at: Moment) -> Self {
        Server {
            machine: entry.machine.clone(),
            standing: entry.standing,
            size: entry.size,
            started: entry.started,
            listed: true,
            tries: ring(),
            aborted: ring(),
            answered: ring(),
            busy: ring(),
            asked: ring(),
            service: None,
            last_late: 0.0,
            probe_at,
            sick_until: None,
            strikes: 0,
            cut: 0.0,
            outside: 0,
        }
    }

    /// Takes over what the list says.
    pub fn relist(&mut self, entry: &Listing) {
        self.started = entry.started;
        self.standing = entry.standing;
        self.size = entry.size;
        self.machine.clone_from(&entry.machine);
        self.listed = entry.standing != Standing::Gone;
    }

    pub fn record(&mut self, now: Moment, met: &Met) {
        let answered = (met.tries - met.aborted).max(0.0);
        self.tries.add(now, met.tries);
        self.aborted.add(now, met.aborted);
        self.answered.add(now, answered);
        self.busy.add(now, answered * met.mean_latency.seconds());
        self.service = met.report.service_ms.or(self.service);
    }

    pub fn lately(&self, now: Moment, over: Span) -> Lately {
        Lately {
            tries: self.tries.sum(now, over),
            aborted: self.aborted.sum(now, over),
            answered: self.answered.sum(now, over),
            busy: self.busy.sum(now, over),
            asked: self.asked.sum(now, over),
        }
    }

    /// Drops all that was met here so far.
    pub fn forget(&mut self) {
        for ring in [&mut self.tries, &mut self.aborted, &mut self.answered, &mut self.busy, &mut self.asked]
        {
            ring.clear();
        }
        self.service = None;
        self.last_late = 0.0;
    }
}

#[derive(Default, Clone, Copy, PartialEq, PartialOrd, Eq, Ord)]
pub enum Haste {
    #[default]
    Calm,
    Urgent,
}

pub struct Slice {
    /// The table as it should be.
    pub wanted: BTreeMap<ServerId, f64>,
    /// The table as the proxies were told.
    pub held: BTreeMap<ServerId, f64>,
    /// Ops that came, cleared of repeats as well as can be; and all of them.
    pub came: Ring,
    pub pressed: Ring,
    pub moves: u32,
    pub cut: f64,
    pub cut_held: f64,
    pub haste: Haste,
    /// The mark that its last change waits for.
    pub mark: Option<u16>,
    pub settled: Moment,
    /// Since when its ops are halted for a change of owner (single-writer sites).
    pub halted: Option<Moment>,
}

impl Slice {
    pub fn new(table: &[(ServerId, f64)], now: Moment) -> Self {
        let lines: BTreeMap<_, _> = table.iter().copied().filter(|(_, weight)| *weight > 0.0).collect();
        Slice {
            wanted: lines.clone(),
            held: lines,
            came: ring(),
            pressed: ring(),
            moves: 0,
            cut: 0.0,
            cut_held: 0.0,
            haste: Haste::Calm,
            mark: None,
            settled: now,
            halted: None,
        }
    }

    /// The lines that turn the table held into the one wanted, new ones first; weight 0 takes a line away.
    pub fn differences(&self, with_old: bool) -> Vec<(ServerId, f64)> {
        let new = self.wanted.iter().filter(|(id, weight)| self.held.get(id) != Some(weight));
        let old = self.held.keys().filter(|id| with_old && !self.wanted.contains_key(id));
        new.map(|(id, weight)| (*id, *weight)).chain(old.map(|id| (*id, 0.0))).collect()
    }

    /// Puts another server in one's place.
    pub fn pass(&mut self, from: ServerId, to: ServerId, haste: Haste, now: Moment) {
        let weight = self.wanted.remove(&from).unwrap_or(1.0);
        self.wanted.insert(to, weight);
        self.moves += 1;
        self.settled = now;
        self.haste = self.haste.max(haste);
    }
}

/// One message to each of the proxies, of which some have not acked yet.
pub struct Sent {
    pub waiting: BTreeSet<ProxyId>,
    pub lines_each: f64,
    pub at: Moment,
}

/// The way to the proxies: who listens, and what may still be under way.
pub struct Channel {
    pub proxies: BTreeSet<ProxyId>,
    pub marks: BTreeMap<u16, Sent>,
    /// The mark of the reply now being made.
    pub open_mark: Option<u16>,
    pub last_mark: u16,
    /// When the newest message was ordered that some proxy has acked.
    pub last_through: Moment,
    pub messages: Ring,
}

impl Channel {
    pub fn new(window: Span) -> Self {
        let bucket = Span::ms(500);
        Channel {
            proxies: BTreeSet::new(),
            marks: BTreeMap::new(),
            open_mark: None,
            last_mark: 0,
            last_through: Moment::default(),
            messages: Ring::new(bucket, window.as_ns().div_ceil(bucket.as_ns()) as usize + 1),
        }
    }

    /// What it had not acked travels no more.
    pub fn part(&mut self, proxy: ProxyId) {
        self.proxies.remove(&proxy);
        self.marks.values_mut().for_each(|m| _ = m.waiting.remove(&proxy));
    }

    pub fn acked(&mut self, proxy: ProxyId, mark: u16) {
        if let Some(sent) = self.marks.get_mut(&mark) {
            sent.waiting.remove(&proxy);
            self.last_through = self.last_through.max(sent.at);
        }
    }

    /// Messages leave in order, so an ack shows that all ordered before have left. Of the rest, the lines not
    /// yet acked are no fewer than those that wait, however slowly the channel runs.
    pub fn lines_waiting(&self) -> f64 {
        let behind = self.marks.values().filter(|m| m.at >= self.last_through);
        behind.map(|m| m.lines_each * m.waiting.len() as f64).sum()
    }

    /// Adds lines to this reply's message, and opens the message where there is none yet.
    pub fn write(&mut self, now: Moment, head: f64, lines: f64) -> u16 {
        let number = self.open_mark.unwrap_or_else(|| {
            self.last_mark = self.last_mark.wrapping_add(1);
            self.messages.add(now, 1.0);
            let sent = Sent { waiting: self.proxies.clone(), lines_each: head, at: now };
            self.marks.insert(self.last_mark, sent);
            self.last_mark
        });
        self.open_mark = Some(number);
        if let Some(sent) = self.marks.get_mut(&number) {
            sent.lines_each += lines;
        }
        number
    }
}

/// When each recurring matter is next due.
#[derive(Default)]
pub struct Due {
    pub list: Option<Moment>,
    pub lift: Option<Moment>,
    pub judge: Moment,
    pub round: Moment,
    pub wake: Option<Moment>,
}

/// Loads and powers as seen at one moment.
pub struct Scene {
    pub loads: BTreeMap<ServerId, f64>,
    pub pressures: BTreeMap<ServerId, f64>,
    pub powers: BTreeMap<ServerId, f64>,
    pub average: f64,
    /// What a unit of power was seen to answer.
    pub proven: f64,
    pub phi: f64,
}

impl Scene {
    pub fn load(&self, id: ServerId) -> f64 {
        self.loads.get(&id).copied().unwrap_or(0.0)
    }

    pub fn pressure(&self, id: ServerId) -> f64 {
        self.pressures.get(&id).copied().unwrap_or(0.0)
    }

    pub fn power(&self, id: ServerId) -> f64 {
        self.powers.get(&id).copied().unwrap_or(1.0)
    }

    pub fn level(&self, id: ServerId) -> f64 {
        self.load(id) / self.power(id)
    }

    /// What this server may carry inside the band.
    pub fn top(&self, id: ServerId) -> f64 {
        self.power(id) * (self.average + self.phi)
    }

    pub fn room(&self, id: ServerId) -> f64 {
        self.top(id) - self.load(id)
    }
}
