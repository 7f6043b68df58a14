//! Faults between two loopback sockets. `schedule` reads when what is done to whom, `decide` says what
//! becomes of the bytes of one direction (no I/O, no clock), `record` keeps what was injected by its cause
//! and has it injected again, `forward` carries bytes between the sockets.
#![forbid(unsafe_code)]

pub mod decide;
pub mod forward;
pub mod record;
pub mod schedule;

/// Which of the connections, from 1 in the order in which they came.
pub type Number = u64;

/// Up leads from who connected to the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Direction {
    Up,
    Down,
}

impl Direction {
    pub fn name(self) -> &'static str {
        match self {
            Direction::Up => "up",
            Direction::Down => "down",
        }
    }
}
