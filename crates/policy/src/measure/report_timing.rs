//! The lag of load reports, and rates that allow for it.

use crate::api::ReportFlow;
use crate::measure::windows::RECENT_WINDOW;
use crate::state::controller::ControllerState;
use crate::state::replica::Replica;
use crate::state::slice::Slice;
use crate::time::{Moment, Span};
use crate::windowed_counter::WindowedCounter;

/// The number of report periods, beside the lag of the reports, after which a slice that no report covers has no
/// requests.
const PERIODS_UNTIL_SLICE_IS_IDLE: f64 = 2.0;
/// Lower bound of the time used as the divisor of a rate, in seconds.
const MIN_RATE_SECONDS: f64 = 0.001;

impl ControllerState {
    /// Returns the time by which the windows of the reports of the last `window` exceed a report period; reports
    /// lag by this time. For aggregated reports the longest window counts, because otherwise a subject with
    /// infrequent reports would look silent.
    pub(crate) fn measure_report_lag(&self, window: Span) -> Span {
        let period = self.deployment.report_period;
        if let ReportFlow::Aggregated { longest_window } = self.reporting.flow {
            return longest_window - period;
        }
        let lines = self.reporting.lines.sum(self.now, window).max(1.0);
        let covered = self.reporting.covered_seconds.sum(self.now, window);
        let lag = Span::ms(1000).times(covered / lines) - period;
        lag.max(self.sharing.window_excess)
    }

    /// Returns the time at which the newest report on any subject should have arrived. An aggregated report may
    /// arrive one period later than its window.
    fn newest_report_expected_at(&self) -> Moment {
        let periods = match self.reporting.flow {
            ReportFlow::Aggregated { .. } => 2.0,
            ReportFlow::Direct | ReportFlow::Interrupted => 1.0,
        };
        self.now - self.reporting.lag - self.deployment.report_period.times(periods)
    }

    /// Returns the rate of requests per second over a window that ends with the newest report, so that a late
    /// report does not count as silence. The time before `since` is left out because nothing is known about it.
    pub(crate) fn request_rate(&self, counter: &WindowedCounter, window: Span, since: Moment) -> f64 {
        let end = counter.newest_bucket_end().min(self.now).max(self.newest_report_expected_at());
        let window = window.min(end - since).max(self.deployment.report_period);
        counter.sum(end, window) / window.seconds().max(MIN_RATE_SECONDS)
    }

    /// Returns true if reports say what the demand of each of these slices is.
    pub(crate) fn are_demands_known<'a>(&self, mut slices: impl Iterator<Item = &'a Slice>) -> bool {
        self.reports_arrive() && slices.all(|slice| self.is_covered_or_idle(slice))
    }

    /// Returns true if a report has covered a slice since it was granted, or if reports have arrived for so long without
    /// one that it has no requests.
    fn is_covered_or_idle(&self, slice: &Slice) -> bool {
        let Some(first_line_at) = self.reporting.first_line_at else { return false };
        let is_covered = slice.admitted.newest_bucket_end() > slice.granted_at;
        let idle_time = self.deployment.report_period.times(PERIODS_UNTIL_SLICE_IS_IDLE) + self.reporting.lag;
        let is_idle = self.now - slice.granted_at.max(first_line_at) >= idle_time;
        is_covered || is_idle
    }

    /// Returns false once reports have ceased, which would look like a demand of 0. While aggregated reports are
    /// interrupted, the last estimates are kept.
    fn reports_arrive(&self) -> bool {
        let window = RECENT_WINDOW + self.reporting.lag;
        self.reporting.flow == ReportFlow::Interrupted || self.reporting.lines.sum(self.now, window) > 0.0
    }

    /// Returns true if reports on a replica are complete and recent enough to be compared with the expected
    /// requests. After an incomplete report this is false until the window no longer contains that report. No
    /// reports are expected on a replica that other controllers steer.
    pub(crate) fn is_observed(&self, replica: &Replica) -> bool {
        match self.reporting.flow {
            _ if replica.is_steered_by_others() => false,
            ReportFlow::Direct => true,
            ReportFlow::Aggregated { .. } => {
                let is_recent =
                    replica.reports.attempts.newest_bucket_end() >= self.newest_report_expected_at();
                let window = RECENT_WINDOW + self.reporting.lag;
                is_recent && replica.reports.incomplete_at.is_none_or(|at| self.now - at > window)
            }
            ReportFlow::Interrupted => false,
        }
    }
}
