//! What becomes of the bytes of one direction of one connection: told of bytes and of the time, it says what
//! is passed on, when, and what else is done. The same rules, seed, bytes and cause make the same faults; how
//! the bytes were cut into reads does not matter, but for `after`.

use crate::schedule::{Garble, Rule, Schedule, What, When};
use crate::{Direction, Number};
use bytes::{Bytes, BytesMut};
use std::collections::{BTreeMap, VecDeque};
use whinwall_policy::random::Random;
use whinwall_policy::time::Span;

/// A line that has not ended may be held back for a rule about lines up to this size.
const LONGEST: usize = 1 << 20;

#[derive(Clone, Debug, PartialEq)]
pub enum Act {
    Pass(Bytes),
    /// Before whatever is next.
    Wait(Span),
    /// The one that connected, and the target, see what this says.
    Cut,
    End,
    HalfClose,
    Silence,
}

/// A fault as it was injected, by its cause.
#[derive(Clone, Debug, PartialEq)]
pub struct Injected {
    pub conn: Number,
    pub direction: Direction,
    /// Bytes that had come in this direction.
    pub offset: u64,
    pub what: What,
    /// What was drawn for it: a wait, or the bytes that it was done with.
    pub wait: Span,
    pub bytes: Vec<u8>,
}

/// One direction of one connection.
pub struct Lane {
    conn: Number,
    direction: Direction,
    rules: Vec<(Rule, Option<u32>)>,
    /// Injected again instead of rules, in this order.
    replay: Option<VecDeque<Injected>>,
    random: Random,
    /// Bytes that have come, lines that have begun.
    offset: u64,
    lines: u64,
    at_start: bool,
    /// A line that is held back until its end, for a rule that looks at it whole.
    held: BytesMut,
    /// Where in what came it begins.
    held_from: u64,
    /// With its place. Empty until the line is there that is to change places with the next.
    swapped: Option<(u64, Bytes)>,
    /// What is to be done to bytes that have not passed, by their place in what came.
    pending: BTreeMap<u64, (Garble, u8)>,
    /// Where the line that is now passing began.
    line_start: u64,
    rate: Option<u64>,
    pieces: Option<u64>,
    /// What was done, for the record.
    pub injected: Vec<Injected>,
    over: bool,
    /// A rule looks at a line that has come and not passed.
    deciding: bool,
}

impl Lane {
    pub fn new(schedule: &Schedule, conn: Number, direction: Direction) -> Self {
        let for_it = |rule: &&Rule| {
            rule.conn.is_none_or(|only| only == conn) && rule.direction.is_none_or(|only| only == direction)
        };
        let rules = schedule.rules.iter().filter(for_it).map(|rule| (rule.clone(), rule.times)).collect();
        // Each lane has its own chance: what others do must not change what is drawn here.
        let seed = schedule.seed ^ conn.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ (direction as u64) << 63;
        Lane {
            conn,
            direction,
            rules,
            replay: None,
            random: Random::from_seed(seed),
            offset: 0,
            lines: 0,
            at_start: true,
            held: BytesMut::new(),
            held_from: 0,
            swapped: None,
            pending: BTreeMap::new(),
            line_start: 0,
            rate: None,
            pieces: None,
            injected: Vec::new(),
            over: false,
            deciding: false,
        }
    }

    pub fn replaying(conn: Number, direction: Direction, faults: Vec<Injected>) -> Self {
        let mut lane = Lane::new(&Schedule::default(), conn, direction);
        lane.replay = Some(faults.into());
        lane
    }

    /// What is done to the connection before any byte.
    pub fn starts(&mut self) -> Vec<Act> {
        let mut acts = Vec::new();
        self.fire(&mut acts, |when, _| *when == When::Start, &[]);
        acts
    }

    /// So long after the connection came; whatever is due by then.
    pub fn time(&mut self, gone: Span) -> Vec<Act> {
        let mut acts = Vec::new();
        self.fire(&mut acts, |when, _| matches!(when, When::After(span) if *span <= gone), &[]);
        acts
    }

    /// When `time` is needed next.
    pub fn next(&self) -> Option<Span> {
        let after = |(rule, left): &(Rule, Option<u32>)| match rule.when {
            When::After(span) if *left != Some(0) => Some(span),
            _ => None,
        };
        self.rules.iter().filter_map(after).min()
    }

    /// More has come.
    pub fn bytes(&mut self, bytes: &[u8]) -> Vec<Act> {
        let mut acts = Vec::new();
        let mut rest = bytes;
        while !rest.is_empty() && !self.over {
            // Up to the end of a line, or to where something is due: what is done never depends on how it was
            // read.
            let line_end = rest.iter().position(|byte| *byte == b'\n').map_or(rest.len(), |at| at + 1);
            let due = self.next_offset().map_or(rest.len(), |at| (at - self.offset) as usize);
            if due == 0 {
                let offset = self.offset;
                self.fire(&mut acts, |when, _| matches!(when, When::Offset(at) if *at == offset), &[]);
                // One that holds more often is not due again at the same place.
                self.spend_offsets(offset);
                self.fire_replayed(&mut acts);
                continue;
            }
            let (now, later) = rest.split_at(line_end.min(due).min(rest.len()));
            rest = later;
            self.piece(now, &mut acts);
        }
        if !self.over {
            self.fire_replayed(&mut acts);
        }
        acts
    }

    /// The other side has ended this direction: what was held back goes on.
    pub fn ends(&mut self) -> Vec<Act> {
        let mut acts = Vec::new();
        let (held, swapped) = (self.held.split().freeze(), self.swapped.take());
        for (from, rest) in [(self.held_from, held), swapped.unwrap_or_default()] {
            self.emit(from, rest, &mut acts);
        }
        acts
    }

    fn next_offset(&self) -> Option<u64> {
        let at = |(rule, left): &(Rule, Option<u32>)| match rule.when {
            When::Offset(at) if *left != Some(0) && at >= self.offset => Some(at),
            _ => None,
        };
        let replayed = self.replay.iter().flatten().next().map(|fault| fault.offset.max(self.offset));
        self.rules.iter().filter_map(at).chain(replayed).min()
    }

    fn spend_offsets(&mut self, offset: u64) {
        for (rule, left) in &mut self.rules {
            if rule.when == When::Offset(offset) {
                *left = Some(0);
            }
        }
    }

    /// Bytes up to an end of a line, or part of a line.
    fn piece(&mut self, bytes: &[u8], acts: &mut Vec<Act>) {
        if self.at_start {
            self.lines += 1;
            self.line_start = self.offset;
            let line = self.lines;
            self.fire(acts, |when, _| *when == When::Line(line), &[]);
            if self.over {
                return;
            }
        }
        if self.held.is_empty() {
            self.held_from = self.offset;
        }
        self.offset += bytes.len() as u64;
        self.at_start = bytes.ends_with(b"\n");
        self.held.extend_from_slice(bytes);
        // A rule that looks into lines has to see them whole.
        let looks =
            self.rules.iter().any(|(rule, left)| matches!(rule.when, When::Matches(_)) && *left != Some(0));
        if (looks || self.swapped.is_some()) && !self.at_start && self.held.len() < LONGEST {
            return;
        }
        let line = self.held.split().freeze();
        let text = line.clone();
        self.deciding = true;
        self.fire(
            acts,
            |when, line| matches!(when, When::Matches(text) if contains(line, text.as_bytes())),
            &text,
        );
        self.deciding = false;
        if self.over {
            return;
        }
        self.emit(self.held_from, line, acts);
    }

    fn emit(&mut self, from: u64, bytes: Bytes, acts: &mut Vec<Act>) {
        if bytes.is_empty() {
            return;
        }
        // The line that was to change places with the next goes behind it.
        if self.swapped.as_ref().is_some_and(|(_, line)| line.is_empty()) && self.at_start {
            self.swapped = Some((from, bytes));
            return;
        }
        let mut all = vec![(from, bytes)];
        all.extend(self.swapped.take_if(|(_, line)| !line.is_empty()));
        for (from, bytes) in all {
            let size = self.pieces.map_or(bytes.len(), |size| size as usize).max(1);
            let bytes = self.garbled(from, bytes);
            for piece in (0..bytes.len()).step_by(size) {
                let piece = bytes.slice(piece..(piece + size).min(bytes.len()));
                let wait = self.rate.map(|rate| Span::ms(piece.len() as u64 * 1000 / rate.max(1)));
                acts.push(Act::Pass(piece));
                acts.extend(wait.map(Act::Wait));
            }
        }
    }

    fn fire(&mut self, acts: &mut Vec<Act>, due: impl Fn(&When, &[u8]) -> bool, line: &[u8]) {
        for at in 0..self.rules.len() {
            let (rule, left) = &mut self.rules[at];
            if self.over || *left == Some(0) || !due(&rule.when, line) {
                continue;
            }
            *left = left.map(|left| left - 1);
            let what = rule.what;
            let (wait, bytes) = self.draw(what);
            self.inject(what, wait, bytes, acts);
        }
    }

    /// What a record says was done here.
    fn fire_replayed(&mut self, acts: &mut Vec<Act>) {
        let offset = self.offset;
        while let Some(fault) =
            self.replay.iter_mut().flatten().next().filter(|fault| fault.offset <= offset).cloned()
        {
            self.replay.iter_mut().for_each(|faults| _ = faults.pop_front());
            self.inject(fault.what, fault.wait, fault.bytes, acts);
            if self.over {
                return;
            }
        }
    }

    /// What was recorded at the very beginning.
    pub fn starts_again(&mut self) -> Vec<Act> {
        let mut acts = Vec::new();
        self.fire_replayed(&mut acts);
        acts
    }

    fn draw(&mut self, what: What) -> (Span, Vec<u8>) {
        match what {
            What::Delay(from, to) => (from + (to - from).times(self.random.draw()), Vec::new()),
            What::Stall(span) => (span, Vec::new()),
            What::Garble(_, many) => {
                let byte = |_| (self.random.draw() * 256.0) as u8;
                (Span::default(), (0..many).map(byte).collect())
            }
            _ => (Span::default(), Vec::new()),
        }
    }

    fn inject(&mut self, what: What, wait: Span, bytes: Vec<u8>, acts: &mut Vec<Act>) {
        // What is done to a line that had to be seen whole was done before it.
        let offset = if self.deciding { self.line_start } else { self.offset };
        let (conn, direction) = (self.conn, self.direction);
        let garbled = bytes.clone();
        self.injected.push(Injected { conn, direction, offset, what, wait, bytes });
        match what {
            What::Delay(..) | What::Stall(_) => acts.push(Act::Wait(wait)),
            What::Rate(rate) => self.rate = Some(rate),
            What::Pieces(size) => self.pieces = Some(size),
            What::Silence | What::Mute => self.stop(Act::Silence, acts),
            What::Cut | What::Refuse => self.stop(Act::Cut, acts),
            What::End => self.stop(Act::End, acts),
            What::HalfClose => self.stop(Act::HalfClose, acts),
            // One that waits for its place already keeps it.
            What::Swap => _ = self.swapped.get_or_insert_default(),
            What::Garble(kind, _) => {
                let places = (offset..).zip(garbled);
                self.pending.extend(places.map(|(at, byte)| (at, (kind, byte))));
            }
        }
    }

    fn stop(&mut self, act: Act, acts: &mut Vec<Act>) {
        let held = self.held.split().freeze();
        if !held.is_empty() {
            acts.push(Act::Pass(held));
        }
        acts.push(act);
        self.over = true;
    }

    /// What becomes of bytes that pass.
    fn garbled(&mut self, from: u64, bytes: Bytes) -> Bytes {
        if self.pending.is_empty() {
            return bytes;
        }
        let mut out = BytesMut::with_capacity(bytes.len() + self.pending.len());
        for (at, byte) in (from..).zip(bytes) {
            match self.pending.remove(&at) {
                // Never to what it was.
                Some((Garble::Flip, mask)) => out.extend([byte ^ mask.max(1)]),
                Some((Garble::Drop, _)) => {}
                Some((Garble::Repeat, _)) => out.extend([byte, byte]),
                Some((Garble::Insert, new)) => out.extend([new, byte]),
                None => out.extend([byte]),
            }
        }
        out.freeze()
    }
}

fn contains(line: &[u8], text: &[u8]) -> bool {
    line.windows(text.len().max(1)).any(|window| window == text)
}
