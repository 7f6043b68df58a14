//! Validates reports before they are passed to the policy: their names must be known. If aggregators send the reports,
//! only the part of a window that earlier reports do not cover is counted.

use super::Reducer;
use crate::log_event::LogEvent;
use crate::report_coverage::{Continuity, Counted, ReportCoverage, ReportLine, Subject};
use crate::report_names::span_from_ms;
use crate::report_stream::{FreshnessChange, ReportStream};
use whinwall_management_api::messages::ReportFreshness;
use whinwall_policy::api::{
    DemandReport, EndpointReport, Report, ReportBody, ReportFlow, ReportSubject, SliceId,
};
use whinwall_policy::time::Moment;
use whinwall_policy::Policy;
use whinwall_protocol::collector;
use whinwall_transport::ConnectionId;

/// The state that exists while aggregators send the reports.
pub(super) struct AggregatedReports {
    coverage: ReportCoverage,
    stream: ReportStream,
    /// The report flow that the policy was last given.
    applied_flow: ReportFlow,
}

impl Reducer {
    /// Sets whether aggregators send the reports. If so, time that two of them report on is counted once, and gaps
    /// are detected.
    pub(super) fn set_aggregated_reports(&mut self, now: Moment, is_enabled: bool) {
        if is_enabled == self.aggregated.is_some() {
            return;
        }
        self.aggregated = is_enabled.then(|| AggregatedReports {
            coverage: ReportCoverage::default(),
            stream: ReportStream::new(now),
            applied_flow: ReportFlow::Direct,
        });
        if !is_enabled {
            self.policy.set_report_flow(now, ReportFlow::Direct);
        }
        self.update_report_flow(now);
    }

    /// The number of subjects (replicas, and request classes of slices) that reports of aggregators cover.
    pub fn covered_subjects(&self) -> usize {
        self.aggregated.as_ref().map_or(0, |aggregated| aggregated.coverage.len())
    }

    /// The load of a replica according to reports, in requests per second, as of the last refresh of load estimates.
    pub fn measured_load(&self, replica: &str) -> Option<f64> {
        self.policy.measured_load(self.names.id(replica)?)
    }

    /// The load of all slices together according to reports, in requests per second.
    pub fn total_measured_load(&self) -> f64 {
        self.policy.total_measured_load()
    }

    /// Handles reports that a reader thread decoded.
    pub(super) fn reports_received(&mut self, now: Moment, from: ConnectionId, mut reports: Vec<Report>) {
        if !self.collectors.contains(&from) {
            return self.ignore_message(from, "reports of an unauthenticated peer");
        }
        reports.retain_mut(|report| {
            let is_known = match report.body {
                ReportBody::Endpoint { .. } => true,
                ReportBody::Demand { slice, .. } => self.relay.tables.contains_key(&slice),
            };
            is_known && self.count_report(from, report, 0)
        });
        self.policy.load_reported(now, &reports);
    }

    /// Handles a report on a replica. It is ignored if its zone or replica is unknown; reports never add either.
    pub(super) fn endpoint_report_received(
        &mut self,
        now: Moment,
        from: ConnectionId,
        line: &collector::EndpointReport,
    ) {
        let ids = (self.known_zone(&line.zone), self.names.id(&line.replica));
        let (Some(zone), Some(replica)) = ids else {
            let reason = format!("unknown replica {:?} or zone {:?}", line.replica, line.zone);
            return self.ignore_message(from, reason);
        };
        let mean_latency = span_from_ms(line.mean_latency_ms);
        let report = EndpointReport {
            zone,
            window: span_from_ms(line.window_ms),
            attempts: line.attempts,
            failed: line.failed,
            mean_latency,
        };
        let body = ReportBody::Endpoint { replica, report, latest_latency: mean_latency };
        self.report_received(now, from, body, line.missing);
    }

    /// Handles a report on a slice.
    pub(super) fn demand_report_received(
        &mut self,
        now: Moment,
        from: ConnectionId,
        line: &collector::DemandReport,
    ) {
        let (slice, class) = (line.slice, &line.request_class);
        let Some(request_class) = self.settings.request_classes.iter().position(|known| known == class)
        else {
            return self.ignore_message(from, format!("unknown request class {class:?} of slice {slice}"));
        };
        // Reports on a slice that was not granted to this controller are dropped. Collectors still send them for a
        // while after a slice was revoked, and the slice may not even exist.
        if self.relay.tables.contains_key(&slice) {
            let window = span_from_ms(line.window_ms);
            let report = DemandReport { request_class, window, requests: line.requests, failed: line.failed };
            self.report_received(now, from, ReportBody::Demand { slice, report }, line.missing);
        }
    }

    fn report_received(&mut self, now: Moment, from: ConnectionId, body: ReportBody, missing_zones: u32) {
        let mut report = Report { window_end: now, line_count: 1.0, body };
        if self.count_report(from, &mut report, missing_zones) {
            self.policy.load_reported(now, &[report]);
        }
    }

    /// Returns true if all or part of the report counts, and reduces it to that part.
    fn count_report(&mut self, from: ConnectionId, report: &mut Report, missing_zones: u32) -> bool {
        let Some(aggregated) = &mut self.aggregated else { return true };
        // The names of a reader thread may still contain a replica that was forgotten in the meantime. Coverage
        // recorded for it would never be removed.
        if matches!(report.body, ReportBody::Endpoint { replica, .. } if !self.names.has_id(replica)) {
            return false;
        }
        aggregated.count_report(from, report, missing_zones, &mut self.policy)
    }

    /// Passes a change of the report flow to the policy, and logs a change of the freshness of reports.
    pub(super) fn update_report_flow(&mut self, now: Moment) {
        let Some(aggregated) = &mut self.aggregated else { return };
        let change = aggregated.stream.check_freshness(now);
        let flow = aggregated.stream.flow();
        if flow != aggregated.applied_flow {
            aggregated.applied_flow = flow;
            self.policy.set_report_flow(now, flow);
        }
        match change {
            Some(FreshnessChange::Stale(silence)) => self.log(LogEvent::ReportsStale { silence }),
            Some(FreshnessChange::Fresh(silence)) => self.log(LogEvent::ReportsFresh { silence }),
            None => {}
        }
    }

    pub(super) fn report_bytes_received(&mut self, now: Moment, bytes: u64) {
        if let Some(aggregated) = &mut self.aggregated {
            aggregated.stream.record_bytes(now, bytes);
        }
    }

    /// The freshness and completeness of aggregated reports; `None` if reports are not aggregated.
    pub fn report_freshness(&self, now: Moment) -> Option<ReportFreshness> {
        let stream = &self.aggregated.as_ref()?.stream;
        Some(ReportFreshness {
            bytes_per_second: stream.bytes_per_second(now),
            age: stream.age(now),
            stale: stream.is_stale(),
            partial_replicas: self.policy.partially_observed_count(),
        })
    }

    pub(super) fn remove_coverage_of_slice(&mut self, slice: SliceId) {
        if let Some(aggregated) = &mut self.aggregated {
            aggregated.coverage.remove_slice(slice);
        }
    }

    pub(super) fn remove_coverage_of_forgotten_replicas(&mut self) {
        if let Some(aggregated) = &mut self.aggregated {
            aggregated.coverage.retain_replicas(|replica| self.names.has_id(replica));
        }
    }
}

impl AggregatedReports {
    fn count_report(
        &mut self,
        from: ConnectionId,
        report: &mut Report,
        missing_zones: u32,
        policy: &mut Policy,
    ) -> bool {
        let (subject, report_subject, window) = match report.body {
            ReportBody::Endpoint { replica, report, .. } => {
                (Subject::Replica(replica), ReportSubject::Replica(replica), report.window)
            }
            ReportBody::Demand { slice, report } => {
                (Subject::Slice(slice, report.request_class), ReportSubject::Slice(slice), report.window)
            }
        };
        if self.stream.record_line(report.window_end, window) {
            self.coverage.forget_connections();
        }
        let line = ReportLine { subject, from, at: report.window_end, window, line_count: report.line_count };
        let Some(counted) = self.coverage.count_line(&line) else { return false };
        if counted.continuity == Continuity::Unknown {
            policy.observed_since(report_subject, report.window_end - window);
        }
        let is_incomplete = match counted.continuity {
            Continuity::Continuous => false,
            Continuity::Gap(_) => true,
            Continuity::Unknown => matches!(report_subject, ReportSubject::Replica(_)),
        };
        if is_incomplete || missing_zones > 0 {
            policy.report_incomplete(report.window_end, report_subject);
        }
        reduce_to_counted(report, &counted);
        true
    }
}

fn reduce_to_counted(report: &mut Report, counted: &Counted) {
    let Counted { fraction, window, .. } = *counted;
    match &mut report.body {
        ReportBody::Endpoint { report, .. } => {
            report.attempts *= fraction;
            report.failed *= fraction;
            report.window = window;
        }
        ReportBody::Demand { report, .. } => {
            report.requests *= fraction;
            report.failed *= fraction;
            report.window = window;
        }
    }
}
