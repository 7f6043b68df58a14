//! What an aggregator shows of itself: counters since the start, and current values.

/// What is counted since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counters {
    /// Reports summed.
    pub reports: u64,
    /// Reports of a replica that the registry lacks, or of a slice that no controller has.
    pub reports_unknown: u64,
    /// Reports for which there was no room.
    pub reports_dropped: u64,
    /// Lines to controllers.
    pub lines_sent: u64,
    /// Their bytes.
    pub bytes_sent: u64,
    /// Turns in which not all lines fitted into the budget.
    pub budget_stretches: u64,
    /// Times that it was not running and started anew.
    pub stalls: u64,
    /// Assignments computed.
    pub assignments: u64,
}

/// Current values.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Status {
    /// It passes reports on.
    pub ready: bool,
    /// Controllers that are its to serve.
    pub controllers_owned: usize,
    /// Controllers that it is connected to.
    pub controllers_connected: usize,
    /// Other aggregators that are alive.
    pub peers_alive: usize,
    /// Zones that are known.
    pub zones: usize,
    /// Zones that are missing.
    pub zones_missing: usize,
    /// Replicas listed.
    pub replicas: usize,
    /// Series held.
    pub series: usize,
    /// The list's version.
    pub registry_version: u64,
}
