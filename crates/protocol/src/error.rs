//! What can be wrong with a received line.

use std::sync::Arc;

/// The number of characters of a faulty line that an error quotes: as many as a log should hold.
const MAX_EXCERPT_CHARS: usize = 80;

/// Why a line is not a valid message. Its text quotes the start of the line.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum DecodeError {
    /// The line is not UTF-8.
    #[error("a line is no text")]
    NotUtf8,
    /// The line is text, but not a message.
    #[error("{reason}, in {excerpt:?}")]
    InvalidLine {
        /// What is wrong with it.
        reason: InvalidLine,
        /// The start of the line.
        excerpt: String,
    },
}

/// What is wrong with a line of text.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum InvalidLine {
    /// It is not an event of the relay watch.
    #[error("no news")]
    NotAnEvent,
    /// It is an event of the relay watch, but of an unknown kind.
    #[error("news of an unknown kind")]
    UnknownEvent,
    /// It is not a response to a relay request.
    #[error("no answer to a call")]
    NotAResponse,
    /// The named field is absent.
    #[error("no {0}")]
    MissingField(&'static str),
    /// A word that must be a number cannot be parsed as one of the right type.
    #[error("{0:?} is no usable number")]
    InvalidNumber(String),
    /// The named field is out of range.
    #[error("{0}")]
    OutOfRange(&'static str),
    /// It does not begin a JSON object.
    #[error("no JSON object")]
    NotAnObject,
    /// It is not JSON, or not of the expected shape.
    #[error(transparent)]
    Json(#[from] JsonError),
}

/// A failure of the JSON decoder. Two are equal where their texts are.
#[derive(Clone, Debug, thiserror::Error)]
#[error(transparent)]
pub struct JsonError(Arc<serde_json::Error>);

impl PartialEq for JsonError {
    fn eq(&self, other: &Self) -> bool {
        self.0.to_string() == other.0.to_string()
    }
}

/// How much of what a connection sends is lost with a faulty message.
#[derive(Clone, Debug, PartialEq)]
pub enum InvalidMessage {
    /// This message alone; those before and after it are sound.
    Malformed(DecodeError),
    /// All that follows on its connection as well: the peer does not speak this protocol.
    Unreadable(DecodeError),
}

impl InvalidMessage {
    /// A line that is not UTF-8: the lines that follow cannot be told apart either.
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
