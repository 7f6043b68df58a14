//! The decisions of a proxy fleet's controller. Start reading at [`logic`].
#![forbid(unsafe_code)]

pub mod api;
pub mod deployment;
pub mod logic;
mod measures;
mod news;
pub mod pins;
pub mod random;
pub mod sharing;
mod state;
pub mod windowed_counter;
pub use state::Policy;
pub mod time;
