//! A soak test of the controller. A real controller process runs between a fake relay, a fake discovery and fake
//! collectors. Each round starts the process on the same override store and ends it by a series of signals or by
//! SIGKILL. During a round file writes may fail, descriptors may be exhausted, or the process may be stopped
//! temporarily. Clients keep their connections open, send requests continuously and record the override states that the
//! answers confirm. The rounds of a run are drawn from a seed ([`plan`]). A run reports [`violations`](violation).
//!
//! A run checks that the program
//! - answers each request of which at least a part arrived before the shutdown;
//! - lists acknowledged changes after a restart, lists no refused ones, and lists no override twice;
//! - exits within the time limit after the first signal that ends it, so that no kill is needed;
//! - releases descriptors, threads and memory after load.
#![warn(clippy::unwrap_used)]

mod clients;
mod flood;
mod incarnation;
mod ledger;
pub mod overload;
pub mod plan;
mod program;
pub mod run;
pub mod unconfirmed_clears;
pub mod violation;

pub use program::SoakError;
