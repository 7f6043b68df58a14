//! Applies faults to the bytes of one direction of one connection, without I/O or clock. Given bytes and the time, an
//! [`Injector`] returns the [`Step`]s to carry out. The same rules, seed and bytes give the same faults, independent of
//! how the bytes are split into reads, except for `after` rules.

use crate::schedule::{FaultKind, Garble, Rule, Schedule, Trigger};
use crate::{ConnectionNumber, Direction};
use bytes::{Bytes, BytesMut};
use std::collections::{BTreeMap, VecDeque};
use whinwall_policy::random::Random;
use whinwall_policy::time::Span;

/// The size from which an incomplete line is no longer held back for a rule that needs the whole line.
const MAX_HELD_LINE_BYTES: usize = 1 << 20;

/// A step to carry out. Steps are carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Forward these bytes.
    Pass(Bytes),
    /// Wait before the next step.
    Wait(Span),
    /// Reset both sides of the connection.
    Cut,
    /// Close both sides of the connection gracefully.
    End,
    /// Close this direction gracefully; the opposite direction stays open.
    HalfClose,
    /// Discard all further bytes of this direction and keep the connection open.
    Silence,
}

/// An injected fault, with the values that were drawn for it.
#[derive(Clone, Debug, PartialEq)]
pub struct InjectedFault {
    /// The connection.
    pub connection: ConnectionNumber,
    /// The direction.
    pub direction: Direction,
    /// The number of bytes received in this direction before the fault.
    pub offset: u64,
    /// The fault.
    pub kind: FaultKind,
    /// The drawn wait, or zero.
    pub wait: Span,
    /// The drawn bytes.
    pub bytes: Vec<u8>,
}

/// Applies the rules of a schedule, or the faults of a record, to one direction of one connection.
pub struct Injector {
    connection: ConnectionNumber,
    direction: Direction,
    /// The rules with the number of times that each still applies; `None` for `always`.
    rules: Vec<(Rule, Option<u32>)>,
    /// Recorded faults to inject in this order, used without rules.
    recorded_faults: Option<VecDeque<InjectedFault>>,
    random: Random,
    /// The number of bytes received.
    offset: u64,
    /// The number of lines of which at least one byte has been received.
    lines_begun: u64,
    is_at_line_start: bool,
    /// An incomplete line that is held back for a rule that needs the whole line.
    held_line: BytesMut,
    /// The offset at which `held_line` begins in the received bytes.
    held_line_offset: u64,
    /// A line to be sent after the next one, with its offset. The line is empty until it has been received.
    swapped_line: Option<(u64, Bytes)>,
    /// Corruptions of bytes that have not been forwarded, by offset in the received bytes.
    pending_garbles: BTreeMap<u64, (Garble, u8)>,
    /// The offset at which the current line began.
    line_start: u64,
    bytes_per_second: Option<u64>,
    chunk_bytes: Option<u64>,
    /// The faults injected since the caller last took them.
    pub injected: Vec<InjectedFault>,
    is_finished: bool,
    /// True while rules are matched against a line that has been received and not yet forwarded.
    is_matching_line: bool,
}

impl Injector {
    /// Creates an injector for the rules of the schedule that apply to this connection and direction.
    pub fn new(schedule: &Schedule, connection: ConnectionNumber, direction: Direction) -> Self {
        let applies = |rule: &&Rule| {
            rule.connection.is_none_or(|only| only == connection)
                && rule.direction.is_none_or(|only| only == direction)
        };
        let rules = schedule.rules.iter().filter(applies).map(|rule| (rule.clone(), rule.times)).collect();
        // Each injector has its own random generator, so that its draws do not depend on other connections.
        let seed = schedule.seed ^ connection.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ (direction as u64) << 63;
        Injector {
            connection,
            direction,
            rules,
            recorded_faults: None,
            random: Random::from_seed(seed),
            offset: 0,
            lines_begun: 0,
            is_at_line_start: true,
            held_line: BytesMut::new(),
            held_line_offset: 0,
            swapped_line: None,
            pending_garbles: BTreeMap::new(),
            line_start: 0,
            bytes_per_second: None,
            chunk_bytes: None,
            injected: Vec::new(),
            is_finished: false,
            is_matching_line: false,
        }
    }

    /// Creates an injector for recorded faults, which have to be sorted by offset.
    pub fn replaying(connection: ConnectionNumber, direction: Direction, faults: Vec<InjectedFault>) -> Self {
        let mut injector = Injector::new(&Schedule::default(), connection, direction);
        injector.recorded_faults = Some(faults.into());
        injector
    }

    /// Returns the steps before the first byte.
    pub fn on_connect(&mut self) -> Vec<Step> {
        let mut steps = Vec::new();
        self.apply_rules(&mut steps, |trigger, _| *trigger == Trigger::Start, &[]);
        steps
    }

    /// Returns the steps of `after` rules that are due at `elapsed` after the connection was opened to the target.
    pub fn on_time(&mut self, elapsed: Span) -> Vec<Step> {
        let mut steps = Vec::new();
        self.apply_rules(
            &mut steps,
            |trigger, _| matches!(trigger, Trigger::After(span) if *span <= elapsed),
            &[],
        );
        steps
    }

    /// Returns the time of the next [`Injector::on_time`] call, counted from the opening of the connection to the
    /// target.
    pub fn next_deadline(&self) -> Option<Span> {
        let pending_span = |(rule, remaining_times): &(Rule, Option<u32>)| match rule.trigger {
            Trigger::After(span) if *remaining_times != Some(0) => Some(span),
            _ => None,
        };
        self.rules.iter().filter_map(pending_span).min()
    }

    /// Processes received bytes.
    pub fn on_bytes(&mut self, bytes: &[u8]) -> Vec<Step> {
        let mut steps = Vec::new();
        let mut rest = bytes;
        while !rest.is_empty() && !self.is_finished {
            // Processes bytes up to the end of a line or the next offset with a fault, so that the result does not
            // depend on how the bytes were split into reads.
            let line_end =
                rest.iter().position(|byte| *byte == b'\n').map_or(rest.len(), |position| position + 1);
            let bytes_until_fault =
                self.next_offset().map_or(rest.len(), |next| (next - self.offset) as usize);
            if bytes_until_fault == 0 {
                let offset = self.offset;
                self.apply_rules(
                    &mut steps,
                    |trigger, _| matches!(trigger, Trigger::Offset(trigger_offset) if *trigger_offset == offset),
                    &[],
                );
                // A rule that applies several times does not apply twice at the same offset.
                self.disable_offset_rules(offset);
                self.inject_recorded(&mut steps);
                continue;
            }
            let (current, remaining) = rest.split_at(line_end.min(bytes_until_fault).min(rest.len()));
            rest = remaining;
            self.process_line_part(current, &mut steps);
        }
        if !self.is_finished {
            self.inject_recorded(&mut steps);
        }
        steps
    }

    /// Handles the end of this direction: returns steps that forward the bytes held back.
    pub fn on_end(&mut self) -> Vec<Step> {
        let mut steps = Vec::new();
        let (held, swapped_line) = (self.held_line.split().freeze(), self.swapped_line.take());
        for (from, rest) in [(self.held_line_offset, held), swapped_line.unwrap_or_default()] {
            self.emit(from, rest, &mut steps);
        }
        steps
    }

    fn next_offset(&self) -> Option<u64> {
        let pending_offset = |(rule, remaining_times): &(Rule, Option<u32>)| match rule.trigger {
            Trigger::Offset(offset) if *remaining_times != Some(0) && offset >= self.offset => Some(offset),
            _ => None,
        };
        let replayed =
            self.recorded_faults.iter().flatten().next().map(|fault| fault.offset.max(self.offset));
        self.rules.iter().filter_map(pending_offset).chain(replayed).min()
    }

    fn disable_offset_rules(&mut self, offset: u64) {
        for (rule, remaining_times) in &mut self.rules {
            if rule.trigger == Trigger::Offset(offset) {
                *remaining_times = Some(0);
            }
        }
    }

    /// Processes a part of a line, which may include its end.
    fn process_line_part(&mut self, bytes: &[u8], steps: &mut Vec<Step>) {
        if self.is_at_line_start {
            self.lines_begun += 1;
            self.line_start = self.offset;
            let line = self.lines_begun;
            self.apply_rules(steps, |trigger, _| *trigger == Trigger::Line(line), &[]);
            if self.is_finished {
                return;
            }
        }
        if self.held_line.is_empty() {
            self.held_line_offset = self.offset;
        }
        self.offset += bytes.len() as u64;
        self.is_at_line_start = bytes.ends_with(b"\n");
        self.held_line.extend_from_slice(bytes);
        // A rule that matches text in lines needs the whole line.
        let needs_whole_line = self.rules.iter().any(|(rule, remaining_times)| {
            matches!(rule.trigger, Trigger::Matches(_)) && *remaining_times != Some(0)
        });
        if (needs_whole_line || self.swapped_line.is_some())
            && !self.is_at_line_start
            && self.held_line.len() < MAX_HELD_LINE_BYTES
        {
            return;
        }
        let line = self.held_line.split().freeze();
        let text = line.clone();
        self.is_matching_line = true;
        self.apply_rules(
            steps,
            |trigger, line| matches!(trigger, Trigger::Matches(text) if contains(line, text.as_bytes())),
            &text,
        );
        self.is_matching_line = false;
        if self.is_finished {
            return;
        }
        self.emit(self.held_line_offset, line, steps);
    }

    fn emit(&mut self, from: u64, bytes: Bytes, steps: &mut Vec<Step>) {
        if bytes.is_empty() {
            return;
        }
        // A line that is to be swapped is sent after the next one.
        if self.swapped_line.as_ref().is_some_and(|(_, line)| line.is_empty()) && self.is_at_line_start {
            self.swapped_line = Some((from, bytes));
            return;
        }
        let mut forwarded = vec![(from, bytes)];
        forwarded.extend(self.swapped_line.take_if(|(_, line)| !line.is_empty()));
        for (from, bytes) in forwarded {
            let size = self.chunk_bytes.map_or(bytes.len(), |size| size as usize).max(1);
            let bytes = self.apply_garbles(from, bytes);
            for chunk in (0..bytes.len()).step_by(size) {
                let chunk = bytes.slice(chunk..(chunk + size).min(bytes.len()));
                let wait =
                    self.bytes_per_second.map(|rate| Span::ms(chunk.len() as u64 * 1000 / rate.max(1)));
                steps.push(Step::Pass(chunk));
                steps.extend(wait.map(Step::Wait));
            }
        }
    }

    fn apply_rules(&mut self, steps: &mut Vec<Step>, matches: impl Fn(&Trigger, &[u8]) -> bool, line: &[u8]) {
        for index in 0..self.rules.len() {
            let (rule, remaining_times) = &mut self.rules[index];
            if self.is_finished || *remaining_times == Some(0) || !matches(&rule.trigger, line) {
                continue;
            }
            *remaining_times = remaining_times.map(|times| times - 1);
            let kind = rule.kind;
            let (wait, bytes) = self.draw_parameters(kind);
            self.inject(kind, wait, bytes, steps);
        }
    }

    /// Injects the recorded faults up to the current offset.
    fn inject_recorded(&mut self, steps: &mut Vec<Step>) {
        let offset = self.offset;
        while let Some(fault) =
            self.recorded_faults.iter_mut().flatten().next().filter(|fault| fault.offset <= offset).cloned()
        {
            self.recorded_faults.iter_mut().for_each(|faults| _ = faults.pop_front());
            self.inject(fault.kind, fault.wait, fault.bytes, steps);
            if self.is_finished {
                return;
            }
        }
    }

    /// Returns the steps of recorded faults that were injected before the first byte.
    pub fn replay_on_connect(&mut self) -> Vec<Step> {
        let mut steps = Vec::new();
        self.inject_recorded(&mut steps);
        steps
    }

    fn draw_parameters(&mut self, kind: FaultKind) -> (Span, Vec<u8>) {
        match kind {
            FaultKind::Delay(from, to) => (from + (to - from).times(self.random.draw()), Vec::new()),
            FaultKind::Stall(span) => (span, Vec::new()),
            FaultKind::Garble(_, count) => {
                let byte = |_| (self.random.draw() * 256.0) as u8;
                (Span::default(), (0..count).map(byte).collect())
            }
            _ => (Span::default(), Vec::new()),
        }
    }

    fn inject(&mut self, kind: FaultKind, wait: Span, bytes: Vec<u8>, steps: &mut Vec<Step>) {
        // A fault that is caused by the content of a line applies at the beginning of the line.
        let offset = if self.is_matching_line { self.line_start } else { self.offset };
        let (connection, direction) = (self.connection, self.direction);
        let drawn_bytes = bytes.clone();
        self.injected.push(InjectedFault { connection, direction, offset, kind, wait, bytes });
        match kind {
            FaultKind::Delay(..) | FaultKind::Stall(_) => steps.push(Step::Wait(wait)),
            FaultKind::Rate(rate) => self.bytes_per_second = Some(rate),
            FaultKind::Pieces(size) => self.chunk_bytes = Some(size),
            FaultKind::Silence | FaultKind::Mute => self.end_with(Step::Silence, steps),
            FaultKind::Cut | FaultKind::Refuse => self.end_with(Step::Cut, steps),
            FaultKind::End => self.end_with(Step::End, steps),
            FaultKind::HalfClose => self.end_with(Step::HalfClose, steps),
            // If a line is already held back for a swap, this fault has no effect.
            FaultKind::Swap => _ = self.swapped_line.get_or_insert_default(),
            FaultKind::Garble(kind, _) => {
                let garbles = (offset..).zip(drawn_bytes);
                self.pending_garbles.extend(garbles.map(|(at, byte)| (at, (kind, byte))));
            }
        }
    }

    fn end_with(&mut self, step: Step, steps: &mut Vec<Step>) {
        let held = self.held_line.split().freeze();
        if !held.is_empty() {
            steps.push(Step::Pass(held));
        }
        steps.push(step);
        self.is_finished = true;
    }

    /// Applies the pending corruptions to forwarded bytes.
    fn apply_garbles(&mut self, from: u64, bytes: Bytes) -> Bytes {
        if self.pending_garbles.is_empty() {
            return bytes;
        }
        let mut garbled = BytesMut::with_capacity(bytes.len() + self.pending_garbles.len());
        for (at, byte) in (from..).zip(bytes) {
            match self.pending_garbles.remove(&at) {
                // A mask of 0 would leave the byte unchanged.
                Some((Garble::Flip, mask)) => garbled.extend([byte ^ mask.max(1)]),
                Some((Garble::Drop, _)) => {}
                Some((Garble::Repeat, _)) => garbled.extend([byte, byte]),
                Some((Garble::Insert, inserted)) => garbled.extend([inserted, byte]),
                None => garbled.extend([byte]),
            }
        }
        garbled.freeze()
    }
}

fn contains(line: &[u8], text: &[u8]) -> bool {
    line.windows(text.len().max(1)).any(|window| window == text)
}
