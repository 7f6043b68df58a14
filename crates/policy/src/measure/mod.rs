//! Values computed from the state. This module does not depend on the rules.

pub(crate) mod admission;
pub(crate) mod fleet_averages;
pub(crate) mod load_estimates;
pub(crate) mod rankings;
pub(crate) mod relative_latency;
pub(crate) mod report_timing;
pub(crate) mod shared_load;
pub(crate) mod slow_start;
pub(crate) mod slow_start_notices;
pub(crate) mod table_changes;
pub(crate) mod windows;
