//! Inputs and outputs of the reducer, as typed messages.

use crate::configuration::Configuration;
use crate::coverage::ConnectionId;
use crate::heartbeat::Heartbeat;
use crate::log_event::LogEvent;
use std::net::SocketAddr;
use whinwall_protocol::collector::Report;
use whinwall_protocol::discovery::List;

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
    ReportReceived {
        /// The connection that it came on.
        connection: ConnectionId,
        /// The line.
        report: Report<'a>,
    },
    /// A connection ended, or says nothing usable any more.
    ConnectionEnded(ConnectionId),
    /// Discovery's watch brought a list, whole or of changes.
    RegistryListed(List),
    /// Discovery's watch gave a heartbeat.
    RegistryAlive,
    /// Discovery's watch ended.
    RegistryLost,
    /// Another aggregator is alive.
    HeartbeatReceived(Heartbeat),
    /// The connection to a controller is there.
    ControllerConnected(&'a str),
    /// A controller gave a heartbeat.
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
    Log(LogEvent),
}
