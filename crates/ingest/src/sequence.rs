//! In what order decoded chunks count: those of one connection as they were read, whoever decoded them and
//! however long that took; connections do not wait for each other.

use crate::ConnectionId;
use std::collections::BTreeMap;
use whinwall_policy::time::{Moment, Span};

/// What one connection said, in order.
#[derive(Debug)]
struct Lane<B> {
    next: u64,
    /// Came before their turn.
    early: BTreeMap<u64, B>,
    /// Since when the next one is missing though a later one is there.
    gap: Option<Moment>,
    /// How many chunks there are in all, once that is known.
    ends: Option<u64>,
}

/// What is to be done with a chunk that has come, or with an end.
#[derive(Debug, PartialEq)]
pub struct Due<B> {
    pub chunks: Vec<B>,
    /// The connection is through: all that it said is among these or came before.
    pub ended: bool,
}

impl<B> Default for Due<B> {
    fn default() -> Self {
        Due { chunks: Vec::new(), ended: false }
    }
}

#[derive(Debug)]
pub struct Sequence<B> {
    lanes: BTreeMap<ConnectionId, Lane<B>>,
    patience: Span,
    /// Chunks that came for nobody: too late, or twice.
    late: u64,
}

impl<B> Sequence<B> {
    /// A chunk may be missing for so long; then its connection is given up.
    pub fn new(patience: Span) -> Self {
        Sequence { lanes: BTreeMap::new(), patience, late: 0 }
    }

    pub fn open(&mut self, id: ConnectionId) {
        self.lanes.entry(id).or_insert_with(|| Lane {
            next: 0,
            early: BTreeMap::new(),
            gap: None,
            ends: None,
        });
    }

    /// The chunks whose turn it is now.
    pub fn take(&mut self, now: Moment, id: ConnectionId, number: u64, chunk: B) -> Due<B> {
        let Some(lane) = self.lanes.get_mut(&id).filter(|lane| number >= lane.next) else {
            self.late += 1;
            return Due::default();
        };
        if lane.early.insert(number, chunk).is_some() {
            self.late += 1;
        }
        self.due(now, id)
    }

    /// It said so many chunks and will say no more.
    pub fn ends(&mut self, now: Moment, id: ConnectionId, after: u64) -> Due<B> {
        let Some(lane) = self.lanes.get_mut(&id) else { return Due::default() };
        lane.ends = Some(after);
        self.due(now, id)
    }

    fn due(&mut self, now: Moment, id: ConnectionId) -> Due<B> {
        let Some(lane) = self.lanes.get_mut(&id) else { return Due::default() };
        let mut chunks = Vec::new();
        while let Some(chunk) = lane.early.remove(&lane.next) {
            chunks.push(chunk);
            lane.next += 1;
            lane.gap = None;
        }
        let missing = !lane.early.is_empty() || lane.ends.is_some_and(|after| lane.next < after);
        lane.gap = if missing { lane.gap.or(Some(now)) } else { None };
        let ended = lane.ends.is_some_and(|after| lane.next >= after);
        if ended {
            self.lanes.remove(&id);
        }
        Due { chunks, ended }
    }

    /// Whatever still comes of it is nobody's. True where it was known.
    pub fn give_up(&mut self, id: ConnectionId) -> bool {
        self.lanes.remove(&id).is_some()
    }

    /// The connections that lack a chunk for too long: somebody has it and does not go on. They are given up;
    /// what came after the missing one counts as little as that, for the collector will say it anew.
    pub fn overdue(&mut self, now: Moment) -> Vec<ConnectionId> {
        let late = |lane: &Lane<B>| lane.gap.is_some_and(|since| now - since > self.patience);
        let over: Vec<_> = self.lanes.iter().filter(|(_, lane)| late(lane)).map(|(id, _)| *id).collect();
        over.iter().for_each(|id| _ = self.give_up(*id));
        over
    }

    /// When `overdue` is worth a call.
    pub fn next(&self) -> Option<Moment> {
        self.lanes.values().filter_map(|lane| lane.gap).min().map(|since| since + self.patience)
    }

    pub fn late(&self) -> u64 {
        self.late
    }

    /// Connections that are open, and chunks that wait for their turn.
    pub fn held(&self) -> (usize, usize) {
        (self.lanes.len(), self.lanes.values().map(|lane| lane.early.len()).sum())
    }
}
