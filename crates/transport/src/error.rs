//! Errors of connections and requests. They are cloned, compared and recorded, so errors of the operating system are
//! kept as text.

/// The reason why a connection ended.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum StreamError {
    /// The connection could not be opened.
    #[error("unreachable: {0}")]
    Unreachable(String),
    /// The time limit for connecting, sending or receiving has passed.
    #[error("timed out")]
    TimedOut,
    /// The peer closed the connection.
    #[error("closed by peer")]
    Closed,
    /// The connection failed because of a network error.
    #[error("connection lost: {0}")]
    Lost(String),
    /// Received data could not be decoded. Data received earlier on the connection is not reliable either.
    #[error("unreadable: {0}")]
    Unreadable(String),
    /// The task of the connection panicked. Only this connection is affected.
    #[error("panic")]
    Panicked,
}

impl From<std::io::Error> for StreamError {
    fn from(error: std::io::Error) -> Self {
        match error.kind() {
            std::io::ErrorKind::InvalidData => StreamError::Unreadable(error.to_string()),
            _ => StreamError::Lost(error.to_string()),
        }
    }
}

/// The reason why a relay request has no response, by whether its outcome is known.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum RequestError {
    /// The request was not completely sent, so the relay has not applied it.
    #[error("not sent: {0}")]
    NotSent(#[source] StreamError),
    /// The relay may or may not have applied the request.
    #[error("outcome unknown: {0}")]
    OutcomeUnknown(#[source] StreamError),
}
