//! The decisions of a reader pool, without I/O or clock. Reader threads read bytes from collectors, cut them into
//! chunks of whole lines, and decode chunks, whichever of them read the chunk; one owner applies what comes of it.
//!
//! - `partition` assigns connections to readers.
//! - `reorder` restores the order of each connection's chunks.
//! - `aggregate` sums reports of the same subject.
//! - `liveness` notices readers that have stopped.
#![forbid(unsafe_code)]
#![warn(clippy::unwrap_used)]

pub mod aggregate;
pub mod liveness;
pub mod partition;
pub mod reorder;

/// Identifies a reader: its position in the pool.
pub type ReaderId = usize;
/// Identifies a connection from a collector.
pub type ConnectionId = u64;
