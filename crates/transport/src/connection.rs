//! One connection to the program's own address, read to its end: line by line, and once its peer is authenticated,
//! where there are chunk readers, in chunks of complete lines for them.

use super::bounds::Bounds;
use super::closing::{Closing, ClosingSignal, ConnectionShutdown};
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
use tokio::time::{sleep, sleep_until, timeout, timeout_at, Instant};

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
        let (back, commands) = mpsc::channel(limits::MAX_QUEUED_REPLIES);
        let chunks_sent = &mut chunks_sent;
        let session = Session { id, peer: &peer, bounds: &bounds, back, commands, closing, chunks_sent };
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
    back: mpsc::Sender<ConnectionCommand>,
    commands: mpsc::Receiver<ConnectionCommand>,
    closing: ClosingSignal,
    chunks_sent: &'a mut u64,
}

/// How far a connection that is read line by line has come.
struct LineState {
    is_authenticated: bool,
    /// An unauthenticated peer gets a reply to each line: what it sends after a line must not take that away.
    is_reply_due: bool,
    /// Until when the peer may send its next line, or its reply may take.
    deadline: Instant,
    closing: Option<Closing>,
}

impl LineState {
    fn wait_until(&self) -> Instant {
        let closing = self.closing.map(|closing| closing.deadline - limits::CLOSE_REASON_MARGIN);
        closing.map_or(self.deadline, |closing| closing.min(self.deadline))
    }
}

/// What a connection that is read line by line has waited for.
enum LineEvent {
    Command(ConnectionCommand),
    Line(std::io::Result<String>),
    ClosedByPeer,
    TimedOut,
    Closing(Closing),
    /// The connection closes, and all that has arrived is read.
    AllRead,
}

type LineStream = Framed<TcpStream, LineCodec>;

impl Session<'_> {
    /// Until its peer is authenticated, a connection may send little and stay for a short time, whatever it sends:
    /// a line without end, or one byte at a time, gains no time by that.
    async fn serve_lines(
        mut self,
        mut framed: LineStream,
        inputs: &InputSender,
        chunk_sender: Option<ChunkSender>,
    ) -> CloseReason {
        let deadline = Instant::now() + limits::JOIN_TIMEOUT;
        let mut state = LineState { is_authenticated: false, is_reply_due: false, deadline, closing: None };
        loop {
            match self.next_line_event(&mut framed, &state).await {
                LineEvent::Command(ConnectionCommand::Admit) => {
                    self.admit(&mut framed, &mut state);
                    if let Some(chunk_sender) = chunk_sender {
                        return self.serve_chunks(framed, chunk_sender, state.closing).await;
                    }
                }
                LineEvent::Command(ConnectionCommand::Send(line)) => {
                    state.is_reply_due = false;
                    if let Err(reason) = send_in_time(framed.send(line)).await {
                        return reason;
                    }
                }
                LineEvent::Command(ConnectionCommand::Close(line)) => {
                    return close(framed, line, state.deadline).await;
                }
                LineEvent::Line(Ok(line)) => {
                    self.note_line(&mut state);
                    let is_sent = match &chunk_sender {
                        None => self.send_line(inputs, line).await,
                        Some(chunk_sender) => self.send_chunk(chunk_sender, (line + "\n").into()).await,
                    };
                    if !is_sent {
                        return CloseReason::ShuttingDown;
                    }
                }
                LineEvent::Line(Err(error)) => return error.into(),
                LineEvent::ClosedByPeer => return CloseReason::ClosedByPeer,
                LineEvent::TimedOut if state.closing.is_some() => return self.notify(framed, &state).await,
                LineEvent::TimedOut if state.is_authenticated => return CloseReason::Idle,
                LineEvent::TimedOut => return CloseReason::JoinTimeout,
                LineEvent::Closing(closing) => state.closing = Some(closing),
                LineEvent::AllRead => {
                    let io = framed.into_parts().io;
                    return self.answer_and_close(io, state.closing).await;
                }
            }
        }
    }

    /// What comes next. Commands come before lines, and lines that have arrived before a shutdown.
    async fn next_line_event(&mut self, framed: &mut LineStream, state: &LineState) -> LineEvent {
        // However much a peer sends, a connection that closes ends in time.
        if state.closing.is_some() && Instant::now() >= state.wait_until() {
            return LineEvent::TimedOut;
        }
        if state.closing.is_some() && !state.is_reply_due {
            match timeout(limits::LAST_INPUT_PERIOD, framed.next()).await {
                Ok(Some(line)) => return LineEvent::Line(line),
                Ok(None) => return LineEvent::ClosedByPeer,
                // Nothing is written to an authenticated peer that did not ask; its half line is lost.
                Err(_) if state.is_authenticated || framed.is_read_buf_empty() => return LineEvent::AllRead,
                Err(_) => {}
            }
        }
        tokio::select! {
            biased;
            Some(command) = self.commands.recv() => LineEvent::Command(command),
            () = sleep_until(state.wait_until()), if state.is_reply_due => LineEvent::TimedOut,
            line = timeout_at(state.wait_until(), framed.next()), if !state.is_reply_due => match line {
                Ok(Some(line)) => LineEvent::Line(line),
                Ok(None) => LineEvent::ClosedByPeer,
                Err(_) => LineEvent::TimedOut,
            },
            closing = self.closing.closing(), if state.closing.is_none() => LineEvent::Closing(closing),
        }
    }

    fn admit(&self, framed: &mut LineStream, state: &mut LineState) {
        state.is_reply_due = false;
        state.is_authenticated = true;
        state.deadline = Instant::now() + limits::PEER_IDLE_TIMEOUT;
        framed.codec_mut().set_max_line_bytes(limits::MAX_LINE_BYTES);
        self.peer.is_authenticated.store(true, Ordering::Relaxed);
    }

    fn note_line(&self, state: &mut LineState) {
        let now = Instant::now();
        if state.is_authenticated {
            state.deadline = now + limits::PEER_IDLE_TIMEOUT;
        }
        state.is_reply_due = !state.is_authenticated;
        self.peer.set_active(now);
    }

    /// Says why a line that was read, wholly or in part, has no reply.
    async fn notify(self, framed: LineStream, state: &LineState) -> CloseReason {
        let notice = &self.closing.shutdown.notice;
        let line = (!state.is_authenticated && !notice.is_empty()).then(|| notice.to_string());
        let deadline = state.closing.map_or(state.deadline, |closing| closing.deadline);
        close(framed, line, deadline).await
    }

    /// Writes the replies to what was read, ends the write side, and closes. The replies are all there once nobody holds
    /// the other end of their queue any more, which goes along with each line.
    async fn answer_and_close(self, mut io: TcpStream, closing: Option<Closing>) -> CloseReason {
        let Session { back, mut commands, .. } = self;
        drop(back);
        let closing = closing.unwrap_or_else(|| Closing {
            is_eviction: false,
            deadline: Instant::now() + limits::CLOSE_TIMEOUT,
        });
        while let Ok(Some(command)) = timeout_at(closing.deadline, commands.recv()).await {
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
                break;
            }
        }
        _ = io.shutdown().await;
        if closing.is_eviction {
            CloseReason::Evicted
        } else {
            CloseReason::ShuttingDown
        }
    }

    /// An authenticated peer sends much: complete lines go on in chunks, as many as have arrived, to whichever chunk
    /// reader is free. Only an incomplete line stays here.
    async fn serve_chunks(
        mut self,
        framed: LineStream,
        chunk_sender: ChunkSender,
        mut closing: Option<Closing>,
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
            if closing.is_some_and(|closing| Instant::now() >= closing.deadline) {
                return self.answer_and_close(parts.io, closing).await;
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
                () = sleep(limits::LAST_INPUT_PERIOD), if closing.is_some() => {
                    return self.answer_and_close(parts.io, closing).await;
                }
                at = self.closing.closing(), if closing.is_none() => closing = Some(at),
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
