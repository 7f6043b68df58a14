//! One connection to the program's own address, read to its end: line by line, and once its peer is authenticated,
//! where there are chunk readers, in chunks of complete lines for them.

mod chunks;
mod lines;

use super::bounds::Bounds;
use super::closing::{Closing, ClosingSignal, ConnectionShutdown};
use super::framing::LineCodec;
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

/// What the listener needs to know of a connection, wherever it is read.
pub struct Peer {
    is_authenticated: AtomicBool,
    /// When it last sent a line, in milliseconds since `connected_at`.
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

    /// Whether it has not named its zone in the time that a peer needs for that, nor sent anything lately.
    pub(crate) fn is_unauthenticated_and_idle(&self, now: Instant) -> bool {
        let idle = now.saturating_duration_since(self.last_active());
        !self.is_authenticated() && idle >= limits::FIRST_LINE_PERIOD
    }

    fn set_active(&self, now: Instant) {
        let active_ms = now.saturating_duration_since(self.connected_at).as_millis() as u64;
        self.last_active_ms.store(active_ms, Ordering::Relaxed);
    }
}

/// A connection on its way from the listener to its reader.
pub struct AcceptedConnection {
    /// Identifies it.
    pub id: ConnectionId,
    /// Its socket.
    pub stream: std::net::TcpStream,
    /// What the listener knows of it.
    pub peer: Arc<Peer>,
    /// Completes when the listener disconnects it.
    pub disconnected: oneshot::Receiver<()>,
    /// The end of the listener.
    pub shutdown: ConnectionShutdown,
    /// Dropped when the connection has ended.
    pub ended: oneshot::Sender<()>,
}

/// Takes the chunks of authenticated peers, for whichever chunk reader is free.
#[derive(Clone)]
pub struct ChunkSender {
    /// The queue that all chunk readers share.
    pub chunks: async_channel::Sender<Chunk>,
}

/// Why a connection ended.
#[derive(Debug, thiserror::Error)]
enum CloseReason {
    #[error("rejected")]
    Rejected,
    #[error("not authenticated in time")]
    JoinTimeout,
    #[error("idle")]
    Idle,
    #[error("closed by the peer")]
    ClosedByPeer,
    #[error("the peer does not read its replies")]
    ReplyTimeout,
    #[error("a line is too long")]
    LineTooLong,
    #[error("incomplete lines take too much memory")]
    LineMemoryExhausted,
    #[error("shutting down")]
    ShuttingDown,
    #[error("evicted: too many are open")]
    Evicted,
    #[error(transparent)]
    Io(#[from] std::io::Error),
    #[error(transparent)]
    Stream(#[from] StreamError),
}

/// Reads one connection to its end, on the thread that it is called on.
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
                LineCodec::within(limits::MAX_UNAUTHENTICATED_LINE_BYTES, &bounds.partial_lines),
            ),
            Err(error) => return error.into(),
        };
        let (command_sender, commands) = mpsc::channel(limits::MAX_QUEUED_REPLIES);
        let chunks_sent = &mut chunks_sent;
        let session =
            Session { id, peer: &peer, bounds: &bounds, command_sender, commands, closing, chunks_sent };
        session.serve_lines(framed, &inputs, chunk_sender).await
    };
    let reason = super::contained(served).await;
    let reason: CloseReason = reason.unwrap_or_else(CloseReason::from);
    tracing::debug!(connection = id, %reason, "connection ended");
    drop(ended);
    _ = inputs.send(Input::Disconnected(id, chunks_sent)).await;
    // Until here the shutdown waits for this connection.
    drop(shutdown);
}

/// The state of a connection while it is read.
struct Session<'a> {
    id: ConnectionId,
    peer: &'a Peer,
    bounds: &'a Bounds,
    /// Given along with each line, for the replies to it.
    command_sender: mpsc::Sender<ConnectionCommand>,
    commands: mpsc::Receiver<ConnectionCommand>,
    closing: ClosingSignal,
    chunks_sent: &'a mut u64,
}

type LineStream = Framed<TcpStream, LineCodec>;

impl Session<'_> {
    /// Writes the replies to what was read, ends the write side, and closes. The replies are all there once nobody holds
    /// the other end of their queue any more, which goes along with each line.
    async fn answer_and_close(self, mut io: TcpStream, closing: Option<Closing>) -> CloseReason {
        let Session { command_sender, mut commands, .. } = self;
        drop(command_sender);
        let closing = closing.unwrap_or_else(|| Closing {
            is_eviction: false,
            deadline: Instant::now() + limits::CLOSE_TIMEOUT,
        });
        while let Ok(Some(command)) = timeout_at(closing.deadline, commands.recv()).await {
            match carry_out(&mut io, command).await {
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

    /// False where nobody will ever read it.
    async fn send_line(&self, inputs: &InputSender, line: String) -> bool {
        let Some(memory_permit) = self.bounds.reserve_queued(line.len()).await else { return false };
        let line = Input::Line {
            from: self.id,
            line,
            commands: self.command_sender.clone(),
            _memory_permit: memory_permit,
        };
        inputs.send(line).await.is_ok()
    }

    /// False where nobody will ever read it.
    async fn send_chunk(&mut self, chunk_sender: &ChunkSender, lines: bytes::Bytes) -> bool {
        // Its time is that of its arrival, however long it waits for memory.
        let received_at = std::time::Instant::now();
        let info = ChunkInfo { from: self.id, number: *self.chunks_sent, received_at, bytes: lines.len() };
        let Some(memory_permit) = self.bounds.reserve_queued(lines.len()).await else { return false };
        *self.chunks_sent += 1;
        let chunk = Chunk { info, lines, commands: self.command_sender.clone(), memory_permit };
        chunk_sender.chunks.send(chunk).await.is_ok()
    }
}

/// Whether nothing is written to a connection after a command.
struct IsLast(bool);

/// Writes what a command asks for.
async fn carry_out(io: &mut TcpStream, command: ConnectionCommand) -> Result<IsLast, CloseReason> {
    let (line, is_last) = match command {
        ConnectionCommand::MarkAuthenticated => (None, false),
        ConnectionCommand::Send(line) => (Some(line), false),
        ConnectionCommand::Close(line) => (line, true),
    };
    if let Some(line) = line {
        let line = line + "\n";
        send_in_time(io.write_all(line.as_bytes())).await?;
    }
    Ok(IsLast(is_last))
}

/// Sends the close reason, where there is one. Closing with something unread resets the connection, and may destroy
/// the reason on its way: what the peer still sends is read, within bounds.
async fn close(mut framed: LineStream, line: Option<String>, deadline: Instant) -> CloseReason {
    let Some(line) = line else { return CloseReason::Rejected };
    if let Err(reason) = send_in_time(framed.send(line)).await {
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

/// A peer that does not read what it is sent is disconnected.
async fn send_in_time(sending: impl Future<Output = std::io::Result<()>>) -> Result<(), CloseReason> {
    match timeout(limits::REPLY_TIMEOUT, sending).await {
        Ok(sent) => Ok(sent?),
        Err(_) => Err(CloseReason::ReplyTimeout),
    }
}
