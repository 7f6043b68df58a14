//! What is worked out from the state. Nothing here knows the rules.

pub(crate) mod admission;
pub(crate) mod fleet_averages;
pub(crate) mod load_estimates;
pub(crate) mod rankings;
pub(crate) mod relative_latency;
pub(crate) mod report_timing;
pub(crate) mod shared_load;
pub(crate) mod slow_start;
pub(crate) mod table_changes;
pub(crate) mod windows;
