//! State shared by the simulated controllers of a run: its sizes, the endpoint list, the tracker and the clock.

use crate::many::catalog::Catalog;
use crate::many::plan::Plan;
use crate::many::tracker::{Site, Tracker};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use whinwall_policy::time::{Moment, Span};
use whinwall_transport::Targets;

/// The time at which a run began, on two clocks.
#[derive(Clone, Copy, Debug)]
pub struct RunStart {
    /// The time on the monotonic clock.
    monotonic: Instant,
    /// The time on the wall clock.
    wall_clock: Moment,
}

impl RunStart {
    fn now() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        RunStart { monotonic: Instant::now(), wall_clock: Moment::at_ns(since_epoch.as_nanos() as u64) }
    }

    /// Returns the current time: the wall clock time of the start plus the monotonic time since then.
    pub fn current_time(&self) -> Moment {
        self.wall_clock + to_span(self.monotonic.elapsed())
    }
}

/// State shared by the simulated controllers of a run.
pub struct Environment {
    /// The sizes of the run.
    pub plan: Arc<Plan>,
    /// The endpoint list.
    pub catalog: Arc<Catalog>,
    /// The tracker of the conditions that the controllers have reached.
    pub tracker: Arc<Tracker>,
    /// The time at which the run began, on both clocks.
    pub run_start: RunStart,
}

impl Environment {
    /// Creates the environment of a run that begins now.
    pub fn new(plan: Arc<Plan>, catalog: Arc<Catalog>, tracker: Arc<Tracker>) -> Self {
        Environment { plan, catalog, tracker, run_start: RunStart::now() }
    }
}

/// Returns placeholder addresses of the relay and discovery of a site. Nothing listens on them.
pub(super) fn site_targets(site: Site) -> Targets {
    let port = |port| SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port);
    match site {
        Site::First => Targets { relay: port(1), discovery: port(2) },
        Site::Second => Targets { relay: port(3), discovery: port(4) },
    }
}

/// Converts a duration of the standard library to one of the policy.
pub(super) fn to_span(duration: Duration) -> Span {
    Span::ns(duration.as_nanos() as u64)
}
