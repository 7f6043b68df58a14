//! Errors in decoding received lines.

use std::sync::Arc;

/// The number of characters of an invalid line that an error quotes; limits the length of log lines.
const MAX_EXCERPT_CHARS: usize = 80;

/// The reason why a line is not a valid message. The error text quotes the start of the line.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum DecodeError {
    /// The line is not UTF-8.
    #[error("line is not valid UTF-8")]
    NotUtf8,
    /// The line is valid UTF-8, but not a valid message.
    #[error("{reason}, in {excerpt:?}")]
    InvalidLine {
        /// The reason why the line is invalid.
        reason: InvalidLine,
        /// The start of the line.
        excerpt: String,
    },
}

/// The reason why a line of text is not a valid message.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum InvalidLine {
    /// The line is not an event of the relay watch.
    #[error("not a relay watch event")]
    NotAnEvent,
    /// The line is an event of the relay watch, but of an unknown type.
    #[error("unknown type of relay watch event")]
    UnknownEvent,
    /// The line is not a response to a relay request.
    #[error("not a response to a relay request")]
    NotAResponse,
    /// The named field is missing.
    #[error("missing field `{0}`")]
    MissingField(&'static str),
    /// A numeric field cannot be parsed as a number of its type. Holds the text of the field.
    #[error("invalid number {0:?}")]
    InvalidNumber(String),
    /// A numeric field is negative, greater than its maximum, or not a number.
    #[error("{field} out of range: got {value}, expected 0 to {max}")]
    OutOfRange {
        /// The field's name on the wire.
        field: &'static str,
        /// The received value.
        value: f64,
        /// The largest valid value.
        max: f64,
    },
    /// A numeric field that must be positive is 0.
    #[error("{0} out of range: got 0, expected more than 0")]
    NotPositive(&'static str),
    /// The line does not start with `{`.
    #[error("not a JSON object")]
    NotAnObject,
    /// The line is not valid JSON, or does not have the expected structure.
    #[error(transparent)]
    Json(#[from] JsonError),
}

/// An error of the JSON decoder. Two errors are equal if their texts are equal.
#[derive(Clone, Debug, thiserror::Error)]
#[error(transparent)]
pub struct JsonError(Arc<serde_json::Error>);

impl PartialEq for JsonError {
    fn eq(&self, other: &Self) -> bool {
        self.0.to_string() == other.0.to_string()
    }
}

/// An invalid message. The variants differ in whether the rest of the connection can be decoded.
#[derive(Clone, Debug, PartialEq)]
pub enum InvalidMessage {
    /// Only this message is invalid; other messages on the connection are not affected.
    Malformed(DecodeError),
    /// The peer does not speak this protocol, so that nothing further on the connection can be decoded.
    Unreadable(DecodeError),
}

impl InvalidMessage {
    /// Returns the error for a line that is not UTF-8. The line boundaries after it are not reliable either.
    pub fn not_utf8() -> Self {
        InvalidMessage::Unreadable(DecodeError::NotUtf8)
    }
}

impl DecodeError {
    pub(crate) fn new(reason: impl Into<InvalidLine>, line: &str) -> Self {
        DecodeError::InvalidLine {
            reason: reason.into(),
            excerpt: line.chars().take(MAX_EXCERPT_CHARS).collect(),
        }
    }
}

impl From<serde_json::Error> for InvalidLine {
    fn from(error: serde_json::Error) -> Self {
        InvalidLine::Json(JsonError(Arc::new(error)))
    }
}
