//! The state of a controller. This module does not depend on measures or rules; each struct maintains its own
//! invariants.

pub(crate) mod admission;
pub(crate) mod command_channel;
pub(crate) mod controller;
pub(crate) mod fleet_averages;
pub(crate) mod link_latency;
pub(crate) mod message_budget;
pub(crate) mod operator_overrides;
pub(crate) mod pending_slices;
pub(crate) mod ranking;
pub(crate) mod recent_counter;
pub(crate) mod replica;
pub(crate) mod replica_reports;
pub(crate) mod replica_status;
pub(crate) mod replica_withdrawals;
pub(crate) mod reporting;
pub(crate) mod routing_table;
pub(crate) mod schedule;
pub(crate) mod sent_message;
pub(crate) mod shared_load;
pub(crate) mod slice;
pub(crate) mod slice_pins;
pub(crate) mod withdrawals;
