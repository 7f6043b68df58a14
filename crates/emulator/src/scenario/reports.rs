//! The reports of the collectors, sent every second.

use super::counters::{DemandCounts, EndpointCounts, EndpointCountsByZone};
use super::event::{Delivery, ScheduledEvent};
use super::run::REPORT_INTERVAL;
use super::state::{replica_name, Scenario};
use crate::policy::Policy;
use crate::{ControllerIndex, ReplicaIndex, RequestClassIndex, SliceIndex, ZoneIndex};
use std::collections::{BTreeMap, BTreeSet};
use whinwall_policy::api::SubsetMembership;
use whinwall_policy::time::Span;
use whinwall_protocol::collector::{DemandReport, EndpointReport, Message};
use whinwall_routing::{Event, Reducer};

/// The length in milliseconds of the window that a report covers, unless an aggregator lengthens it.
const WINDOW_MS: f64 = 1000.0;
/// The minimum lag of reports.
const MIN_LAG_MS: u64 = 50;
/// The maximum random lag in addition to the minimum.
const LAG_RANGE_MS: f64 = 200.0;

/// The subject of a report.
#[derive(Clone, Copy)]
enum ReportSubject {
    Replica(ReplicaIndex),
    Slice(SliceIndex),
}

/// A report from the collector of a zone.
#[derive(Clone)]
struct ZoneReport {
    subject: ReportSubject,
    zone: ZoneIndex,
    message: Message,
}

/// Sums the counts of all zones as an aggregator does: one sum per replica, reported for the replica's own zone.
fn sum_over_zones(counts: EndpointCountsByZone, zones: usize) -> EndpointCountsByZone {
    let mut sums = EndpointCountsByZone::new();
    for ((_, replica), counts) in counts {
        sums.entry((replica % zones, replica)).or_default().add(&counts);
    }
    sums
}

impl Scenario {
    /// Sends the reports of the last second, with a lag.
    pub(super) fn send_reports(&mut self) {
        self.schedule_after(REPORT_INTERVAL, ScheduledEvent::SendReports);
        self.reported_seconds += 1;
        let window_seconds = self.config.report_window_seconds.max(1);
        let is_window_over = self.reported_seconds.is_multiple_of(window_seconds);
        let endpoints =
            if is_window_over { std::mem::take(&mut self.endpoint_counts) } else { BTreeMap::new() };
        let demand = std::mem::take(&mut self.demand_counts);
        if self.policy != Policy::Controlled {
            return;
        }
        self.record_counts(&endpoints, &demand);
        let has_subsets = self.config.subset_size > 0;
        let endpoints = if has_subsets { sum_over_zones(endpoints, self.config.zones) } else { endpoints };
        let mut reports: Vec<_> = endpoints
            .iter()
            .map(|((zone, replica), counts)| {
                self.endpoint_report(*zone, *replica, counts, WINDOW_MS * f64::from(window_seconds))
            })
            .collect();
        let demand = demand.iter();
        reports.extend(demand.map(|((slice, class), counts)| self.demand_report(*slice, *class, counts)));
        for controller in 0..self.controllers.len() {
            self.schedule_reports(controller, &reports);
        }
    }

    fn endpoint_report(
        &self,
        zone: ZoneIndex,
        replica: ReplicaIndex,
        counts: &EndpointCounts,
        window_ms: f64,
    ) -> ZoneReport {
        let EndpointCounts { attempts, failed, latency_seconds } = *counts;
        let report = EndpointReport {
            zone: self.config.zone(zone),
            replica: replica_name(replica),
            attempts,
            failed,
            mean_latency_ms: latency_seconds * 1000.0 / (attempts - failed).max(1.0),
            window_ms,
            missing: 0,
        };
        ZoneReport {
            subject: ReportSubject::Replica(replica),
            zone,
            message: Message::EndpointReport(report),
        }
    }

    fn demand_report(
        &self,
        slice: SliceIndex,
        class: RequestClassIndex,
        counts: &DemandCounts,
    ) -> ZoneReport {
        let report = DemandReport {
            slice: slice as u32,
            request_class: self.config.request_classes[class].name.to_string(),
            requests: counts.requests,
            failed: counts.failed,
            window_ms: WINDOW_MS,
            missing: 0,
        };
        ZoneReport {
            subject: ReportSubject::Slice(slice),
            zone: slice % self.config.zones,
            message: Message::DemandReport(report),
        }
    }

    /// Schedules the delivery of the reports that a controller receives.
    fn schedule_reports(&mut self, controller: ControllerIndex, reports: &[ZoneReport]) {
        let lag = Span::ms(MIN_LAG_MS + (self.random.draw() * LAG_RANGE_MS) as u64);
        let steered = self.steered_replicas(controller);
        let is_received = |report: &&ZoneReport| self.receives_report(controller, report.subject, &steered);
        let received: Vec<_> = reports.iter().filter(is_received).cloned().collect();
        for ZoneReport { zone, message, .. } in received {
            // With subsets, a single aggregator reports to each controller.
            let from = if self.config.subset_size > 0 { 0 } else { zone as u64 };
            let event = Event::Message { from, message };
            self.deliver_after(lag, controller, Delivery::Event(Box::new(event)));
        }
    }

    /// Returns true if a controller receives a report. Reports on a slice go to the responsible controller, and reports
    /// on a replica go to all controllers that steer it.
    fn receives_report(
        &self,
        controller: ControllerIndex,
        subject: ReportSubject,
        steered: &BTreeSet<ReplicaIndex>,
    ) -> bool {
        match subject {
            ReportSubject::Replica(replica) => self.config.subset_size == 0 || steered.contains(&replica),
            ReportSubject::Slice(slice) => self.is_controlled_by(slice, controller),
        }
    }

    fn steered_replicas(&self, controller: ControllerIndex) -> BTreeSet<ReplicaIndex> {
        let reducer = self.controllers[controller].reducer.as_ref();
        let memberships = reducer.map(Reducer::subset_memberships).unwrap_or_default();
        let steered =
            memberships.iter().filter(|(_, membership)| **membership != SubsetMembership::OtherControllers);
        steered.filter_map(|(name, _)| self.replicas_by_name.get(*name).copied()).collect()
    }
}
