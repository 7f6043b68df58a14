//! What all listeners of the programs share: [`accept`] accepts connections whatever single ones do, [`shutdown`] ends a
//! listener with its connections in order, [`unix_socket`] binds a socket that only its owner may use, and [`http`] serves
//! HTTP/1.1. Nothing here knows what is served.
#![forbid(unsafe_code)]
#![warn(clippy::unwrap_used)]

pub mod accept;
pub mod http;
pub mod shutdown;
pub mod unix_socket;
