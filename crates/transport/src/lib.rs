//! Line-oriented connections: the listener of the program's own address, relay requests, and the watches of relay
//! and registry. Nothing here knows what a line means; all that is read goes into one input queue.

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
pub use error::{RequestError, StreamError};

use actix_rt::net::TcpStream;
use futures_util::stream::FuturesUnordered;
use futures_util::{FutureExt, StreamExt};
use std::future::Future;
use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::time::Duration;
use tokio::sync::{mpsc, OwnedSemaphorePermit};
use tokio::time::{timeout_at, Instant};

/// Identifies a connection to the program's own address.
pub type ConnectionId = u64;
/// Identifies an attempt to watch the relay or the registry.
pub type WatchId = u64;

/// The addresses of the other parties; a new configuration may name new ones.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Targets {
    /// Discovery's address.
    pub discovery: SocketAddr,
    /// The relay's address.
    pub relay: SocketAddr,
}

/// What arrived on one of the connections.
#[derive(Debug)]
pub enum Input {
    /// A line at the program's own address.
    Line {
        /// Its connection.
        from: ConnectionId,
        /// The line, without its end.
        line: String,
        /// Commands for its connection.
        commands: mpsc::Sender<ConnectionCommand>,
        /// Its part of the memory for queued lines, which is released with it.
        _memory_permit: OwnedSemaphorePermit,
    },
    /// A connection to the program's own address has ended, after so many chunks.
    Disconnected(ConnectionId, u64),
    /// A line of the relay watch, or why it ended.
    WatchLine(WatchId, Result<String, StreamError>),
    /// A line of the registry watch, or why it ended.
    RegistryLine(WatchId, Result<String, StreamError>),
    /// The relay's response to a request, or why there is none.
    RelayResponse(Result<String, RequestError>),
    /// The relay sent a line without a request: the response before it may have belonged to another request.
    UnsolicitedResponse,
}

/// Where a chunk comes from.
#[derive(Clone, Copy, Debug)]
pub struct ChunkInfo {
    /// Its connection.
    pub from: ConnectionId,
    /// Its number among the chunks of its connection, from 0.
    pub number: u64,
    /// When its last byte was read.
    pub received_at: std::time::Instant,
    /// Its size.
    pub bytes: usize,
}

/// Complete lines of one connection, as many as had arrived.
#[derive(Debug)]
pub struct Chunk {
    /// Where it comes from.
    pub info: ChunkInfo,
    /// The lines, each with its end.
    pub lines: bytes::Bytes,
    /// Commands for its connection.
    pub commands: mpsc::Sender<ConnectionCommand>,
    /// Its part of the memory for queued lines.
    pub memory_permit: OwnedSemaphorePermit,
}

/// What is to be done at a connection to the program's own address.
#[derive(Debug)]
pub enum ConnectionCommand {
    /// Send a line.
    Send(String),
    /// Send a line that states the reason, where there is one, and close.
    Close(Option<String>),
    /// The peer is authenticated, and its connection stays open.
    MarkAuthenticated,
}

/// Takes all that arrives.
pub type InputSender = mpsc::Sender<Input>;

/// Keeps a panic to the connection on which it happened.
async fn contained<T>(work: impl Future<Output = T>) -> Result<T, StreamError> {
    AssertUnwindSafe(work).catch_unwind().await.map_err(|_| StreamError::Panicked)
}

async fn within<T>(timeout: Duration, work: impl Future<Output = T>) -> Result<T, StreamError> {
    actix_rt::time::timeout(timeout, work).await.map_err(|_| StreamError::TimedOut)
}

/// The result of the first of several attempts that succeeds. Another attempt starts at each interval while those
/// before go on: what was lost on its way is made up for at once, and what is slow is not restarted for ever.
///
/// # Errors
///
/// Fails with the last error where all attempts so far failed, and with `TimedOut` after the last interval.
pub async fn first_success<T>(
    interval: Duration,
    max_attempts: usize,
    attempt: impl AsyncFn() -> Result<T, StreamError>,
) -> Result<T, StreamError> {
    let mut attempts = FuturesUnordered::new();
    for _ in 0..max_attempts {
        attempts.push(attempt());
        let next = Instant::now() + interval;
        while let Ok(done) = timeout_at(next, attempts.next()).await {
            match done {
                Some(Err(error)) if attempts.is_empty() => return Err(error),
                Some(Err(_)) => {}
                Some(done) => return done,
                None => break,
            }
        }
    }
    Err(StreamError::TimedOut)
}

/// Connects, with several attempts, for a bounded time.
///
/// # Errors
///
/// Fails where no attempt succeeds.
pub async fn connect(address: SocketAddr) -> Result<TcpStream, StreamError> {
    let unreachable = |error: std::io::Error| StreamError::Unreachable(error.to_string());
    let connect_once = async || TcpStream::connect(address).await.map_err(unreachable);
    let stream =
        first_success(limits::CONNECT_RETRY_INTERVAL, limits::MAX_CONNECT_ATTEMPTS, connect_once).await?;
    // A request is one small write: nothing is to wait for more to fill a packet.
    stream.set_nodelay(true).map_err(unreachable)?;
    Ok(stream)
}
