//! The names that a reader thread needs to convert reports to ids. They may be out of date, which does no harm: ids are
//! never reused, and reports with unknown names are passed to the reducer unconverted.

use std::collections::BTreeMap;
use whinwall_policy::api::{DemandReport, EndpointReport, ReplicaId, ReportBody, ZoneId};
use whinwall_policy::time::Span;
use whinwall_protocol::collector::Report;

/// The names that reports may contain.
#[derive(Clone, Debug, Default)]
pub struct ReportNames {
    /// The zones in the settings; the id of a zone is its position. If empty, any zone is accepted.
    pub zones: Vec<String>,
    /// The request classes in the settings; the policy identifies a request class by its position.
    pub request_classes: Vec<String>,
    /// The ids of the replicas.
    pub replicas: BTreeMap<String, ReplicaId>,
    /// Incremented with each change of the replicas.
    pub version: u64,
}

impl ReportNames {
    /// The position of a request class.
    pub fn request_class(&self, name: &str) -> Option<usize> {
        self.request_classes.iter().position(|known| known == name)
    }

    /// Converts a report to one with ids. Returns `None` if a name is unknown, and also if an aggregator lacked the
    /// reports of some zones: such a report is not summed with others, but passed to the reducer as a message.
    pub fn resolve(&self, report: &Report) -> Option<ReportBody> {
        match *report {
            Report::EndpointReport { missing: 1.., .. } | Report::DemandReport { missing: 1.., .. } => None,
            Report::EndpointReport {
                zone,
                replica,
                attempts,
                failed,
                mean_latency_ms,
                window_ms,
                missing: 0,
            } => {
                let (zone, replica) = (zone_id(&self.zones, zone)?, *self.replicas.get(replica)?);
                let (window, mean_latency) = (span_from_ms(window_ms), span_from_ms(mean_latency_ms));
                let report = EndpointReport { zone, window, attempts, failed, mean_latency };
                Some(ReportBody::Endpoint { replica, report, latest_latency: mean_latency })
            }
            Report::DemandReport { slice, request_class, requests, failed, window_ms, missing: 0 } => {
                let request_class = self.request_class(request_class)?;
                let report =
                    DemandReport { request_class, window: span_from_ms(window_ms), requests, failed };
                Some(ReportBody::Demand { slice, report })
            }
        }
    }
}

/// Converts a duration in milliseconds, the unit of reports.
pub(crate) fn span_from_ms(ms: f64) -> Span {
    Span::ms(1).times(ms)
}

/// The id of a zone, if it is in the settings. If the settings contain no zones, all names have the same id.
pub(crate) fn zone_id(zones: &[String], name: &str) -> Option<ZoneId> {
    let any = zones.is_empty().then_some(ZoneId::MAX);
    zones.iter().position(|known| known == name).or(any)
}
