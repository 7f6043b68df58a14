//! What a governor remembers: plain records, no decisions.

use crate::interface::{Listing, ProxyId, ServerId, Standing};
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

    /// Messages leave in order, so an ack shows that all ordered before have left. Of the rest, the lines not yet
    /// acked are no fewer than those that wait, however slowly the channel runs.
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

    pub fn room(&self, id: ServerId) -> f64 {
        self.power(id) * (self.average + self.phi) - self.load(id)
    }
}
