//! One report of many: what the same place met at the same replica, or what was asked of the same slice, in
//! windows of the same length, told at the same time. In an ordinary second no two lines are alike; where a
//! collector catches up, or several speak for one place, most are.

use whinwall_policy::api::{DemandReport, EndpointReport, Report, ReportBody};
use whinwall_policy::time::{Moment, Span};

/// The lines of one chunk, all told at one time.
#[derive(Debug)]
pub struct Sums {
    at: Moment,
    lines: Vec<ReportBody>,
}

impl Sums {
    pub fn at(at: Moment) -> Self {
        Sums { at, lines: Vec::new() }
    }

    pub fn add(&mut self, line: ReportBody) {
        self.lines.push(line);
    }

    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }

    /// The sums, in the order of what they are of. Nothing is lost by it: all that the decisions make of
    /// reports is linear in them, but for the latest answer's time, which is kept.
    pub fn summed(self) -> Vec<Report> {
        let mut lines = self.lines;
        // Stable: the latest of the alike stays the last of them.
        lines.sort_by_key(key);
        let mut reports: Vec<Report> = Vec::new();
        for what in lines {
            let same = reports.last_mut().filter(|last| key(&last.body) == key(&what));
            match same.map(|last| (&mut last.line_count, &mut last.body)) {
                Some((lines, sum)) => {
                    *lines += 1.0;
                    add(sum, what);
                }
                None => reports.push(Report { at: self.at, line_count: 1.0, body: what }),
            }
        }
        reports
    }
}

/// Kind, then replica or slice, then place or request class, then the window.
fn key(what: &ReportBody) -> (u8, u32, usize, Span) {
    match what {
        ReportBody::Endpoint { replica, report: met, .. } => (0, *replica, met.zone, met.window),
        ReportBody::Demand { slice, report: asked } => (1, *slice, asked.request_class, asked.window),
    }
}

fn add(sum: &mut ReportBody, more: ReportBody) {
    match (sum, more) {
        (
            ReportBody::Endpoint { report: met, latest_latency: latest, .. },
            ReportBody::Endpoint { report: more, latest_latency: newer, .. },
        ) => {
            let (answered, others) = (answered(met), answered(&more));
            let busy = met.mean_latency.times(answered) + more.mean_latency.times(others);
            let all = answered + others;
            met.mean_latency = if all > 0.0 { busy.times(1.0 / all) } else { met.mean_latency };
            *latest = if others > 0.0 { newer } else { *latest };
            met.attempts += more.attempts;
            met.failed += more.failed;
        }
        (ReportBody::Demand { report: asked, .. }, ReportBody::Demand { report: more, .. }) => {
            asked.requests += more.requests;
            asked.failed += more.failed;
        }
        // Alike are only those of one kind.
        _ => {}
    }
}

fn answered(met: &EndpointReport) -> f64 {
    (met.attempts - met.failed).max(0.0)
}

/// For who has one of them.
pub fn met(replica: u32, met: EndpointReport) -> ReportBody {
    ReportBody::Endpoint { replica, report: met, latest_latency: met.mean_latency }
}

pub fn asked(slice: u32, asked: DemandReport) -> ReportBody {
    ReportBody::Demand { slice, report: asked }
}
