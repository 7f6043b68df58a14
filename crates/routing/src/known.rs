//! What a reader has to know to take reports apart: numbers for names, as they were when it was made. It may
//! be behind: a number is never given to another, and a name that it lacks is left to the reducer.

use std::collections::BTreeMap;
use whinwall_policy::api::{DemandReport, EndpointReport, ReplicaId, ReportBody, ZoneId};
use whinwall_policy::time::Span;
use whinwall_protocol::collector::Report;

#[derive(Clone, Debug, Default)]
pub struct Known {
    pub zones: Vec<String>,
    pub request_classes: Vec<String>,
    pub replicas: BTreeMap<String, ReplicaId>,
    /// Which state of the names it is.
    pub changes: u64,
}

/// A time as reports give it.
pub fn span(ms: f64) -> Span {
    Span::ms(1).times(ms)
}

/// FNV-1a, as published by Fowler, Noll and Vo: the same at every controller and in every build.
pub fn lot(name: &str) -> u64 {
    name.bytes()
        .fold(0xcbf2_9ce4_8422_2325, |lot, byte| (lot ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3))
}

/// Where the settings name no places, any will do.
pub fn zone(zones: &[String], name: &str) -> Option<ZoneId> {
    let any = zones.is_empty().then_some(ZoneId::MAX);
    zones.iter().position(|known| known == name).or(any)
}

impl Known {
    pub fn request_class(&self, name: &str) -> Option<usize> {
        self.request_classes.iter().position(|known| known == name)
    }

    /// The report in numbers; none where it names what is not known here. Neither is there one where zones are missing
    /// in it: such a line is never summed with others, and goes to the reducer as the message that it is.
    pub fn numbered(&self, report: &Report) -> Option<ReportBody> {
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
                let (zone, replica) = (self::zone(&self.zones, zone)?, *self.replicas.get(replica)?);
                let (covers, mean_latency) = (span(window_ms), span(mean_latency_ms));
                let met = EndpointReport { zone, window: covers, attempts, failed, mean_latency };
                Some(ReportBody::Endpoint { replica, report: met, latest_latency: mean_latency })
            }
            Report::DemandReport { slice, request_class, requests, failed, window_ms, missing: 0 } => {
                let asked = DemandReport {
                    request_class: self.request_class(request_class)?,
                    window: span(window_ms),
                    requests,
                    failed,
                };
                Some(ReportBody::Demand { slice, report: asked })
            }
        }
    }
}
