//! The outcome of a run of a scenario.

use crate::rules::Violation;
use std::collections::BTreeMap;

/// The outcome of a run of a scenario. Requests count if they arrive after the warm-up period.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outcome {
    /// The priority weight of requests served within their latency objective, as a share of the priority weight of all
    /// requests, from 0 to 1.
    pub service_level: f64,
    /// Number of requests that arrived.
    pub requests: u64,
    /// Number of requests that succeeded, timely or late.
    pub succeeded: u64,
    /// Number of requests that succeeded after their latency objective.
    pub late: u64,
    /// Number of unsuccessful requests whose last attempt provably did not run.
    pub rejected: u64,
    /// Number of requests that failed otherwise.
    pub failed: u64,
    /// Number of commands that the relay applied.
    pub commands: u64,
    /// Number of commands that made a replica a full-weight endpoint of a slice.
    pub migrations: u64,
    /// The maximum number of lines queued in one channel.
    pub peak_queued_lines: f64,
    /// Number of outlier ejections by the controllers.
    pub ejections: u64,
    /// The described violations of rules.
    pub violations: Vec<Violation>,
    /// By rule number, the number of violations.
    pub violation_counts: BTreeMap<u8, usize>,
}
