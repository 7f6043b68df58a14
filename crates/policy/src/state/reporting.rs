//! How load reports arrive.

use crate::api::ReportFlow;
use crate::state::recent_counter::recent_counter;
use crate::time::Span;
use crate::windowed_counter::WindowedCounter;

/// How load reports arrive, and how late.
pub(crate) struct Reporting {
    /// From where.
    pub flow: ReportFlow,
    /// Seconds covered by the lines of reports.
    pub covered_seconds: WindowedCounter,
    /// Lines of reports.
    pub lines: WindowedCounter,
    /// How much more than a report period a line covers, where reports fall behind.
    pub lag: Span,
}

impl Default for Reporting {
    fn default() -> Self {
        Reporting {
            flow: ReportFlow::default(),
            covered_seconds: recent_counter(),
            lines: recent_counter(),
            lag: Span::default(),
        }
    }
}
