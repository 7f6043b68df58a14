//! Reads a connection line by line: before its peer is authenticated, and afterwards if there are no chunk readers.

use super::{close_with_reason, send_with_timeout, ChunkSender, CloseReason, LineStream, Session};
use crate::closing::Closing;
use crate::{limits, ConnectionCommand, InputSender};
use futures_util::{SinkExt, StreamExt};
use std::sync::atomic::Ordering;
use tokio::time::{sleep_until, timeout, timeout_at, Instant};

/// The state of a connection that is read line by line.
struct LineState {
    is_authenticated: bool,
    /// True while an unauthenticated peer waits for the reply to a line. Further input must not prevent that reply.
    is_reply_pending: bool,
    /// The deadline for the next line or for the pending reply.
    deadline: Instant,
    closing: Option<Closing>,
    /// The deadline for the rest of an incomplete line on a closing connection.
    partial_line_deadline: Instant,
}

impl LineState {
    fn begin_closing(&mut self, closing: Closing) {
        self.closing = Some(closing);
        self.partial_line_deadline = Instant::now() + limits::PARTIAL_LINE_TIMEOUT;
    }

    fn wait_until(&self) -> Instant {
        let Some(closing) = self.closing else { return self.deadline };
        let latest = closing.deadline - limits::CLOSE_REASON_MARGIN;
        let latest = if self.is_reply_pending { latest } else { latest.min(self.partial_line_deadline) };
        latest.min(self.deadline)
    }
}

/// The next event on a connection that is read line by line.
enum LineEvent {
    Command(ConnectionCommand),
    Line(std::io::Result<String>),
    ClosedByPeer,
    TimedOut,
    Closing(Closing),
    /// The connection is closing, and all input that has arrived was read.
    AllRead,
}

impl Session<'_> {
    /// Serves a connection line by line. Until the peer is authenticated, the size of its lines and the lifetime of
    /// its connection are limited. Sending an endless line, or one byte at a time, does not extend the lifetime.
    pub(super) async fn serve_lines(
        mut self,
        mut framed: LineStream,
        inputs: &InputSender,
        chunk_sender: Option<ChunkSender>,
    ) -> CloseReason {
        let deadline = Instant::now() + limits::AUTHENTICATION_TIMEOUT;
        let mut state = LineState {
            is_authenticated: false,
            is_reply_pending: false,
            deadline,
            closing: None,
            partial_line_deadline: deadline,
        };
        loop {
            match self.next_line_event(&mut framed, &state).await {
                LineEvent::Command(ConnectionCommand::MarkAuthenticated) => {
                    self.mark_authenticated(&mut framed, &mut state);
                    if let Some(chunk_sender) = chunk_sender {
                        return self.serve_chunks(framed, chunk_sender, state.closing).await;
                    }
                }
                LineEvent::Command(ConnectionCommand::Send(line)) => {
                    state.is_reply_pending = false;
                    if let Err(reason) = send_with_timeout(framed.send(line)).await {
                        return reason;
                    }
                }
                LineEvent::Command(ConnectionCommand::Close(line)) => {
                    return close_with_reason(framed, line, state.deadline).await;
                }
                LineEvent::Line(Ok(line)) => {
                    self.record_line(&mut state);
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
                LineEvent::TimedOut if state.closing.is_some() => return self.send_notice(framed).await,
                LineEvent::TimedOut if state.is_authenticated => return CloseReason::Idle,
                LineEvent::TimedOut => return CloseReason::AuthenticationTimeout,
                LineEvent::Closing(closing) => state.begin_closing(closing),
                LineEvent::AllRead => {
                    let io = framed.into_parts().io;
                    return self.answer_and_close(io, state.closing).await;
                }
            }
        }
    }

    /// Waits for the next event. Commands take precedence over lines, and lines that have arrived over a shutdown.
    async fn next_line_event(&mut self, framed: &mut LineStream, state: &LineState) -> LineEvent {
        // A closing connection ends by its deadline even if the peer keeps sending. Lines that were read are still
        // answered.
        if state.closing.is_some() && Instant::now() >= state.wait_until() {
            return if state.is_authenticated { LineEvent::AllRead } else { LineEvent::TimedOut };
        }
        if state.closing.is_some() && !state.is_reply_pending {
            match timeout(limits::CLOSE_READ_TIMEOUT, framed.next()).await {
                Ok(Some(line)) => return LineEvent::Line(line),
                Ok(None) => return LineEvent::ClosedByPeer,
                // An authenticated peer gets no unsolicited notice; its incomplete line is discarded.
                Err(_) if state.is_authenticated || framed.is_read_buf_empty() => return LineEvent::AllRead,
                Err(_) => {}
            }
        }
        tokio::select! {
            biased;
            Some(command) = self.commands.recv() => LineEvent::Command(command),
            () = sleep_until(state.wait_until()), if state.is_reply_pending => LineEvent::TimedOut,
            line = timeout_at(state.wait_until(), framed.next()), if !state.is_reply_pending => match line {
                Ok(Some(line)) => LineEvent::Line(line),
                Ok(None) => LineEvent::ClosedByPeer,
                Err(_) => LineEvent::TimedOut,
            },
            closing = self.closing.closing(), if state.closing.is_none() => LineEvent::Closing(closing),
        }
    }

    fn mark_authenticated(&self, framed: &mut LineStream, state: &mut LineState) {
        state.is_reply_pending = false;
        state.is_authenticated = true;
        state.deadline = Instant::now() + limits::PEER_IDLE_TIMEOUT;
        framed.codec_mut().set_max_line_bytes(limits::MAX_LINE_BYTES);
        self.peer.is_authenticated.store(true, Ordering::Relaxed);
    }

    fn record_line(&self, state: &mut LineState) {
        let now = Instant::now();
        if state.is_authenticated {
            state.deadline = now + limits::PEER_IDLE_TIMEOUT;
        }
        state.is_reply_pending = !state.is_authenticated;
        self.peer.set_active(now);
    }

    /// Notifies an unauthenticated peer that a completely or partially received line is not answered because of the
    /// shutdown.
    async fn send_notice(self, framed: LineStream) -> CloseReason {
        let notice = &self.closing.shutdown.notice;
        let line = (!notice.is_empty()).then(|| notice.to_string());
        // Further input of the peer is irrelevant, and the shutdown waits for this connection, so the deadline is
        // short.
        close_with_reason(framed, line, Instant::now() + limits::CLOSE_READ_TIMEOUT).await
    }
}
