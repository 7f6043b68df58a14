//! One connection to the program's own address, read to its end: line by line, and once its peer is authenticated,
//! where there are chunk readers, in chunks of complete lines for them.

use super::bounds::Bounds;
use super::framing::{LineCodec, PartialLineReservation};
use super::{limits, Chunk, ChunkInfo, ConnectionCommand, ConnectionId, Input, InputSender, StreamError};
use actix_codec::Framed;
use actix_rt::net::TcpStream;
use bytes::BytesMut;
use futures_util::{SinkExt, StreamExt};
use std::future::Future;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep_until, timeout, timeout_at, Instant};

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
    let AcceptedConnection { id, stream, peer, disconnected, ended } = connection;
    let mut chunks_sent = 0;
    let served = async {
        let framed = match TcpStream::from_std(stream) {
            Ok(stream) => Framed::new(
                stream,
                LineCodec::within(limits::MAX_UNAUTHENTICATED_LINE_BYTES, &bounds.partial_lines),
            ),
            Err(error) => return error.into(),
        };
        let (back, commands) = mpsc::channel(limits::MAX_QUEUED_REPLIES);
        let chunks_sent = &mut chunks_sent;
        let session = Session { id, peer: &peer, bounds: &bounds, back, commands, chunks_sent };
        session.serve_lines(framed, &inputs, chunk_sender).await
    };
    tokio::select! {
        reason = super::contained(served) => {
            let reason: CloseReason = reason.unwrap_or_else(CloseReason::from);
            tracing::debug!(connection = id, %reason, "connection ended");
        }
        _ = disconnected => tracing::debug!(connection = id, "connection evicted: too many are open"),
    }
    drop(ended);
    _ = inputs.send(Input::Disconnected(id, chunks_sent)).await;
}

/// The state of a connection while it is read.
struct Session<'a> {
    id: ConnectionId,
    peer: &'a Peer,
    bounds: &'a Bounds,
    /// Given along with each line, for the replies to it.
    back: mpsc::Sender<ConnectionCommand>,
    commands: mpsc::Receiver<ConnectionCommand>,
    chunks_sent: &'a mut u64,
}

impl Session<'_> {
    /// Until its peer is authenticated, a connection may send little and stay for a short time, whatever it sends:
    /// a line without end, or one byte at a time, gains no time by that.
    async fn serve_lines(
        mut self,
        mut framed: Framed<TcpStream, LineCodec>,
        inputs: &InputSender,
        chunk_sender: Option<ChunkSender>,
    ) -> CloseReason {
        let mut deadline = Instant::now() + limits::JOIN_TIMEOUT;
        let mut is_authenticated = false;
        // An unauthenticated peer gets a reply to each line: what it sends after a line must not take that away.
        let mut is_reply_due = false;
        loop {
            tokio::select! {
                biased;
                Some(command) = self.commands.recv() => {
                    is_reply_due = false;
                    match command {
                        ConnectionCommand::Admit => {
                            is_authenticated = true;
                            deadline = Instant::now() + limits::PEER_IDLE_TIMEOUT;
                            framed.codec_mut().set_max_line_bytes(limits::MAX_LINE_BYTES);
                            self.peer.is_authenticated.store(true, Ordering::Relaxed);
                            if let Some(chunk_sender) = chunk_sender {
                                return self.serve_chunks(framed, chunk_sender).await;
                            }
                        }
                        ConnectionCommand::Send(line) => {
                            if let Err(reason) = send_in_time(framed.send(line)).await {
                                return reason;
                            }
                        }
                        ConnectionCommand::Close(line) => return close(framed, line, deadline).await,
                    }
                }
                _ = sleep_until(deadline), if is_reply_due => return CloseReason::JoinTimeout,
                line = timeout_at(deadline, framed.next()), if !is_reply_due => match line {
                    Ok(Some(Ok(line))) => {
                        let now = Instant::now();
                        if is_authenticated {
                            deadline = now + limits::PEER_IDLE_TIMEOUT;
                        }
                        is_reply_due = !is_authenticated;
                        self.peer.set_active(now);
                        let is_sent = match &chunk_sender {
                            None => self.send_line(inputs, line).await,
                            Some(chunk_sender) => self.send_chunk(chunk_sender, (line + "\n").into()).await,
                        };
                        if !is_sent {
                            return CloseReason::ShuttingDown;
                        }
                    }
                    Ok(Some(Err(error))) => return error.into(),
                    Ok(None) => return CloseReason::ClosedByPeer,
                    Err(_) if is_authenticated => return CloseReason::Idle,
                    Err(_) => return CloseReason::JoinTimeout,
                },
            }
        }
    }

    /// An authenticated peer sends much: complete lines go on in chunks, as many as have arrived, to whichever chunk
    /// reader is free. Only an incomplete line stays here.
    async fn serve_chunks(
        mut self,
        framed: Framed<TcpStream, LineCodec>,
        chunk_sender: ChunkSender,
    ) -> CloseReason {
        let mut parts = framed.into_parts();
        let (io, bytes) = (&mut parts.io, &mut parts.read_buf);
        let mut partial_line = PartialLineReservation::none(&self.bounds.partial_lines);
        loop {
            if let Some(end) = memchr::memrchr(b'\n', bytes) {
                let lines = bytes.split_to(end + 1).freeze();
                self.peer.set_active(Instant::now());
                if !self.send_chunk(&chunk_sender, lines).await {
                    return CloseReason::ShuttingDown;
                }
            }
            if let Err(reason) = bound_partial_line(bytes, &mut partial_line) {
                return reason;
            }
            tokio::select! {
                biased;
                Some(command) = self.commands.recv() => {
                    let (line, is_last) = match command {
                        ConnectionCommand::Admit => continue,
                        ConnectionCommand::Send(line) => (Some(line), false),
                        ConnectionCommand::Close(line) => (line, true),
                    };
                    if let Some(line) = line {
                        let line = line + "\n";
                        if let Err(reason) = send_in_time(io.write_all(line.as_bytes())).await {
                            return reason;
                        }
                    }
                    if is_last {
                        return CloseReason::Rejected;
                    }
                }
                read = timeout(limits::PEER_IDLE_TIMEOUT, io.read_buf(bytes)) => match read {
                    // A last line without its end is no line.
                    Ok(Ok(0)) => return CloseReason::ClosedByPeer,
                    Ok(Ok(_)) => {}
                    Ok(Err(error)) => return error.into(),
                    Err(_) => return CloseReason::Idle,
                },
            }
        }
    }

    /// False where nobody will ever read it.
    async fn send_line(&self, inputs: &InputSender, line: String) -> bool {
        let Some(weight) = self.bounds.reserve_queued(line.len()).await else { return false };
        let line = Input::Line { from: self.id, line, back: self.back.clone(), _weight: weight };
        inputs.send(line).await.is_ok()
    }

    /// False where nobody will ever read it.
    async fn send_chunk(&mut self, chunk_sender: &ChunkSender, lines: bytes::Bytes) -> bool {
        // Its time is that of its arrival, however long it waits for memory.
        let at = std::time::Instant::now();
        let info = ChunkInfo { from: self.id, number: *self.chunks_sent, at, bytes: lines.len() };
        let Some(weight) = self.bounds.reserve_queued(lines.len()).await else { return false };
        *self.chunks_sent += 1;
        let chunk = Chunk { info, lines, back: self.back.clone(), weight };
        chunk_sender.chunks.send(chunk).await.is_ok()
    }
}

/// Keeps an incomplete line within its bounds, and makes room for the next read.
fn bound_partial_line(
    bytes: &mut BytesMut,
    partial_line: &mut PartialLineReservation,
) -> Result<(), CloseReason> {
    if bytes.len() > limits::MAX_LINE_BYTES {
        return Err(CloseReason::LineTooLong);
    }
    if !partial_line.resize(bytes.len()) {
        return Err(CloseReason::LineMemoryExhausted);
    }
    if bytes.is_empty() && bytes.capacity() > limits::MAX_IDLE_BUFFER_BYTES {
        *bytes = BytesMut::new();
    }
    // What could be read at once is cut in chunks of this size.
    bytes.reserve(limits::CHUNK_BYTES);
    Ok(())
}

/// Sends the close reason, where there is one. Closing with something unread resets the connection, and may destroy
/// the reason on its way: what the peer still sends is read, within bounds.
async fn close(
    mut framed: Framed<TcpStream, LineCodec>,
    line: Option<String>,
    deadline: Instant,
) -> CloseReason {
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
