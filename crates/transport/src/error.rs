//! How connections and requests fail. Errors are cloned, compared and recorded, so those of the operating system are
//! kept as text.

/// Why a connection ended.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum StreamError {
    /// It could not be opened.
    #[error("unreachable ({0})")]
    Unreachable(String),
    /// Nothing arrived for too long.
    #[error("timed out")]
    TimedOut,
    /// The peer closed it.
    #[error("closed by the peer")]
    Closed,
    /// The network interrupted it.
    #[error("connection lost ({0})")]
    Lost(String),
    /// It brought what cannot be decoded: what arrived before is in doubt too.
    #[error("unreadable ({0})")]
    Unreadable(String),
    /// A panic of this program, which costs no more than the connection.
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

/// Why a relay request got no response, by what is known of its outcome.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum RequestError {
    /// Its last byte was not written: it was not carried out.
    #[error("not sent, {0}")]
    NotSent(#[source] StreamError),
    /// It may have been carried out.
    #[error("outcome unknown, {0}")]
    OutcomeUnknown(#[source] StreamError),
}
