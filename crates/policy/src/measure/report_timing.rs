//! How late load reports are.

use crate::api::ReportFlow;
use crate::measure::load_estimates::JUDGED_OVER;
use crate::state::fleet::Policy;
use crate::state::replica::Replica;
use crate::time::{Moment, Span};
use crate::windowed_counter::WindowedCounter;

impl Policy {
    /// How much more than a period the reports of late cover: they fall behind by that. Aggregated ones differ in that,
    /// and the longest counts, as what is told of seldom would else look silent.
    pub(crate) fn lag(&self, over: Span) -> Span {
        if let ReportFlow::Aggregated { longest_window } = self.report_flow {
            return longest_window - self.site.report_period;
        }
        let lines = self.reports.sum(self.now, over).max(1.0);
        let behind = Span::ms(1000).times(self.covered.sum(self.now, over) / lines) - self.site.report_period;
        behind.max(self.sharing.stretch)
    }

    /// When the newest report on anything must have come, or it is a silence. Aggregated ones may come a period later than
    /// their window.
    pub(crate) fn silent_since(&self) -> Moment {
        let periods = if matches!(self.report_flow, ReportFlow::Aggregated { .. }) { 2.0 } else { 1.0 };
        self.now - self.behind - self.site.report_period.times(periods)
    }

    /// What comes a second, over a time that ends with the newest news: news that is merely late is no
    /// silence.
    pub(crate) fn rate(&self, windowed_counter: &WindowedCounter, over: Span, since: Moment) -> f64 {
        let period = self.site.report_period;
        let end = windowed_counter.newest().min(self.now).max(self.silent_since());
        let over = over.min(end - since).max(period);
        windowed_counter.sum(end, over) / over.seconds().max(0.001)
    }

    /// Whether reports on it are whole and reach far enough to be held against what was asked of it. A replica that they
    /// were not whole on is judged again once the judging window has left that behind; of one that other controllers steer
    /// none are to come.
    pub(crate) fn is_observed(&self, s: &Replica) -> bool {
        match self.report_flow {
            _ if s.is_foreign() => false,
            ReportFlow::Direct => true,
            ReportFlow::Aggregated { .. } => {
                let reaches = s.attempts.newest() >= self.silent_since();
                reaches && s.incomplete.is_none_or(|at| self.now - at > JUDGED_OVER + self.behind)
            }
            ReportFlow::Interrupted => false,
        }
    }
}
