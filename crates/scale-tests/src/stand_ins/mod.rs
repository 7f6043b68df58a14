//! Stand-ins on loopback for the peers of a controller. Each paces what it sends and counts the bytes and lines in each
//! direction; each ends when it is dropped.

pub mod collectors;
pub mod counting_proxy;
pub mod discovery;
pub mod fleet;
mod loopback_server;
pub mod relay;
mod traffic;

pub use traffic::{Count, Counter, Traffic, TrafficCount};
