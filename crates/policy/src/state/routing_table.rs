//! The routing table of a slice: weighted endpoints, as desired and as sent to the proxies.

use crate::api::{ReplicaId, SliceId};
use std::collections::BTreeMap;

/// The weight of an owner.
pub(crate) const FULL_WEIGHT: f64 = 1.0;
/// The weight of a standby endpoint: high enough that retries find it, too low for it to receive much other
/// traffic.
pub(crate) const STANDBY_WEIGHT: f64 = 0.01;

/// Weights by replica; each is greater than 0.
type Endpoints = BTreeMap<ReplicaId, f64>;

/// The way in which a diff removes endpoints.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Removals {
    /// Removed endpoints are listed with a weight of 0.
    Listed,
    /// Removed endpoints are not listed: under single writer, a new endpoint replaces the previous one.
    Implied,
}

/// The endpoints of a slice.
#[derive(Default)]
pub(crate) struct RoutingTable {
    /// The table as it should be.
    pub desired: Endpoints,
    /// The table as last sent to the proxies.
    pub applied: Endpoints,
}

impl RoutingTable {
    /// Creates a stored table that the proxies already hold.
    pub(crate) fn new(endpoints: &[(ReplicaId, f64)]) -> Self {
        let desired: Endpoints = endpoints.iter().copied().filter(|(_, weight)| *weight > 0.0).collect();
        RoutingTable { applied: desired.clone(), desired }
    }

    /// Replaces the endpoint `from` by `to` in the desired table. Only adds an endpoint if `from` is `None`, and
    /// only removes one if `to` is `None`.
    pub(crate) fn replace_endpoint(&mut self, from: Option<ReplicaId>, to: Option<(ReplicaId, f64)>) {
        if let Some(id) = from {
            self.desired.remove(&id);
        }
        self.desired.extend(to);
    }

    /// Records endpoints that were sent.
    pub(crate) fn record_applied(&mut self, endpoints: &[(ReplicaId, f64)], removals: Removals) {
        if removals == Removals::Implied && !endpoints.is_empty() {
            self.applied.clear();
        }
        self.applied.extend(endpoints.iter().copied());
        self.applied.retain(|_, weight| *weight > 0.0);
    }

    /// Returns true if the proxies were sent the desired table.
    pub(crate) fn is_applied(&self) -> bool {
        self.desired == self.applied
    }

    /// Returns true if an endpoint has less than half of the highest weight, so that it is used for retries only.
    pub(crate) fn is_standby(&self, replica: &ReplicaId) -> bool {
        let highest_weight = self.desired.values().fold(0.0, |highest: f64, weight| highest.max(*weight));
        self.desired.get(replica).is_some_and(|weight| weight * 2.0 < highest_weight)
    }

    /// Returns the share of the slice's requests that each endpoint gets.
    pub(crate) fn request_shares(&self) -> impl Iterator<Item = (ReplicaId, f64)> + '_ {
        let total: f64 = self.desired.values().sum();
        self.desired.iter().map(move |(id, weight)| (*id, weight / total))
    }

    /// Returns the share of the slice's requests that a replica gets.
    pub(crate) fn request_share(&self, replica: ReplicaId) -> f64 {
        self.request_shares().find(|(id, _)| *id == replica).map_or(0.0, |(_, share)| share)
    }

    /// Returns the endpoints that are not standbys.
    pub(crate) fn owners(&self) -> impl Iterator<Item = ReplicaId> + '_ {
        self.desired.keys().copied().filter(|id| !self.is_standby(id))
    }

    /// Returns the owner, if there is exactly one.
    pub(crate) fn sole_owner(&self) -> Option<ReplicaId> {
        let mut owners = self.owners();
        owners.next().filter(|_| owners.next().is_none())
    }

    /// Returns the changes that turn the applied table into the desired one, new endpoints first; a weight of 0
    /// removes an endpoint.
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
