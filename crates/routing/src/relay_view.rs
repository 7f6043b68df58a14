//! The known state of the relay's store.

use crate::routing_snapshot::{RoutingSnapshot, RoutingTable};
use std::collections::{BTreeMap, BTreeSet};
use whinwall_policy::api::{ProxyId, SliceId};

/// The connected proxies and this controller's slices, as the relay watch has delivered them.
#[derive(Default)]
pub(crate) struct RelayView {
    pub proxies: BTreeSet<ProxyId>,
    /// The routing tables as the store has them after all issued commands are applied.
    pub tables: BTreeMap<SliceId, RoutingTable>,
    pub snapshot: RoutingSnapshot,
    /// The routing tables that the store may have had since the pending commands were issued: the one before them, and
    /// the one after each of them.
    pub pending_tables: BTreeMap<SliceId, Vec<RoutingTable>>,
    /// True from the opening of the watch until its snapshot is complete or the watch is lost.
    pub is_being_read: bool,
    /// Slices with changes of endpoints that were in flight when the watch was last opened, or were sent since, before
    /// the snapshot had delivered their tables. The snapshot may show their state before or after these commands.
    pub overlapping_slices: BTreeSet<SliceId>,
    /// True if a snapshot shows a table that differs from the known one although commands for the slice overlapped with
    /// the snapshot. The store is reread, and no commands are issued until then.
    pub is_ambiguous: bool,
    /// Slices with commands that were dropped although the store may not have applied them. Their tables are passed to
    /// the policy again with the next snapshot, whatever they are.
    pub slices_to_reread: BTreeSet<SliceId>,
    /// True if the store may differ from `tables`, for example because a request was rejected, or was in flight while
    /// one of its slices was granted or revoked. No commands are issued until the store has been reread or the watch
    /// is lost.
    pub needs_reread: bool,
}
