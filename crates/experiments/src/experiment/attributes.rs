//! Parsers for the values of XML attributes.

use std::str::FromStr;
use thiserror::Error;
use whinwall_overrides::text;
use whinwall_policy::time::Span;

/// The exclusive upper limit of numbers, and of durations in seconds with a fraction.
const NUMBER_LIMIT: f64 = 1e6;

/// The reasons why the value of an attribute is rejected.
#[derive(Clone, Debug, PartialEq, Error)]
pub(super) enum AttributeError {
    #[error("unknown name {text:?}, expected one of {}", names.join(", "))]
    UnknownName { text: String, names: Vec<&'static str> },
    #[error("invalid number {0:?}")]
    InvalidNumber(String),
    #[error("{0:?} is out of range: must be greater than 0 and less than {NUMBER_LIMIT}")]
    OutOfRange(String),
    #[error("{number} is out of range: must be less than {limit}")]
    TooLarge { number: usize, limit: usize },
    #[error("unsupported version {text:?}, expected {supported:?}")]
    UnsupportedVersion { text: String, supported: &'static str },
    #[error("invalid name {0:?}, expected one or more letters, digits and dashes")]
    InvalidName(String),
    #[error("{0}")]
    InvalidDuration(String),
}

/// Looks up the value with the name `text`.
pub(super) fn lookup_name<T: Copy>(text: &str, values: &[(&'static str, T)]) -> Result<T, AttributeError> {
    let found = values.iter().find(|(name, _)| *name == text).map(|(_, value)| *value);
    found.ok_or_else(|| AttributeError::UnknownName {
        text: text.to_string(),
        names: values.iter().map(|(name, _)| *name).collect(),
    })
}

pub(super) fn parse_number<T: FromStr>(text: &str) -> Result<T, AttributeError> {
    text.parse().map_err(|_| AttributeError::InvalidNumber(text.to_string()))
}

/// Parses a number greater than 0 and less than [`NUMBER_LIMIT`].
pub(super) fn parse_positive(text: &str) -> Result<f64, AttributeError> {
    let value: f64 = parse_number(text)?;
    let is_valid = value > 0.0 && value < NUMBER_LIMIT;
    is_valid.then_some(value).ok_or_else(|| AttributeError::OutOfRange(text.to_string()))
}

/// Parses a non-negative integer less than `limit`.
pub(super) fn parse_number_below(text: &str, limit: usize) -> Result<usize, AttributeError> {
    let number: usize = parse_number(text)?;
    (number < limit).then_some(number).ok_or(AttributeError::TooLarge { number, limit })
}

/// Parses a duration in seconds with a fraction, such as `12.5s`, or in the notation of the operators' file.
pub(super) fn parse_duration(text: &str) -> Result<Span, AttributeError> {
    let seconds = text.strip_suffix('s').and_then(|seconds| seconds.parse::<f64>().ok());
    match seconds.filter(|seconds| (0.0..NUMBER_LIMIT).contains(seconds)) {
        Some(seconds) => Ok(Span::ms((seconds * 1000.0).round() as u64)),
        None => {
            text::parse_duration(text).map_err(|error| AttributeError::InvalidDuration(error.to_string()))
        }
    }
}
