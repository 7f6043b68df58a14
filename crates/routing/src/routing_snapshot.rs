//! Assembles the state that the relay watch delivers one item at a time: connected proxies, and slices with their
//! endpoints. The protocol marks neither the end of a snapshot nor that of a routing table.

use std::collections::{BTreeMap, BTreeSet};
use whinwall_policy::api::{ProxyId, ReplicaId, SliceId};
use whinwall_policy::time::{Moment, Span};

/// The weights of a slice's endpoints.
pub(crate) type RoutingTable = BTreeMap<ReplicaId, f64>;

/// Routing tables are complete when no further endpoint arrived for this duration.
const TABLE_COMPLETE_AFTER: Span = Span::ms(100);

/// The contents of a complete snapshot. Proxies and slices that are not in it no longer exist.
#[derive(Default)]
pub(crate) struct SnapshotContents {
    pub proxies: BTreeSet<ProxyId>,
    pub slices: BTreeSet<SliceId>,
    /// The slices whose routing tables were taken as complete.
    pub read_slices: BTreeSet<SliceId>,
    /// The number of slices whose routing table differs from the known one.
    pub changed_slices: usize,
}

/// A snapshot in progress, and routing tables that are still being delivered.
#[derive(Default)]
pub(crate) struct RoutingSnapshot {
    /// `None` outside a snapshot, while the watch delivers changes as they happen.
    contents: Option<SnapshotContents>,
    /// Routing tables whose endpoints may not all have arrived.
    partial_tables: BTreeMap<SliceId, RoutingTable>,
    last_endpoint_at: Moment,
}

impl RoutingSnapshot {
    /// Begins a snapshot.
    pub fn started() -> Self {
        RoutingSnapshot { contents: Some(SnapshotContents::default()), ..RoutingSnapshot::default() }
    }

    /// Returns true while a snapshot is being delivered. After an interruption of the watch most of its contents are
    /// already known.
    pub fn is_in_progress(&self) -> bool {
        self.contents.is_some()
    }

    pub fn add_proxy(&mut self, proxy: ProxyId) {
        self.contents.iter_mut().for_each(|contents| _ = contents.proxies.insert(proxy));
    }

    pub fn add_slice(&mut self, now: Moment, slice: SliceId) {
        self.contents.iter_mut().for_each(|contents| _ = contents.slices.insert(slice));
        self.partial_tables.insert(slice, RoutingTable::new());
        self.last_endpoint_at = now;
    }

    pub fn remove_slice(&mut self, slice: SliceId) {
        self.partial_tables.remove(&slice);
    }

    /// Adds an endpoint to a routing table. If that table was already taken as complete (`known_table`), the endpoint
    /// is a late one: the table is reopened with it.
    pub fn add_endpoint(
        &mut self,
        now: Moment,
        slice: SliceId,
        known_table: Option<&RoutingTable>,
        (replica, weight): (ReplicaId, f64),
    ) {
        if let (false, Some(table)) = (self.partial_tables.contains_key(&slice), known_table) {
            self.partial_tables.insert(slice, table.clone());
        }
        if let Some(table) = self.partial_tables.get_mut(&slice) {
            table.insert(replica, weight);
            self.last_endpoint_at = now;
        }
    }

    /// The time at which the routing tables with endpoints are complete. A table without endpoints counts as empty
    /// only once the watch delivers something else, because the policy fills empty tables.
    pub fn tables_complete_at(&self) -> Option<Moment> {
        let has_endpoints = self.partial_tables.values().any(|table| !table.is_empty());
        has_endpoints.then_some(self.last_endpoint_at + TABLE_COMPLETE_AFTER)
    }

    /// Takes the routing tables that are complete at this time.
    pub fn take_complete_tables(&mut self, now: Moment) -> BTreeMap<SliceId, RoutingTable> {
        if self.tables_complete_at().is_none_or(|at| now < at) {
            return BTreeMap::new();
        }
        let tables = std::mem::take(&mut self.partial_tables);
        let (empty, complete) = tables.into_iter().partition(|(_, table)| table.is_empty());
        self.partial_tables = empty;
        complete
    }

    /// Takes all routing tables. Called when the watch delivers something else, which completes them.
    pub fn take_all_tables(&mut self) -> BTreeMap<SliceId, RoutingTable> {
        std::mem::take(&mut self.partial_tables)
    }

    /// Returns true if a routing table that was not taken yet contains this replica.
    pub fn has_replica(&self, replica: ReplicaId) -> bool {
        self.partial_tables.values().any(|table| table.contains_key(&replica))
    }

    /// Records that the routing table of a slice was taken as complete.
    pub fn record_read(&mut self, slice: SliceId) {
        self.contents.iter_mut().for_each(|contents| _ = contents.read_slices.insert(slice));
    }

    /// Forgets which routing tables were taken as complete, because a new snapshot will deliver them again.
    pub fn clear_read(&mut self) {
        self.contents.iter_mut().for_each(|contents| contents.read_slices.clear());
    }

    /// Returns true if the snapshot in progress has delivered the routing table of this slice.
    pub fn has_read(&self, slice: SliceId) -> bool {
        self.contents.as_ref().is_some_and(|contents| contents.read_slices.contains(&slice))
    }

    pub fn count_changed_slice(&mut self) {
        self.contents.iter_mut().for_each(|contents| contents.changed_slices += 1);
    }

    /// Ends the snapshot and returns its contents, if one is in progress.
    pub fn finish(&mut self) -> Option<SnapshotContents> {
        self.contents.take()
    }
}
