//! All state of the governor, behind one reducer without input, output or clock.

pub mod known;
mod names;
mod outbox;
pub mod overrides;
mod reducer;
mod snapshot;
pub mod subset;

pub use reducer::{Effect, Event, Reducer};
