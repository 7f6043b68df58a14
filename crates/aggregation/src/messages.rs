//! Events and effects of the reducer.

use crate::configuration::Configuration;
use crate::coverage::ConnectionId;
use crate::heartbeat::Heartbeat;
use crate::log_event::LogEvent;
use std::net::SocketAddr;
use whinwall_protocol::collector::Report;
use whinwall_protocol::discovery::List;

/// An input of the reducer.
#[derive(Clone, Debug)]
pub enum Event<'a> {
    /// The configuration was loaded or changed.
    Configured(Configuration),
    /// A collector named its zone.
    CollectorJoined {
        /// Connection of the collector.
        connection: ConnectionId,
        /// Name of the zone.
        zone: &'a str,
    },
    /// A collector sent a report.
    ReportReceived {
        /// Connection of the collector.
        connection: ConnectionId,
        /// The decoded report.
        report: Report<'a>,
    },
    /// A connection to the listener ended.
    ConnectionEnded(ConnectionId),
    /// The watch of discovery sent a complete list or a list of changes.
    RegistryListed(List),
    /// The watch of discovery sent a heartbeat.
    RegistryAlive,
    /// The watch of discovery ended.
    RegistryLost,
    /// Another aggregator sent a heartbeat.
    HeartbeatReceived(Heartbeat),
    /// The connection to a controller was established.
    ControllerConnected(&'a str),
    /// A controller answered a ping.
    ControllerAnswered(&'a str),
    /// An attempt to connect to a controller failed, or its connection ended.
    ControllerLost(&'a str),
    /// Time has passed. Expected every [`crate::limits::TICK_PERIOD`].
    Tick,
}

/// An output of the reducer. Effects are executed in the order in which they are returned.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Connect to a controller. Answered by `ControllerConnected` or `ControllerLost`.
    Connect {
        /// Name of the controller.
        controller: String,
        /// Address of the controller.
        address: SocketAddr,
    },
    /// Close the connection to a controller, or abort the attempt to connect. No event follows.
    Disconnect {
        /// Name of the controller.
        controller: String,
    },
    /// Write lines to a controller.
    Send {
        /// Name of the controller.
        controller: String,
        /// Complete lines, each terminated by a newline.
        lines: String,
    },
    /// Send a heartbeat to all peers.
    SendHeartbeat(Heartbeat),
    /// Close the connection of a collector that cannot be accepted.
    RefuseCollector(ConnectionId),
    /// Request a watch of discovery from this version on. It replaces the previous watch.
    FollowRegistry {
        /// Version of the current list.
        since: u64,
    },
    /// Write a log event.
    Log(LogEvent),
}
