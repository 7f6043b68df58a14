//! Log events and their texts.

use std::fmt;

/// An event that is logged for operators.
#[derive(Clone, Debug, PartialEq)]
pub enum LogEvent {
    /// A peer aggregator became alive or failed.
    PeerAlive {
        /// Name of the peer.
        peer: String,
        /// True if the peer is alive now.
        alive: bool,
    },
    /// The number of controllers that this aggregator serves has changed.
    Serving {
        /// Number of controllers served.
        controllers: usize,
        /// Number of aggregators that share the controllers.
        aggregators: usize,
    },
    /// The collectors of a known zone no longer report.
    ZoneMissing(String),
    /// The collectors of a missing zone report again.
    ZoneBack(String),
    /// A zone was missing for [`crate::limits::ZONE_RETENTION`] and is taken to be removed.
    ZoneExpired(String),
    /// The reducer was not called for this time in milliseconds and restarted.
    Stalled(u64),
    /// The watch of discovery became silent (true) or sends messages again (false).
    RegistryStale(bool),
    /// A peer has a later version of the endpoint list.
    RegistryBehind {
        /// Version of this aggregator's list.
        own: u64,
        /// Version of the peer's list.
        peer: u64,
    },
    /// A controller became reachable or unreachable.
    ControllerReachable {
        /// Name of the controller.
        controller: String,
        /// True if the controller is reachable now.
        reachable: bool,
    },
    /// Keys of a controller waited longer than the maximum window, so the budget is too small for its subset.
    BudgetTooSmall {
        /// Name of the controller.
        controller: String,
    },
    /// The limit of this kind of item (replicas or zones) was reached.
    LimitReached(&'static str),
}

impl LogEvent {
    /// Returns true if the event indicates a fault.
    pub fn is_warning(&self) -> bool {
        match self {
            LogEvent::PeerAlive { alive, .. } => !alive,
            LogEvent::ControllerReachable { reachable, .. } => !reachable,
            LogEvent::RegistryStale(stale) => *stale,
            LogEvent::Serving { .. } | LogEvent::ZoneBack(_) => false,
            _ => true,
        }
    }
}

impl fmt::Display for LogEvent {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            LogEvent::PeerAlive { peer, alive: true } => write!(f, "aggregator {peer} is alive"),
            LogEvent::PeerAlive { peer, alive: false } => {
                write!(f, "aggregator {peer} is not responding")
            }
            LogEvent::Serving { controllers, aggregators } => {
                write!(f, "serving {controllers} controllers, as one of {aggregators} aggregators")
            }
            LogEvent::ZoneMissing(zone) => write!(f, "zone {zone} is missing: its collectors are silent"),
            LogEvent::ZoneBack(zone) => write!(f, "zone {zone} is back: its collectors report again"),
            LogEvent::ZoneExpired(zone) => write!(f, "zone {zone} is no longer expected to report"),
            LogEvent::Stalled(ms) => write!(f, "was not running for {ms} ms, discarding partial sums"),
            LogEvent::RegistryStale(true) => f.write_str("discovery is silent, endpoint list may be stale"),
            LogEvent::RegistryStale(false) => f.write_str("discovery is responding again"),
            LogEvent::RegistryBehind { own, peer } => {
                write!(f, "endpoint list has version {own}, a peer has version {peer}")
            }
            LogEvent::ControllerReachable { controller, reachable: true } => {
                write!(f, "controller {controller} is reachable again")
            }
            LogEvent::ControllerReachable { controller, reachable: false } => {
                write!(f, "controller {controller} is unreachable")
            }
            LogEvent::BudgetTooSmall { controller } => {
                write!(f, "byte budget of controller {controller} is too small for its subset")
            }
            LogEvent::LimitReached(what) => {
                write!(f, "limit of {what} reached, further {what} are ignored")
            }
        }
    }
}
