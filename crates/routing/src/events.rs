//! Inputs and outputs of the reducer, as typed messages.

use super::log_event::LogEvent;
use super::overrides::OverrideConfig;
use super::subset::Fleet;
use std::net::SocketAddr;
use whinwall_management_api::messages::{Reply, Request};
use whinwall_overrides::{ClockReading, RequestId, SaveError, Timeline};
use whinwall_policy::api::{OverrideNumber, Report};
use whinwall_policy::time::Moment;
use whinwall_protocol::collector::Message;
use whinwall_protocol::discovery::List;
use whinwall_protocol::relay::{RelayEvent, Response};
use whinwall_protocol::InvalidMessage;
use whinwall_transport::{ConnectionId, RequestError, StreamError, Targets};

/// The reducer's input.
#[derive(Debug)]
pub enum Event {
    /// The program is ready to carry out effects.
    Started,
    /// The configuration file was read anew; these are the addresses it names.
    TargetsConfigured(Targets),
    /// The operators' file names the fleet in which each controller steers a subset of the replicas, or none.
    SubsettingConfigured(Option<Fleet>),
    /// A message arrived at the controller's own address.
    Message {
        /// Its connection.
        from: ConnectionId,
        /// What it says.
        message: Message,
    },
    /// Reports of one connection, decoded by a reader thread.
    Reports {
        /// Their connection.
        from: ConnectionId,
        /// The reports, in order.
        reports: Vec<Report>,
    },
    /// The number of bytes that arrived from collectors.
    ReportBytes(u64),
    /// A line at the controller's own address is not a valid message.
    Invalid {
        /// Its connection.
        from: ConnectionId,
        /// What is wrong with it.
        error: InvalidMessage,
    },
    /// A connection to the controller's own address has ended.
    Disconnected(ConnectionId),
    /// An event of the relay watch.
    Relay(RelayEvent),
    /// The relay watch has failed.
    RelayWatchLost(StreamError),
    /// The outcome of the relay request that was in flight.
    RelayResponse(Result<Response, RequestError>),
    /// The relay sent a reply without a request: an earlier reply may have belonged to another request.
    UnsolicitedResponse,
    /// A registry snapshot, or changes since the last one.
    EndpointListReceived(List),
    /// The registry watch has failed.
    EndpointListWatchLost(StreamError),
    /// The operators' file as read at the start or anew, and the clocks at that moment.
    OperatorConfigChanged(OverrideConfig, ClockReading),
    /// A request at the management API.
    ManagementRequest {
        /// Identifies the reply.
        request_id: RequestId,
        /// What is asked for.
        request: Request,
    },
    /// The override store was read.
    StoreRead {
        /// The stored overrides.
        records: Vec<(OverrideNumber, Vec<u8>)>,
        /// The clock stamp that was stored with them.
        stamp: Option<Vec<u8>>,
        /// The clocks at that moment.
        reading: ClockReading,
    },
    /// The override store cannot be read.
    StoreUnavailable(String),
    /// A write to the override store has ended.
    SaveCompleted {
        /// The serial number of the write.
        serial: u64,
        /// Whether it succeeded.
        outcome: Result<(), SaveError>,
    },
    /// The wall clock was stepped to this time.
    WallClockStepped(Moment),
    /// All input that had arrived was fed; time has advanced.
    InputDrained,
}

/// The reducer's output: what the program is to do.
#[derive(Debug, PartialEq)]
pub enum Effect {
    /// Answer a ping.
    Pong {
        /// The connection to answer on.
        to: ConnectionId,
    },
    /// Admit a peer that has named its zone; its connection stays open.
    Admit {
        /// Its connection.
        to: ConnectionId,
    },
    /// Close a connection. The reason is sent to an unauthenticated peer; nothing is ever written to a collector.
    Disconnect {
        /// The connection to close.
        to: ConnectionId,
        /// The reason, where it is sent.
        why: Option<&'static str>,
    },
    /// Send a request to the relay.
    RelayRequest {
        /// The relay's address.
        relay: SocketAddr,
        /// The encoded request.
        line: String,
        /// On a new connection, as the last attempt failed.
        needs_new_connection: bool,
    },
    /// Open the relay watch.
    WatchRelay {
        /// The relay's address.
        relay: SocketAddr,
    },
    /// Open the registry watch in place of a former one.
    WatchRegistry {
        /// Discovery's address.
        discovery: SocketAddr,
        /// The version that is known.
        since: u64,
    },
    /// Open a registry watch beside the current one, which goes on until the new one speaks.
    RenewRegistryWatch {
        /// Discovery's address.
        discovery: SocketAddr,
        /// The version that is known.
        since: u64,
    },
    /// Write to the override store, atomically, with a stamp of this timeline.
    Save {
        /// Identifies the outcome.
        serial: u64,
        /// Overrides to write.
        writes: Vec<(OverrideNumber, Vec<u8>)>,
        /// Overrides to remove.
        removals: Vec<OverrideNumber>,
        /// The timeline to stamp it with.
        timeline: Timeline,
    },
    /// Reply to a management request.
    Reply {
        /// The request's request_id.
        request_id: RequestId,
        /// The reply.
        reply: Reply,
    },
    /// Feed `Event::InputDrained` at this time, if not earlier.
    WakeAt(Moment),
    /// Write an event to the log.
    Log(LogEvent),
}
