//! Latencies between zones.

use crate::api::EndpointReport;
use crate::state::replica::recent_counter;
use crate::time::Moment;
use crate::windowed_counter::WindowedCounter;

/// Answers on the way from one place to another, and the seconds they took.
pub struct LinkLatency {
    pub succeeded: WindowedCounter,
    pub latency_seconds: WindowedCounter,
}
impl Default for LinkLatency {
    fn default() -> Self {
        LinkLatency { succeeded: recent_counter(), latency_seconds: recent_counter() }
    }
}

impl LinkLatency {
    pub fn record(&mut self, now: Moment, met: &EndpointReport) {
        let answered = (met.attempts - met.failed).max(0.0);
        self.succeeded.spread(now, met.window, answered);
        self.latency_seconds.spread(now, met.window, answered * met.mean_latency.seconds());
    }
}
