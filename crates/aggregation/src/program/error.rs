//! Why the program can't serve.

use std::io;
use std::net::SocketAddr;
use thiserror::Error;
use whinwall_transport::StreamError;

/// What ends the program with exit code 1.
#[derive(Debug, Error)]
pub enum ServeError {
    /// The signals can't be listened for.
    #[error("signals: {0}")]
    Signals(#[source] io::Error),
    /// The address can't be listened at.
    #[error("listen: {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The reason.
        source: io::Error,
    },
    /// The listener's address is not known.
    #[error("{0}")]
    LocalAddress(#[source] io::Error),
}

/// Why metrics can't be served.
#[derive(Debug, Error)]
pub enum MetricsError {
    /// The address can't be listened at.
    #[error("metrics: {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The reason.
        source: io::Error,
    },
}

/// Why a connection to a controller or a peer has ended.
#[derive(Debug, Error)]
pub enum ConnectionError {
    /// It could not be opened.
    #[error("{0}")]
    Connect(#[from] StreamError),
    /// It could not be read or written.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The other side reads nothing.
    #[error("it reads nothing")]
    WriteTimedOut,
    /// The other side closed it.
    #[error("closed by the other side")]
    Closed,
}
