//! Errors of connections and requests. They are cloned, compared and recorded, so their causes are shared and compared
//! by text.

use std::error::Error;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

/// The underlying error of a [`StreamError`]. Two causes are equal if their texts are equal.
#[derive(Clone)]
pub struct Cause(Arc<dyn Error + Send + Sync>);

impl Cause {
    /// Wraps an error, or a text if there is no error value.
    pub fn new(error: impl Into<Box<dyn Error + Send + Sync>>) -> Self {
        Cause(Arc::from(error.into()))
    }

    /// Returns the wrapped error.
    pub fn as_error(&self) -> &(dyn Error + Send + Sync + 'static) {
        &*self.0
    }
}

impl From<&str> for Cause {
    fn from(text: &str) -> Self {
        Cause::new(text)
    }
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl fmt::Debug for Cause {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        fmt::Debug::fmt(&self.0.to_string(), f)
    }
}

impl PartialEq for Cause {
    fn eq(&self, other: &Self) -> bool {
        self.0.to_string() == other.0.to_string()
    }
}

/// The registry responded to a watch request with an HTTP error status.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("HTTP status {0}")]
pub struct HttpStatusError(pub awc::http::StatusCode);

/// An attempt to connect to the relay was aborted, because requests now go to another address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("attempt to connect to {relay} aborted because the relay address has changed")]
pub struct RelayAddressChanged {
    /// The address of the aborted attempt.
    pub relay: SocketAddr,
}

/// A relay request was cancelled before it was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("cancelled")]
pub struct RequestCancelled;

/// The reason why a connection ended.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum StreamError {
    /// The connection could not be opened.
    #[error("unreachable: {0}")]
    Unreachable(Cause),
    /// The time limit for connecting, sending or receiving has passed.
    #[error("timed out")]
    TimedOut,
    /// The peer closed the connection.
    #[error("closed by peer")]
    Closed,
    /// The connection failed because of a network error.
    #[error("connection lost: {0}")]
    Lost(Cause),
    /// Received data could not be decoded. Data received earlier on the connection is not reliable either.
    #[error("unreadable: {0}")]
    Unreadable(Cause),
    /// The task of the connection panicked. Only this connection is affected.
    #[error("panic")]
    Panicked,
}

impl From<std::io::Error> for StreamError {
    fn from(error: std::io::Error) -> Self {
        match error.kind() {
            std::io::ErrorKind::InvalidData => StreamError::Unreadable(Cause::new(error)),
            _ => StreamError::Lost(Cause::new(error)),
        }
    }
}

/// The reason why a relay request has no response. The variants differ in whether its outcome is known.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum RequestError {
    /// The request was not completely sent, so the relay has not applied it.
    #[error("not sent: {0}")]
    NotSent(#[source] StreamError),
    /// The relay may or may not have applied the request.
    #[error("outcome unknown: {0}")]
    OutcomeUnknown(#[source] StreamError),
}
