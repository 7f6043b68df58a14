//! What all listeners of the programs share: [`accept`] accepts connections whatever single ones do, and [`unix_socket`] binds
//! a socket that only its owner may use. Nothing here knows what is served.
#![forbid(unsafe_code)]
#![warn(clippy::unwrap_used)]

pub mod accept;
pub mod unix_socket;
