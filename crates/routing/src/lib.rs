//! The state of a controller, held by a single reducer: it takes events and returns effects. It does no I/O and reads
//! no clock.

#![warn(clippy::unwrap_used)]

mod endpoint_list;
mod events;
mod log_event;
mod outbox;
pub mod overrides;
mod reducer;
mod relay_view;
mod replica_names;
pub mod report_coverage;
pub mod report_names;
pub mod report_stream;
mod routing_snapshot;
mod source_failures;
pub mod subset;
mod timers;

pub use events::{Effect, Event};
pub use log_event::{LogEvent, RequestLabel};
pub use outbox::Outcome;
pub use reducer::{Reducer, RequestCounts};
pub use source_failures::Source;
