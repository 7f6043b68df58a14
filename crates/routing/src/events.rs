//! The typed inputs ([`Event`]) and outputs ([`Effect`]) of the reducer.

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

/// An input of the reducer.
#[derive(Debug)]
pub enum Event {
    /// The program is ready to execute effects.
    Started,
    /// The configuration file was reloaded; these are the addresses in it.
    TargetsConfigured(Targets),
    /// The operators' file was read. Holds the fleet if the file enables subsetting, that is, if each controller steers
    /// only a subset of the replicas.
    SubsettingConfigured(Option<Fleet>),
    /// A message arrived at the controller's own address.
    Message {
        /// The connection it arrived on.
        from: ConnectionId,
        /// The decoded message.
        message: Message,
    },
    /// Reports of one connection, decoded by a reader thread.
    Reports {
        /// The connection they arrived on.
        from: ConnectionId,
        /// The reports, in the order of arrival.
        reports: Vec<Report>,
    },
    /// This number of bytes arrived from collectors.
    ReportBytes(u64),
    /// A line at the controller's own address is not a valid message.
    InvalidMessage {
        /// The connection it arrived on.
        from: ConnectionId,
        /// The decoding error.
        error: InvalidMessage,
    },
    /// A connection to the controller's own address was closed.
    Disconnected(ConnectionId),
    /// An event of the relay watch.
    Relay(RelayEvent),
    /// The relay watch failed.
    RelayWatchLost(StreamError),
    /// The outcome of the relay request that was in flight.
    RelayResponse(Result<Response, RequestError>),
    /// The relay sent a response without a request, so an earlier response may have been matched to the wrong
    /// request.
    UnsolicitedResponse,
    /// A complete endpoint list, or the changes since the last one.
    EndpointListReceived(List),
    /// The registry watch failed.
    EndpointListWatchLost(StreamError),
    /// The override configuration of the operators' file, read at start-up or on a reload, with the clocks at that
    /// time.
    OperatorConfigChanged(OverrideConfig, ClockReading),
    /// A request to the management API.
    ManagementRequest {
        /// Identifies the request in its reply.
        request_id: RequestId,
        /// The request.
        request: Request,
    },
    /// The override store was read.
    StoreRead {
        /// The stored overrides.
        records: Vec<(OverrideNumber, Vec<u8>)>,
        /// The clock stamp stored with them.
        stamp: Option<Vec<u8>>,
        /// The clocks at the time of reading.
        reading: ClockReading,
    },
    /// The override store cannot be read; the text is the reason.
    StoreUnavailable(String),
    /// A write to the override store completed.
    SaveCompleted {
        /// The serial number of the write.
        serial: u64,
        /// `Ok` if it succeeded, else the reason for the failure.
        outcome: Result<(), SaveError>,
    },
    /// The wall clock was set to this time.
    WallClockStepped(Moment),
    /// All input that had arrived was applied, and time has advanced.
    InputDrained,
}

/// An output of the reducer: an action that the program executes.
#[derive(Debug, PartialEq)]
pub enum Effect {
    /// Reply to a ping.
    Pong {
        /// The connection to reply on.
        to: ConnectionId,
    },
    /// Admit an authenticated peer, which has named its zone; its connection stays open.
    Admit {
        /// The peer's connection.
        to: ConnectionId,
    },
    /// Close a connection. Only an unauthenticated peer is sent the reason; nothing is ever written to a collector.
    Disconnect {
        /// The connection to close.
        to: ConnectionId,
        /// The reason to send, if any.
        reason: Option<&'static str>,
    },
    /// Send a request to the relay.
    RelayRequest {
        /// The relay's address.
        relay: SocketAddr,
        /// The encoded request.
        line: String,
        /// True if the last attempt failed, so that the request needs a new connection.
        needs_new_connection: bool,
    },
    /// Cancel the relay request in flight if it has not been sent yet. It then fails as not sent.
    CancelUnsentRelayRequest,
    /// Open the relay watch.
    WatchRelay {
        /// The relay's address.
        relay: SocketAddr,
    },
    /// Open the registry watch, replacing the current one if there is one.
    WatchRegistry {
        /// The address of discovery.
        discovery: SocketAddr,
        /// The known version of the endpoint list.
        since: u64,
    },
    /// Open a second registry watch. The current one stays open until the new one delivers its first line.
    RenewRegistryWatch {
        /// The address of discovery.
        discovery: SocketAddr,
        /// The known version of the endpoint list.
        since: u64,
    },
    /// Write to the override store in one transaction, together with a clock stamp of this timeline.
    Save {
        /// The serial number that [`Event::SaveCompleted`] returns.
        serial: u64,
        /// The overrides to write.
        writes: Vec<(OverrideNumber, Vec<u8>)>,
        /// The overrides to remove.
        removals: Vec<OverrideNumber>,
        /// The timeline that the stamp is taken from.
        timeline: Timeline,
    },
    /// Reply to a management request.
    Reply {
        /// The id of the request.
        request_id: RequestId,
        /// The reply.
        reply: Reply,
    },
    /// Apply [`Event::InputDrained`] no later than at this time.
    WakeAt(Moment),
    /// Write an event to the log.
    Log(LogEvent),
}
