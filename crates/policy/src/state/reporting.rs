//! The path and the lag of load reports.

use crate::api::ReportFlow;
use crate::state::recent_counter::recent_counter;
use crate::time::{Moment, Span};
use crate::windowed_counter::WindowedCounter;

/// The path and the lag of load reports.
pub(crate) struct Reporting {
    /// The path on which reports arrive.
    pub flow: ReportFlow,
    /// The sum of the seconds covered by report lines.
    pub covered_seconds: WindowedCounter,
    /// The number of report lines.
    pub lines: WindowedCounter,
    /// The time by which the window of a report line exceeds a report period when reports lag.
    pub lag: Span,
    /// The time at which the first line arrived.
    pub first_line_at: Option<Moment>,
}

impl Default for Reporting {
    fn default() -> Self {
        Reporting {
            flow: ReportFlow::default(),
            covered_seconds: recent_counter(),
            lines: recent_counter(),
            lag: Span::default(),
            first_line_at: None,
        }
    }
}
