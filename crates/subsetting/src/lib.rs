//! Deterministic subsetting of replicas by rendezvous hashing, without I/O or clock.
//!
//! Each controller of a fleet steers a subset of the replicas. Every controller computes the whole assignment from the
//! controllers' names and the registry's replicas, and all of them get the same result, whatever order they learned
//! these in. [`Planner`] keeps what one computation can leave to the next.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod assignment;
mod hashing;
mod matching;
mod membership;
mod planner;
mod strata;

pub use assignment::{Assignment, Position};
pub use hashing::rendezvous;
pub use membership::{Controller, Membership, MembershipError, MAX_CONTROLLERS};
pub use planner::{Parameters, ParametersError, Planner, Replica, FEWEST_CONTROLLERS, STRICT_BOUND_FROM};
