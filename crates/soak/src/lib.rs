//! A soak test of the controller: a real process between stand-ins of relay, discovery and collectors is ended by series of
//! signals or killed, and started again on the same store, round after round, while its disk or its descriptors fail for a
//! while. Clients keep their connections and ask without a pause, and note what the answers promise. A run is drawn from a
//! seed ([`plan`]); what it finds are [`violations`](violation).
//!
//! Checked throughout: each request of which something had arrived before the end is answered; what was acknowledged is
//! there after a restart, what was refused is not, and nothing is there twice; the program ends in time by itself, and gives
//! back what it has taken.
#![warn(clippy::unwrap_used)]

mod clients;
mod crowd;
mod incarnation;
mod ledger;
pub mod plan;
mod program;
pub mod run;
pub mod violation;

pub use program::SoakError;
