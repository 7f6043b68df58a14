//! The routing tables in the relay's store.

use crate::command::ProxyCommand;
use crate::proxy::RoutingTable;
use crate::SliceIndex;
use std::collections::BTreeMap;
use std::sync::Arc;

/// The minimum weight of a full-weight endpoint. An endpoint with a lower weight is on standby.
const FULL_WEIGHT: f64 = 1.0;

/// Routing tables by slice, shared with the proxies that have loaded them.
#[derive(Clone, Default)]
pub struct RelayStore(pub BTreeMap<SliceIndex, Arc<RoutingTable>>);

impl RelayStore {
    /// Returns true if a command makes a replica a full-weight endpoint of a slice and it was not one before.
    pub fn is_migration(&self, command: &ProxyCommand) -> bool {
        let ProxyCommand::SetEndpoint { slice, replica, weight } = command else { return false };
        let stored = self.0.get(slice).and_then(|table| table.get(replica)).copied().unwrap_or(0.0);
        *weight >= FULL_WEIGHT && stored < FULL_WEIGHT
    }

    /// Applies a command. Only `SetEndpoint` commands change the store.
    pub fn apply(&mut self, command: &ProxyCommand) {
        if let ProxyCommand::SetEndpoint { slice, replica, weight } = command {
            let table = self.0.entry(*slice).or_default();
            set_endpoint(table, *replica, *weight);
        }
    }
}

/// Sets the weight of a replica in a routing table, copying the table first if it is shared.
pub(crate) fn set_endpoint(table: &mut Arc<RoutingTable>, replica: usize, weight: f64) {
    let table = Arc::make_mut(table);
    if weight > 0.0 {
        table.insert(replica, weight);
    } else {
        table.remove(&replica);
    }
}
