//! Fault injection between two loopback sockets. `schedule` parses the rules that define the faults, `injector` applies
//! them to the bytes of one direction of a connection (without I/O or clock), `record` encodes injected faults so that
//! they can be replayed, and `proxy` forwards bytes between the sockets.
#![warn(clippy::unwrap_used)]

pub mod injector;
pub mod proxy;
pub mod record;
pub mod schedule;

/// The number of a connection, counted from 1 in the order of acceptance.
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
    /// Returns the keyword of the direction in schedules.
    pub fn name(self) -> &'static str {
        match self {
            Direction::Up => "up",
            Direction::Down => "down",
        }
    }
}
