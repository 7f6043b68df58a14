//! Restores the order of decoded chunks: those of one connection are ready in the order in which they were read,
//! whichever reader decoded them and however long that took. Connections do not wait for each other.

use crate::ConnectionId;
use std::collections::BTreeMap;
use whinwall_policy::time::{Moment, Span};

/// The chunks of one connection.
#[derive(Debug)]
struct ConnectionQueue<C> {
    /// The number of the chunk that is ready next.
    next_number: u64,
    /// Chunks that came before an earlier one.
    early: BTreeMap<u64, C>,
    /// Since when the next chunk is missing although a later one or the end has come.
    missing_since: Option<Moment>,
    /// How many chunks there are in all, once the connection has ended.
    total: Option<u64>,
}

/// The chunks that are ready, in order.
#[derive(Debug, PartialEq)]
pub struct Ready<C> {
    /// The chunks.
    pub chunks: Vec<C>,
    /// Whether the connection has ended and no chunk follows.
    pub is_ended: bool,
}

impl<C> Default for Ready<C> {
    fn default() -> Self {
        Ready { chunks: Vec::new(), is_ended: false }
    }
}

/// How much a buffer holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BufferSize {
    /// Connections that are open, or whose chunks are not complete.
    pub connections: usize,
    /// Chunks that wait for an earlier one.
    pub early_chunks: usize,
}

/// The chunks of all connections.
#[derive(Debug)]
pub struct ReorderBuffer<C> {
    connections: BTreeMap<ConnectionId, ConnectionQueue<C>>,
    chunk_timeout: Span,
    late_chunks: u64,
}

impl<C> ReorderBuffer<C> {
    /// A connection whose next chunk is missing for longer than the timeout is abandoned.
    pub fn new(chunk_timeout: Span) -> Self {
        ReorderBuffer { connections: BTreeMap::new(), chunk_timeout, late_chunks: 0 }
    }

    /// Expects chunks of a connection, numbered from zero.
    pub fn open(&mut self, id: ConnectionId) {
        self.connections.entry(id).or_insert_with(|| ConnectionQueue {
            next_number: 0,
            early: BTreeMap::new(),
            missing_since: None,
            total: None,
        });
    }

    /// Adds a chunk, and returns those of its connection that are ready now.
    pub fn insert(&mut self, now: Moment, id: ConnectionId, number: u64, chunk: C) -> Ready<C> {
        let queue = self.connections.get_mut(&id);
        let Some(queue) = queue.filter(|queue| number >= queue.next_number) else {
            self.late_chunks += 1;
            return Ready::default();
        };
        if queue.early.insert(number, chunk).is_some() {
            self.late_chunks += 1;
        }
        self.take_ready(now, id)
    }

    /// The connection has ended after so many chunks; returns those that are ready now.
    pub fn end(&mut self, now: Moment, id: ConnectionId, total: u64) -> Ready<C> {
        let Some(queue) = self.connections.get_mut(&id) else { return Ready::default() };
        queue.total = Some(total);
        self.take_ready(now, id)
    }

    fn take_ready(&mut self, now: Moment, id: ConnectionId) -> Ready<C> {
        let Some(queue) = self.connections.get_mut(&id) else { return Ready::default() };
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
        Ready { chunks, is_ended }
    }

    /// Forgets a connection; chunks of it that still come are late. False where it is unknown.
    pub fn abandon(&mut self, id: ConnectionId) -> bool {
        self.connections.remove(&id).is_some()
    }

    /// Abandons the connections that miss a chunk for longer than the timeout, as the reader that has it has stopped.
    /// Chunks after the missing one are dropped too: the collector sends all of them again.
    pub fn take_overdue(&mut self, now: Moment) -> Vec<ConnectionId> {
        let is_overdue = |queue: &ConnectionQueue<C>| {
            queue.missing_since.is_some_and(|since| now - since > self.chunk_timeout)
        };
        let overdue: Vec<_> =
            self.connections.iter().filter(|(_, queue)| is_overdue(queue)).map(|(id, _)| *id).collect();
        for id in &overdue {
            self.abandon(*id);
        }
        overdue
    }

    /// The earliest time at which `take_overdue` may find something.
    pub fn next_timeout_at(&self) -> Option<Moment> {
        let earliest = self.connections.values().filter_map(|queue| queue.missing_since).min();
        earliest.map(|since| since + self.chunk_timeout)
    }

    /// Chunks that came too late or twice.
    pub fn late_chunks(&self) -> u64 {
        self.late_chunks
    }

    /// How much the buffer holds now.
    pub fn size(&self) -> BufferSize {
        BufferSize {
            connections: self.connections.len(),
            early_chunks: self.connections.values().map(|queue| queue.early.len()).sum(),
        }
    }
}
