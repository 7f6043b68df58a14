//! Errors of the program.

use std::io;
use std::net::SocketAddr;
use thiserror::Error;
use whinwall_transport::StreamError;

/// An error that ends the program with exit code 1.
#[derive(Debug, Error)]
pub enum ServeError {
    /// Signal handlers cannot be installed.
    #[error("cannot install signal handlers: {0}")]
    Signals(#[source] io::Error),
    /// The program cannot listen on the address.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address to listen on.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The local address of the listener cannot be read.
    #[error("cannot read the address of the listener: {0}")]
    LocalAddress(#[source] io::Error),
}

/// An error that prevents metrics from being served.
#[derive(Debug, Error)]
pub enum MetricsError {
    /// The program cannot listen on the address.
    #[error("cannot serve metrics on {address}: {source}")]
    Listen {
        /// The address to listen on.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
}

/// The reason for the end of a connection to a controller or a peer.
#[derive(Debug, Error)]
pub enum ConnectionError {
    /// The connection could not be established.
    #[error("{0}")]
    Connect(#[from] StreamError),
    /// Reading or writing failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The peer did not read the data in time.
    #[error("write timed out")]
    WriteTimedOut,
    /// The peer closed the connection.
    #[error("closed by peer")]
    Closed,
}
