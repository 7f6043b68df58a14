//! How late load reports are, and rates that allow for it.

use crate::api::ReportFlow;
use crate::measure::windows::RECENT_WINDOW;
use crate::state::controller::ControllerState;
use crate::state::replica::Replica;
use crate::time::{Moment, Span};
use crate::windowed_counter::WindowedCounter;

/// The shortest time that a rate is divided by, in seconds.
const MIN_RATE_SECONDS: f64 = 0.001;

impl ControllerState {
    /// How much more than a report period the reports of the last `window` cover: they fall behind by that. Of aggregated
    /// ones the longest counts, as what is reported seldom would else look silent.
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

    /// When the newest report on anything should have come. Aggregated ones may come a period later than their window.
    fn newest_report_expected_at(&self) -> Moment {
        let periods = match self.reporting.flow {
            ReportFlow::Aggregated { .. } => 2.0,
            ReportFlow::Direct | ReportFlow::Interrupted => 1.0,
        };
        self.now - self.reporting.lag - self.deployment.report_period.times(periods)
    }

    /// Requests a second over a window that ends with the newest report: a report that is merely late is no silence.
    /// Nothing is known of the time before `since`.
    pub(crate) fn request_rate(&self, counter: &WindowedCounter, window: Span, since: Moment) -> f64 {
        let end = counter.newest_bucket_end().min(self.now).max(self.newest_report_expected_at());
        let window = window.min(end - since).max(self.deployment.report_period);
        counter.sum(end, window) / window.seconds().max(MIN_RATE_SECONDS)
    }

    /// Whether reports on a replica are complete and recent enough to be held against what was expected at it. After an
    /// incomplete one they are so again once the window has left that behind; on a replica that other controllers steer none
    /// are to come.
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
