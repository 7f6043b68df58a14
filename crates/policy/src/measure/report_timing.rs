//! How late load reports are.

use crate::api::ReportFlow;
use crate::measure::load_estimates::RECENT_WINDOW;
use crate::state::controller::ControllerState;
use crate::state::replica::Replica;
use crate::time::{Moment, Span};
use crate::windowed_counter::WindowedCounter;

impl ControllerState {
    /// How much more than a period the reports of late cover: they fall behind by that. Aggregated ones differ in that,
    /// and the longest counts, as what is told of seldom would else look silent.
    pub(crate) fn measure_report_lag(&self, over: Span) -> Span {
        if let ReportFlow::Aggregated { longest_window } = self.report_flow {
            return longest_window - self.deployment.report_period;
        }
        let lines = self.report_lines.sum(self.now, over).max(1.0);
        let behind = Span::ms(1000).times(self.report_seconds.sum(self.now, over) / lines)
            - self.deployment.report_period;
        behind.max(self.sharing.window_excess)
    }

    /// When the newest report on anything must have come, or it is a silence. Aggregated ones may come a period later than
    /// their window.
    pub(crate) fn newest_report_expected_at(&self) -> Moment {
        let periods = if matches!(self.report_flow, ReportFlow::Aggregated { .. }) { 2.0 } else { 1.0 };
        self.now - self.report_lag - self.deployment.report_period.times(periods)
    }

    /// What comes a second, over a time that ends with the newest news: news that is merely late is no
    /// silence.
    pub(crate) fn request_rate(&self, counter: &WindowedCounter, over: Span, since: Moment) -> f64 {
        let period = self.deployment.report_period;
        let end = counter.newest().min(self.now).max(self.newest_report_expected_at());
        let over = over.min(end - since).max(period);
        counter.sum(end, over) / over.seconds().max(0.001)
    }

    /// Whether reports on it are whole and reach far enough to be held against what was asked of it. A replica that they
    /// were not whole on is judged again once the judging window has left that behind; of one that other controllers steer
    /// none are to come.
    pub(crate) fn is_observed(&self, s: &Replica) -> bool {
        match self.report_flow {
            _ if s.is_steered_by_others() => false,
            ReportFlow::Direct => true,
            ReportFlow::Aggregated { .. } => {
                let reaches = s.attempts.newest() >= self.newest_report_expected_at();
                reaches && s.incomplete_at.is_none_or(|at| self.now - at > RECENT_WINDOW + self.report_lag)
            }
            ReportFlow::Interrupted => false,
        }
    }
}
