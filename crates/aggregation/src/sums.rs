//! Sums of collector reports: one series per replica, and one per slice and request class.
//!
//! A series holds the total of all reports and a few checkpoints of earlier totals. Each reader has a cursor with the
//! total that it has read. The difference between the two is the sum of the reports since the last read, so
//! each report is in exactly one window of each reader.
//!
//! | entry | owner | limit | removed |
//! |---|---|---|---|
//! | series of a replica | `Sums` | `MAX_REPLICAS` | when the replica leaves the registry |
//! | series of a slice and class | `Sums` | `MAX_CLASSES_PER_SLICE` per slice | after `CLASS_IDLE_TIMEOUT`, or with the slice |
//! | checkpoint | its series | `MAX_CHECKPOINTS` | when a newer one exceeds the limit |
//! | cursor | the feed of a controller | its subset and slices | with the connection or the series |

use crate::limits;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use whinwall_policy::time::{Moment, Span};

/// One checkpoint per report period of the maximum initial window, and one before it.
const MAX_CHECKPOINTS: usize =
    (limits::MAX_INITIAL_WINDOW.as_ns() / limits::REPORT_PERIOD.as_ns()) as usize + 1;

/// A sum of reports. Integer counts are exact up to 2^53.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Sum {
    /// Attempts at a replica, or requests for a slice.
    pub attempts: f64,
    /// Failed attempts or requests.
    pub failed: f64,
    /// Total latency of the answered attempts in milliseconds.
    pub answered_ms: f64,
    /// Number of collector reports.
    pub reports: u64,
}

impl Sum {
    /// Creates the sum of one report.
    pub fn from_report(attempts: f64, failed: f64, mean_latency_ms: f64) -> Self {
        let answered = (attempts - failed).max(0.0);
        Sum { attempts, failed, answered_ms: answered * mean_latency_ms, reports: 1 }
    }

    /// Returns the mean latency of the answered attempts, or 0 if there were none.
    pub fn mean_latency_ms(&self) -> f64 {
        let answered = self.attempts - self.failed;
        match answered > 0.0 {
            true => (self.answered_ms / answered).max(0.0),
            false => 0.0,
        }
    }

    fn add(&mut self, other: Sum) {
        self.attempts += other.attempts;
        self.failed += other.failed;
        self.answered_ms += other.answered_ms;
        self.reports += other.reports;
    }

    fn minus(&self, earlier: &Sum) -> Sum {
        Sum {
            attempts: self.attempts - earlier.attempts,
            failed: self.failed - earlier.failed,
            answered_ms: self.answered_ms - earlier.answered_ms,
            reports: self.reports - earlier.reports,
        }
    }
}

/// The total of all reports before a point in time.
#[derive(Clone, Copy, Debug)]
struct Checkpoint {
    taken_at: Moment,
    total: Sum,
}

/// The position of a reader in a series.
#[derive(Clone, Copy, Debug)]
pub struct Cursor {
    series_id: u64,
    /// Time up to which the series has been read.
    since: Moment,
    /// Total of the reports that have been read.
    read: Sum,
}

impl Cursor {
    /// Returns the time up to which the series has been read.
    pub fn since(&self) -> Moment {
        self.since
    }
}

/// The sum of the reports since a cursor.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WindowSum {
    /// Start of the window that the sum covers.
    pub window_start: Moment,
    /// Sum of the reports in the window.
    pub sum: Sum,
}

/// All reports of one key.
#[derive(Clone, Debug)]
pub struct Series {
    /// Unique id, so that a cursor is never compared with the total of another series.
    id: u64,
    total: Sum,
    checkpoints: VecDeque<Checkpoint>,
    /// Time since which there has been no gap between reports longer than the maximum window.
    continuous_since: Moment,
    last_report: Moment,
}

impl Series {
    /// Creates a series of all reports from `continuous_since` on.
    fn new(id: u64, continuous_since: Moment) -> Self {
        let total = Sum::default();
        let checkpoints = VecDeque::from([Checkpoint { taken_at: continuous_since, total }]);
        Series { id, total, checkpoints, continuous_since, last_report: continuous_since }
    }

    fn add(&mut self, now: Moment, window: Span, sum: Sum) {
        if now - self.last_report > limits::MAX_WINDOW {
            self.continuous_since = (now - window).max(self.last_report);
            self.add_checkpoint(self.continuous_since);
        } else if self
            .checkpoints
            .back()
            .is_some_and(|checkpoint| now - checkpoint.taken_at >= limits::REPORT_PERIOD)
        {
            self.add_checkpoint(now);
        }
        self.last_report = now;
        self.total.add(sum);
    }

    fn add_checkpoint(&mut self, taken_at: Moment) {
        if self.checkpoints.len() == MAX_CHECKPOINTS {
            self.checkpoints.pop_front();
        }
        self.checkpoints.push_back(Checkpoint { taken_at, total: self.total });
    }

    /// Returns a cursor for a new reader, at the earliest checkpoint within [`limits::MAX_INITIAL_WINDOW`].
    pub fn initial_cursor(&self, now: Moment) -> Cursor {
        let earliest = now - limits::MAX_INITIAL_WINDOW;
        let checkpoint = self.checkpoints.iter().find(|checkpoint| checkpoint.taken_at >= earliest);
        let Checkpoint { taken_at, total } =
            checkpoint.copied().unwrap_or(Checkpoint { taken_at: now, total: self.total });
        Cursor { series_id: self.id, since: taken_at, read: total }
    }

    /// Returns true if the cursor belongs to this series.
    pub fn owns(&self, cursor: &Cursor) -> bool {
        self.id == cursor.series_id
    }

    /// Returns the sum of the reports since the cursor, if there are any. The window does not cover a gap without
    /// reports. Returns `None` for a series younger than a report period, because some zones may not have reported yet.
    pub fn sum_since(&self, cursor: &Cursor, now: Moment) -> Option<WindowSum> {
        let sum = self.total.minus(&cursor.read);
        let is_complete = now - self.continuous_since >= limits::REPORT_PERIOD;
        (sum.reports > 0 && is_complete)
            .then_some(WindowSum { window_start: cursor.since.max(self.continuous_since), sum })
    }

    /// Returns a window without reports if there have been none since the cursor for [`limits::REPLICA_IDLE_TIMEOUT`].
    pub fn idle_window_since(&self, cursor: &Cursor, now: Moment) -> Option<WindowSum> {
        let (window_start, sum) = (cursor.since.max(self.continuous_since), Sum::default());
        let is_idle =
            self.total.reports == cursor.read.reports && now - window_start >= limits::REPLICA_IDLE_TIMEOUT;
        is_idle.then_some(WindowSum { window_start, sum })
    }

    /// Returns the cursor of a reader that has read all reports.
    pub fn end_cursor(&self, now: Moment) -> Cursor {
        Cursor { series_id: self.id, since: now, read: self.total }
    }
}

/// The series of a slice, by request class.
#[derive(Clone, Debug)]
struct Slice {
    /// Time since which reports of the slice are summed.
    since: Moment,
    classes: Vec<(Arc<str>, Series)>,
}

/// The outcome of adding a report.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AddOutcome {
    /// The report was added.
    Added,
    /// The replica is not in the registry, or no controller has the slice.
    Unknown,
    /// The limit of request classes of the slice is reached, or the name of the class is too long.
    Full,
}

/// All series.
#[derive(Clone, Debug, Default)]
pub struct Sums {
    replicas: BTreeMap<Arc<str>, Series>,
    slices: BTreeMap<u32, Slice>,
    last_series_id: u64,
}

impl Sums {
    /// Removes the series of all other replicas and creates those of new ones.
    pub fn retain_replicas(&mut self, now: Moment, replicas: &BTreeSet<Arc<str>>) {
        self.replicas.retain(|replica, _| replicas.contains(replica));
        for replica in replicas {
            if !self.replicas.contains_key(replica) {
                self.last_series_id += 1;
                self.replicas.insert(replica.clone(), Series::new(self.last_series_id, now));
            }
        }
    }

    /// Removes the series of all other slices and adds entries for new ones.
    pub fn retain_slices(&mut self, now: Moment, slices: &BTreeSet<u32>) {
        self.slices.retain(|slice, _| slices.contains(slice));
        for slice in slices {
            let new = || Slice { since: now, classes: Vec::new() };
            self.slices.entry(*slice).or_insert_with(new);
        }
    }

    /// Removes request classes without reports for [`limits::CLASS_IDLE_TIMEOUT`].
    pub fn remove_idle_classes(&mut self, now: Moment) {
        for slice in self.slices.values_mut() {
            slice.classes.retain(|(_, series)| now - series.last_report <= limits::CLASS_IDLE_TIMEOUT);
        }
    }

    /// Resets all sums, but keeps the replicas and slices.
    pub fn clear(&mut self, now: Moment) {
        for series in self.replicas.values_mut() {
            self.last_series_id += 1;
            *series = Series::new(self.last_series_id, now);
        }
        for slice in self.slices.values_mut() {
            *slice = Slice { since: now, classes: Vec::new() };
        }
    }

    /// Adds a report of a replica.
    pub fn add_endpoint_report(&mut self, now: Moment, replica: &str, window: Span, sum: Sum) -> AddOutcome {
        match self.replicas.get_mut(replica) {
            Some(series) => series.add(now, window, sum),
            None => return AddOutcome::Unknown,
        }
        AddOutcome::Added
    }

    /// Adds a report of a slice.
    pub fn add_demand_report(
        &mut self,
        now: Moment,
        slice: u32,
        class: &str,
        window: Span,
        sum: Sum,
    ) -> AddOutcome {
        let Some(Slice { since, classes }) = self.slices.get_mut(&slice) else { return AddOutcome::Unknown };
        if let Some((_, series)) = classes.iter_mut().find(|(known, _)| **known == *class) {
            series.add(now, window, sum);
            return AddOutcome::Added;
        }
        if classes.len() >= limits::MAX_CLASSES_PER_SLICE || class.len() > limits::MAX_NAME_BYTES {
            return AddOutcome::Full;
        }
        self.last_series_id += 1;
        let mut series = Series::new(self.last_series_id, (now - window).max(*since));
        series.add(now, window, sum);
        classes.push((class.into(), series));
        AddOutcome::Added
    }

    /// Returns the series of a replica.
    pub fn replica(&self, replica: &str) -> Option<&Series> {
        self.replicas.get(replica)
    }

    /// Iterates over the series of a slice by request class.
    pub fn classes(&self, slice: u32) -> impl Iterator<Item = (&Arc<str>, &Series)> {
        let classes = self.slices.get(&slice).into_iter().flat_map(|slice| &slice.classes);
        classes.map(|(class, series)| (class, series))
    }

    /// Returns the number of series.
    pub fn len(&self) -> usize {
        self.replicas.len() + self.slices.values().map(|slice| slice.classes.len()).sum::<usize>()
    }

    /// Returns true if there are no series.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
