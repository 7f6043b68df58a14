//! The reports on a replica.

use crate::api::EndpointReport;
use crate::state::recent_counter::recent_counter;
use crate::time::{Moment, Span};
use crate::windowed_counter::WindowedCounter;

/// The reports on a replica, by the time that they cover.
pub(crate) struct ReplicaReports {
    /// Requests sent to the replica, including retries.
    pub attempts: WindowedCounter,
    /// Attempts that failed.
    pub failed: WindowedCounter,
    /// Attempts that succeeded.
    pub succeeded: WindowedCounter,
    /// The sum of the latencies of successful attempts in seconds, without the delay of the link between zones.
    pub latency_seconds: WindowedCounter,
    /// Requests expected at the replica according to the demand for its slices.
    pub expected: WindowedCounter,
    /// The last time at which reports on the replica were incomplete.
    pub incomplete_at: Option<Moment>,
    /// The time since which there are reports, if there were none before.
    pub observed_since: Moment,
    /// The mean latency of the newest successful requests, in seconds.
    pub last_latency_seconds: f64,
}

/// Sums of the reports on a replica over the recent window.
#[derive(Clone, Copy, Default)]
pub(crate) struct RecentCounts {
    pub attempts: f64,
    pub failed: f64,
    pub succeeded: f64,
    pub latency_seconds: f64,
    pub expected: f64,
}

impl RecentCounts {
    /// Returns the share of attempts that failed.
    pub(crate) fn failed_share(&self) -> f64 {
        self.failed / self.attempts.max(1.0)
    }
}

impl Default for ReplicaReports {
    fn default() -> Self {
        ReplicaReports {
            attempts: recent_counter(),
            failed: recent_counter(),
            succeeded: recent_counter(),
            latency_seconds: recent_counter(),
            expected: recent_counter(),
            incomplete_at: None,
            observed_since: Moment::default(),
            last_latency_seconds: 0.0,
        }
    }
}

impl ReplicaReports {
    /// Adds a report. `link_delay_seconds` is subtracted from its latency.
    pub(crate) fn record(
        &mut self,
        window_end: Moment,
        report: &EndpointReport,
        latest_latency: Span,
        link_delay_seconds: f64,
    ) {
        let succeeded = (report.attempts - report.failed).max(0.0);
        let without_link_delay = |latency: Span| (latency.seconds() - link_delay_seconds).max(0.0);
        self.attempts.add_over(window_end, report.window, report.attempts);
        self.failed.add_over(window_end, report.window, report.failed);
        self.succeeded.add_over(window_end, report.window, succeeded);
        self.latency_seconds.add_over(
            window_end,
            report.window,
            succeeded * without_link_delay(report.mean_latency),
        );
        if succeeded > 0.0 {
            self.last_latency_seconds = without_link_delay(latest_latency);
        }
    }

    /// Returns the sums over the `window` before `end`.
    pub(crate) fn recent_counts(&self, end: Moment, window: Span) -> RecentCounts {
        RecentCounts {
            attempts: self.attempts.sum(end, window),
            failed: self.failed.sum(end, window),
            succeeded: self.succeeded.sum(end, window),
            latency_seconds: self.latency_seconds.sum(end, window),
            expected: self.expected.sum(end, window),
        }
    }

    /// Returns the mean latency in seconds over the `window` before `end`, if at least `min_samples` requests
    /// succeeded in it.
    pub(crate) fn mean_latency_seconds(&self, end: Moment, window: Span, min_samples: f64) -> Option<f64> {
        let succeeded = self.succeeded.sum(end, window);
        (succeeded >= min_samples).then(|| self.latency_seconds.sum(end, window) / succeeded)
    }

    /// Clears all counts.
    pub(crate) fn clear(&mut self) {
        for counter in [
            &mut self.attempts,
            &mut self.failed,
            &mut self.succeeded,
            &mut self.latency_seconds,
            &mut self.expected,
        ] {
            counter.clear();
        }
        self.last_latency_seconds = 0.0;
    }
}
