//! Time limits and size limits of network connections. They limit the resources that peers can consume; policy decisions
//! do not depend on them.

use std::time::Duration;
use whinwall_policy::time::Span;

/// The time between two attempts to connect. All peers are on the same network, a few milliseconds away, so an attempt
/// that takes longer is probably lost. As it may also be just slow, earlier attempts continue.
pub const CONNECT_RETRY_INTERVAL: Duration = Duration::from_millis(300);
/// The maximum number of concurrent attempts to connect or to request the endpoint list. With this number, the first
/// attempt has more than two seconds.
pub const MAX_CONNECT_ATTEMPTS: usize = 8;
/// The time limit for sending a relay request, and for its response. The relay responds within 50 ms or not at all;
/// the rest is a margin for a busy machine.
pub const RELAY_RESPONSE_TIMEOUT: Duration = Duration::from_millis(150);
/// The time limit for the first line of the relay watch. The relay responds as to any request, but sends the complete
/// snapshot with the response.
pub const RELAY_WATCH_RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);
/// The relay watch is considered lost if no line arrives within this time. The relay sends a heartbeat every second;
/// the watch is lost after two missed heartbeats and some delay.
pub const RELAY_WATCH_IDLE_TIMEOUT: Duration = Duration::from_millis(2500);
/// The registry watch is considered lost if nothing arrives within this time, which is one missed heartbeat and some
/// delay. The discovery agent runs on the same machine and sends a heartbeat every two seconds, which costs nothing.
/// The time is short because discovery considers a change delivered after six seconds, even if it was not.
pub const REGISTRY_WATCH_IDLE_TIMEOUT: Duration = Duration::from_millis(3000);
/// The time between two requests for the registry watch. The agent responds immediately or not at all.
pub const REGISTRY_REQUEST_INTERVAL: Duration = Duration::from_millis(500);
/// The maximum time from SIGTERM until connections are closed. SIGKILL follows 700 ms after SIGTERM. The time is
/// sufficient for the response to a relay request.
pub const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(300);
/// During the shutdown, connections are closed as soon as there was no more work for this time.
pub const SHUTDOWN_QUIET_PERIOD: Duration = Duration::from_millis(50);
/// The time limit for a closing connection to answer the lines that were read.
pub const CLOSE_TIMEOUT: Duration = Duration::from_millis(150);
/// The time that a closing connection waits for the rest of an incomplete line, which is either already in transit or
/// does not arrive.
pub const PARTIAL_LINE_TIMEOUT: Duration = Duration::from_millis(20);
/// The part of the closing time that is reserved for sending the close reason.
pub const CLOSE_REASON_MARGIN: Duration = Duration::from_millis(50);
/// The time that a closing connection waits for input that has arrived, but was not read yet.
pub const CLOSE_READ_TIMEOUT: Duration = Duration::from_millis(5);
/// The time after a reload signal during which an invalid configuration is read again, since it may be partially
/// written.
pub const CONFIG_REREAD_PERIOD: Duration = Duration::from_secs(5);
/// A second registry watch replaces one that has reported no change for this time, because it may have missed a change
/// although its heartbeats continue. Discovery considers a change reported after six seconds.
pub const REGISTRY_RENEWAL_INTERVAL: Duration = Duration::from_secs(4);
/// Within this time, lists with a version below the known one are attributed to a lagging agent. After it, the
/// registry is assumed to have restarted its versions.
pub const REGISTRY_LAG_TIMEOUT: Duration = Duration::from_secs(6);
/// The limit on the input that is read and discarded after a close reason is sent. Closing a socket with unread input
/// resets the connection, and the peer may lose the reason.
pub const MAX_DISCARDED_BYTES: usize = 256 << 10;
/// The backoff before the next attempt to reach the relay or discovery. It is short because a refused connection costs
/// almost nothing.
pub const RETRY_BACKOFF: Duration = Duration::from_millis(100);
/// A peer that does not authenticate within this time is disconnected. Authentication may take up to one second, and
/// an unauthenticated peer may be kept waiting for at most three seconds.
pub const AUTHENTICATION_TIMEOUT: Duration = Duration::from_millis(1500);
/// An unauthenticated peer is not evicted to release file descriptors until this time has passed since it connected or
/// last sent a line. The first line of a peer arrives within a few milliseconds.
pub const EVICTION_GRACE_PERIOD: Duration = Duration::from_millis(100);
/// A peer that does not read a reply within this time is disconnected.
pub const REPLY_TIMEOUT: Duration = Duration::from_millis(1000);
/// An authenticated peer that sends nothing for this time is disconnected. A collector reports every second; a
/// collector that has lost its connection opens a new one without closing the old one.
pub const PEER_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// The maximum size of a line at the program's listening address, or from the relay.
pub const MAX_LINE_BYTES: usize = 1 << 20;
/// The maximum size of a line from an unauthenticated peer, whose only useful lines are a ping and its zone.
pub const MAX_UNAUTHENTICATED_LINE_BYTES: usize = 4 << 10;
/// The maximum capacity of an empty buffer that is kept. A larger buffer, grown for a long line, is released.
pub const MAX_IDLE_BUFFER_BYTES: usize = 64 << 10;
/// The maximum size of a line of the registry watch, which may hold a complete endpoint list.
pub const MAX_REGISTRY_LINE_BYTES: usize = 8 << 20;
/// The size of a read from an authenticated peer: several hundred lines, decoded in a fraction of a millisecond.
pub const CHUNK_BYTES: usize = 64 << 10;
/// The maximum number of chunks of all connections that wait for a chunk reader.
pub const MAX_QUEUED_CHUNKS: usize = 256;
/// The maximum number of unread replies, of a few bytes each, per peer.
pub const MAX_QUEUED_REPLIES: usize = 64;
/// The maximum number of inputs that wait for the event loop. If it is reached, connections are not read, and TCP flow
/// control slows down the peers.
pub const MAX_QUEUED_INPUTS: usize = 1024;
/// Incomplete lines may use at most the program's memory divided by this number.
pub const LINE_MEMORY_DIVISOR: usize = 8;
/// The number of file descriptors reserved for everything except connections to the program's listening address.
pub const RESERVED_DESCRIPTORS: usize = 64;

/// Converts a duration to the policy's type.
pub fn to_span(duration: Duration) -> Span {
    Span::ns(duration.as_nanos() as u64)
}
