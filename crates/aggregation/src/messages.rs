//! What the reducer is told and what it asks for.

use crate::configuration::Configuration;
use crate::membership::Heartbeat;
use std::fmt;
use std::net::SocketAddr;
use whinwall_protocol::collector::Report;
use whinwall_protocol::discovery::List;

/// One connection to the aggregator's address.
pub type ConnectionId = u64;

/// What happens around an aggregator.
#[derive(Clone, Debug)]
pub enum Event<'a> {
    /// The configuration is new, or was changed.
    Configured(Configuration),
    /// A collector has said which zone it speaks for.
    CollectorJoined {
        /// Its connection.
        connection: ConnectionId,
        /// The name of its zone.
        zone: &'a str,
    },
    /// A collector's line, decoded.
    ReportBody {
        /// The connection that it came on.
        connection: ConnectionId,
        /// The line.
        report: Report<'a>,
    },
    /// A connection ended, or says nothing usable any more.
    ConnectionEnded(ConnectionId),
    /// Discovery's watch brought a list, whole or of changes.
    RegistryListed(List),
    /// Discovery's watch gave a sign of life.
    RegistryAlive,
    /// Discovery's watch ended.
    RegistryLost,
    /// Another aggregator is alive.
    HeartbeatReceived(Heartbeat),
    /// The connection to a controller is there.
    ControllerConnected(&'a str),
    /// A controller gave a sign of life.
    ControllerAnswered(&'a str),
    /// A dial failed, or the connection ended.
    ControllerLost(&'a str),
    /// Some time passed; expected each [`crate::limits::TICK`].
    Tick,
}

/// What is to be done, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Dial a controller. The answer is `ControllerConnected` or `ControllerLost`.
    Connect {
        /// The controller's name.
        controller: String,
        /// Where it listens.
        address: SocketAddr,
    },
    /// End the connection, or the dial; no event follows.
    Disconnect {
        /// The controller's name.
        controller: String,
    },
    /// Write lines to a controller.
    Send {
        /// The controller's name.
        controller: String,
        /// Whole lines, each with its end.
        lines: String,
    },
    /// Tell all peers.
    SendHeartbeat(Heartbeat),
    /// Let a collector go: it can't be taken.
    RefuseCollector(ConnectionId),
    /// Ask discovery for a watch from this version on; a former one is given up.
    FollowRegistry {
        /// The version that is held.
        since: u64,
    },
    /// For the log.
    Log(Note),
}

/// What operators should read.
#[derive(Clone, Debug, PartialEq)]
pub enum Note {
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

impl Note {
    /// Whether something is wrong, or on its way to be.
    pub fn is_warning(&self) -> bool {
        match self {
            Note::PeerAlive { alive, .. } => !alive,
            Note::ControllerReachable { reachable, .. } => !reachable,
            Note::RegistryStale(stale) => *stale,
            Note::Serving { .. } | Note::ZoneBack(_) => false,
            _ => true,
        }
    }
}

impl fmt::Display for Note {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Note::PeerAlive { peer, alive: true } => write!(f, "aggregator {peer} is alive"),
            Note::PeerAlive { peer, alive: false } => write!(f, "aggregator {peer} is not heard any more"),
            Note::Serving { controllers, aggregators } => {
                write!(f, "serves {controllers} governors, as one of {aggregators} aggregators")
            }
            Note::ZoneMissing(zone) => write!(f, "zone {zone} is missing: its collectors are not heard"),
            Note::ZoneBack(zone) => write!(f, "zone {zone} is heard again"),
            Note::ZoneForgotten(zone) => write!(f, "zone {zone} is not waited for any longer"),
            Note::Stalled(ms) => write!(f, "was not running for {ms} ms and starts anew"),
            Note::RegistryStale(true) => f.write_str("discovery is silent; the list may be old"),
            Note::RegistryStale(false) => f.write_str("discovery is heard"),
            Note::RegistryBehind { own, peer } => {
                write!(f, "the list has version {own}, a peer's has {peer}")
            }
            Note::ControllerReachable { controller, reachable: true } => {
                write!(f, "governor {controller} is reached")
            }
            Note::ControllerReachable { controller, reachable: false } => {
                write!(f, "governor {controller} is out of reach")
            }
            Note::BudgetTooSmall { controller } => {
                write!(f, "the byte budget of governor {controller} is too small for its subset")
            }
            Note::BoundReached(what) => write!(f, "more {what} than there is room for; the rest is left out"),
        }
    }
}
