//! The counters of proxies between two reports.

use crate::{ReplicaIndex, RequestClassIndex, SliceIndex, ZoneIndex};
use std::collections::BTreeMap;

/// Counts of attempts at a replica.
#[derive(Clone, Copy, Default)]
pub(super) struct EndpointCounts {
    pub(super) attempts: f64,
    pub(super) failed: f64,
    /// The sum of the latencies of successful attempts.
    pub(super) latency_seconds: f64,
}

impl EndpointCounts {
    pub(super) fn add(&mut self, other: &EndpointCounts) {
        self.attempts += other.attempts;
        self.failed += other.failed;
        self.latency_seconds += other.latency_seconds;
    }
}

/// Counts of requests of a class for a slice.
#[derive(Clone, Copy, Default)]
pub(super) struct DemandCounts {
    pub(super) requests: f64,
    pub(super) failed: f64,
}

/// Counts by zone of the proxy and by replica.
pub(super) type EndpointCountsByZone = BTreeMap<(ZoneIndex, ReplicaIndex), EndpointCounts>;
/// Counts by slice and request class.
pub(super) type DemandCountsBySlice = BTreeMap<(SliceIndex, RequestClassIndex), DemandCounts>;

/// Sums of the priority weights of requests.
#[derive(Clone, Copy, Default)]
pub(super) struct PriorityWeightTotals {
    /// The sum for all requests.
    pub(super) offered: f64,
    /// The sum for requests served within their latency objective.
    pub(super) timely: f64,
}
