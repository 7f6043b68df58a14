//! Reports on their way to the decisions: checked against what is known, and where aggregators report against what
//! is covered already.

use super::Reducer;
use crate::events::Effect;
use crate::known::span;
use crate::report_coverage::{Before, Counted, Line, ReportCoverage, Subject};
use crate::report_feed::{FeedChange, ReportFeed};
use std::fmt;
use whinwall_management_api::messages::ReportFreshness;
use whinwall_policy::api::{
    DemandReport, EndpointReport, Report, ReportBody, ReportFlow, ReportSubject, SliceId,
};
use whinwall_policy::time::Moment;
use whinwall_policy::Policy;
use whinwall_protocol::collector;
use whinwall_transport::ConnectionId;

/// What is kept where aggregators report; it ends when that is switched off.
pub(super) struct Aggregated {
    coverage: ReportCoverage,
    feed: ReportFeed,
    /// What the decisions were told last.
    told: ReportFlow,
}

impl Reducer {
    /// Whether reports are made by aggregators: what two of them tell is counted once, and what is missing is known.
    pub(super) fn aggregate_reports(&mut self, now: Moment, on: bool) {
        if on == self.aggregated.is_some() {
            return;
        }
        self.aggregated = on.then(|| Aggregated {
            coverage: ReportCoverage::default(),
            feed: ReportFeed::start(now),
            told: ReportFlow::Direct,
        });
        if !on {
            self.policy.set_report_flow(now, ReportFlow::Direct);
        }
        self.follow_reports(now);
    }

    /// How many replicas and classes of slices have covered time.
    pub fn covered_subjects(&self) -> usize {
        self.aggregated.as_ref().map_or(0, |aggregated| aggregated.coverage.len())
    }

    /// The load that reports show of a replica, in requests a second, as of the last survey.
    pub fn measured_load(&self, replica: &str) -> Option<f64> {
        self.policy.measured_load(self.names.known(replica)?)
    }

    /// The same for all slices together.
    pub fn total_measured_load(&self) -> f64 {
        self.policy.total_measured_load()
    }

    /// Reports that a reader took apart.
    pub(super) fn reports(&mut self, now: Moment, from: ConnectionId, mut reports: Vec<Report>) {
        reports.retain_mut(|report| {
            let known = match report.body {
                ReportBody::Endpoint { .. } => true,
                ReportBody::Demand { slice, .. } => self.tables.contains_key(&slice),
            };
            known && self.counts(from, report, 0)
        });
        self.policy.load_reported(now, &reports);
    }

    /// Reports invent neither places nor replicas.
    pub(super) fn met(&mut self, now: Moment, from: ConnectionId, line: &collector::EndpointReport) {
        let known = (self.known_zone(&line.zone), self.names.known(&line.replica));
        let (Some(zone), Some(replica)) = known else {
            return self.pass_over(from, format!("met at {:?} from {:?}", line.replica, line.zone));
        };
        let mean_latency = span(line.mean_latency_ms);
        let met = EndpointReport {
            zone,
            window: span(line.window_ms),
            attempts: line.attempts,
            failed: line.failed,
            mean_latency,
        };
        self.report(
            now,
            from,
            ReportBody::Endpoint { replica, report: met, latest_latency: mean_latency },
            line.missing,
        );
    }

    pub(super) fn asked_of_slice(&mut self, now: Moment, from: ConnectionId, line: &collector::DemandReport) {
        let (slice, class) = (line.slice, &line.request_class);
        let Some(request_class) = self.settings.request_classes.iter().position(|known| known == class)
        else {
            return self.pass_over(from, format!("{class:?} asked of slice {slice}"));
        };
        // One that has just changed hands is still reported on for a while, and one of this number may never have been:
        // nobody's requests count for nothing.
        if self.tables.contains_key(&slice) {
            let covers = span(line.window_ms);
            let asked =
                DemandReport { request_class, window: covers, requests: line.requests, failed: line.failed };
            self.report(now, from, ReportBody::Demand { slice, report: asked }, line.missing);
        }
    }

    fn report(&mut self, now: Moment, from: ConnectionId, what: ReportBody, missing: u32) {
        let mut report = Report { at: now, line_count: 1.0, body: what };
        if self.counts(from, &mut report, missing) {
            self.policy.load_reported(now, &[report]);
        }
    }

    /// Whether any of the report counts; where only a part does it is cut down to that.
    fn counts(&mut self, from: ConnectionId, report: &mut Report, missing: u32) -> bool {
        let Some(aggregated) = &mut self.aggregated else { return true };
        // A reader may know a replica that was dropped meanwhile: nothing would drop what is covered of it.
        if matches!(report.body, ReportBody::Endpoint { replica, .. } if !self.names.has(replica)) {
            return false;
        }
        aggregated.counts(from, report, missing, &mut self.policy)
    }

    /// Tells the decisions, and whoever reads the log, how reports come.
    pub(super) fn follow_reports(&mut self, now: Moment) {
        let Some(aggregated) = &mut self.aggregated else { return };
        let change = aggregated.feed.look(now);
        let flow = aggregated.feed.flow();
        if flow != aggregated.told {
            aggregated.told = flow;
            self.policy.set_report_flow(now, flow);
        }
        match change {
            Some(FeedChange::Stale(silent)) => self.note(format!(
                "reports are stale: none for {:.0} s; tables and levels stay as they are, drains are obeyed",
                silent.seconds()
            )),
            Some(FeedChange::Fresh(silent)) => {
                self.note(format!("reports are fresh again, after {:.0} s", silent.seconds()));
            }
            None => {}
        }
    }

    pub(super) fn report_bytes(&mut self, now: Moment, bytes: u64) {
        self.aggregated.iter_mut().for_each(|aggregated| aggregated.feed.received(now, bytes));
    }

    /// What becomes of the reports that aggregators make; none where none do.
    pub fn report_freshness(&self, now: Moment) -> Option<ReportFreshness> {
        let feed = &self.aggregated.as_ref()?.feed;
        Some(ReportFreshness {
            bytes_per_second: feed.bytes_per_second(now),
            age: feed.age(now),
            stale: feed.is_stale(),
            partial_replicas: self.policy.partly_observed_count(),
        })
    }

    pub(super) fn drop_reports_on(&mut self, slice: SliceId) {
        self.aggregated.iter_mut().for_each(|aggregated| aggregated.coverage.drop_slice(slice));
    }

    pub(super) fn drop_reports_on_unknown(&mut self) {
        let names = &self.names;
        let aggregated = self.aggregated.iter_mut();
        aggregated.for_each(|aggregated| aggregated.coverage.keep_replicas(|replica| names.has(replica)));
    }

    /// A message that is spoilt, or names what does not exist, changes nothing; whoever has not joined goes.
    pub(super) fn pass_over(&mut self, from: ConnectionId, why: impl fmt::Display) {
        match self.collectors.contains(&from) {
            true => self.note(format!("a report is passed over: {why}")),
            false => self
                .effects
                .push(Effect::Disconnect { to: from, why: Some("of no use from whoever has not joined") }),
        }
    }
}

impl Aggregated {
    fn counts(&mut self, from: ConnectionId, report: &mut Report, missing: u32, policy: &mut Policy) -> bool {
        let (subject, about, window) = match report.body {
            ReportBody::Endpoint { replica, report: met, .. } => {
                (Subject::Replica(replica), ReportSubject::Replica(replica), met.window)
            }
            ReportBody::Demand { slice, report: asked } => {
                (Subject::Slice(slice, asked.request_class), ReportSubject::Slice(slice), asked.window)
            }
        };
        if self.feed.heard(report.at, window) {
            self.coverage.resume();
        }
        let line = Line { subject, from, at: report.at, window, lines: report.line_count };
        let Some(counted) = self.coverage.take(&line) else { return false };
        if counted.before == Before::Unknown {
            policy.observed_since(about, report.at - window);
        }
        let lacks = match counted.before {
            Before::Seamless => false,
            Before::Gap(_) => true,
            Before::Unknown => matches!(about, ReportSubject::Replica(_)),
        };
        if lacks || missing > 0 {
            policy.report_incomplete(report.at, about);
        }
        cut_down(report, &counted);
        true
    }
}

fn cut_down(report: &mut Report, counted: &Counted) {
    let Counted { share, window, .. } = *counted;
    match &mut report.body {
        ReportBody::Endpoint { report: met, .. } => {
            (met.attempts, met.failed, met.window) = (met.attempts * share, met.failed * share, window);
        }
        ReportBody::Demand { report: asked, .. } => {
            (asked.requests, asked.failed, asked.window) =
                (asked.requests * share, asked.failed * share, window);
        }
    }
}
