//! Decisions based on state and measures. Each rule returns true if it acted; their order is in `crate::RULES`.

pub(crate) mod acknowledgements;
pub(crate) mod evacuation;
pub(crate) mod load_shedding;
pub(crate) mod outlier_ejection;
pub(crate) mod overrides;
pub(crate) mod placement;
pub(crate) mod rate_limit;
pub(crate) mod rebalance;
pub(crate) mod recovery;
pub(crate) mod replication;
pub(crate) mod shared_replicas;
pub(crate) mod tick;
