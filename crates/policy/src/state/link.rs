//! Latencies between zones.

use crate::api::EndpointReport;
use crate::state::replica::windowed_counter;
use crate::time::Moment;
use crate::windowed_counter::WindowedCounter;

/// Answers on the way from one place to another, and the seconds they took.
pub struct Link {
    pub answered: WindowedCounter,
    pub busy: WindowedCounter,
}
impl Default for Link {
    fn default() -> Self {
        Link { answered: windowed_counter(), busy: windowed_counter() }
    }
}

impl Link {
    pub fn record(&mut self, now: Moment, met: &EndpointReport) {
        let answered = (met.attempts - met.failed).max(0.0);
        self.answered.spread(now, met.window, answered);
        self.busy.spread(now, met.window, answered * met.mean_latency.seconds());
    }
}
