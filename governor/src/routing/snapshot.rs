//! What the relay says that stands: joined proxies, and slices with their lines. Its end is not marked.

use std::collections::BTreeMap;
use whinwall::interface::{ProxyId, ServerId, SliceId};
use whinwall::time::{Moment, Span};

pub type Table = BTreeMap<ServerId, f64>;

/// Lines that belong together may come in pieces, but with no longer pauses than this.
const PIECES: Span = Span::ms(50);

pub struct Snapshot {
    /// All that stands; else only slices that were just given.
    pub whole: bool,
    pub proxies: BTreeMap<ProxyId, bool>,
    pub tables: BTreeMap<SliceId, Table>,
    last: Moment,
}

impl Snapshot {
    pub fn new(whole: bool, now: Moment) -> Self {
        Snapshot { whole, proxies: BTreeMap::new(), tables: BTreeMap::new(), last: now }
    }

    pub fn grew(&mut self, now: Moment) {
        self.last = now;
    }

    /// From then on no more is expected.
    pub fn ends(&self) -> Moment {
        self.last + PIECES
    }
}
