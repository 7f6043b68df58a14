//! Fault injection between two loopback sockets. `schedule` parses which fault is injected when and where,
//! `injector` says what becomes of the bytes of one direction (without I/O or clock), `record` stores injected faults
//! by their cause so that they can be replayed, and `proxy` carries bytes between the sockets.
#![warn(clippy::unwrap_used)]

pub mod injector;
pub mod proxy;
pub mod record;
pub mod schedule;

/// The number of a connection, from 1 in the order in which they were accepted.
pub type ConnectionNumber = u64;

/// A direction of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Direction {
    /// From the client to the target.
    Up,
    /// From the target to the client.
    Down,
}

impl Direction {
    /// The word for it in schedules.
    pub fn name(self) -> &'static str {
        match self {
            Direction::Up => "up",
            Direction::Down => "down",
        }
    }
}
