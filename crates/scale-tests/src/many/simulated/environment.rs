//! What the simulated controllers of a run share: its sizes, the endpoint list, the tracker and the clock.

use crate::many::catalog::Catalog;
use crate::many::plan::Plan;
use crate::many::tracker::{Site, Tracker};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use whinwall_policy::time::{Moment, Span};
use whinwall_transport::Targets;

/// The moment at which a run began.
#[derive(Clone, Copy, Debug)]
pub struct RunStart {
    /// On the monotonic clock.
    monotonic: Instant,
    /// On the wall clock.
    wall_clock: Moment,
}

impl RunStart {
    fn now() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        RunStart { monotonic: Instant::now(), wall_clock: Moment::at_ns(since_epoch.as_nanos() as u64) }
    }

    /// The time now: the wall clock of the start plus the monotonic time since then.
    pub fn current_time(&self) -> Moment {
        self.wall_clock + to_span(self.monotonic.elapsed())
    }
}

/// What the simulated controllers of a run share.
pub struct Environment {
    /// Sizes of the run.
    pub plan: Arc<Plan>,
    /// The endpoint list.
    pub catalog: Arc<Catalog>,
    /// Records which conditions the controllers have reached.
    pub tracker: Arc<Tracker>,
    /// When the run began, on both clocks.
    pub run_start: RunStart,
}

impl Environment {
    /// The environment of a run that begins now.
    pub fn new(plan: Arc<Plan>, catalog: Arc<Catalog>, tracker: Arc<Tracker>) -> Self {
        Environment { plan, catalog, tracker, run_start: RunStart::now() }
    }
}

/// Placeholder addresses of the relay and discovery of a site; nothing listens there.
pub(super) fn site_targets(site: Site) -> Targets {
    let port = |port| SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port);
    match site {
        Site::First => Targets { relay: port(1), discovery: port(2) },
        Site::Second => Targets { relay: port(3), discovery: port(4) },
    }
}

/// A duration of the standard library as a span of the policy.
pub(super) fn to_span(time: Duration) -> Span {
    Span::ns(time.as_nanos() as u64)
}
