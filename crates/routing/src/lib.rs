//! All state of the controller, behind one reducer without input, output or clock.

mod events;
pub mod known;
mod names;
mod outbox;
pub mod overrides;
mod reducer;
pub mod report_coverage;
pub mod report_feed;
mod snapshot;
pub mod subset;

pub use events::{Effect, Event};
pub use reducer::Reducer;
