//! How the work of one controller is spread over several cores. Readers take bytes from collectors, cut them
//! into chunks of whole lines, and decode chunks, whoever read them; one owner applies what comes of it. Here
//! is the logic of it, without input, output or clock: `spread` says which reader a connection belongs to,
//! `sequence` in what order decoded chunks count, `sums` makes one report of many, `watch` notices readers
//! that stopped.
#![forbid(unsafe_code)]

pub mod sequence;
pub mod spread;
pub mod sums;
pub mod watch;

/// Which of the readers.
pub type CoreId = usize;
/// Which of the connections to our own address.
pub type ConnectionId = u64;
