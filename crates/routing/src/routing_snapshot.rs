//! The state that the relay watch delivers, piece by piece: connected proxies, and slices with their endpoints.
//! Neither the end of a snapshot nor that of a routing table is marked.

use std::collections::{BTreeMap, BTreeSet};
use whinwall_policy::api::{ProxyId, ReplicaId, SliceId};
use whinwall_policy::time::{Moment, Span};

/// The weights of a slice's endpoints.
pub(crate) type RoutingTable = BTreeMap<ReplicaId, f64>;

/// A routing table is complete when no further endpoint of it arrived for so long.
const TABLE_COMPLETE_AFTER: Span = Span::ms(100);

/// What a complete snapshot named: all else is gone.
#[derive(Default)]
pub(crate) struct SnapshotContents {
    pub proxies: BTreeSet<ProxyId>,
    pub slices: BTreeSet<SliceId>,
    /// The number of slices whose routing table was not as this controller left it.
    pub changed_slices: usize,
}

/// What is known of a snapshot that is being delivered.
#[derive(Default)]
pub(crate) struct RoutingSnapshot {
    /// None outside a snapshot, while changes are delivered as they happen.
    contents: Option<SnapshotContents>,
    /// Routing tables that may still lack endpoints.
    partial_tables: BTreeMap<SliceId, RoutingTable>,
    last_endpoint: Moment,
}

impl RoutingSnapshot {
    /// A snapshot that begins now.
    pub fn started() -> Self {
        RoutingSnapshot { contents: Some(SnapshotContents::default()), ..RoutingSnapshot::default() }
    }

    /// Whether a snapshot is being delivered. After a break of the watch most of it is known.
    pub fn is_in_progress(&self) -> bool {
        self.contents.is_some()
    }

    pub fn add_proxy(&mut self, proxy: ProxyId) {
        self.contents.iter_mut().for_each(|contents| _ = contents.proxies.insert(proxy));
    }

    pub fn add_slice(&mut self, now: Moment, slice: SliceId) {
        self.contents.iter_mut().for_each(|contents| _ = contents.slices.insert(slice));
        self.partial_tables.insert(slice, RoutingTable::new());
        self.last_endpoint = now;
    }

    pub fn remove_slice(&mut self, slice: SliceId) {
        self.partial_tables.remove(&slice);
    }

    /// Adds an endpoint to a routing table. One that arrives after its table was handed over is a late piece of it.
    pub fn add_endpoint(
        &mut self,
        now: Moment,
        slice: SliceId,
        handed_over: Option<&RoutingTable>,
        (replica, weight): (ReplicaId, f64),
    ) {
        if let (false, Some(table)) = (self.partial_tables.contains_key(&slice), handed_over) {
            self.partial_tables.insert(slice, table.clone());
        }
        if let Some(table) = self.partial_tables.get_mut(&slice) {
            table.insert(replica, weight);
            self.last_endpoint = now;
        }
    }

    /// When routing tables that have endpoints are complete. That one has none at all is believed only once the
    /// watch delivers something else: to take a table for empty is to fill it.
    pub fn tables_complete_at(&self) -> Option<Moment> {
        let has_endpoints = self.partial_tables.values().any(|table| !table.is_empty());
        has_endpoints.then_some(self.last_endpoint + TABLE_COMPLETE_AFTER)
    }

    /// Hands over the routing tables that are complete by now.
    pub fn take_complete_tables(&mut self, now: Moment) -> BTreeMap<SliceId, RoutingTable> {
        if self.tables_complete_at().is_none_or(|at| now < at) {
            return BTreeMap::new();
        }
        let tables = std::mem::take(&mut self.partial_tables);
        let (empty, complete) = tables.into_iter().partition(|(_, table)| table.is_empty());
        self.partial_tables = empty;
        complete
    }

    /// Hands over all routing tables: the watch delivers something else.
    pub fn take_all_tables(&mut self) -> BTreeMap<SliceId, RoutingTable> {
        std::mem::take(&mut self.partial_tables)
    }

    /// Whether a routing table that is not handed over yet names this replica.
    pub fn has_replica(&self, replica: ReplicaId) -> bool {
        self.partial_tables.values().any(|table| table.contains_key(&replica))
    }

    pub fn count_changed_slice(&mut self) {
        self.contents.iter_mut().for_each(|contents| contents.changed_slices += 1);
    }

    /// Ends the snapshot, where one is being delivered.
    pub fn finish(&mut self) -> Option<SnapshotContents> {
        self.contents.take()
    }
}
