//! Restores the order of decoded chunks. The chunks of one connection become ready in the order in which they were
//! read, regardless of which reader decoded them and how long that took. Connections do not wait for each other.

use crate::ConnectionId;
use std::collections::BTreeMap;
use whinwall_policy::time::{Moment, Span};

/// The chunks of one connection.
#[derive(Debug)]
struct ConnectionQueue<C> {
    /// The number of the next chunk to become ready.
    next_number: u64,
    /// Chunks that wait for a chunk with a lower number.
    early: BTreeMap<u64, C>,
    /// The time since which the next chunk is missing although a later chunk, or the end of the connection, has
    /// arrived.
    missing_since: Option<Moment>,
    /// The total number of chunks; known once the connection has ended.
    total: Option<u64>,
}

/// The chunks of one connection that are ready.
#[derive(Debug, PartialEq)]
pub struct ReadyChunks<C> {
    /// The chunks, in order.
    pub chunks: Vec<C>,
    /// True if the connection has ended and these are its last chunks.
    pub is_ended: bool,
}

impl<C> Default for ReadyChunks<C> {
    fn default() -> Self {
        ReadyChunks { chunks: Vec::new(), is_ended: false }
    }
}

/// The number of entries in a buffer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BufferSize {
    /// Connections that are open, or have ended with chunks missing.
    pub connections: usize,
    /// Chunks that wait for a chunk with a lower number.
    pub early_chunks: usize,
}

/// Restores the order of the chunks of all connections.
#[derive(Debug)]
pub struct ReorderBuffer<C> {
    connections: BTreeMap<ConnectionId, ConnectionQueue<C>>,
    chunk_timeout: Span,
    late_chunks: u64,
}

impl<C> ReorderBuffer<C> {
    /// Creates an empty buffer. A connection whose next chunk is missing for longer than the time-out is abandoned.
    pub fn new(chunk_timeout: Span) -> Self {
        ReorderBuffer { connections: BTreeMap::new(), chunk_timeout, late_chunks: 0 }
    }

    /// Opens a connection. Its chunks are numbered from 0.
    pub fn open_connection(&mut self, id: ConnectionId) {
        self.connections.entry(id).or_insert_with(|| ConnectionQueue {
            next_number: 0,
            early: BTreeMap::new(),
            missing_since: None,
            total: None,
        });
    }

    /// Adds a chunk, and returns the chunks of its connection that are ready now.
    pub fn insert_chunk(&mut self, now: Moment, id: ConnectionId, number: u64, chunk: C) -> ReadyChunks<C> {
        let queue = self.connections.get_mut(&id);
        let Some(queue) = queue.filter(|queue| number >= queue.next_number) else {
            self.late_chunks += 1;
            return ReadyChunks::default();
        };
        if queue.early.insert(number, chunk).is_some() {
            self.late_chunks += 1;
        }
        self.take_ready(now, id)
    }

    /// Ends a connection after `total` chunks, and returns the chunks that are ready now.
    pub fn end_connection(&mut self, now: Moment, id: ConnectionId, total: u64) -> ReadyChunks<C> {
        let Some(queue) = self.connections.get_mut(&id) else { return ReadyChunks::default() };
        queue.total = Some(total);
        self.take_ready(now, id)
    }

    fn take_ready(&mut self, now: Moment, id: ConnectionId) -> ReadyChunks<C> {
        let Some(queue) = self.connections.get_mut(&id) else { return ReadyChunks::default() };
        let mut chunks = Vec::new();
        while let Some(chunk) = queue.early.remove(&queue.next_number) {
            chunks.push(chunk);
            queue.next_number += 1;
            queue.missing_since = None;
        }
        let is_missing =
            !queue.early.is_empty() || queue.total.is_some_and(|total| queue.next_number < total);
        queue.missing_since = if is_missing { queue.missing_since.or(Some(now)) } else { None };
        let is_ended = queue.total.is_some_and(|total| queue.next_number >= total);
        if is_ended {
            self.connections.remove(&id);
        }
        ReadyChunks { chunks, is_ended }
    }

    /// Removes a connection. Chunks of it that still arrive count as late. Returns false if the connection is
    /// unknown.
    pub fn abandon_connection(&mut self, id: ConnectionId) -> bool {
        self.connections.remove(&id).is_some()
    }

    /// Abandons and returns the connections on which a chunk has been missing for longer than the time-out: the reader
    /// that was to decode it has stopped. Chunks after the missing one are dropped, too, because the collector sends
    /// all of them again.
    pub fn take_overdue(&mut self, now: Moment) -> Vec<ConnectionId> {
        let is_overdue = |queue: &ConnectionQueue<C>| {
            queue.missing_since.is_some_and(|since| now - since > self.chunk_timeout)
        };
        let overdue: Vec<_> =
            self.connections.iter().filter(|(_, queue)| is_overdue(queue)).map(|(id, _)| *id).collect();
        for id in &overdue {
            self.abandon_connection(*id);
        }
        overdue
    }

    /// The earliest time after which `take_overdue` may return a connection.
    pub fn next_timeout_at(&self) -> Option<Moment> {
        let earliest = self.connections.values().filter_map(|queue| queue.missing_since).min();
        earliest.map(|since| since + self.chunk_timeout)
    }

    /// The number of chunks that arrived too late or twice.
    pub fn late_chunks(&self) -> u64 {
        self.late_chunks
    }

    /// The number of entries in the buffer.
    pub fn size(&self) -> BufferSize {
        BufferSize {
            connections: self.connections.len(),
            early_chunks: self.connections.values().map(|queue| queue.early.len()).sum(),
        }
    }
}
