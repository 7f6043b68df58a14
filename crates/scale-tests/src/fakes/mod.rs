//! Fakes of a controller's peers, on loopback sockets. They implement the real protocols, send at a configured rate and
//! count the bytes and lines in each direction. A fake ends when it is dropped.

pub mod collectors;
pub mod counting_proxy;
pub mod discovery;
pub mod fleet;
mod loopback_server;
pub mod relay;
mod traffic;

pub use traffic::{Count, Counter, Traffic, TrafficCount};
