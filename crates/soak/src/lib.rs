//! A soak test of the controller. A real controller process runs between a fake relay, a fake discovery and fake
//! collectors. Each round ends it by a series of signals or a kill, and the next one restarts it on the same store.
//! During a round file writes may fail, descriptors may be exhausted, or the process may be stopped temporarily.
//! Clients keep their connections open, send requests continuously and record the override states that the answers
//! confirm. The rounds of a run are drawn from a seed ([`plan`]). A run reports [`violations`](violation).
//!
//! Checked throughout: each request that had partly arrived before the shutdown is answered; acknowledged changes are
//! present after a restart, refused ones are absent, and no override is listed twice; the program exits within its time
//! limit without a kill, and releases descriptors, threads and memory.
#![warn(clippy::unwrap_used)]

mod clients;
mod flood;
mod incarnation;
mod ledger;
pub mod plan;
mod program;
pub mod run;
pub mod unconfirmed_clears;
pub mod violation;

pub use program::SoakError;
