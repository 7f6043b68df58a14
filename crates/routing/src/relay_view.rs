//! What is known of the relay's store, and how far it can be relied on.

use crate::routing_snapshot::{RoutingSnapshot, RoutingTable};
use std::collections::{BTreeMap, BTreeSet};
use whinwall_policy::api::{ProxyId, SliceId};

/// The connected proxies and this controller's slices, as the relay watch has delivered them.
#[derive(Default)]
pub(crate) struct RelayView {
    pub proxies: BTreeSet<ProxyId>,
    /// The routing tables as the store has them, once it has carried out all commands.
    pub tables: BTreeMap<SliceId, RoutingTable>,
    pub snapshot: RoutingSnapshot,
    /// Slices with commands that were pending, or issued, since the watch was last opened: of these a snapshot may
    /// show the state before or after the commands.
    pub slices_in_motion: BTreeSet<SliceId>,
    /// Slices that the snapshot in progress was the first to grant: an endpoint that it adds to them later is a late
    /// piece, whatever was commanded meanwhile.
    pub first_granted_slices: BTreeSet<SliceId>,
    /// A request was rejected, or crossed with a slice that changed hands: no commands are issued until the store
    /// was read again, or cannot be read.
    pub is_in_doubt: bool,
}
