//! Sums of what collectors say, one series a replica and one a slice and class.
//!
//! A series holds the total since it began and a few marks of the total in the past; who reads it keeps a cursor.
//! The total less what the cursor has is what came since, so each report is in exactly one window of each reader.
//!
//! | entry | owner | bound | end |
//! |---|---|---|---|
//! | series of a replica | `Sums` | `MAX_REPLICAS` | the replica leaves the registry |
//! | series of a slice and class | `Sums` | slices configured, `MAX_CLASSES` each | `CLASS_IDLE`, or the configuration |
//! | mark | its series | `MARKS` | `LATE_START` |
//! | cursor | the feed of a controller | its subset and slices | the connection, or the series |

use crate::limits;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use whinwall_policy::time::{Moment, Span};

/// One mark a report period, as far back as a late start reaches, and the one before.
const MARKS: usize = (limits::LATE_START.as_ns() / limits::REPORT_PERIOD.as_ns()) as usize + 1;

/// Counts are whole numbers and exact up to 2^53.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Sum {
    /// Tries at a replica, or requests for a slice.
    pub attempts: f64,
    /// Those of them that failed.
    pub failed: f64,
    /// The answered ones' time, added up.
    pub answered_ms: f64,
    /// Collector lines.
    pub lines: u64,
}

impl Sum {
    /// What one line says.
    pub fn of(attempts: f64, failed: f64, mean_latency_ms: f64) -> Self {
        let answered = (attempts - failed).max(0.0);
        Sum { attempts, failed, answered_ms: answered * mean_latency_ms, lines: 1 }
    }

    /// The mean time of tries that were answered; 0 where none was.
    pub fn mean_latency_ms(&self) -> f64 {
        let answered = self.attempts - self.failed;
        match answered > 0.0 {
            true => (self.answered_ms / answered).max(0.0),
            false => 0.0,
        }
    }

    fn add(&mut self, more: Sum) {
        self.attempts += more.attempts;
        self.failed += more.failed;
        self.answered_ms += more.answered_ms;
        self.lines += more.lines;
    }

    fn less(&self, earlier: &Sum) -> Sum {
        Sum {
            attempts: self.attempts - earlier.attempts,
            failed: self.failed - earlier.failed,
            answered_ms: self.answered_ms - earlier.answered_ms,
            lines: self.lines - earlier.lines,
        }
    }
}

/// The total up to a moment, this not included.
#[derive(Clone, Copy, Debug)]
struct Mark {
    at: Moment,
    total: Sum,
}

/// How far a reader has read a series.
#[derive(Clone, Copy, Debug)]
pub struct Cursor {
    series: u64,
    since: Moment,
    read: Sum,
}

impl Cursor {
    /// What came before is read.
    pub fn since(&self) -> Moment {
        self.since
    }
}

/// What came since a cursor.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Portion {
    /// The start of the time that it covers.
    pub begins: Moment,
    /// The sum.
    pub sum: Sum,
}

/// All that was said of one key.
#[derive(Clone, Debug)]
pub struct Series {
    /// No two series have the same, so that a cursor never meets another's total.
    id: u64,
    total: Sum,
    marks: VecDeque<Mark>,
    /// Since when it is spoken of without a pause that is longer than the maximum window.
    began: Moment,
    last: Moment,
}

impl Series {
    /// One that has all that is reported from this moment on.
    fn new(id: u64, began: Moment) -> Self {
        let total = Sum::default();
        let marks = VecDeque::from([Mark { at: began, total }]);
        Series { id, total, marks, began, last: began }
    }

    fn add(&mut self, now: Moment, covers: Span, sum: Sum) {
        if now - self.last > limits::MAX_WINDOW {
            self.began = (now - covers).max(self.last);
            self.mark(self.began);
        } else if self.marks.back().is_some_and(|mark| now - mark.at >= limits::REPORT_PERIOD) {
            self.mark(now);
        }
        self.last = now;
        self.total.add(sum);
    }

    fn mark(&mut self, at: Moment) {
        if self.marks.len() == MARKS {
            self.marks.pop_front();
        }
        self.marks.push_back(Mark { at, total: self.total });
    }

    /// For a new reader: as far back as is held, and no further than [`limits::LATE_START`].
    pub fn late_start(&self, now: Moment) -> Cursor {
        let reach = now - limits::LATE_START;
        let mark = self.marks.iter().find(|mark| mark.at >= reach);
        let Mark { at, total } = mark.copied().unwrap_or(Mark { at: now, total: self.total });
        Cursor { series: self.id, since: at, read: total }
    }

    /// Whether the cursor is one of this series.
    pub fn has(&self, cursor: &Cursor) -> bool {
        self.id == cursor.series
    }

    /// The reports since the cursor, if there are any. A gap in which nobody reported the key is not covered, and a series
    /// that not every zone has had the time to report is left out.
    pub fn since(&self, cursor: &Cursor, now: Moment) -> Option<Portion> {
        let sum = self.total.less(&cursor.read);
        let is_whole = now - self.began >= limits::REPORT_PERIOD;
        (sum.lines > 0 && is_whole).then_some(Portion { begins: cursor.since.max(self.began), sum })
    }

    /// Nothing came since, for so long that this is worth a line.
    pub fn idle_since(&self, cursor: &Cursor, now: Moment) -> Option<Portion> {
        let (begins, sum) = (cursor.since.max(self.began), Sum::default());
        let is_idle = self.total.lines == cursor.read.lines && now - begins >= limits::IDLE_REPLICA;
        is_idle.then_some(Portion { begins, sum })
    }

    /// The cursor of who has read everything.
    pub fn read_at(&self, now: Moment) -> Cursor {
        Cursor { series: self.id, since: now, read: self.total }
    }
}

/// A slice's series, by class.
#[derive(Clone, Debug)]
struct Slice {
    /// What is reported of it since then is summed.
    since: Moment,
    classes: Vec<(Arc<str>, Series)>,
}

/// What became of a line.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AddOutcome {
    /// It is in a sum.
    Added,
    /// It is of a replica that the registry lacks, or of a slice that no controller has.
    Unknown,
    /// There is no room for one more class.
    Full,
}

/// All series.
#[derive(Clone, Debug, Default)]
pub struct Sums {
    replicas: BTreeMap<Arc<str>, Series>,
    slices: BTreeMap<u32, Slice>,
    series: u64,
}

impl Sums {
    /// Keeps the series of these replicas, and begins those of new ones.
    pub fn keep_replicas(&mut self, now: Moment, replicas: &BTreeSet<Arc<str>>) {
        self.replicas.retain(|replica, _| replicas.contains(replica));
        for replica in replicas {
            if !self.replicas.contains_key(replica) {
                self.series += 1;
                self.replicas.insert(replica.clone(), Series::new(self.series, now));
            }
        }
    }

    /// Keeps the series of these slices, and has room for new ones.
    pub fn keep_slices(&mut self, now: Moment, slices: &BTreeSet<u32>) {
        self.slices.retain(|slice, _| slices.contains(slice));
        for slice in slices {
            let new = || Slice { since: now, classes: Vec::new() };
            self.slices.entry(*slice).or_insert_with(new);
        }
    }

    /// Forgets classes that nobody speaks of.
    pub fn forget_idle(&mut self, now: Moment) {
        for slice in self.slices.values_mut() {
            slice.classes.retain(|(_, series)| now - series.last <= limits::CLASS_IDLE);
        }
    }

    /// Forgets everything that was summed, and keeps the keys.
    pub fn clear(&mut self, now: Moment) {
        for series in self.replicas.values_mut() {
            self.series += 1;
            *series = Series::new(self.series, now);
        }
        for slice in self.slices.values_mut() {
            *slice = Slice { since: now, classes: Vec::new() };
        }
    }

    /// Adds a line about a replica.
    pub fn add_load(&mut self, now: Moment, replica: &str, covers: Span, sum: Sum) -> AddOutcome {
        match self.replicas.get_mut(replica) {
            Some(series) => series.add(now, covers, sum),
            None => return AddOutcome::Unknown,
        }
        AddOutcome::Added
    }

    /// Adds a line about a slice.
    pub fn add_shard(&mut self, now: Moment, slice: u32, class: &str, covers: Span, sum: Sum) -> AddOutcome {
        let Some(Slice { since, classes }) = self.slices.get_mut(&slice) else { return AddOutcome::Unknown };
        if let Some((_, series)) = classes.iter_mut().find(|(known, _)| **known == *class) {
            series.add(now, covers, sum);
            return AddOutcome::Added;
        }
        if classes.len() >= limits::MAX_CLASSES || class.len() > limits::MAX_NAME {
            return AddOutcome::Full;
        }
        self.series += 1;
        let mut series = Series::new(self.series, (now - covers).max(*since));
        series.add(now, covers, sum);
        classes.push((class.into(), series));
        AddOutcome::Added
    }

    /// The series of a replica.
    pub fn replica(&self, replica: &str) -> Option<&Series> {
        self.replicas.get(replica)
    }

    /// The series of a slice, by class.
    pub fn classes(&self, slice: u32) -> impl Iterator<Item = (&Arc<str>, &Series)> {
        let classes = self.slices.get(&slice).into_iter().flat_map(|slice| &slice.classes);
        classes.map(|(class, series)| (class, series))
    }

    /// How many series there are.
    pub fn len(&self) -> usize {
        self.replicas.len() + self.slices.values().map(|slice| slice.classes.len()).sum::<usize>()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
