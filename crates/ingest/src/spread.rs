//! Which reader a connection belongs to. Decoding is shared among all by itself; what is decided here is who
//! reads, and so whose connections end with it.

use crate::{ConnectionId, CoreId};
use std::collections::BTreeMap;

/// The part of what a reader has carried that still counts after a beat.
const KEPT: f64 = 0.8;
/// What a connection that has said nothing yet counts for, in bytes a beat: many quiet ones are work too.
const QUIET: f64 = 1000.0;

#[derive(Clone, Debug, Default)]
struct Reader {
    down: bool,
    connections: usize,
    /// Bytes of late, older ones less.
    carried: f64,
}

#[derive(Clone, Debug, Default)]
pub struct Spread {
    readers: Vec<Reader>,
    connections: BTreeMap<ConnectionId, CoreId>,
}

impl Spread {
    pub fn over(readers: usize) -> Self {
        Spread { readers: vec![Reader::default(); readers], connections: BTreeMap::new() }
    }

    /// The reader that has least to do; none where all are down.
    pub fn zone(&mut self, id: ConnectionId) -> Option<CoreId> {
        let burden = |reader: &Reader| reader.carried + reader.connections as f64 * QUIET;
        let up = self.readers.iter().enumerate().filter(|(_, reader)| !reader.down);
        let (core, _) = up.min_by(|a, b| burden(a.1).total_cmp(&burden(b.1)))?;
        self.readers[core].connections += 1;
        self.connections.insert(id, core);
        Some(core)
    }

    pub fn reader_of(&self, id: ConnectionId) -> Option<CoreId> {
        self.connections.get(&id).copied()
    }

    pub fn ended(&mut self, id: ConnectionId) {
        if let Some(reader) = self.connections.remove(&id).and_then(|core| self.readers.get_mut(core)) {
            reader.connections = reader.connections.saturating_sub(1);
        }
    }

    pub fn carried(&mut self, id: ConnectionId, bytes: usize) {
        let core = self.connections.get(&id).copied();
        if let Some(reader) = core.and_then(|core| self.readers.get_mut(core)) {
            reader.carried += bytes as f64;
        }
    }

    /// Some time has passed: what was carried counts less.
    pub fn beat(&mut self) {
        self.readers.iter_mut().for_each(|reader| reader.carried *= KEPT);
    }

    /// A reader stopped: it gets no more, and the connections that were its are told.
    pub fn down(&mut self, core: CoreId) -> Vec<ConnectionId> {
        let lost: Vec<_> =
            self.connections.iter().filter(|(_, at)| **at == core).map(|(id, _)| *id).collect();
        lost.iter().for_each(|id| self.ended(*id));
        self.readers.get_mut(core).into_iter().for_each(|reader| (reader.down, reader.carried) = (true, 0.0));
        lost
    }

    pub fn up(&mut self, core: CoreId) {
        self.readers.get_mut(core).into_iter().for_each(|reader| reader.down = false);
    }

    pub fn connections(&self, core: CoreId) -> usize {
        self.readers.get(core).map_or(0, |reader| reader.connections)
    }
}
