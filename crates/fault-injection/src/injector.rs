//! What becomes of the bytes of one direction of one connection, without I/O or clock: given bytes and the time, an
//! [`Injector`] says what is passed on, when, and what else is done. The same rules, seed and bytes make the same
//! faults; how the bytes were divided into reads does not matter, but for `after`.

use crate::schedule::{FaultKind, Garble, Rule, Schedule, Trigger};
use crate::{ConnectionNumber, Direction};
use bytes::{Bytes, BytesMut};
use std::collections::{BTreeMap, VecDeque};
use whinwall_policy::random::Random;
use whinwall_policy::time::Span;

/// A line that has not ended is held back for a rule about lines up to this size, in bytes.
const MAX_HELD_LINE_BYTES: usize = 1 << 20;

/// What is to be done, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Pass these bytes on.
    Pass(Bytes),
    /// Wait before the next step.
    Wait(Span),
    /// Reset both sides of the connection.
    Cut,
    /// End both sides of the connection in order.
    End,
    /// End this direction in order; the other goes on.
    HalfClose,
    /// Pass nothing more in this direction, and tell nobody.
    Silence,
}

/// A fault as it was injected, by its cause.
#[derive(Clone, Debug, PartialEq)]
pub struct InjectedFault {
    /// The connection.
    pub connection: ConnectionNumber,
    /// The direction.
    pub direction: Direction,
    /// Bytes that had come in this direction.
    pub offset: u64,
    /// The fault.
    pub kind: FaultKind,
    /// The wait that was drawn for it, or zero.
    pub wait: Span,
    /// The bytes that were drawn for it.
    pub bytes: Vec<u8>,
}

/// Applies the rules of a schedule, or the faults of a record, to one direction of one connection.
pub struct Injector {
    connection: ConnectionNumber,
    direction: Direction,
    rules: Vec<(Rule, Option<u32>)>,
    /// Injected again instead of rules, in this order.
    replay: Option<VecDeque<InjectedFault>>,
    random: Random,
    /// Bytes that have come, lines that have begun.
    offset: u64,
    lines: u64,
    is_at_line_start: bool,
    /// A line that is held back until its end, for a rule that looks at it whole.
    held: BytesMut,
    /// Where in what came it begins.
    held_offset: u64,
    /// With its place. Empty until the line is there that is to change places with the next.
    swapped_line: Option<(u64, Bytes)>,
    /// What is to be done to bytes that have not passed, by their place in what came.
    pending_garbles: BTreeMap<u64, (Garble, u8)>,
    /// Where the line that is now passing began.
    line_start: u64,
    rate: Option<u64>,
    chunk_bytes: Option<u64>,
    /// The faults injected since the caller last took them.
    pub injected: Vec<InjectedFault>,
    is_over: bool,
    /// A rule looks at a line that has come and not passed.
    is_line_under_decision: bool,
}

impl Injector {
    /// An injector for the rules of the schedule that are for this direction.
    pub fn new(schedule: &Schedule, connection: ConnectionNumber, direction: Direction) -> Self {
        let for_it = |rule: &&Rule| {
            rule.connection.is_none_or(|only| only == connection)
                && rule.direction.is_none_or(|only| only == direction)
        };
        let rules = schedule.rules.iter().filter(for_it).map(|rule| (rule.clone(), rule.times)).collect();
        // Each injector draws from a generator of its own: what others do must not change what is drawn here.
        let seed = schedule.seed ^ connection.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ (direction as u64) << 63;
        Injector {
            connection,
            direction,
            rules,
            replay: None,
            random: Random::from_seed(seed),
            offset: 0,
            lines: 0,
            is_at_line_start: true,
            held: BytesMut::new(),
            held_offset: 0,
            swapped_line: None,
            pending_garbles: BTreeMap::new(),
            line_start: 0,
            rate: None,
            chunk_bytes: None,
            injected: Vec::new(),
            is_over: false,
            is_line_under_decision: false,
        }
    }

    /// An injector for recorded faults, in order of their offsets.
    pub fn replaying(connection: ConnectionNumber, direction: Direction, faults: Vec<InjectedFault>) -> Self {
        let mut injector = Injector::new(&Schedule::default(), connection, direction);
        injector.replay = Some(faults.into());
        injector
    }

    /// What is done before any byte.
    pub fn on_connect(&mut self) -> Vec<Step> {
        let mut steps = Vec::new();
        self.fire_rules(&mut steps, |trigger, _| *trigger == Trigger::Start, &[]);
        steps
    }

    /// What is due by this time after the connection was accepted.
    pub fn on_time(&mut self, gone: Span) -> Vec<Step> {
        let mut steps = Vec::new();
        self.fire_rules(
            &mut steps,
            |trigger, _| matches!(trigger, Trigger::After(span) if *span <= gone),
            &[],
        );
        steps
    }

    /// When [`Injector::on_time`] is to be called next, counted from the connection's start.
    pub fn next_deadline(&self) -> Option<Span> {
        let after = |(rule, left): &(Rule, Option<u32>)| match rule.trigger {
            Trigger::After(span) if *left != Some(0) => Some(span),
            _ => None,
        };
        self.rules.iter().filter_map(after).min()
    }

    /// Bytes were read.
    pub fn on_bytes(&mut self, bytes: &[u8]) -> Vec<Step> {
        let mut steps = Vec::new();
        let mut rest = bytes;
        while !rest.is_empty() && !self.is_over {
            // Up to the end of a line, or to where something is due: what is done never depends on how it was
            // read.
            let line_end = rest.iter().position(|byte| *byte == b'\n').map_or(rest.len(), |at| at + 1);
            let due = self.next_offset().map_or(rest.len(), |at| (at - self.offset) as usize);
            if due == 0 {
                let offset = self.offset;
                self.fire_rules(
                    &mut steps,
                    |trigger, _| matches!(trigger, Trigger::Offset(at) if *at == offset),
                    &[],
                );
                // One that holds more often is not due again at the same place.
                self.mark_offset_rules_spent(offset);
                self.fire_replayed(&mut steps);
                continue;
            }
            let (now, later) = rest.split_at(line_end.min(due).min(rest.len()));
            rest = later;
            self.line_part(now, &mut steps);
        }
        if !self.is_over {
            self.fire_replayed(&mut steps);
        }
        steps
    }

    /// The sender has ended this direction: what was held back is passed on.
    pub fn on_end(&mut self) -> Vec<Step> {
        let mut steps = Vec::new();
        let (held, swapped_line) = (self.held.split().freeze(), self.swapped_line.take());
        for (from, rest) in [(self.held_offset, held), swapped_line.unwrap_or_default()] {
            self.emit(from, rest, &mut steps);
        }
        steps
    }

    fn next_offset(&self) -> Option<u64> {
        let at = |(rule, left): &(Rule, Option<u32>)| match rule.trigger {
            Trigger::Offset(at) if *left != Some(0) && at >= self.offset => Some(at),
            _ => None,
        };
        let replayed = self.replay.iter().flatten().next().map(|fault| fault.offset.max(self.offset));
        self.rules.iter().filter_map(at).chain(replayed).min()
    }

    fn mark_offset_rules_spent(&mut self, offset: u64) {
        for (rule, left) in &mut self.rules {
            if rule.trigger == Trigger::Offset(offset) {
                *left = Some(0);
            }
        }
    }

    /// Bytes up to an end of a line, or part of a line.
    fn line_part(&mut self, bytes: &[u8], steps: &mut Vec<Step>) {
        if self.is_at_line_start {
            self.lines += 1;
            self.line_start = self.offset;
            let line = self.lines;
            self.fire_rules(steps, |trigger, _| *trigger == Trigger::Line(line), &[]);
            if self.is_over {
                return;
            }
        }
        if self.held.is_empty() {
            self.held_offset = self.offset;
        }
        self.offset += bytes.len() as u64;
        self.is_at_line_start = bytes.ends_with(b"\n");
        self.held.extend_from_slice(bytes);
        // A rule that looks into lines has to see them whole.
        let looks = self
            .rules
            .iter()
            .any(|(rule, left)| matches!(rule.trigger, Trigger::Matches(_)) && *left != Some(0));
        if (looks || self.swapped_line.is_some())
            && !self.is_at_line_start
            && self.held.len() < MAX_HELD_LINE_BYTES
        {
            return;
        }
        let line = self.held.split().freeze();
        let text = line.clone();
        self.is_line_under_decision = true;
        self.fire_rules(
            steps,
            |trigger, line| matches!(trigger, Trigger::Matches(text) if contains(line, text.as_bytes())),
            &text,
        );
        self.is_line_under_decision = false;
        if self.is_over {
            return;
        }
        self.emit(self.held_offset, line, steps);
    }

    fn emit(&mut self, from: u64, bytes: Bytes, steps: &mut Vec<Step>) {
        if bytes.is_empty() {
            return;
        }
        // The line that was to change places with the next goes behind it.
        if self.swapped_line.as_ref().is_some_and(|(_, line)| line.is_empty()) && self.is_at_line_start {
            self.swapped_line = Some((from, bytes));
            return;
        }
        let mut all = vec![(from, bytes)];
        all.extend(self.swapped_line.take_if(|(_, line)| !line.is_empty()));
        for (from, bytes) in all {
            let size = self.chunk_bytes.map_or(bytes.len(), |size| size as usize).max(1);
            let bytes = self.apply_garbles(from, bytes);
            for line_part in (0..bytes.len()).step_by(size) {
                let line_part = bytes.slice(line_part..(line_part + size).min(bytes.len()));
                let wait = self.rate.map(|rate| Span::ms(line_part.len() as u64 * 1000 / rate.max(1)));
                steps.push(Step::Pass(line_part));
                steps.extend(wait.map(Step::Wait));
            }
        }
    }

    fn fire_rules(&mut self, steps: &mut Vec<Step>, due: impl Fn(&Trigger, &[u8]) -> bool, line: &[u8]) {
        for at in 0..self.rules.len() {
            let (rule, left) = &mut self.rules[at];
            if self.is_over || *left == Some(0) || !due(&rule.trigger, line) {
                continue;
            }
            *left = left.map(|left| left - 1);
            let kind = rule.kind;
            let (wait, bytes) = self.draw_parameters(kind);
            self.inject(kind, wait, bytes, steps);
        }
    }

    /// What a record says was done here.
    fn fire_replayed(&mut self, steps: &mut Vec<Step>) {
        let offset = self.offset;
        while let Some(fault) =
            self.replay.iter_mut().flatten().next().filter(|fault| fault.offset <= offset).cloned()
        {
            self.replay.iter_mut().for_each(|faults| _ = faults.pop_front());
            self.inject(fault.kind, fault.wait, fault.bytes, steps);
            if self.is_over {
                return;
            }
        }
    }

    /// The recorded faults that were injected before any byte.
    pub fn replay_on_connect(&mut self) -> Vec<Step> {
        let mut steps = Vec::new();
        self.fire_replayed(&mut steps);
        steps
    }

    fn draw_parameters(&mut self, kind: FaultKind) -> (Span, Vec<u8>) {
        match kind {
            FaultKind::Delay(from, to) => (from + (to - from).times(self.random.draw()), Vec::new()),
            FaultKind::Stall(span) => (span, Vec::new()),
            FaultKind::Garble(_, many) => {
                let byte = |_| (self.random.draw() * 256.0) as u8;
                (Span::default(), (0..many).map(byte).collect())
            }
            _ => (Span::default(), Vec::new()),
        }
    }

    fn inject(&mut self, kind: FaultKind, wait: Span, bytes: Vec<u8>, steps: &mut Vec<Step>) {
        // What is done to a line that had to be seen whole was done before it.
        let offset = if self.is_line_under_decision { self.line_start } else { self.offset };
        let (connection, direction) = (self.connection, self.direction);
        let apply_garbles = bytes.clone();
        self.injected.push(InjectedFault { connection, direction, offset, kind, wait, bytes });
        match kind {
            FaultKind::Delay(..) | FaultKind::Stall(_) => steps.push(Step::Wait(wait)),
            FaultKind::Rate(rate) => self.rate = Some(rate),
            FaultKind::Pieces(size) => self.chunk_bytes = Some(size),
            FaultKind::Silence | FaultKind::Mute => self.end_with(Step::Silence, steps),
            FaultKind::Cut | FaultKind::Refuse => self.end_with(Step::Cut, steps),
            FaultKind::End => self.end_with(Step::End, steps),
            FaultKind::HalfClose => self.end_with(Step::HalfClose, steps),
            // One that waits for its place already keeps it.
            FaultKind::Swap => _ = self.swapped_line.get_or_insert_default(),
            FaultKind::Garble(kind, _) => {
                let places = (offset..).zip(apply_garbles);
                self.pending_garbles.extend(places.map(|(at, byte)| (at, (kind, byte))));
            }
        }
    }

    fn end_with(&mut self, step: Step, steps: &mut Vec<Step>) {
        let held = self.held.split().freeze();
        if !held.is_empty() {
            steps.push(Step::Pass(held));
        }
        steps.push(step);
        self.is_over = true;
    }

    /// What becomes of bytes that pass.
    fn apply_garbles(&mut self, from: u64, bytes: Bytes) -> Bytes {
        if self.pending_garbles.is_empty() {
            return bytes;
        }
        let mut out = BytesMut::with_capacity(bytes.len() + self.pending_garbles.len());
        for (at, byte) in (from..).zip(bytes) {
            match self.pending_garbles.remove(&at) {
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
