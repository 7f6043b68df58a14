//! Tracks up to which time reports cover each replica and slice, and over which connection. Two aggregators may serve
//! the same controller for a while, and one may take over from another. Only the part of a line that covers time not
//! covered by earlier lines counts, and time that no line covers is a gap. No I/O or clock;
//! `docs/design/report-coverage.md` gives the reasons.

use std::collections::BTreeMap;
use whinwall_policy::api::{ReplicaId, SliceId};
use whinwall_policy::time::{Moment, Span};
use whinwall_transport::ConnectionId;

/// The longest window of one line. The policy keeps 20 s of reports. Its load estimates are taken over the 8 s that
/// end with the newest line, and that line may be one window and one second old, which needs 8 s + 8 s + 1 s plus a
/// half-second bucket at each end.
pub const MAX_WINDOW: Span = Span::ms(8000);
/// Deviations up to this are jitter, because the policy's counters have half-second buckets.
const MAX_JITTER: Span = Span::ms(500);

/// The subject of a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Subject {
    /// A replica. The zone of the line is ignored: aggregators sum over zones, and each names a zone of its own.
    Replica(ReplicaId),
    /// A request class of a slice.
    Slice(SliceId, usize),
}

/// One line, or the sum of several lines with the same window that arrived on the same connection at the same time.
#[derive(Clone, Copy, Debug)]
pub struct ReportLine {
    /// The subject.
    pub subject: Subject,
    /// The connection it arrived on.
    pub from: ConnectionId,
    /// The time of arrival, which is the end of its window.
    pub at: Moment,
    /// The length of its window, as stated in the line.
    pub window: Span,
    /// The number of lines in the sum.
    pub line_count: f64,
}

/// The relation of a line's window to the time that was covered before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Continuity {
    /// The window continues the covered time, apart from jitter.
    Continuous,
    /// No line covers this duration before the window.
    Gap(Span),
    /// The subject was not covered, or the covered time is too old to measure a gap from.
    Unknown,
}

/// The part of a line that counts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Counted {
    /// The factor to apply to the counts of the line.
    pub fraction: f64,
    /// The window over which the counts are spread.
    pub window: Span,
    /// The relation of the line to the time that was covered before.
    pub continuity: Continuity,
}

/// The time up to which a subject is covered, and the connection that covers it.
#[derive(Clone, Copy, Debug)]
struct Covered {
    until: Moment,
    /// `None` after an interruption of reports: a connection that continues may have lost reports during it.
    connection: Option<ConnectionId>,
}

/// The covered time of each subject. The caller counts only lines on known replicas and granted slices, and removes
/// the subjects of a replica or slice together with it, which limits the number of entries.
#[derive(Debug, Default)]
pub struct ReportCoverage {
    covered: BTreeMap<Subject, Covered>,
}

impl ReportCoverage {
    /// Records a line and returns the part of it that counts. Returns `None`, and records nothing, if another
    /// connection already covers all of its window.
    pub fn count_line(&mut self, line: &ReportLine) -> Option<Counted> {
        let previous = self.covered.get(&line.subject).copied();
        let (counted, until) = match previous {
            None => (count_all(line, Continuity::Unknown), line.at),
            Some(previous) if previous.connection == Some(line.from) => {
                count_on_same_connection(line, previous.until)
            }
            Some(previous) => (count_on_other_connection(line, previous.until)?, line.at),
        };
        self.covered.insert(line.subject, Covered { until, connection: Some(line.from) });
        Some(counted)
    }

    /// Forgets which connection covers each subject. Called when lines arrive again after an interruption.
    pub fn forget_connections(&mut self) {
        self.covered.values_mut().for_each(|covered| covered.connection = None);
    }

    /// Removes the replicas for which `is_needed` returns false.
    pub fn retain_replicas(&mut self, is_needed: impl Fn(ReplicaId) -> bool) {
        self.covered.retain(|subject, _| match subject {
            Subject::Replica(replica) => is_needed(*replica),
            Subject::Slice(..) => true,
        });
    }

    /// Removes all request classes of a slice.
    pub fn remove_slice(&mut self, slice: SliceId) {
        let of_slice = Subject::Slice(slice, 0)..=Subject::Slice(slice, usize::MAX);
        let classes: Vec<_> = self.covered.range(of_slice).map(|(subject, _)| *subject).collect();
        classes.iter().for_each(|subject| _ = self.covered.remove(subject));
    }

    /// The number of covered subjects.
    pub fn len(&self) -> usize {
        self.covered.len()
    }

    /// Returns true if no subject is covered.
    pub fn is_empty(&self) -> bool {
        self.covered.is_empty()
    }
}

fn count_all(line: &ReportLine, continuity: Continuity) -> Counted {
    Counted { fraction: 1.0, window: line.window, continuity }
}

/// Counts all of a line from the aggregator that covers the subject already. Lines of the same aggregator do not
/// overlap, whatever their delays: each continues where the previous one ended, so that delays do not count as covered
/// time. An aggregator omits windows in which a slice had no requests, so that only missing windows of a replica are a
/// gap.
fn count_on_same_connection(line: &ReportLine, covered_until: Moment) -> (Counted, Moment) {
    let expected_end = covered_until + line.window;
    let is_jitter = (expected_end - line.at).max(line.at - expected_end) <= MAX_JITTER;
    let until = if is_jitter { expected_end } else { line.at };
    let gap = (line.at - line.window) - covered_until;
    let is_reported_each_window = matches!(line.subject, Subject::Replica(_));
    let is_gap = is_reported_each_window && gap > MAX_WINDOW;
    (count_all(line, if is_gap { Continuity::Gap(gap) } else { Continuity::Continuous }), until)
}

/// Counts the part of a line that the other connection does not cover.
fn count_on_other_connection(line: &ReportLine, covered_until: Moment) -> Option<Counted> {
    let uncovered = line.at - covered_until;
    if uncovered == Span::default() {
        return None;
    }
    let gap = uncovered - line.window;
    if gap > MAX_WINDOW {
        return Some(count_all(line, Continuity::Unknown));
    }
    // In a sum of several lines, only the first line adjoins the time that the other connection covered. If there is a
    // gap before it, its counts are extrapolated over the gap; otherwise the load of the subject that is reported last
    // would seem to fall.
    let first_line_fraction = uncovered.seconds() / line.window.seconds().max(f64::MIN_POSITIVE);
    let fraction = (first_line_fraction + line.line_count - 1.0) / line.line_count.max(1.0);
    let window = if line.line_count > 1.0 { line.window.max(uncovered) } else { uncovered };
    let continuity = if gap > MAX_JITTER { Continuity::Gap(gap) } else { Continuity::Continuous };
    Some(Counted { fraction, window, continuity })
}
