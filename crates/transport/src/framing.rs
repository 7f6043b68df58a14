//! Lines out of bytes. A line without its end is no line: half a number reads like a whole one.

use super::limits;
use actix_codec::{Decoder, Encoder};
use bytes::{Buf, BufMut, BytesMut};
use std::io::{Error, ErrorKind};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// What lines without their end may take in memory, of all connections that share it. Where that is too much,
/// whoever holds more than an even share goes: many strangers with long lines cost no collector its place.
#[derive(Clone)]
pub struct Unfinished {
    held: Arc<AtomicUsize>,
    most: usize,
    share: usize,
}

impl Unfinished {
    pub fn new(most: usize, connections: usize) -> Self {
        Unfinished { held: Arc::default(), most, share: most / connections.max(1) }
    }
}

/// The part of one connection.
pub struct Held {
    all: Unfinished,
    own: usize,
}

impl Held {
    pub fn none(all: &Unfinished) -> Self {
        Held { all: all.clone(), own: 0 }
    }

    /// False where it is too much.
    pub fn set(&mut self, own: usize) -> bool {
        // Only ever added to and taken from: what others hold meanwhile is in the sum or not, and both will
        // do.
        let all = match own >= self.own {
            true => self.all.held.fetch_add(own - self.own, Ordering::Relaxed) + (own - self.own),
            false => self.all.held.fetch_sub(self.own - own, Ordering::Relaxed) - (self.own - own),
        };
        self.own = own;
        own <= self.all.share || all <= self.all.most
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.set(0);
    }
}

pub struct Lines {
    limit: usize,
    held: Option<Held>,
    ending: &'static str,
    /// So much of the buffer holds no end of a line.
    searched: usize,
}

impl Lines {
    pub fn new(limit: usize) -> Self {
        Lines { limit, held: None, ending: "\n", searched: 0 }
    }

    pub fn with_crlf(limit: usize) -> Self {
        Lines { ending: "\r\n", ..Lines::new(limit) }
    }

    /// From now on a line may have so many bytes.
    pub fn allow(&mut self, limit: usize) {
        self.limit = limit;
    }

    pub fn within(limit: usize, all: &Unfinished) -> Self {
        Lines { held: Some(Held::none(all)), ..Lines::new(limit) }
    }
}

impl Decoder for Lines {
    type Item = String;
    type Error = Error;

    fn decode(&mut self, bytes: &mut BytesMut) -> Result<Option<String>, Error> {
        let wrong = |why: &str| Err(Error::new(ErrorKind::InvalidData, why));
        let end = memchr::memchr(b'\n', &bytes[self.searched..]).map(|at| at + self.searched);
        if end.unwrap_or(bytes.len()) > self.limit {
            return wrong("a line is too long");
        }
        let Some(end) = end else {
            self.searched = bytes.len();
            return match self.held.as_mut().is_none_or(|held| held.set(bytes.len())) {
                true => Ok(None),
                false => wrong("too much memory is taken by lines without an end"),
            };
        };
        self.searched = 0;
        let line = bytes.split_to(end);
        bytes.advance(1);
        if bytes.is_empty() && bytes.capacity() > limits::BUFFER {
            *bytes = BytesMut::new();
        }
        let line = line.strip_suffix(b"\r").unwrap_or(&line);
        match std::str::from_utf8(line) {
            Ok(line) => Ok(Some(line.to_string())),
            Err(_) => wrong("a line is no text"),
        }
    }

    fn decode_eof(&mut self, bytes: &mut BytesMut) -> Result<Option<String>, Error> {
        self.decode(bytes)
    }
}

impl Encoder<String> for Lines {
    type Error = Error;

    fn encode(&mut self, line: String, bytes: &mut BytesMut) -> Result<(), Error> {
        bytes.reserve(line.len() + self.ending.len());
        bytes.put_slice(line.as_bytes());
        bytes.put_slice(self.ending.as_bytes());
        Ok(())
    }
}
