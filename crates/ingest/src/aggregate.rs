//! Pre-aggregation: sums reports that have the same subject into one report. The subject of an endpoint report is its
//! replica, zone and window length; that of a demand report is its slice, request class and window length. The reports
//! of one second usually have different subjects. If a collector catches up, or several collectors report for the same
//! zone, most subjects occur more than once.

use whinwall_policy::api::{DemandReport, EndpointReport, Report, ReportBody};
use whinwall_policy::time::{Moment, Span};

/// Sums the reports of one chunk, which arrived at the same time.
#[derive(Debug)]
pub struct ReportAggregator {
    arrived_at: Moment,
    reports: Vec<ReportBody>,
}

impl ReportAggregator {
    /// Creates an aggregator without reports, for reports that arrived at `arrived_at`.
    pub fn new(arrived_at: Moment) -> Self {
        ReportAggregator { arrived_at, reports: Vec::new() }
    }

    /// Adds a report.
    pub fn add(&mut self, report: ReportBody) {
        self.reports.push(report);
    }

    /// Returns true if no report was added.
    pub fn is_empty(&self) -> bool {
        self.reports.is_empty()
    }

    /// Returns the sums, ordered by subject. Summation does not affect decisions, because these depend on the reports
    /// only through sums, except for the latest latency, which is kept separately.
    pub fn into_reports(self) -> Vec<Report> {
        let mut bodies = self.reports;
        // The sort is stable, so that the latest report on a subject stays the last one.
        bodies.sort_by_key(subject);
        let mut reports: Vec<Report> = Vec::new();
        for body in bodies {
            match reports.last_mut().filter(|last| subject(&last.body) == subject(&body)) {
                Some(sum) => {
                    sum.line_count += 1.0;
                    add_report(&mut sum.body, body);
                }
                None => reports.push(Report { window_end: self.arrived_at, line_count: 1.0, body }),
            }
        }
        reports
    }
}

/// The sort key of a report: kind, replica or slice, zone or request class, length of the window.
fn subject(report: &ReportBody) -> (u8, u32, usize, Span) {
    match report {
        ReportBody::Endpoint { replica, report, .. } => (0, *replica, report.zone, report.window),
        ReportBody::Demand { slice, report } => (1, *slice, report.request_class, report.window),
    }
}

/// Adds a later report to the sum of the earlier ones on the same subject.
fn add_report(sum: &mut ReportBody, report: ReportBody) {
    match (sum, report) {
        (
            ReportBody::Endpoint { report: sum, latest_latency, .. },
            ReportBody::Endpoint { report, latest_latency: later_latency, .. },
        ) => {
            if succeeded_attempts(&report) > 0.0 {
                *latest_latency = later_latency;
            }
            add_endpoint_report(sum, &report);
        }
        (ReportBody::Demand { report: sum, .. }, ReportBody::Demand { report, .. }) => {
            sum.requests += report.requests;
            sum.failed += report.failed;
        }
        // Reports of different kinds have different subjects.
        _ => {}
    }
}

fn add_endpoint_report(sum: &mut EndpointReport, report: &EndpointReport) {
    let (sum_succeeded, report_succeeded) = (succeeded_attempts(sum), succeeded_attempts(report));
    let total_latency = sum.mean_latency.times(sum_succeeded) + report.mean_latency.times(report_succeeded);
    let total_succeeded = sum_succeeded + report_succeeded;
    if total_succeeded > 0.0 {
        sum.mean_latency = total_latency.times(1.0 / total_succeeded);
    }
    sum.attempts += report.attempts;
    sum.failed += report.failed;
}

fn succeeded_attempts(report: &EndpointReport) -> f64 {
    (report.attempts - report.failed).max(0.0)
}

/// The body of a single endpoint report, whose mean latency is also its latest latency.
pub fn endpoint_report(replica: u32, report: EndpointReport) -> ReportBody {
    ReportBody::Endpoint { replica, report, latest_latency: report.mean_latency }
}

/// The body of a single demand report.
pub fn demand_report(slice: u32, report: DemandReport) -> ReportBody {
    ReportBody::Demand { slice, report }
}
