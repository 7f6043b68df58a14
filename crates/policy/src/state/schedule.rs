//! Deadlines of recurring work, and the work that is still to be done.

use crate::api::ReportFlow;
use crate::time::{Moment, Span};

/// The period of a tick. Work that covers the whole fleet is done once per tick.
pub(crate) const TICK_PERIOD: Span = Span::ms(250);
/// The period of a rebalancing round. Reports arrive once a second (docs/design.md).
pub(crate) const ROUND_PERIOD: Span = Span::ms(1000);

/// Deadlines of recurring work.
#[derive(Default)]
pub(crate) struct Deadlines {
    /// The next request for the replica list; `None` while the list is pushed or subscribed to.
    pub list_request: Option<Moment>,
    /// The time at which withdrawals of earlier incarnations are ended.
    pub reinstatement: Option<Moment>,
    /// The next tick.
    pub tick: Moment,
    /// The next rebalancing round.
    pub round: Moment,
    /// The pending timer, if one has been requested.
    pub timer: Option<Moment>,
}

impl Deadlines {
    /// Deadlines at start-up. The first round opens after two round periods.
    pub(crate) fn new(now: Moment, list_request: Option<Moment>) -> Self {
        Deadlines { list_request, round: now + ROUND_PERIOD + ROUND_PERIOD, ..Deadlines::default() }
    }
}

/// The rules that process the whole fleet and still have to run. The other rules are cheap enough to run after
/// every event.
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
    /// Marks all work that is done once per tick. Rules that depend on changes in the reports pause while reports
    /// are interrupted.
    pub(crate) fn start_tick(&mut self, flow: ReportFlow) {
        let reports_arrive = flow != ReportFlow::Interrupted;
        self.load_estimates = true;
        self.outliers = reports_arrive;
        self.evacuation = true;
        self.replication = reports_arrive;
        self.consolidation = reports_arrive;
        self.standbys = true;
        self.overrides = true;
    }
}
