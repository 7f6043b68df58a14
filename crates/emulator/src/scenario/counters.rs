//! What proxies count between two reports.

use crate::{ReplicaIndex, RequestClassIndex, SliceIndex, ZoneIndex};
use std::collections::BTreeMap;

/// Attempts at a replica.
#[derive(Clone, Copy, Default)]
pub(super) struct EndpointCounts {
    pub(super) attempts: f64,
    pub(super) failed: f64,
    /// The latencies of successful attempts, added up.
    pub(super) latency_seconds: f64,
}

impl EndpointCounts {
    pub(super) fn add(&mut self, other: &EndpointCounts) {
        self.attempts += other.attempts;
        self.failed += other.failed;
        self.latency_seconds += other.latency_seconds;
    }
}

/// Requests of a class for a slice.
#[derive(Clone, Copy, Default)]
pub(super) struct DemandCounts {
    pub(super) requests: f64,
    pub(super) failed: f64,
}

/// Counts by the zone of the proxy, and the replica.
pub(super) type EndpointCountsByZone = BTreeMap<(ZoneIndex, ReplicaIndex), EndpointCounts>;
/// Counts by slice and request class.
pub(super) type DemandCountsBySlice = BTreeMap<(SliceIndex, RequestClassIndex), DemandCounts>;

/// Priority weights of requests, added up.
#[derive(Clone, Copy, Default)]
pub(super) struct PriorityWeightTotals {
    /// Of all requests.
    pub(super) offered: f64,
    /// Of requests served within their latency objective.
    pub(super) timely: f64,
}
