//! Assigns connections to readers. The assignment determines which reader reads a connection, and so which
//! connections are lost when a reader stops. Decoding is shared by all readers.

use crate::{ConnectionId, ReaderId};
use std::collections::BTreeMap;

/// The fraction of a reader's recent bytes that remains after each `decay_load`.
const LOAD_DECAY: f64 = 0.8;
/// The load of an open connection in addition to the bytes that it sends, so that idle connections are spread evenly,
/// too.
const CONNECTION_OVERHEAD_BYTES: f64 = 1000.0;

#[derive(Clone, Debug, Default)]
struct Reader {
    is_disabled: bool,
    connections: usize,
    /// The bytes that its connections sent, with exponential decay.
    recent_bytes: f64,
}

impl Reader {
    fn load(&self) -> f64 {
        self.recent_bytes + self.connections as f64 * CONNECTION_OVERHEAD_BYTES
    }
}

/// The reader of each connection, and the load of the readers.
#[derive(Clone, Debug, Default)]
pub struct Partitioner {
    readers: Vec<Reader>,
    connections: BTreeMap<ConnectionId, ReaderId>,
}

impl Partitioner {
    /// Creates a partitioner for readers that are all enabled and have no connections.
    pub fn new(reader_count: usize) -> Self {
        Partitioner { readers: vec![Reader::default(); reader_count], connections: BTreeMap::new() }
    }

    /// Assigns a new connection to the enabled reader with the least load. Returns `None` if all readers are
    /// disabled.
    pub fn assign(&mut self, id: ConnectionId) -> Option<ReaderId> {
        let enabled = self.readers.iter().enumerate().filter(|(_, reader)| !reader.is_disabled);
        let (reader, _) = enabled.min_by(|a, b| a.1.load().total_cmp(&b.1.load()))?;
        self.readers[reader].connections += 1;
        self.connections.insert(id, reader);
        Some(reader)
    }

    /// The reader that a connection is assigned to.
    pub fn reader_of(&self, id: ConnectionId) -> Option<ReaderId> {
        self.connections.get(&id).copied()
    }

    /// Removes a closed connection.
    pub fn remove(&mut self, id: ConnectionId) {
        let reader = self.connections.remove(&id);
        if let Some(reader) = reader.and_then(|reader| self.readers.get_mut(reader)) {
            reader.connections = reader.connections.saturating_sub(1);
        }
    }

    /// Adds the bytes that a connection sent to the load of its reader.
    pub fn add_bytes(&mut self, id: ConnectionId, bytes: usize) {
        let reader = self.connections.get(&id).copied();
        if let Some(reader) = reader.and_then(|reader| self.readers.get_mut(reader)) {
            reader.recent_bytes += bytes as f64;
        }
    }

    /// Decays the recent bytes of all readers. Called at regular intervals.
    pub fn decay_load(&mut self) {
        for reader in &mut self.readers {
            reader.recent_bytes *= LOAD_DECAY;
        }
    }

    /// Disables a reader that has stopped, so that it is assigned no more connections. Removes its connections and
    /// returns them.
    pub fn disable(&mut self, reader: ReaderId) -> Vec<ConnectionId> {
        let assigned = self.connections.iter().filter(|(_, assigned)| **assigned == reader);
        let lost: Vec<_> = assigned.map(|(id, _)| *id).collect();
        for id in &lost {
            self.remove(*id);
        }
        if let Some(reader) = self.readers.get_mut(reader) {
            reader.is_disabled = true;
            reader.recent_bytes = 0.0;
        }
        lost
    }

    /// Enables a reader, so that it is assigned connections again.
    pub fn enable(&mut self, reader: ReaderId) {
        if let Some(reader) = self.readers.get_mut(reader) {
            reader.is_disabled = false;
        }
    }

    /// The number of connections that are assigned to a reader.
    pub fn connections_of(&self, reader: ReaderId) -> usize {
        self.readers.get(reader).map_or(0, |reader| reader.connections)
    }
}
