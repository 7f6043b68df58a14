//! What it works out from that.

pub(crate) mod admission;
pub(crate) mod fleet_averages;
pub(crate) mod load_estimates;
pub(crate) mod ranking;
pub(crate) mod report_timing;
pub(crate) mod shared_load;
pub(crate) mod slow_start;
pub(crate) mod table_changes;
