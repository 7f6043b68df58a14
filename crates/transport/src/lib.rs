//! Reads and writes lines, and knows nothing of what they say. All that is read goes into an inbox.

pub mod calls;
pub mod framing;
pub mod limits;
pub mod listener;
pub mod news;
pub mod watch;

use actix_rt::net::TcpStream;
use futures_util::stream::FuturesUnordered;
use futures_util::{FutureExt, StreamExt};
use std::fmt;
use std::future::Future;
use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::time::Duration;
use tokio::sync::{mpsc, OwnedSemaphorePermit};
use tokio::time::{timeout_at, Instant};

/// Which of the connections to our own address.
pub type ConnectionId = u64;
/// Which of the attempts to follow the relay's news, or the list.
pub type FollowId = u64;

/// Where others are; a new configuration may name new addresses.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Targets {
    pub discovery: SocketAddr,
    pub relay: SocketAddr,
}

#[derive(Debug)]
pub enum Input {
    /// At our own address, with the way back.
    Line {
        from: ConnectionId,
        line: String,
        back: mpsc::Sender<Back>,
        /// Its part of the memory for lines that wait; given back when it is dropped.
        _weight: OwnedSemaphorePermit,
    },
    /// It will say nothing more, and has said so many chunks.
    Ended(ConnectionId, u64),
    /// What is followed says something, or is no more.
    RelayEvent(FollowId, Result<String, StreamError>),
    List(FollowId, Result<String, StreamError>),
    Answer(Result<String, CallError>),
    /// The relay answers what nobody asked: an answer before may have been another call's.
    Surplus,
}

/// Which chunk of which connection, and when its last byte was read.
#[derive(Clone, Copy, Debug)]
pub struct Told {
    pub from: ConnectionId,
    pub number: u64,
    pub at: std::time::Instant,
    pub bytes: usize,
}

/// Whole lines of one connection, as many as had arrived.
#[derive(Debug)]
pub struct Chunk {
    pub told: Told,
    pub lines: bytes::Bytes,
    pub back: mpsc::Sender<Back>,
    /// Its part of the memory for lines that wait.
    pub weight: OwnedSemaphorePermit,
}

/// What is to be done at one of the connections to our own address.
#[derive(Debug)]
pub enum Back {
    Say(String),
    /// It is let go, after a last word or without one.
    End(Option<String>),
    /// It has joined, and may stay.
    Keep,
}

pub type Inbox = mpsc::Sender<Input>;

/// Why a connection is no more.
#[derive(Clone, Debug, PartialEq)]
pub enum StreamError {
    Unreachable(String),
    Silent,
    Closed,
    /// In the middle, by the network.
    Cut(String),
    /// It goes on with what is no line, or says nothing: what it said before is to be doubted too.
    Unreadable(String),
    /// Our own fault, which must cost no more than the connection.
    Panicked,
}

/// How far a call had come when it failed.
#[derive(Clone, Debug, PartialEq)]
pub enum CallError {
    /// Its last byte was not written: it was not carried out.
    NotSent(StreamError),
    /// It may have been carried out.
    OutcomeUnknown(StreamError),
}

impl From<std::io::Error> for StreamError {
    fn from(why: std::io::Error) -> Self {
        match why.kind() {
            std::io::ErrorKind::InvalidData => StreamError::Unreadable(why.to_string()),
            _ => StreamError::Cut(why.to_string()),
        }
    }
}

impl fmt::Display for StreamError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            StreamError::Unreachable(why) => write!(f, "out of reach ({why})"),
            StreamError::Silent => f.write_str("silent"),
            StreamError::Closed => f.write_str("closed by the other side"),
            StreamError::Cut(why) => write!(f, "cut off ({why})"),
            StreamError::Unreadable(why) => write!(f, "unreadable ({why})"),
            StreamError::Panicked => f.write_str("lost by a panic of ours"),
        }
    }
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            CallError::NotSent(why) => write!(f, "not sent, {why}"),
            CallError::OutcomeUnknown(why) => write!(f, "outcome unknown, {why}"),
        }
    }
}

/// A panic stops at the connection on which it happened.
async fn contained<T>(work: impl Future<Output = T>) -> Result<T, StreamError> {
    AssertUnwindSafe(work).catch_unwind().await.map_err(|_| StreamError::Panicked)
}

async fn within<T>(most: Duration, work: impl Future<Output = T>) -> Result<T, StreamError> {
    actix_rt::time::timeout(most, work).await.map_err(|_| StreamError::Silent)
}

/// The first of several attempts that succeeds. Another begins each so often while those before go on: what was
/// lost on its way is made up for at once, and what takes long each time is not begun anew for ever.
pub async fn earliest<T>(
    every: Duration,
    most: usize,
    attempt: impl AsyncFn() -> Result<T, StreamError>,
) -> Result<T, StreamError> {
    let mut attempts = FuturesUnordered::new();
    for _ in 0..most {
        attempts.push(attempt());
        let next = Instant::now() + every;
        while let Ok(done) = timeout_at(next, attempts.next()).await {
            match done {
                Some(Err(why)) if attempts.is_empty() => return Err(why),
                Some(Err(_)) => {}
                Some(done) => return done,
                None => break,
            }
        }
    }
    Err(StreamError::Silent)
}

/// Dials until one attempt succeeds, for a bounded time.
pub async fn connect(to: SocketAddr) -> Result<TcpStream, StreamError> {
    let unreachable = |why: std::io::Error| StreamError::Unreachable(why.to_string());
    let dial = async || TcpStream::connect(to).await.map_err(unreachable);
    let stream = earliest(limits::CONNECT, limits::DIALS, dial).await?;
    // A call is one small write: nothing is to wait for more to fill a packet.
    stream.set_nodelay(true).map_err(unreachable)?;
    Ok(stream)
}
