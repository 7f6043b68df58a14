//! Latencies between zones.

use crate::api::{EndpointReport, ZoneId};
use crate::state::recent_counter::recent_counter;
use crate::time::Moment;
use crate::windowed_counter::WindowedCounter;
use std::collections::BTreeMap;

/// A link: the proxies' zone and the replica's zone.
pub(crate) type Link = (ZoneId, ZoneId);

/// The links between zones.
#[derive(Default)]
pub(crate) struct Links {
    /// Latencies on each link.
    pub latencies: BTreeMap<Link, LinkLatency>,
    /// The last estimate of the seconds that a link adds to a request.
    pub delays: BTreeMap<Link, f64>,
}

/// Successful requests on a link, and the sum of their latencies in seconds.
pub(crate) struct LinkLatency {
    pub succeeded: WindowedCounter,
    pub latency_seconds: WindowedCounter,
}

impl Default for LinkLatency {
    fn default() -> Self {
        LinkLatency { succeeded: recent_counter(), latency_seconds: recent_counter() }
    }
}

impl LinkLatency {
    /// Adds a report.
    pub(crate) fn record(&mut self, window_end: Moment, report: &EndpointReport) {
        let succeeded = (report.attempts - report.failed).max(0.0);
        self.succeeded.add_over(window_end, report.window, succeeded);
        self.latency_seconds.add_over(window_end, report.window, succeeded * report.mean_latency.seconds());
    }
}
