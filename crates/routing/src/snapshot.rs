//! What the relay says that stands, piece by piece: joined proxies, and slices with their lines. Its end is
//! not marked, and neither is that of a table.

use std::collections::{BTreeMap, BTreeSet};
use whinwall_policy::api::{ProxyId, ReplicaId, SliceId};
use whinwall_policy::time::{Moment, Span};

pub type Table = BTreeMap<ReplicaId, f64>;

/// Lines that belong together may come in pieces, but seldom with longer pauses than this.
const PIECES: Span = Span::ms(100);

/// Who and what was named since the relay began to say what stands.
#[derive(Default)]
pub struct Named {
    pub proxies: BTreeSet<ProxyId>,
    pub slices: BTreeSet<SliceId>,
    /// How many slices were not as we left them.
    pub differ: usize,
}

#[derive(Default)]
pub struct Snapshot {
    /// There while all that stands is being said: what is not named by its end is gone.
    named: Option<Named>,
    /// Tables that may still lack lines.
    tables: BTreeMap<SliceId, Table>,
    last: Moment,
}

impl Snapshot {
    pub fn beginning() -> Self {
        Snapshot { named: Some(Named::default()), ..Snapshot::default() }
    }

    /// After a break of the news most of what is said is known.
    pub fn is_whole(&self) -> bool {
        self.named.is_some()
    }

    pub fn joined(&mut self, proxy: ProxyId) {
        self.named.iter_mut().for_each(|named| _ = named.proxies.insert(proxy));
    }

    pub fn granted(&mut self, now: Moment, slice: SliceId) {
        self.named.iter_mut().for_each(|named| _ = named.slices.insert(slice));
        self.tables.insert(slice, Table::new());
        self.last = now;
    }

    pub fn revoked(&mut self, slice: SliceId) {
        self.tables.remove(&slice);
    }

    /// A line of a table; one that comes after its table was handed over is a late piece of it.
    pub fn line(&mut self, now: Moment, slice: SliceId, handed_over: Option<&Table>, line: (ReplicaId, f64)) {
        if let (false, Some(table)) = (self.tables.contains_key(&slice), handed_over) {
            self.tables.insert(slice, table.clone());
        }
        if let Some(table) = self.tables.get_mut(&slice) {
            table.insert(line.0, line.1);
            self.last = now;
        }
    }

    /// From then on no further line is expected for tables that have some. That one has none at all is
    /// believed only once something else is said: to take a table for empty is to fill it.
    pub fn settles(&self) -> Option<Moment> {
        self.tables.values().any(|table| !table.is_empty()).then_some(self.last + PIECES)
    }

    /// The tables that lack nothing any more.
    pub fn settled(&mut self, now: Moment) -> BTreeMap<SliceId, Table> {
        if self.settles().is_none_or(|at| now < at) {
            return BTreeMap::new();
        }
        let tables = std::mem::take(&mut self.tables);
        let (empty, full) = tables.into_iter().partition(|(_, table)| table.is_empty());
        self.tables = empty;
        full
    }

    /// Something else was said: all tables are there.
    pub fn rest(&mut self) -> BTreeMap<SliceId, Table> {
        std::mem::take(&mut self.tables)
    }

    /// Whether a table that is not handed over yet names this replica.
    pub fn mentions(&self, replica: ReplicaId) -> bool {
        self.tables.values().any(|table| table.contains_key(&replica))
    }

    pub fn differed(&mut self) {
        self.named.iter_mut().for_each(|named| named.differ += 1);
    }

    /// All names, where all were said.
    pub fn ended(&mut self) -> Option<Named> {
        self.named.take()
    }
}
