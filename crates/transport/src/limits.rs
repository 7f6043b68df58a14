//! Time-outs and sizes of the network. They bound what other parties may cost; no decision rests on them.

use std::time::Duration;
use whinwall_policy::time::Span;

/// The time between two attempts to connect. All parties are on the same network, a few milliseconds away: an
/// attempt that takes longer may be lost. It may also be slow, so those before go on.
pub const CONNECT_RETRY_INTERVAL: Duration = Duration::from_millis(300);
/// How many attempts to connect, or requests for the endpoint list, go on beside each other: the first has more than
/// two seconds then.
pub const MAX_CONNECT_ATTEMPTS: usize = 8;
/// The relay responds to a request within 50 ms or never; the rest is for a busy machine.
pub const RELAY_RESPONSE_TIMEOUT: Duration = Duration::from_millis(150);
/// The request for the relay watch is answered like any other, but with the whole snapshot behind the answer.
pub const RELAY_WATCH_RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);
/// The relay sends a heartbeat each second: two missed ones and some delay are silence.
pub const RELAY_WATCH_IDLE_TIMEOUT: Duration = Duration::from_millis(2500);
/// The discovery agent sends a heartbeat every two seconds, from our own machine and at no cost, and what it has not
/// delivered after six seconds counts as delivered: one missed heartbeat and some delay are silence.
pub const REGISTRY_WATCH_IDLE_TIMEOUT: Duration = Duration::from_millis(3000);
/// The time between two requests for the registry watch: the agent answers at once, or is silent.
pub const REGISTRY_REQUEST_INTERVAL: Duration = Duration::from_millis(500);
/// The longest time from SIGTERM until connections are closed; SIGKILL comes 700 ms after SIGTERM. It is enough for the
/// response to a relay request.
pub const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(300);
/// Once there was nothing more to do for so long, connections are closed.
pub const SHUTDOWN_QUIET_PERIOD: Duration = Duration::from_millis(50);
/// How long connections that close may take to answer what was read.
pub const CLOSE_TIMEOUT: Duration = Duration::from_millis(150);
/// How long the rest of a line that was read in part may take then: it is on its way already, or does not come.
pub const LAST_LINE_PERIOD: Duration = Duration::from_millis(20);
/// The part of that time that is kept for the answer.
pub const CLOSE_REASON_MARGIN: Duration = Duration::from_millis(50);
/// How long a connection that closes waits for input that has arrived and was not read yet.
pub const LAST_INPUT_PERIOD: Duration = Duration::from_millis(5);
/// For so long after its signal, a configuration that is not valid is read again: it may be half written.
pub const CONFIG_REREAD_PERIOD: Duration = Duration::from_secs(5);
/// A registry watch that reports no change for so long is opened anew, beside itself: it may have missed a change
/// while its heartbeats went on. What discovery has to report counts as reported after six seconds.
pub const REGISTRY_RENEWAL_INTERVAL: Duration = Duration::from_secs(4);
/// For so long, a list below the known version comes from an agent that lags behind; then its versions began anew.
pub const REGISTRY_LAG_TIMEOUT: Duration = Duration::from_secs(6);
/// How much is read and discarded from a peer that gets a close reason, so that closing does not destroy the reason
/// on its way.
pub const MAX_DISCARDED_BYTES: usize = 256 << 10;
/// The time before the next attempt to reach the relay or discovery. A refused connection costs next to nothing.
pub const RETRY_BACKOFF: Duration = Duration::from_millis(100);
/// A peer authenticates in this time or is disconnected: a second is what it may take, and three are what an
/// unauthenticated peer may be kept waiting.
pub const AUTHENTICATION_TIMEOUT: Duration = Duration::from_millis(1500);
/// A peer keeps its place for so long after it has come, or after a line, where descriptors are short: its first line takes
/// a few milliseconds.
pub const FIRST_LINE_PERIOD: Duration = Duration::from_millis(100);
/// A peer reads a reply in this time, or is disconnected.
pub const REPLY_TIMEOUT: Duration = Duration::from_millis(1000);
/// A collector reports each second; one that lost its connection opens a new one and never closes the old one.
pub const PEER_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// The largest line at the program's own address, or from the relay.
pub const MAX_LINE_BYTES: usize = 1 << 20;
/// The largest line of an unauthenticated peer: only its zone or a ping is of use.
pub const MAX_UNAUTHENTICATED_LINE_BYTES: usize = 4 << 10;
/// An empty buffer that grew beyond this for one long line is released.
pub const MAX_IDLE_BUFFER_BYTES: usize = 64 << 10;
/// The largest line of the registry watch: a complete endpoint list.
pub const MAX_REGISTRY_LINE_BYTES: usize = 8 << 20;
/// The size of a read from an authenticated peer: some hundreds of lines, a fraction of a millisecond's work.
pub const CHUNK_BYTES: usize = 64 << 10;
/// The number of chunks that wait for a chunk reader, of all connections.
pub const MAX_QUEUED_CHUNKS: usize = 256;
/// The number of replies, of a few bytes each, that one peer may leave unread.
pub const MAX_QUEUED_REPLIES: usize = 64;
/// The number of inputs that wait for the event loop; readers stop there, and TCP holds peers back.
pub const MAX_QUEUED_INPUTS: usize = 1024;
/// Incomplete lines may take this part of the program's memory all together, and queued lines as much again.
pub const LINE_MEMORY_DIVISOR: usize = 8;
/// The number of descriptors kept for all but connections to the program's own address.
pub const RESERVED_DESCRIPTORS: usize = 64;

/// A duration in the policy's type for time.
pub fn to_span(duration: Duration) -> Span {
    Span::ns(duration.as_nanos() as u64)
}
