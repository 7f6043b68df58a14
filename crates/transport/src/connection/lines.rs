//! A connection that is read line by line: every one until its peer is authenticated, and all where there are no chunk readers.

use super::{close, send_in_time, ChunkSender, CloseReason, LineStream, Session};
use crate::closing::Closing;
use crate::{limits, ConnectionCommand, InputSender};
use futures_util::{SinkExt, StreamExt};
use std::sync::atomic::Ordering;
use tokio::time::{sleep_until, timeout, timeout_at, Instant};

/// How far a connection that is read line by line has come.
struct LineState {
    is_authenticated: bool,
    /// An unauthenticated peer gets a reply to each line: what it sends after a line must not take that away.
    is_reply_due: bool,
    /// Until when the peer may send its next line, or its reply may take.
    deadline: Instant,
    closing: Option<Closing>,
    /// Until when the rest of a line may come to a connection that closes.
    rest_due: Instant,
}

impl LineState {
    fn begin_closing(&mut self, closing: Closing) {
        self.closing = Some(closing);
        self.rest_due = Instant::now() + limits::LAST_LINE_PERIOD;
    }

    fn wait_until(&self) -> Instant {
        let Some(closing) = self.closing else { return self.deadline };
        let last = closing.deadline - limits::CLOSE_REASON_MARGIN;
        let last = if self.is_reply_due { last } else { last.min(self.rest_due) };
        last.min(self.deadline)
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

impl Session<'_> {
    /// Until its peer is authenticated, a connection may send little and stay for a short time, whatever it sends:
    /// a line without end, or one byte at a time, gains no time by that.
    pub(super) async fn serve_lines(
        mut self,
        mut framed: LineStream,
        inputs: &InputSender,
        chunk_sender: Option<ChunkSender>,
    ) -> CloseReason {
        let deadline = Instant::now() + limits::AUTHENTICATION_TIMEOUT;
        let mut state = LineState {
            is_authenticated: false,
            is_reply_due: false,
            deadline,
            closing: None,
            rest_due: deadline,
        };
        loop {
            match self.next_line_event(&mut framed, &state).await {
                LineEvent::Command(ConnectionCommand::MarkAuthenticated) => {
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
                LineEvent::TimedOut if state.closing.is_some() => return self.notify(framed).await,
                LineEvent::TimedOut if state.is_authenticated => return CloseReason::Idle,
                LineEvent::TimedOut => return CloseReason::JoinTimeout,
                LineEvent::Closing(closing) => state.begin_closing(closing),
                LineEvent::AllRead => {
                    let io = framed.into_parts().io;
                    return self.answer_and_close(io, state.closing).await;
                }
            }
        }
    }

    /// What comes next. Commands come before lines, and lines that have arrived before a shutdown.
    async fn next_line_event(&mut self, framed: &mut LineStream, state: &LineState) -> LineEvent {
        // However much a peer sends, a connection that closes ends in time; what was read is owed its replies all the same.
        if state.closing.is_some() && Instant::now() >= state.wait_until() {
            return if state.is_authenticated { LineEvent::AllRead } else { LineEvent::TimedOut };
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

    /// Tells an unauthenticated peer why a line that was read, wholly or in part, has no reply.
    async fn notify(self, framed: LineStream) -> CloseReason {
        let notice = &self.closing.shutdown.notice;
        let line = (!notice.is_empty()).then(|| notice.to_string());
        // The peer has nothing more to say that counts, and the program waits for this connection.
        close(framed, line, Instant::now() + limits::LAST_INPUT_PERIOD).await
    }
}
