//! Deterministic subsetting of replicas by rendezvous hashing, without I/O or clock.
//!
//! Each controller of a fleet steers a subset of the replicas. Every controller computes the complete assignment from
//! the names of the controllers and the replicas in the registry. The result does not depend on the order of the
//! input, so all controllers compute the same assignment. [`Planner`] caches preference lists between computations.
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
