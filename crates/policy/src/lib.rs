//! The decisions of a proxy fleet's governor. Start reading at [`logic`].
#![forbid(unsafe_code)]

pub mod chance;
pub mod deployment;
pub mod interface;
pub mod logic;
mod measures;
mod news;
pub mod pins;
pub mod ring;
pub mod sharing;
mod state;
pub mod time;
