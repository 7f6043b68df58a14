//! Line-oriented connections: the listener of the program's own address, relay requests, and the watches of relay and
//! registry. Lines are not interpreted here. They go into the input queue of the program, except for chunks of lines,
//! which go to the chunk readers.

#![warn(clippy::unwrap_used)]

mod bounds;
mod closing;
pub mod connection;
mod error;
pub mod framing;
pub mod limits;
pub mod listener;
pub mod registry_watch;
pub mod relay_requests;
pub mod relay_watch;

pub use bounds::Bounds;
pub use closing::ConnectionShutdown;
pub use error::{Cause, HttpStatusError, RelayAddressChanged, RequestCancelled, RequestError, StreamError};

use actix_rt::net::TcpStream;
use futures_util::stream::FuturesUnordered;
use futures_util::{FutureExt, StreamExt};
use std::future::Future;
use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::time::Duration;
use tokio::sync::{mpsc, OwnedSemaphorePermit};
use tokio::time::{timeout_at, Instant};

/// Identifies a connection to the program's listening address.
pub type ConnectionId = u64;
/// Identifies an attempt to watch the relay or the registry.
pub type WatchId = u64;

/// The addresses of discovery and the relay, which a configuration reload may change.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Targets {
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// The address of the relay.
    pub relay: SocketAddr,
}

/// An input received on one of the connections.
#[derive(Debug)]
pub enum Input {
    /// A line received at the program's listening address.
    Line {
        /// The connection that the line was received on.
        from: ConnectionId,
        /// The line, without its terminator.
        line: String,
        /// The queue of commands for the connection.
        commands: mpsc::Sender<ConnectionCommand>,
        /// The memory reserved for the queued line; released when the input is dropped.
        _memory_permit: OwnedSemaphorePermit,
    },
    /// A connection to the program's listening address has closed. Holds the number of chunks received on it.
    Disconnected(ConnectionId, u64),
    /// A line of the relay watch, or the reason why the watch ended.
    WatchLine(WatchId, Result<String, StreamError>),
    /// A line of the registry watch, or the reason why the watch ended.
    RegistryLine(WatchId, Result<String, StreamError>),
    /// The relay's response to a request, or the reason why there is none.
    RelayResponse(Result<String, RequestError>),
    /// The relay sent a line without a request, so the previous response may have belonged to another request.
    UnsolicitedResponse,
}

/// The origin and size of a chunk.
#[derive(Clone, Copy, Debug)]
pub struct ChunkInfo {
    /// The connection that the chunk was received on.
    pub from: ConnectionId,
    /// The sequence number of the chunk on its connection, starting at 0.
    pub number: u64,
    /// The time at which the last byte was read.
    pub received_at: std::time::Instant,
    /// The size in bytes.
    pub bytes: usize,
}

/// The complete lines that were available on one connection.
#[derive(Debug)]
pub struct Chunk {
    /// The origin and size of the chunk.
    pub info: ChunkInfo,
    /// The lines, each with its terminator.
    pub lines: bytes::Bytes,
    /// The queue of commands for the connection.
    pub commands: mpsc::Sender<ConnectionCommand>,
    /// The memory reserved for the queued lines.
    pub memory_permit: OwnedSemaphorePermit,
}

/// A command for a connection to the program's listening address.
#[derive(Debug)]
pub enum ConnectionCommand {
    /// Send a line.
    Send(String),
    /// Send the line with the close reason, if there is one, and close the connection.
    Close(Option<String>),
    /// Mark the peer as authenticated and keep the connection open.
    MarkAuthenticated,
}

/// Sends to the input queue of the program.
pub type InputSender = mpsc::Sender<Input>;

/// Converts a panic of `work` to an error, so that it only affects the connection on which it happened.
async fn catch_panic<T>(work: impl Future<Output = T>) -> Result<T, StreamError> {
    AssertUnwindSafe(work).catch_unwind().await.map_err(|_| StreamError::Panicked)
}

async fn with_timeout<T>(timeout: Duration, work: impl Future<Output = T>) -> Result<T, StreamError> {
    actix_rt::time::timeout(timeout, work).await.map_err(|_| StreamError::TimedOut)
}

/// Makes several concurrent attempts and returns the first successful result. Another attempt starts after each interval
/// while the earlier ones continue, so that a lost attempt is replaced quickly and a slow one can still succeed.
///
/// # Errors
///
/// Fails with the last error if all attempts started so far have failed, and with `TimedOut` after the last interval.
pub async fn first_success<T>(
    interval: Duration,
    max_attempts: usize,
    attempt: impl AsyncFn() -> Result<T, StreamError>,
) -> Result<T, StreamError> {
    let mut attempts = FuturesUnordered::new();
    for _ in 0..max_attempts {
        attempts.push(attempt());
        let next_attempt_at = Instant::now() + interval;
        while let Ok(result) = timeout_at(next_attempt_at, attempts.next()).await {
            match result {
                Some(Err(error)) if attempts.is_empty() => return Err(error),
                Some(Err(_)) => {}
                Some(success) => return success,
                None => break,
            }
        }
    }
    Err(StreamError::TimedOut)
}

/// Connects to an address with several concurrent attempts, within a bounded time.
///
/// # Errors
///
/// Fails if no attempt succeeds.
pub async fn connect(address: SocketAddr) -> Result<TcpStream, StreamError> {
    let unreachable = |error: std::io::Error| StreamError::Unreachable(Cause::new(error));
    let connect_once = async || TcpStream::connect(address).await.map_err(unreachable);
    let stream =
        first_success(limits::CONNECT_RETRY_INTERVAL, limits::MAX_CONNECT_ATTEMPTS, connect_once).await?;
    // A request is a single small write, which must not wait for more data to fill a packet.
    stream.set_nodelay(true).map_err(unreachable)?;
    Ok(stream)
}
