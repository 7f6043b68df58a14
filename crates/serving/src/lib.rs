//! Building blocks shared by all listeners of the programs: [`accept`] accepts connections and handles errors of
//! single connections, [`shutdown`] shuts a listener and its connections down gracefully, [`unix_socket`] binds a
//! socket that only its owner may use, and [`http`] serves HTTP/1.1. This package does not depend on the application
//! protocols.
#![forbid(unsafe_code)]
#![warn(clippy::unwrap_used)]

pub mod accept;
pub mod http;
pub mod shutdown;
pub mod unix_socket;
