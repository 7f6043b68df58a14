//! Which time the reports on each replica and slice cover already, and through whom. Two aggregators may serve one
//! controller for a while, and one may take over from another: of a line only what nobody told before counts, and what
//! nobody told is known as a gap. No input, output or clock; why it is so is in `docs/design/report-coverage.md`.

use std::collections::BTreeMap;
use whinwall_policy::api::{ReplicaId, SliceId};
use whinwall_policy::time::{Moment, Span};
use whinwall_transport::ConnectionId;

/// The longest time that one line may cover. The decisions keep figures of twenty seconds, and loads are over eight that end
/// with the newest line, which may be a window and a second old: 8 s + 8 s + 1 s, and half-second buckets at both ends.
pub const LONGEST_WINDOW: Span = Span::ms(8000);
/// A shorter gap is jitter: the sums of the decisions are kept by the half second.
const JITTER: Span = Span::ms(500);

/// What a line is about: whose figures it adds to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Subject {
    /// A replica, whatever zone the line names: aggregators sum over zones, and each names one of its own.
    Replica(ReplicaId),
    /// A slice and one of its request classes.
    Slice(SliceId, usize),
}

/// One line, or the sum of several alike that one connection said at one time.
#[derive(Clone, Copy, Debug)]
pub struct Line {
    pub subject: Subject,
    pub from: ConnectionId,
    /// When it arrived, which is the end of the time that it covers.
    pub at: Moment,
    /// The time that it covers, by its own word.
    pub window: Span,
    /// How many lines it is the sum of.
    pub lines: f64,
}

/// What lies between the time that was covered and that of the line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Before {
    /// Nothing, or jitter.
    Seamless,
    /// Nobody told what came in this time.
    Gap(Span),
    /// Nothing was told of late: whatever was is too old to be set off against.
    Unknown,
}

/// What of a line counts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Counted {
    /// The factor on the line's counts.
    pub share: f64,
    /// The time over which they are spread.
    pub window: Span,
    pub before: Before,
}

/// Up to when a subject is covered, and by whom last.
#[derive(Clone, Copy, Debug)]
struct Covered {
    until: Moment,
    /// None since reports were interrupted: whoever goes on may have lost what came meanwhile.
    by: Option<ConnectionId>,
}

/// The covered time of each subject. Its owner offers lines of replicas that are known and of slices in its charge
/// only, and drops a subject with its replica or slice: so it has no more entries than there are of these.
#[derive(Debug, Default)]
pub struct ReportCoverage {
    covered: BTreeMap<Subject, Covered>,
}

impl ReportCoverage {
    /// What of this line counts; none where all of it was told before by another connection, which then stays the
    /// one that the subject is covered by.
    pub fn take(&mut self, line: &Line) -> Option<Counted> {
        let former = self.covered.get(&line.subject).copied();
        let (counted, until) = match former {
            None => (whole(line, Before::Unknown), line.at),
            Some(former) if former.by == Some(line.from) => same_connection(line, former.until),
            Some(former) => (other_connection(line, former.until)?, line.at),
        };
        self.covered.insert(line.subject, Covered { until, by: Some(line.from) });
        Some(counted)
    }

    /// Lines come again after a silence, whoever they come from.
    pub fn resume(&mut self) {
        self.covered.values_mut().for_each(|covered| covered.by = None);
    }

    /// Drops the replicas that nobody needs any more.
    pub fn keep_replicas(&mut self, needed: impl Fn(ReplicaId) -> bool) {
        self.covered.retain(|subject, _| match subject {
            Subject::Replica(replica) => needed(*replica),
            Subject::Slice(..) => true,
        });
    }

    /// The slice is no longer in our charge.
    pub fn drop_slice(&mut self, slice: SliceId) {
        let of_slice = Subject::Slice(slice, 0)..=Subject::Slice(slice, usize::MAX);
        let classes: Vec<_> = self.covered.range(of_slice).map(|(subject, _)| *subject).collect();
        classes.iter().for_each(|subject| _ = self.covered.remove(subject));
    }

    /// How many subjects are covered.
    pub fn len(&self) -> usize {
        self.covered.len()
    }

    /// Whether nothing is covered.
    pub fn is_empty(&self) -> bool {
        self.covered.is_empty()
    }
}

fn whole(line: &Line, before: Before) -> Counted {
    Counted { share: 1.0, window: line.window, before }
}

/// One aggregator's lines do not overlap, whatever their delays: each goes on where the one before ended, and so no delay
/// is counted as time. It skips a window where it has nothing to tell; of a replica it always has.
fn same_connection(line: &Line, covered: Moment) -> (Counted, Moment) {
    let goes_on = covered + line.window;
    let is_jitter = (goes_on - line.at).max(line.at - goes_on) <= JITTER;
    let until = if is_jitter { goes_on } else { line.at };
    let gap = (line.at - line.window) - covered;
    let is_told_each_window = matches!(line.subject, Subject::Replica(_));
    let is_gap = is_told_each_window && gap > LONGEST_WINDOW;
    (whole(line, if is_gap { Before::Gap(gap) } else { Before::Seamless }), until)
}

fn other_connection(line: &Line, covered: Moment) -> Option<Counted> {
    let uncovered = line.at - covered;
    if uncovered == Span::default() {
        return None;
    }
    let gap = uncovered - line.window;
    if gap > LONGEST_WINDOW {
        return Some(whole(line, Before::Unknown));
    }
    // Of several lines in one the first alone reaches back to what the other connection told. Where it leaves a gap it
    // stands for that too, at its own rate: or the load of whoever is told of last would seem to fall.
    let first = uncovered.seconds() / line.window.seconds().max(f64::MIN_POSITIVE);
    let share = (first + line.lines - 1.0) / line.lines.max(1.0);
    let window = if line.lines > 1.0 { line.window.max(uncovered) } else { uncovered };
    let before = if gap > JITTER { Before::Gap(gap) } else { Before::Seamless };
    Some(Counted { share, window, before })
}
