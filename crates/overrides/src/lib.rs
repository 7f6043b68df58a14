//! What operators want for a while: overrides, each with an end. Told the time as the decisions are; nothing
//! here reads a clock, a file or a socket. `clerk` takes what is asked and has it kept, `book` holds all of
//! them and says what stands, `record` what one is, `timeline` how its end outlives a restart, `saved` its
//! form on disk, `words` how people write it.
#![forbid(unsafe_code)]

pub mod book;
pub mod clerk;
pub mod record;
pub mod saved;
pub mod timeline;
pub mod words;

pub use book::{Book, Bounds, Change, Proposal, Refused};
pub use clerk::{Act, Answer, Ask, Clerk, Kept, Ticket};
pub use record::{End, Kind, Order, Origin, Override};
pub use timeline::{Reading, Stamp, Timeline, WallWatch};
