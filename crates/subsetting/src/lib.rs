//! Deterministic subsetting of replicas by rendezvous hashing, without I/O or clock.
//!
//! Each controller of a fleet steers a subset of the replicas. Every controller computes the whole assignment from the
//! controllers' names and the registry's replicas, and all of them get the same result, whatever order they learned
//! these in. [`Planner`] keeps what the next
//! computation can use again.
#![forbid(unsafe_code)]
#![warn(clippy::unwrap_used)]

mod assignment;
mod draft;
mod hashing;
mod matching;
mod membership;
mod parameters;
mod planner;
mod preferences;
mod strata;

pub use assignment::{Assignment, Position, STRICT_BOUND_MIN_CONTROLLERS};
pub use hashing::rendezvous;
pub use membership::{Controller, Membership, MembershipError, MAX_CONTROLLERS};
pub use parameters::{Parameters, ParametersError, Replica, MIN_CONTROLLERS_PER_REPLICA};
pub use planner::Planner;
