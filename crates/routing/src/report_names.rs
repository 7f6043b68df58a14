//! What a reader thread has to know to resolve the names in reports. It may be out of date: an id is never assigned
//! twice, and a report with a name that it lacks is left to the reducer.

use std::collections::BTreeMap;
use whinwall_policy::api::{DemandReport, EndpointReport, ReplicaId, ReportBody, ZoneId};
use whinwall_policy::time::Span;
use whinwall_protocol::collector::Report;

/// The names that reports may use.
#[derive(Clone, Debug, Default)]
pub struct ReportNames {
    /// The zones that the settings name; a zone's id is its position. Empty where any zone will do.
    pub zones: Vec<String>,
    /// The request classes that the settings name; the policy knows one by its position.
    pub request_classes: Vec<String>,
    /// The ids of the replicas.
    pub replicas: BTreeMap<String, ReplicaId>,
    /// Grows with each change of the replicas.
    pub version: u64,
}

impl ReportNames {
    /// The position of a request class.
    pub fn request_class(&self, name: &str) -> Option<usize> {
        self.request_classes.iter().position(|known| known == name)
    }

    /// The report with ids for names; none where it has an unknown name. None either where zones are missing in it:
    /// such a line is never summed with others, and goes to the reducer as the message that it is.
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

/// A time in milliseconds, as reports have it.
pub(crate) fn span_from_ms(ms: f64) -> Span {
    Span::ms(1).times(ms)
}

/// The id of a zone. Where the settings name no zones, any name has the same id.
pub(crate) fn zone_id(zones: &[String], name: &str) -> Option<ZoneId> {
    let any = zones.is_empty().then_some(ZoneId::MAX);
    zones.iter().position(|known| known == name).or(any)
}
