//! Events for the log, with their texts.

use std::fmt;

/// An event that the log shows to operators.
#[derive(Clone, Debug, PartialEq)]
pub enum LogEvent {
    /// A peer is alive, or is so no more.
    PeerAlive {
        /// The peer's name.
        peer: String,
        /// Whether it is alive now.
        alive: bool,
    },
    /// The number of controllers that this aggregator serves has changed.
    Serving {
        /// Controllers served.
        controllers: usize,
        /// Aggregators that share the controllers.
        aggregators: usize,
    },
    /// A zone that was heard before is not heard any more.
    ZoneMissing(String),
    /// A zone is heard again.
    ZoneBack(String),
    /// A zone was missing for so long that it is no longer waited for.
    ZoneForgotten(String),
    /// The reducer was not called for this many milliseconds; it starts anew.
    Stalled(u64),
    /// Discovery's watch is silent, or speaks again.
    RegistryStale(bool),
    /// A peer has a later version of the list.
    RegistryBehind {
        /// The version held here.
        own: u64,
        /// The peer's.
        peer: u64,
    },
    /// A controller is out of reach, or within it again.
    ControllerReachable {
        /// Its name.
        controller: String,
        /// Whether it is reached now.
        reachable: bool,
    },
    /// A controller has keys that waited longer than the maximum window: its budget is too small for its subset.
    BudgetTooSmall {
        /// Its name.
        controller: String,
    },
    /// More replicas, classes or zones than there is room for.
    BoundReached(&'static str),
}

impl LogEvent {
    /// Whether something is wrong, or on its way to be.
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
                write!(f, "aggregator {peer} is not heard any more")
            }
            LogEvent::Serving { controllers, aggregators } => {
                write!(f, "serves {controllers} controllers, as one of {aggregators} aggregators")
            }
            LogEvent::ZoneMissing(zone) => write!(f, "zone {zone} is missing: its collectors are not heard"),
            LogEvent::ZoneBack(zone) => write!(f, "zone {zone} is heard again"),
            LogEvent::ZoneForgotten(zone) => write!(f, "zone {zone} is not waited for any longer"),
            LogEvent::Stalled(ms) => write!(f, "was not running for {ms} ms and starts anew"),
            LogEvent::RegistryStale(true) => f.write_str("discovery is silent; the list may be old"),
            LogEvent::RegistryStale(false) => f.write_str("discovery is heard"),
            LogEvent::RegistryBehind { own, peer } => {
                write!(f, "the list has version {own}, a peer's has {peer}")
            }
            LogEvent::ControllerReachable { controller, reachable: true } => {
                write!(f, "controller {controller} is reached")
            }
            LogEvent::ControllerReachable { controller, reachable: false } => {
                write!(f, "controller {controller} is out of reach")
            }
            LogEvent::BudgetTooSmall { controller } => {
                write!(f, "the byte budget of controller {controller} is too small for its subset")
            }
            LogEvent::BoundReached(what) => {
                write!(f, "more {what} than there is room for; the rest is left out")
            }
        }
    }
}
