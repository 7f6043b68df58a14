//! The figures of a scenario that has been played.

use crate::rules::Violation;
use std::collections::BTreeMap;

/// What a scenario came to. Requests count once the warm-up period is over.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outcome {
    /// The priority weight of requests served within their latency objective, as a share of all, 0 to 1.
    pub service_level: f64,
    /// Requests that arrived.
    pub requests: u64,
    /// Requests that succeeded, timely or late.
    pub succeeded: u64,
    /// Requests that succeeded after their latency objective.
    pub late: u64,
    /// Requests that provably never ran.
    pub rejected: u64,
    /// Requests that failed otherwise.
    pub failed: u64,
    /// Commands that the relay accepted.
    pub commands: u64,
    /// Commands that made a replica a full-weight endpoint of a slice.
    pub migrations: u64,
    /// The most lines that were on their way in one channel.
    pub peak_queued_lines: f64,
    /// Replicas that controllers ejected as outliers.
    pub ejections: u64,
    /// Violated rules, described.
    pub violations: Vec<Violation>,
    /// By rule number, how often it was violated.
    pub violation_counts: BTreeMap<u8, usize>,
}
