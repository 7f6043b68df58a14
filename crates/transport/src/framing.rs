//! The codec of lines. A line without its end is never decoded: half a number reads like a whole one.

use super::limits;
use actix_codec::{Decoder, Encoder};
use bytes::{Buf, BufMut, BytesMut};
use std::io::{Error, ErrorKind};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// The memory that incomplete lines may take, shared by all connections that hold a clone. Beyond it, a connection
/// that holds more than an even share is disconnected: many unauthenticated peers with long lines cost no collector
/// its connection.
#[derive(Clone)]
pub struct PartialLineBudget {
    reserved_bytes: Arc<AtomicUsize>,
    max_bytes: usize,
    even_share_bytes: usize,
}

impl PartialLineBudget {
    /// A budget of so many bytes for so many connections.
    pub fn new(max_bytes: usize, connections: usize) -> Self {
        let even_share_bytes = max_bytes / connections.max(1);
        PartialLineBudget { reserved_bytes: Arc::default(), max_bytes, even_share_bytes }
    }
}

/// What one connection takes of the budget; released when it is dropped.
pub struct PartialLineReservation {
    budget: PartialLineBudget,
    bytes: usize,
}

impl PartialLineReservation {
    /// Reserves nothing yet.
    pub fn none(budget: &PartialLineBudget) -> Self {
        PartialLineReservation { budget: budget.clone(), bytes: 0 }
    }

    /// Grows or shrinks the reservation. False where it is more than the budget has left and an even share.
    pub fn resize(&mut self, bytes: usize) -> bool {
        // Relaxed: what other connections reserve at the same moment may be in the sum or not, and both will do.
        let reserved = &self.budget.reserved_bytes;
        let all_bytes = match bytes.checked_sub(self.bytes) {
            Some(grown) => reserved.fetch_add(grown, Ordering::Relaxed) + grown,
            None => {
                let shrunk = self.bytes - bytes;
                reserved.fetch_sub(shrunk, Ordering::Relaxed) - shrunk
            }
        };
        self.bytes = bytes;
        bytes <= self.budget.even_share_bytes || all_bytes <= self.budget.max_bytes
    }
}

impl Drop for PartialLineReservation {
    fn drop(&mut self) {
        self.resize(0);
    }
}

/// Why bytes are not a line.
#[derive(Clone, Copy, Debug, thiserror::Error)]
enum LineError {
    #[error("a line is too long")]
    TooLong,
    #[error("incomplete lines take too much memory")]
    BudgetExceeded,
    #[error("a line is not UTF-8")]
    NotUtf8,
}

impl From<LineError> for Error {
    fn from(error: LineError) -> Error {
        Error::new(ErrorKind::InvalidData, error)
    }
}

/// Decodes lines that end in LF or CRLF, and encodes lines with one of the two. Its errors of kind `InvalidData` say
/// that the bytes are not lines.
pub struct LineCodec {
    max_line_bytes: usize,
    reservation: Option<PartialLineReservation>,
    line_end: &'static str,
    /// The length of the part of the buffer that is known to hold no end of a line.
    searched_bytes: usize,
}

impl LineCodec {
    /// Lines of at most so many bytes, encoded with LF.
    pub fn new(max_line_bytes: usize) -> Self {
        LineCodec { max_line_bytes, reservation: None, line_end: "\n", searched_bytes: 0 }
    }

    /// Lines of at most so many bytes, encoded with CRLF.
    pub fn with_crlf(max_line_bytes: usize) -> Self {
        LineCodec { line_end: "\r\n", ..LineCodec::new(max_line_bytes) }
    }

    /// Lines of at most so many bytes, encoded with LF; incomplete lines are bounded by the budget as well.
    pub fn within(max_line_bytes: usize, budget: &PartialLineBudget) -> Self {
        let reservation = Some(PartialLineReservation::none(budget));
        LineCodec { reservation, ..LineCodec::new(max_line_bytes) }
    }

    /// Changes the largest size of a line from now on.
    pub fn set_max_line_bytes(&mut self, max_line_bytes: usize) {
        self.max_line_bytes = max_line_bytes;
    }
}

impl Decoder for LineCodec {
    type Item = String;
    type Error = Error;

    fn decode(&mut self, bytes: &mut BytesMut) -> Result<Option<String>, Error> {
        let unsearched = &bytes[self.searched_bytes..];
        let end = memchr::memchr(b'\n', unsearched).map(|at| at + self.searched_bytes);
        if end.unwrap_or(bytes.len()) > self.max_line_bytes {
            return Err(LineError::TooLong.into());
        }
        let Some(end) = end else {
            self.searched_bytes = bytes.len();
            let is_within_budget =
                self.reservation.as_mut().is_none_or(|reservation| reservation.resize(bytes.len()));
            return if is_within_budget { Ok(None) } else { Err(LineError::BudgetExceeded.into()) };
        };
        self.searched_bytes = 0;
        let line = bytes.split_to(end);
        bytes.advance(1);
        if bytes.is_empty() && bytes.capacity() > limits::MAX_IDLE_BUFFER_BYTES {
            *bytes = BytesMut::new();
        }
        let line = line.strip_suffix(b"\r").unwrap_or(&line);
        let text = std::str::from_utf8(line).map_err(|_| LineError::NotUtf8)?;
        Ok(Some(text.to_string()))
    }

    fn decode_eof(&mut self, bytes: &mut BytesMut) -> Result<Option<String>, Error> {
        self.decode(bytes)
    }
}

impl Encoder<String> for LineCodec {
    type Error = Error;

    fn encode(&mut self, line: String, bytes: &mut BytesMut) -> Result<(), Error> {
        bytes.reserve(line.len() + self.line_end.len());
        bytes.put_slice(line.as_bytes());
        bytes.put_slice(self.line_end.as_bytes());
        Ok(())
    }
}
