//! The routing table of a slice: weighted endpoints, as they should be and as the proxies were sent them.

use crate::api::{ReplicaId, SliceId};
use std::collections::BTreeMap;

/// The weight of an owner.
pub(crate) const FULL_WEIGHT: f64 = 1.0;
/// The weight of a standby endpoint: enough for retries to find it, too little to be sent much.
pub(crate) const STANDBY_WEIGHT: f64 = 0.01;

/// Weights by replica; each is above 0.
type Endpoints = BTreeMap<ReplicaId, f64>;

/// Whether a diff names the endpoints that have to go.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Removals {
    /// Each by a weight of 0.
    Listed,
    /// No: where a slice has a single writer, a new endpoint takes the place of the former.
    Implied,
}

/// The endpoints of a slice.
#[derive(Default)]
pub(crate) struct RoutingTable {
    /// The table as it should be.
    pub desired: Endpoints,
    /// The table as the proxies were sent it.
    pub applied: Endpoints,
}

impl RoutingTable {
    /// A table that the proxies hold already, as the store has it.
    pub(crate) fn new(endpoints: &[(ReplicaId, f64)]) -> Self {
        let desired: Endpoints = endpoints.iter().copied().filter(|(_, weight)| *weight > 0.0).collect();
        RoutingTable { applied: desired.clone(), desired }
    }

    /// Puts one endpoint in the place of another in the desired table; either may be missing.
    pub(crate) fn replace_endpoint(&mut self, from: Option<ReplicaId>, to: Option<(ReplicaId, f64)>) {
        if let Some(id) = from {
            self.desired.remove(&id);
        }
        self.desired.extend(to);
    }

    /// Notes endpoints that were sent.
    pub(crate) fn record_applied(&mut self, endpoints: &[(ReplicaId, f64)], removals: Removals) {
        if removals == Removals::Implied && !endpoints.is_empty() {
            self.applied.clear();
        }
        self.applied.extend(endpoints.iter().copied());
        self.applied.retain(|_, weight| *weight > 0.0);
    }

    /// Whether the proxies were sent the desired table.
    pub(crate) fn is_applied(&self) -> bool {
        self.desired == self.applied
    }

    /// Whether an endpoint has less than half of the heaviest weight, so that it is there for retries only.
    pub(crate) fn is_standby(&self, replica: &ReplicaId) -> bool {
        let heaviest = self.desired.values().fold(0.0, |most: f64, weight| most.max(*weight));
        self.desired.get(replica).is_some_and(|weight| weight * 2.0 < heaviest)
    }

    /// The share of the slice's requests that each endpoint gets.
    pub(crate) fn request_shares(&self) -> impl Iterator<Item = (ReplicaId, f64)> + '_ {
        let total: f64 = self.desired.values().sum();
        self.desired.iter().map(move |(id, weight)| (*id, weight / total))
    }

    /// The endpoints that are no standbys.
    pub(crate) fn owners(&self) -> impl Iterator<Item = ReplicaId> + '_ {
        self.desired.keys().copied().filter(|id| !self.is_standby(id))
    }

    /// The owner, where there is just one.
    pub(crate) fn sole_owner(&self) -> Option<ReplicaId> {
        let mut owners = self.owners();
        owners.next().filter(|_| owners.next().is_none())
    }

    /// The endpoints that turn the applied table into the desired one, new ones first; weight 0 removes one.
    pub(crate) fn diff(&self, removals: Removals) -> Vec<(ReplicaId, f64)> {
        let is_new = |(id, weight): &(&ReplicaId, &f64)| self.applied.get(id) != Some(weight);
        let new = self.desired.iter().filter(is_new).map(|(id, weight)| (*id, *weight));
        let is_old = |id: &&ReplicaId| removals == Removals::Listed && !self.desired.contains_key(id);
        let old = self.applied.keys().filter(is_old).map(|id| (*id, 0.0));
        new.chain(old).collect()
    }
}

/// A move of a slice from one owner to another.
#[derive(Clone, Copy)]
pub(crate) struct SliceMove {
    pub slice: SliceId,
    pub from: ReplicaId,
    pub to: ReplicaId,
}
