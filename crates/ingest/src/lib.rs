//! The logic of a reader pool, without I/O or clock. Reader threads read bytes from collectors and split them into
//! chunks of complete lines. Any reader may decode a chunk, even one that another reader has read. A single event loop
//! applies the decoded reports.
//!
//! - `partition` assigns connections to readers.
//! - `reorder` restores the order of each connection's chunks.
//! - `aggregate` sums reports on the same subject.
//! - `liveness` detects readers that have stopped, and schedules their restarts.
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
