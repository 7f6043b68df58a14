//! Counters since the start and current values of an aggregator, for metrics.

/// Counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counters {
    /// Reports summed.
    pub reports: u64,
    /// Reports of replicas that are not in the registry, or of slices that no controller has.
    pub reports_unknown: u64,
    /// Reports dropped because a limit was reached.
    pub reports_dropped: u64,
    /// Report lines sent to controllers.
    pub lines_sent: u64,
    /// Bytes sent to controllers in batches.
    pub bytes_sent: u64,
    /// Batches in which not all lines fitted into the byte budget.
    pub over_budget_batches: u64,
    /// Restarts of the reducer after the process had not been running.
    pub stalls: u64,
    /// Computations of subsets.
    pub assignments: u64,
}

/// Current values, exported as gauges.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Status {
    /// True if this aggregator is ready to serve controllers.
    pub ready: bool,
    /// Controllers that this aggregator serves.
    pub controllers_owned: usize,
    /// Controllers with an established connection.
    pub controllers_connected: usize,
    /// Other aggregators that are alive.
    pub peers_alive: usize,
    /// Zones that collectors or peers have named.
    pub zones: usize,
    /// Zones whose collectors have reported, to this aggregator or a peer, and do not report now.
    pub zones_missing: usize,
    /// Replicas in the endpoint list.
    pub replicas: usize,
    /// Series in memory.
    pub series: usize,
    /// Version of the endpoint list.
    pub registry_version: u64,
}
