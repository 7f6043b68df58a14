//! What the relay says that stands: joined proxies, and slices with their lines. Its end is not marked.

use std::collections::BTreeMap;
use whinwall::interface::{ProxyId, ServerId, SliceId};
use whinwall::time::{Moment, Span};

pub type Table = BTreeMap<ServerId, f64>;

/// The lines of one table may come in pieces, but not with longer pauses than this.
pub const PIECES: Span = Span::ms(50);

pub struct Snapshot {
    /// All that stands; else only slices that were just given.
    pub whole: bool,
    pub proxies: BTreeMap<ProxyId, bool>,
    pub tables: BTreeMap<SliceId, Table>,
    pub last: Moment,
}

impl Snapshot {
    pub fn new(whole: bool, now: Moment) -> Self {
        Snapshot { whole, proxies: BTreeMap::new(), tables: BTreeMap::new(), last: now }
    }
}
