//! When recurring work is due, and which of it is still to be done.

use crate::api::ReportFlow;
use crate::time::{Moment, Span};

/// The period of a tick, in which whatever needs a look at the whole fleet is done once.
pub(crate) const TICK_PERIOD: Span = Span::ms(250);
/// The period of a rebalancing round (docs/design.md: reports come each second).
pub(crate) const ROUND_PERIOD: Span = Span::ms(1000);

/// When recurring work is next due.
#[derive(Default)]
pub(crate) struct Deadlines {
    /// The next request for the replica list; none while it is pushed or followed.
    pub list_request: Option<Moment>,
    /// The end of former incarnations' withdrawals.
    pub reinstatement: Option<Moment>,
    /// The next tick.
    pub tick: Moment,
    /// The next rebalancing round.
    pub round: Moment,
    /// The timer that was asked for, while it has not fired.
    pub timer: Option<Moment>,
}

impl Deadlines {
    /// Deadlines at the start: rounds begin once two of them have passed.
    pub(crate) fn new(now: Moment, list_request: Option<Moment>) -> Self {
        Deadlines { list_request, round: now + ROUND_PERIOD + ROUND_PERIOD, ..Deadlines::default() }
    }
}

/// Which rules have still to look at the whole fleet: a rule that is not named here costs nothing.
#[derive(Default)]
pub(crate) struct PendingWork {
    pub load_estimates: bool,
    pub outliers: bool,
    pub evacuation: bool,
    pub replication: bool,
    pub consolidation: bool,
    pub standbys: bool,
    pub overrides: bool,
    /// Set once a round.
    pub load_shedding: bool,
    /// Set once a round.
    pub rebalancing: bool,
}

impl PendingWork {
    /// Has everything done that is done once a tick. Rules that rest on changes of the reports pause while none come.
    pub(crate) fn start_tick(&mut self, flow: ReportFlow) {
        let reports_come = flow != ReportFlow::Interrupted;
        self.load_estimates = true;
        self.outliers = reports_come;
        self.evacuation = true;
        self.replication = reports_come;
        self.consolidation = reports_come;
        self.standbys = true;
        self.overrides = true;
    }
}
