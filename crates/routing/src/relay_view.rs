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
    /// Slices with commands that were pending when the watch was last opened, or were issued since. A snapshot may
    /// show their state before or after these commands.
    pub slices_with_recent_commands: BTreeSet<SliceId>,
    /// Slices that were unknown before the snapshot in progress granted them. An endpoint that the snapshot adds to
    /// one of them later belongs to the table of the grant, even if commands for the slice were issued in between.
    pub first_granted_slices: BTreeSet<SliceId>,
    /// Slices with commands that were dropped although the store may not have applied them. Their tables are passed to
    /// the policy again with the next snapshot, whatever they are.
    pub slices_to_reread: BTreeSet<SliceId>,
    /// True if the store may differ from `tables`, for example because a request was rejected, or was in flight while
    /// one of its slices was granted or revoked. No commands are issued until the store has been reread or the watch
    /// is lost.
    pub needs_reread: bool,
}
