//! The line codec. A line without its terminator is never decoded, since a truncated number can look like a valid one.

use super::limits;
use actix_codec::{Decoder, Encoder};
use bytes::{Buf, BufMut, BytesMut};
use std::io::{Error, ErrorKind};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// The memory budget for incomplete lines, shared by all connections that hold a clone. If it is exceeded, connections
/// that use more than an even share are disconnected. Therefore, long lines of unauthenticated peers cannot cause
/// collectors with short lines to be disconnected.
#[derive(Clone)]
pub struct PartialLineBudget {
    reserved_bytes: Arc<AtomicUsize>,
    max_bytes: usize,
    even_share_bytes: usize,
}

impl PartialLineBudget {
    /// Creates a budget of `max_bytes` for a maximum of `connections` connections.
    pub fn new(max_bytes: usize, connections: usize) -> Self {
        let even_share_bytes = max_bytes / connections.max(1);
        PartialLineBudget { reserved_bytes: Arc::default(), max_bytes, even_share_bytes }
    }
}

/// The part of the budget that one connection has reserved; released when dropped.
pub(crate) struct PartialLineReservation {
    budget: PartialLineBudget,
    bytes: usize,
}

impl PartialLineReservation {
    /// Creates an empty reservation.
    pub fn empty(budget: &PartialLineBudget) -> Self {
        PartialLineReservation { budget: budget.clone(), bytes: 0 }
    }

    /// Grows or shrinks the reservation.
    ///
    /// # Errors
    /// [`LineError::BudgetExceeded`] if the budget is exceeded and the reservation is larger than an even share.
    pub fn resize(&mut self, bytes: usize) -> Result<(), LineError> {
        // Relaxed ordering suffices: concurrent reservations of other connections may or may not be in the sum.
        let reserved = &self.budget.reserved_bytes;
        let total_bytes = match bytes.checked_sub(self.bytes) {
            Some(added) => reserved.fetch_add(added, Ordering::Relaxed) + added,
            None => {
                let released = self.bytes - bytes;
                reserved.fetch_sub(released, Ordering::Relaxed) - released
            }
        };
        self.bytes = bytes;
        let PartialLineBudget { max_bytes, even_share_bytes, .. } = self.budget;
        if bytes <= even_share_bytes || total_bytes <= max_bytes {
            Ok(())
        } else {
            Err(LineError::BudgetExceeded { max_bytes })
        }
    }
}

impl Drop for PartialLineReservation {
    fn drop(&mut self) {
        _ = self.resize(0);
    }
}

/// The reason why received bytes cannot be decoded as a line.
#[derive(Clone, Copy, Debug, thiserror::Error)]
pub(crate) enum LineError {
    #[error("line longer than {max_bytes} bytes")]
    TooLong { max_bytes: usize },
    #[error("incomplete lines of all connections exceed the memory limit of {max_bytes} bytes")]
    BudgetExceeded { max_bytes: usize },
    #[error("line is not valid UTF-8")]
    NotUtf8,
}

impl From<LineError> for Error {
    fn from(error: LineError) -> Error {
        Error::new(ErrorKind::InvalidData, error)
    }
}

/// Decodes lines that end in LF or CRLF, and encodes lines with either LF or CRLF. Errors of kind `InvalidData` mean
/// that the received bytes cannot be decoded.
pub struct LineCodec {
    max_line_bytes: usize,
    reservation: Option<PartialLineReservation>,
    line_terminator: &'static str,
    /// The length of the prefix of the buffer that is known to contain no LF.
    searched_bytes: usize,
}

impl LineCodec {
    /// Creates a codec for lines of at most `max_line_bytes`, encoded with LF.
    pub fn new(max_line_bytes: usize) -> Self {
        LineCodec { max_line_bytes, reservation: None, line_terminator: "\n", searched_bytes: 0 }
    }

    /// Creates a codec for lines of at most `max_line_bytes`, encoded with CRLF.
    pub fn with_crlf(max_line_bytes: usize) -> Self {
        LineCodec { line_terminator: "\r\n", ..LineCodec::new(max_line_bytes) }
    }

    /// Creates a codec for lines of at most `max_line_bytes`, encoded with LF, whose incomplete lines are also
    /// limited by the budget.
    pub fn with_budget(max_line_bytes: usize, budget: &PartialLineBudget) -> Self {
        let reservation = Some(PartialLineReservation::empty(budget));
        LineCodec { reservation, ..LineCodec::new(max_line_bytes) }
    }

    /// Changes the maximum size of subsequent lines.
    pub fn set_max_line_bytes(&mut self, max_line_bytes: usize) {
        self.max_line_bytes = max_line_bytes;
    }
}

impl Decoder for LineCodec {
    type Item = String;
    type Error = Error;

    fn decode(&mut self, bytes: &mut BytesMut) -> Result<Option<String>, Error> {
        let unsearched = &bytes[self.searched_bytes..];
        let end = memchr::memchr(b'\n', unsearched).map(|position| position + self.searched_bytes);
        if end.unwrap_or(bytes.len()) > self.max_line_bytes {
            return Err(LineError::TooLong { max_bytes: self.max_line_bytes }.into());
        }
        let Some(end) = end else {
            self.searched_bytes = bytes.len();
            if let Some(reservation) = &mut self.reservation {
                reservation.resize(bytes.len())?;
            }
            return Ok(None);
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
        bytes.reserve(line.len() + self.line_terminator.len());
        bytes.put_slice(line.as_bytes());
        bytes.put_slice(self.line_terminator.as_bytes());
        Ok(())
    }
}
