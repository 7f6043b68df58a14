//! A connection to the program's listening address. It is read line by line until its peer is authenticated. After that
//! it is read in chunks of complete lines if there are chunk readers, and line by line otherwise.

mod chunks;
mod lines;

use super::bounds::Bounds;
use super::closing::{Closing, ClosingSignal, ConnectionShutdown};
use super::framing::{LineCodec, LineError};
use super::{limits, Chunk, ChunkInfo, ConnectionCommand, ConnectionId, Input, InputSender, StreamError};
use actix_codec::Framed;
use actix_rt::net::TcpStream;
use futures_util::SinkExt;
use std::future::Future;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{timeout, timeout_at, Instant};

/// The state of a connection that its reader shares with the listener.
pub struct Peer {
    is_authenticated: AtomicBool,
    /// The time of the last line from the peer, in milliseconds since `connected_at`.
    last_active_ms: AtomicU64,
    connected_at: Instant,
}

impl Peer {
    pub(crate) fn new() -> Self {
        Peer {
            is_authenticated: AtomicBool::new(false),
            last_active_ms: AtomicU64::new(0),
            connected_at: Instant::now(),
        }
    }

    pub(crate) fn is_authenticated(&self) -> bool {
        self.is_authenticated.load(Ordering::Relaxed)
    }

    pub(crate) fn last_active(&self) -> Instant {
        self.connected_at + std::time::Duration::from_millis(self.last_active_ms.load(Ordering::Relaxed))
    }

    /// Returns true if the peer is not authenticated and has neither connected nor sent a line within the last
    /// [`limits::EVICTION_GRACE_PERIOD`].
    pub(crate) fn is_unauthenticated_and_idle(&self, now: Instant) -> bool {
        let idle_time = now.saturating_duration_since(self.last_active());
        !self.is_authenticated() && idle_time >= limits::EVICTION_GRACE_PERIOD
    }

    fn set_active(&self, now: Instant) {
        let active_ms = now.saturating_duration_since(self.connected_at).as_millis() as u64;
        self.last_active_ms.store(active_ms, Ordering::Relaxed);
    }
}

/// A connection that the listener hands to a reader.
pub struct AcceptedConnection {
    /// The identifier of the connection.
    pub id: ConnectionId,
    /// The socket.
    pub stream: std::net::TcpStream,
    /// The state shared with the listener.
    pub peer: Arc<Peer>,
    /// Completes when the listener evicts the connection.
    pub disconnected: oneshot::Receiver<()>,
    /// The shutdown of the listener.
    pub shutdown: ConnectionShutdown,
    /// Dropped when the connection has closed.
    pub ended: oneshot::Sender<()>,
}

/// Sends the chunks of authenticated peers to the chunk readers.
#[derive(Clone)]
pub struct ChunkSender {
    /// The queue that all chunk readers share; the next free reader takes each chunk.
    pub chunks: async_channel::Sender<Chunk>,
}

/// The reason why a connection was closed.
#[derive(Debug, thiserror::Error)]
enum CloseReason {
    #[error("rejected")]
    Rejected,
    #[error("not authenticated within {} ms", limits::AUTHENTICATION_TIMEOUT.as_millis())]
    AuthenticationTimeout,
    #[error("idle for {} s", limits::PEER_IDLE_TIMEOUT.as_secs())]
    Idle,
    #[error("closed by peer")]
    ClosedByPeer,
    #[error("peer did not read a reply within {} ms", limits::REPLY_TIMEOUT.as_millis())]
    ReplyTimeout,
    #[error(transparent)]
    Line(#[from] LineError),
    #[error("shutting down")]
    ShuttingDown,
    #[error("evicted: too many open connections")]
    Evicted,
    #[error(transparent)]
    Io(#[from] std::io::Error),
    #[error(transparent)]
    Stream(#[from] StreamError),
}

/// Reads a connection on the current thread until it is closed.
pub async fn read(
    connection: AcceptedConnection,
    bounds: Bounds,
    inputs: InputSender,
    chunk_sender: Option<ChunkSender>,
) {
    let AcceptedConnection { id, stream, peer, disconnected, shutdown, ended } = connection;
    let closing = ClosingSignal { evicted: disconnected, shutdown: shutdown.clone() };
    let mut chunks_sent = 0;
    let served = async {
        let framed = match TcpStream::from_std(stream) {
            Ok(stream) => Framed::new(
                stream,
                LineCodec::with_budget(limits::MAX_UNAUTHENTICATED_LINE_BYTES, &bounds.partial_lines),
            ),
            Err(error) => return error.into(),
        };
        let (command_sender, commands) = mpsc::channel(limits::MAX_QUEUED_REPLIES);
        let chunks_sent = &mut chunks_sent;
        let session =
            Session { id, peer: &peer, bounds: &bounds, command_sender, commands, closing, chunks_sent };
        session.serve_lines(framed, &inputs, chunk_sender).await
    };
    let reason = super::catch_panic(served).await;
    let reason: CloseReason = reason.unwrap_or_else(CloseReason::from);
    tracing::debug!(connection = id, %reason, "connection ended");
    drop(ended);
    _ = inputs.send(Input::Disconnected(id, chunks_sent)).await;
    // The shutdown waits for this connection until the signal is dropped here.
    drop(shutdown);
}

/// The state of a connection while it is read.
struct Session<'a> {
    id: ConnectionId,
    peer: &'a Peer,
    bounds: &'a Bounds,
    /// A clone is sent with each line or chunk, for the replies to it.
    command_sender: mpsc::Sender<ConnectionCommand>,
    commands: mpsc::Receiver<ConnectionCommand>,
    closing: ClosingSignal,
    chunks_sent: &'a mut u64,
}

type LineStream = Framed<TcpStream, LineCodec>;

impl Session<'_> {
    /// Writes the outstanding replies, shuts down the write side and closes the connection. The replies are complete
    /// when all clones of the command sender are dropped; one clone is sent with each line or chunk.
    async fn answer_and_close(self, mut io: TcpStream, closing: Option<Closing>) -> CloseReason {
        let Session { command_sender, mut commands, .. } = self;
        drop(command_sender);
        let closing = closing.unwrap_or_else(|| Closing {
            is_eviction: false,
            deadline: Instant::now() + limits::CLOSE_TIMEOUT,
        });
        while let Ok(Some(command)) = timeout_at(closing.deadline, commands.recv()).await {
            match execute_command(&mut io, command).await {
                Ok(IsLast(false)) => {}
                Ok(IsLast(true)) => break,
                Err(reason) => return reason,
            }
        }
        _ = io.shutdown().await;
        if closing.is_eviction {
            CloseReason::Evicted
        } else {
            CloseReason::ShuttingDown
        }
    }

    /// Sends a line to the input queue. Returns false if the queue is closed.
    async fn send_line(&self, inputs: &InputSender, line: String) -> bool {
        let Some(memory_permit) = self.bounds.reserve_queue_memory(line.len()).await else { return false };
        let line = Input::Line {
            from: self.id,
            line,
            commands: self.command_sender.clone(),
            _memory_permit: memory_permit,
        };
        inputs.send(line).await.is_ok()
    }

    /// Sends a chunk to the chunk readers. Returns false if their queue is closed.
    async fn send_chunk(&mut self, chunk_sender: &ChunkSender, lines: bytes::Bytes) -> bool {
        // Taken before waiting for memory, so that it is the time of arrival.
        let received_at = std::time::Instant::now();
        let info = ChunkInfo { from: self.id, number: *self.chunks_sent, received_at, bytes: lines.len() };
        let Some(memory_permit) = self.bounds.reserve_queue_memory(lines.len()).await else { return false };
        *self.chunks_sent += 1;
        let chunk = Chunk { info, lines, commands: self.command_sender.clone(), memory_permit };
        chunk_sender.chunks.send(chunk).await.is_ok()
    }
}

/// True if the connection must be closed after the command.
struct IsLast(bool);

/// Writes the line of a command, if any.
async fn execute_command(io: &mut TcpStream, command: ConnectionCommand) -> Result<IsLast, CloseReason> {
    let (line, is_last) = match command {
        ConnectionCommand::MarkAuthenticated => (None, false),
        ConnectionCommand::Send(line) => (Some(line), false),
        ConnectionCommand::Close(line) => (line, true),
    };
    if let Some(line) = line {
        let line = line + "\n";
        send_with_timeout(io.write_all(line.as_bytes())).await?;
    }
    Ok(IsLast(is_last))
}

/// Sends the line with the close reason, if any, and closes the connection. Closing a socket with unread input resets
/// the connection, and the peer may lose the reason; therefore further input is read and discarded, within limits.
async fn close_with_reason(mut framed: LineStream, line: Option<String>, deadline: Instant) -> CloseReason {
    let Some(line) = line else { return CloseReason::Rejected };
    if let Err(reason) = send_with_timeout(framed.send(line)).await {
        return reason;
    }
    discard_input(&mut framed.into_parts().io, deadline).await;
    CloseReason::Rejected
}

async fn discard_input(io: &mut TcpStream, deadline: Instant) {
    let (mut buffer, mut bytes_left) = ([0; 4096], limits::MAX_DISCARDED_BYTES);
    _ = io.shutdown().await;
    while let Ok(Ok(read @ 1..)) = timeout_at(deadline, io.read(&mut buffer)).await {
        bytes_left = bytes_left.saturating_sub(read);
        if bytes_left == 0 {
            return;
        }
    }
}

/// Waits for `sending` up to the reply time-out. A peer that does not read its replies is disconnected.
async fn send_with_timeout(sending: impl Future<Output = std::io::Result<()>>) -> Result<(), CloseReason> {
    match timeout(limits::REPLY_TIMEOUT, sending).await {
        Ok(sent) => Ok(sent?),
        Err(_) => Err(CloseReason::ReplyTimeout),
    }
}
