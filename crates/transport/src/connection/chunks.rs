//! Reads the connection of an authenticated peer in chunks of complete lines for the chunk readers.

use super::{execute_command, ChunkSender, CloseReason, IsLast, LineStream, Session};
use crate::closing::Closing;
use crate::framing::{LineError, PartialLineReservation};
use crate::limits;
use bytes::BytesMut;
use tokio::io::AsyncReadExt;
use tokio::time::{sleep, timeout, Instant};

impl Session<'_> {
    /// Serves the connection of an authenticated peer, which sends many lines. All complete lines that have arrived
    /// are sent as one chunk to the next free chunk reader; only an incomplete line is kept here.
    pub(super) async fn serve_chunks(
        mut self,
        framed: LineStream,
        chunk_sender: ChunkSender,
        mut closing: Option<Closing>,
    ) -> CloseReason {
        let mut parts = framed.into_parts();
        let (io, bytes) = (&mut parts.io, &mut parts.read_buf);
        let mut partial_line = PartialLineReservation::empty(&self.bounds.partial_lines);
        loop {
            if let Some(end) = memchr::memrchr(b'\n', bytes) {
                let lines = bytes.split_to(end + 1).freeze();
                self.peer.set_active(Instant::now());
                if !self.send_chunk(&chunk_sender, lines).await {
                    return CloseReason::ShuttingDown;
                }
            }
            if let Err(reason) = prepare_read(bytes, &mut partial_line) {
                return reason;
            }
            if closing.is_some_and(|closing| Instant::now() >= closing.deadline) {
                return self.answer_and_close(parts.io, closing).await;
            }
            tokio::select! {
                biased;
                Some(command) = self.commands.recv() => match execute_command(io, command).await {
                    Ok(IsLast(false)) => {}
                    Ok(IsLast(true)) => return CloseReason::Rejected,
                    Err(reason) => return reason,
                },
                read = timeout(limits::PEER_IDLE_TIMEOUT, io.read_buf(bytes)) => match read {
                    // An incomplete last line is discarded.
                    Ok(Ok(0)) => return CloseReason::ClosedByPeer,
                    Ok(Ok(_)) => {}
                    Ok(Err(error)) => return error.into(),
                    Err(_) => return CloseReason::Idle,
                },
                () = sleep(limits::CLOSE_READ_TIMEOUT), if closing.is_some() => {
                    return self.answer_and_close(parts.io, closing).await;
                }
                begun = self.closing.closing(), if closing.is_none() => closing = Some(begun),
            }
        }
    }
}

/// Applies the limits on the incomplete line in the buffer, and reserves buffer space for the next read.
fn prepare_read(bytes: &mut BytesMut, partial_line: &mut PartialLineReservation) -> Result<(), CloseReason> {
    if bytes.len() > limits::MAX_LINE_BYTES {
        return Err(LineError::TooLong { max_bytes: limits::MAX_LINE_BYTES }.into());
    }
    partial_line.resize(bytes.len())?;
    if bytes.is_empty() && bytes.capacity() > limits::MAX_IDLE_BUFFER_BYTES {
        *bytes = BytesMut::new();
    }
    // The buffer space limits the size of a read, and thereby of a chunk.
    bytes.reserve(limits::CHUNK_BYTES);
    Ok(())
}
