//! The batches of report lines for one controller: the keys of the lines, the position up to which the reports of each
//! key have been sent, and the time of the next batch.

use crate::budget::{self, Candidate};
use crate::configuration::ControllerMember;
use crate::coverage::Coverage;
use crate::limits;
use crate::sums::{Cursor, Series, Sum, Sums, WindowSum};
use crate::wire::{self, ReportValues};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use whinwall_policy::time::{Moment, Span};

/// Number of report periods within which each key is sent. One less than fits into the maximum window, because a batch
/// contains only complete lines and may be smaller than its share.
const MAX_WAIT_PERIODS: usize = (limits::MAX_WINDOW.as_ns() / limits::REPORT_PERIOD.as_ns()) as usize - 1;
/// Change of the failed share that weighs as much as a doubled rate or a doubled mean latency.
const FAILED_SHARE_PER_DOUBLING: f64 = 0.2;

/// The key of a report line.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Key {
    Replica(Arc<str>),
    SliceClass(u32, Arc<str>),
}

/// The values of the last line of a key, for comparison with the next.
#[derive(Clone, Copy, Debug, Default)]
struct LineValues {
    per_second: f64,
    failed_share: f64,
    mean_latency_ms: f64,
}

impl LineValues {
    fn new(sum: &Sum, window: Span) -> Self {
        let per_second = sum.attempts / window.seconds().max(f64::MIN_POSITIVE);
        let failed_share = if sum.attempts > 0.0 { sum.failed / sum.attempts } else { 0.0 };
        LineValues { per_second, failed_share, mean_latency_ms: sum.mean_latency_ms() }
    }

    fn difference_to(&self, other: &LineValues) -> f64 {
        let doublings = |a: f64, b: f64| ((a + 1.0) / (b + 1.0)).log2().abs();
        doublings(self.per_second, other.per_second)
            + doublings(self.mean_latency_ms, other.mean_latency_ms)
            + (self.failed_share - other.failed_share).abs() / FAILED_SHARE_PER_DOUBLING
    }
}

/// The position up to which the reports of a key have been sent, and the values of its last line.
#[derive(Clone, Copy, Debug)]
struct KeyState {
    cursor: Cursor,
    last_sent: LineValues,
}

/// The state of the connection to the controller.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum Link {
    /// Not connected.
    #[default]
    Idle,
    /// An attempt to connect is in progress.
    Connecting,
    /// The connection is established.
    Connected,
    /// Disconnected; the next attempt to connect is made at this time.
    RetryAt(Moment),
}

/// A line that could be sent, and the state of its key after that.
struct CandidateLine {
    key: Key,
    text: String,
    key_state: KeyState,
}

/// The lines of one report period.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Batch {
    /// Complete lines; the first one is a ping.
    pub text: String,
    /// Number of report lines.
    pub lines: u64,
    /// True if some lines did not fit into the budget.
    pub is_over_budget: bool,
    /// True if some of the sent lines cover more than the maximum window because of the budget.
    pub is_overdue: bool,
}

/// The feed of one controller. The aggregator owns one for each configured controller. The number of key states is
/// bounded by the subset and the classes of the slices, plus those recently removed; they are dropped with the
/// connection.
#[derive(Clone, Debug)]
pub(crate) struct Feed {
    pub address: Option<SocketAddr>,
    pub slices: Vec<(u32, u32)>,
    pub subset: Vec<Arc<str>>,
    /// True if this aggregator serves the controller.
    pub is_owned: bool,
    pub link: Link,
    /// Delay before the next attempt to connect.
    pub retry_delay: Span,
    /// The value of [`Batch::is_overdue`] of the latest batch.
    pub is_overdue: bool,
    /// Time of the last answer to a ping.
    pub last_answer: Moment,
    key_states: BTreeMap<Key, KeyState>,
    /// Offset of the batches from the start of a report period.
    phase: Span,
    next_batch_at: Moment,
}

impl Feed {
    pub fn new(member: &ControllerMember) -> Self {
        Feed {
            address: member.address,
            slices: member.slices.clone(),
            subset: Vec::new(),
            is_owned: false,
            link: Link::Idle,
            retry_delay: limits::RETRY_DELAY,
            is_overdue: false,
            last_answer: Moment::default(),
            key_states: BTreeMap::new(),
            phase: Span::default(),
            next_batch_at: Moment::default(),
        }
    }

    /// Handles an established connection. Reports are sent from the earliest checkpoints on. One batch is sent per
    /// report period, at the offset `phase` from the start of the period. The phase does not depend on the aggregator
    /// that serves the controller, so the last batch of the previous aggregator and the first of the new one are a
    /// whole number of periods apart.
    pub fn connection_established(&mut self, now: Moment, phase: Span) {
        (self.link, self.retry_delay) = (Link::Connected, limits::RETRY_DELAY);
        self.last_answer = now;
        self.key_states.clear();
        self.phase = phase;
        self.next_batch_at = self.next_batch_at.max(batch_time_after(now, phase));
    }

    /// Handles a lost connection or a failed attempt to connect. The delay before the next attempt doubles each time,
    /// up to a maximum.
    pub fn connection_lost(&mut self, now: Moment) {
        self.link = Link::RetryAt(now + self.retry_delay);
        self.retry_delay = (self.retry_delay + self.retry_delay).min(limits::MAX_RETRY_DELAY);
        self.key_states.clear();
    }

    /// Handles the transfer of the controller to another aggregator.
    pub fn release(&mut self) {
        self.link = Link::Idle;
        self.retry_delay = limits::RETRY_DELAY;
        self.is_overdue = false;
        self.key_states.clear();
    }

    /// Returns true if the controller is connected but has not answered for [`limits::CONTROLLER_TIMEOUT`].
    pub fn has_timed_out(&self, now: Moment) -> bool {
        self.link == Link::Connected && now - self.last_answer > limits::CONTROLLER_TIMEOUT
    }

    pub fn is_due(&self, now: Moment) -> bool {
        self.link == Link::Connected && now >= self.next_batch_at
    }

    /// Returns the lines of this report period. There is one batch per period and no batch exceeds the budget, so the
    /// budget holds over any number of report periods.
    pub fn next_batch(
        &mut self,
        now: Moment,
        zone: &str,
        budget: usize,
        sums: &Sums,
        coverage: &Coverage,
    ) -> Batch {
        self.next_batch_at = batch_time_after(now, self.phase);
        let (candidates, mut lines) = self.candidates(now, zone, sums, coverage);
        let selection = budget::select_lines(
            &candidates,
            budget.saturating_sub(wire::overhead_bytes()),
            MAX_WAIT_PERIODS,
        );
        let text = wire::PING_LINE.to_string();
        let mut batch = Batch { text, is_over_budget: selection.is_over_budget, ..Batch::default() };
        for index in selection.selected {
            let CandidateLine { key, text, key_state } = &mut lines[index];
            batch.is_overdue |=
                selection.is_over_budget && now - candidates[index].window_start > limits::MAX_WINDOW;
            batch.text.push_str(text);
            batch.lines += 1;
            self.key_states.insert(key.clone(), *key_state);
        }
        batch
    }

    fn candidates(
        &mut self,
        now: Moment,
        zone: &str,
        sums: &Sums,
        coverage: &Coverage,
    ) -> (Vec<Candidate>, Vec<CandidateLine>) {
        let mut key_states = std::mem::take(&mut self.key_states);
        let (mut candidates, mut lines) = (Vec::new(), Vec::new());
        let has_present_zone = coverage.present_zones().next().is_some();
        let mut add_candidate = |key: Key, series: &Series| {
            let key_state = take_key_state(&mut key_states, &key, series, now);
            let mut window_sum = series.sum_since(&key_state.cursor, now);
            if has_present_zone && matches!(key, Key::Replica(_)) {
                window_sum = window_sum.or_else(|| series.idle_window_since(&key_state.cursor, now));
            }
            self.key_states.insert(key.clone(), key_state);
            let Some(WindowSum { window_start, sum }) = window_sum else { return };
            let window = (now - window_start).max(Span::ms(1));
            let report_values =
                ReportValues { sum, window, missing: coverage.missing_count_since(window_start) };
            let text = match &key {
                Key::Replica(replica) => wire::encode_endpoint_report(zone, replica, &report_values),
                Key::SliceClass(slice, class) => wire::encode_demand_report(*slice, class, &report_values),
            };
            let values = LineValues::new(&sum, window);
            let change = values.difference_to(&key_state.last_sent);
            candidates.push(Candidate { bytes: text.len(), window_start, change });
            lines.push(CandidateLine {
                key,
                text,
                key_state: KeyState { cursor: series.end_cursor(now), last_sent: values },
            });
        };
        for replica in &self.subset {
            if let Some(series) = sums.replica(replica) {
                add_candidate(Key::Replica(replica.clone()), series);
            }
        }
        for slice in self.slices.iter().flat_map(|(first, last)| *first..=*last) {
            for (class, series) in sums.classes(slice) {
                add_candidate(Key::SliceClass(slice, class.clone()), series);
            }
        }
        // A key that returns within the maximum initial window continues at its previous cursor.
        key_states.retain(|_, key_state| now - key_state.cursor.since() <= limits::MAX_INITIAL_WINDOW);
        self.key_states.append(&mut key_states);
        (candidates, lines)
    }
}

/// Returns the time of the first batch after `now`.
fn batch_time_after(now: Moment, phase: Span) -> Moment {
    let periods = (now - phase).elapsed_periods(limits::REPORT_PERIOD) + 1;
    Moment::default() + phase + Span::ns(limits::REPORT_PERIOD.as_ns().saturating_mul(periods))
}

/// Returns the state of the key. A key that is new or whose series has been replaced starts at the initial cursor.
fn take_key_state(
    key_states: &mut BTreeMap<Key, KeyState>,
    key: &Key,
    series: &Series,
    now: Moment,
) -> KeyState {
    let known = key_states.remove(key).filter(|key_state| series.owns(&key_state.cursor));
    known.unwrap_or_else(|| KeyState { cursor: series.initial_cursor(now), last_sent: LineValues::default() })
}
