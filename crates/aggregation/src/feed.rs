//! The reports for one controller: its keys, how far each has been sent, and when it is sent next.

use crate::budget::{self, Candidate};
use crate::configuration::ControllerMember;
use crate::coverage::Coverage;
use crate::limits;
use crate::sums::{Cursor, Portion, Series, Sum, Sums};
use crate::wire::{self, Covered};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use whinwall_policy::time::{Moment, Span};

/// A key has its turn within so many report periods; one less than the maximum window has, as a turn is rounded.
const PERIODS: usize = (limits::MAX_WINDOW.as_ns() / limits::REPORT_PERIOD.as_ns()) as usize - 1;
/// A doubled rate weighs as much as a doubled mean time, and as much as this part of all tries failing.
const FAILED_SHARE: f64 = 0.2;

/// What a line is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Key {
    Replica(Arc<str>),
    Shard(u32, Arc<str>),
}

/// What the last line of a key said, for comparison with the next.
#[derive(Clone, Copy, Debug, Default)]
struct LineValues {
    per_second: f64,
    failed_share: f64,
    mean_latency_ms: f64,
}

impl LineValues {
    fn of(sum: &Sum, window: Span) -> Self {
        let per_second = sum.attempts / window.seconds().max(f64::MIN_POSITIVE);
        let failed_share = if sum.attempts > 0.0 { sum.failed / sum.attempts } else { 0.0 };
        LineValues { per_second, failed_share, mean_latency_ms: sum.mean_latency_ms() }
    }

    fn differs_by(&self, other: &LineValues) -> f64 {
        let ratio = |a: f64, b: f64| ((a + 1.0) / (b + 1.0)).log2().abs();
        ratio(self.per_second, other.per_second)
            + ratio(self.mean_latency_ms, other.mean_latency_ms)
            + (self.failed_share - other.failed_share).abs() / FAILED_SHARE
    }
}

/// How far the controller has read a key.
#[derive(Clone, Copy, Debug)]
struct Reading {
    cursor: Cursor,
    last_sent: LineValues,
}

/// The connection to the controller.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum Link {
    /// There is none, and none is wanted.
    #[default]
    Idle,
    /// A dial is on its way.
    Dialing,
    /// It is there.
    Connected,
    /// It is dialed again from then on.
    Waiting(Moment),
}

/// A line that could go, and what it moves.
struct Line {
    key: Key,
    text: String,
    reading: Reading,
}

/// What a turn came to.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Turn {
    /// Whole lines, the first of them asks for a heartbeat.
    pub text: String,
    /// How many of them are reports.
    pub lines: u64,
    /// Some had to wait.
    pub is_stretched: bool,
    /// Some of those sent had waited longer than the maximum window.
    pub is_overdue: bool,
}

/// One controller. Owned by the aggregator, one for each controller of the configuration, and ends with it; its
/// readings are bounded by its subset and its slices' classes (and what left them of late), and end with the
/// connection.
#[derive(Clone, Debug)]
pub(crate) struct Feed {
    pub address: Option<SocketAddr>,
    pub slices: Vec<(u32, u32)>,
    pub subset: Vec<Arc<str>>,
    pub owned: bool,
    pub link: Link,
    /// The next pause between dials.
    pub pause: Span,
    pub overdue: bool,
    /// Its last heartbeat.
    pub answered: Moment,
    readings: BTreeMap<Key, Reading>,
    phase: Span,
    next_turn: Moment,
}

impl Feed {
    pub fn of(member: &ControllerMember) -> Self {
        Feed {
            address: member.address,
            slices: member.slices.clone(),
            subset: Vec::new(),
            owned: false,
            link: Link::Idle,
            pause: limits::RETRY,
            overdue: false,
            answered: Moment::default(),
            readings: BTreeMap::new(),
            phase: Span::default(),
            next_turn: Moment::default(),
        }
    }

    /// A connection is established: reports are sent from the oldest that are held on. There is one turn in each report period,
    /// `phase` after the period's start on the clock that all machines read, whoever serves it: where another did
    /// so until now, the two are one period apart.
    pub fn connected(&mut self, now: Moment, phase: Span) {
        (self.link, self.pause) = (Link::Connected, limits::RETRY);
        self.answered = now;
        self.readings.clear();
        self.phase = phase;
        self.next_turn = self.next_turn.max(turn_after(now, phase));
    }

    /// The connection is no more, or never came; a new dial is made later, each time later.
    pub fn lost(&mut self, now: Moment) {
        self.link = Link::Waiting(now + self.pause);
        self.pause = (self.pause + self.pause).min(limits::MAX_RETRY);
        self.readings.clear();
    }

    /// It is not served any more.
    pub fn released(&mut self) {
        self.link = Link::Idle;
        self.pause = limits::RETRY;
        self.overdue = false;
        self.readings.clear();
    }

    /// It is connected and gives no heartbeat.
    pub fn is_silent(&self, now: Moment) -> bool {
        self.link == Link::Connected && now - self.answered > limits::CONTROLLER_SILENT
    }

    pub fn is_due(&self, now: Moment) -> bool {
        self.link == Link::Connected && now >= self.next_turn
    }

    /// Its lines of this report period. There is one turn a period, and no turn has more bytes than the budget: over
    /// any number of report periods the budget holds.
    pub fn turn(&mut self, now: Moment, zone: &str, budget: usize, sums: &Sums, coverage: &Coverage) -> Turn {
        self.next_turn = turn_after(now, self.phase);
        let (candidates, mut lines) = self.candidates(now, zone, sums, coverage);
        let choice = budget::choose(&candidates, budget.saturating_sub(wire::overhead()), PERIODS);
        let text = wire::PING.to_string();
        let mut turn = Turn { text, is_stretched: choice.is_stretched, ..Turn::default() };
        for at in choice.chosen {
            let Line { key, text, reading } = &mut lines[at];
            turn.is_overdue |= choice.is_stretched && now - candidates[at].begins > limits::MAX_WINDOW;
            turn.text.push_str(text);
            turn.lines += 1;
            self.readings.insert(key.clone(), *reading);
        }
        turn
    }

    fn candidates(
        &mut self,
        now: Moment,
        zone: &str,
        sums: &Sums,
        coverage: &Coverage,
    ) -> (Vec<Candidate>, Vec<Line>) {
        let mut readings = std::mem::take(&mut self.readings);
        let (mut candidates, mut lines) = (Vec::new(), Vec::new());
        let is_heard = coverage.present().next().is_some();
        let mut consider = |key: Key, series: &Series| {
            let reading = known_reading(&mut readings, &key, series, now);
            let mut portion = series.since(&reading.cursor, now);
            if is_heard && matches!(key, Key::Replica(_)) {
                portion = portion.or_else(|| series.idle_since(&reading.cursor, now));
            }
            self.readings.insert(key.clone(), reading);
            let Some(Portion { begins, sum }) = portion else { return };
            let window = (now - begins).max(Span::ms(1));
            let covered = Covered { sum, window, missing: coverage.missing_since(begins) };
            let text = match &key {
                Key::Replica(replica) => wire::load(zone, replica, &covered),
                Key::Shard(slice, class) => wire::shard(*slice, class, &covered),
            };
            let values = LineValues::of(&sum, window);
            let change = values.differs_by(&reading.last_sent);
            candidates.push(Candidate { bytes: text.len(), begins, change });
            lines.push(Line {
                key,
                text,
                reading: Reading { cursor: series.read_at(now), last_sent: values },
            });
        };
        for replica in &self.subset {
            if let Some(series) = sums.replica(replica) {
                consider(Key::Replica(replica.clone()), series);
            }
        }
        for slice in self.slices.iter().flat_map(|(first, last)| *first..=*last) {
            for (class, series) in sums.classes(slice) {
                consider(Key::Shard(slice, class.clone()), series);
            }
        }
        // A key that comes back goes on where it ended, as long as a late start would reach back beyond that.
        readings.retain(|_, reading| now - reading.cursor.since() <= limits::LATE_START);
        self.readings.append(&mut readings);
        (candidates, lines)
    }
}

/// The first turn after this moment.
fn turn_after(now: Moment, phase: Span) -> Moment {
    let periods = (now - phase).elapsed_periods(limits::REPORT_PERIOD) + 1;
    Moment::default() + phase + Span::ns(limits::REPORT_PERIOD.as_ns().saturating_mul(periods))
}

/// Where the key is read from; a key that is new here, or whose series is another, starts late.
fn known_reading(readings: &mut BTreeMap<Key, Reading>, key: &Key, series: &Series, now: Moment) -> Reading {
    let known = readings.remove(key).filter(|reading| series.has(&reading.cursor));
    known.unwrap_or_else(|| Reading { cursor: series.late_start(now), last_sent: LineValues::default() })
}
