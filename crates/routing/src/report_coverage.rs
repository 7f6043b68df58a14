//! Which time the reports on each replica and slice cover already, and over which connection. Two aggregators may
//! serve one controller for a while, and one may take over from another: of a line only the time that no other line
//! covered counts, and time that none covered is a gap. No I/O or clock; `docs/design/report-coverage.md` has the reasons.

use std::collections::BTreeMap;
use whinwall_policy::api::{ReplicaId, SliceId};
use whinwall_policy::time::{Moment, Span};
use whinwall_transport::ConnectionId;

/// The longest time that one line may cover. The policy keeps twenty seconds of reports, and load estimates are over
/// eight that end with the newest line, which may be a window and a second old: 8 s + 8 s + 1 s, and half-second
/// buckets at both ends.
pub const MAX_WINDOW: Span = Span::ms(8000);
/// A shorter gap is jitter: the policy's counters have half-second buckets.
const MAX_JITTER: Span = Span::ms(500);

/// What a line is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Subject {
    /// A replica, whatever zone the line names: aggregators sum over zones, and each names one of its own.
    Replica(ReplicaId),
    /// A slice and one of its request classes.
    Slice(SliceId, usize),
}

/// One line, or the sum of several with the same window that arrived on one connection at one time.
#[derive(Clone, Copy, Debug)]
pub struct ReportLine {
    /// What it is about.
    pub subject: Subject,
    /// The connection that it arrived on.
    pub from: ConnectionId,
    /// When it arrived, which is the end of the time that it covers.
    pub at: Moment,
    /// The time that it covers, as it states itself.
    pub window: Span,
    /// The number of lines that it is the sum of.
    pub line_count: f64,
}

/// What lies between the time that was covered before and that of the line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Continuity {
    /// Nothing, or jitter.
    Continuous,
    /// No line covers this time.
    Gap(Span),
    /// No recent line covers the subject: what was covered before is too old to be set off against.
    Unknown,
}

/// The part of a line that counts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Counted {
    /// The factor on the line's counts.
    pub fraction: f64,
    /// The time over which they are spread.
    pub window: Span,
    /// What lies between the time covered before and that of the line.
    pub continuity: Continuity,
}

/// Up to when a subject is covered, and by which connection last.
#[derive(Clone, Copy, Debug)]
struct Covered {
    until: Moment,
    /// None since reports were interrupted: the connection that goes on may have lost reports meanwhile.
    by: Option<ConnectionId>,
}

/// The covered time of each subject. Its owner offers only lines on known replicas and on slices that were granted, and
/// removes a subject with its replica or slice: so it has no more entries than there are of these.
#[derive(Debug, Default)]
pub struct ReportCoverage {
    covered: BTreeMap<Subject, Covered>,
}

impl ReportCoverage {
    /// Records a line and returns the part that counts; none where another connection covered all of it before,
    /// which then stays the one that covers the subject.
    pub fn count(&mut self, line: &ReportLine) -> Option<Counted> {
        let former = self.covered.get(&line.subject).copied();
        let (counted, until) = match former {
            None => (count_all(line, Continuity::Unknown), line.at),
            Some(former) if former.by == Some(line.from) => same_connection(line, former.until),
            Some(former) => (other_connection(line, former.until)?, line.at),
        };
        self.covered.insert(line.subject, Covered { until, by: Some(line.from) });
        Some(counted)
    }

    /// Reports were interrupted, and lines arrive again, on whichever connection.
    pub fn forget_connections(&mut self) {
        self.covered.values_mut().for_each(|covered| covered.by = None);
    }

    /// Removes all replicas but these.
    pub fn retain_replicas(&mut self, is_needed: impl Fn(ReplicaId) -> bool) {
        self.covered.retain(|subject, _| match subject {
            Subject::Replica(replica) => is_needed(*replica),
            Subject::Slice(..) => true,
        });
    }

    /// Removes a slice that was revoked.
    pub fn remove_slice(&mut self, slice: SliceId) {
        let of_slice = Subject::Slice(slice, 0)..=Subject::Slice(slice, usize::MAX);
        let classes: Vec<_> = self.covered.range(of_slice).map(|(subject, _)| *subject).collect();
        classes.iter().for_each(|subject| _ = self.covered.remove(subject));
    }

    /// The number of subjects that are covered.
    pub fn len(&self) -> usize {
        self.covered.len()
    }

    /// Whether nothing is covered.
    pub fn is_empty(&self) -> bool {
        self.covered.is_empty()
    }
}

fn count_all(line: &ReportLine, continuity: Continuity) -> Counted {
    Counted { fraction: 1.0, window: line.window, continuity }
}

/// One aggregator's lines do not overlap, whatever their delays: each continues where the one before ended, so that no
/// delay counts as time. An aggregator skips a window in which a slice had no requests, but never one of a replica.
fn same_connection(line: &ReportLine, covered: Moment) -> (Counted, Moment) {
    let expected_end = covered + line.window;
    let is_jitter = (expected_end - line.at).max(line.at - expected_end) <= MAX_JITTER;
    let until = if is_jitter { expected_end } else { line.at };
    let gap = (line.at - line.window) - covered;
    let is_reported_each_window = matches!(line.subject, Subject::Replica(_));
    let is_gap = is_reported_each_window && gap > MAX_WINDOW;
    (count_all(line, if is_gap { Continuity::Gap(gap) } else { Continuity::Continuous }), until)
}

fn other_connection(line: &ReportLine, covered: Moment) -> Option<Counted> {
    let uncovered = line.at - covered;
    if uncovered == Span::default() {
        return None;
    }
    let gap = uncovered - line.window;
    if gap > MAX_WINDOW {
        return Some(count_all(line, Continuity::Unknown));
    }
    // Of several lines summed, the first alone reaches back to what the other connection covered. Where it leaves a gap
    // it stands for that too, at its own rate: else the load of the subject that is reported last would seem to fall.
    let first = uncovered.seconds() / line.window.seconds().max(f64::MIN_POSITIVE);
    let fraction = (first + line.line_count - 1.0) / line.line_count.max(1.0);
    let window = if line.line_count > 1.0 { line.window.max(uncovered) } else { uncovered };
    let continuity = if gap > MAX_JITTER { Continuity::Gap(gap) } else { Continuity::Continuous };
    Some(Counted { fraction, window, continuity })
}
