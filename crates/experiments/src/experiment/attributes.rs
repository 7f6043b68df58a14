//! Values of XML attributes.

use std::str::FromStr;
use thiserror::Error;
use whinwall_overrides::text;
use whinwall_policy::time::Span;

/// Numbers must be below this.
const NUMBER_LIMIT: f64 = 1e6;

/// Why an attribute's value is rejected.
#[derive(Clone, Debug, PartialEq, Error)]
pub(super) enum AttributeError {
    #[error("{text:?} is none of {}", names.join(", "))]
    UnknownName { text: String, names: Vec<&'static str> },
    #[error("{0:?} is no such number")]
    NotANumber(String),
    #[error("{0:?} is not over 0")]
    NotPositive(String),
    #[error("{number} is not below {limit}")]
    TooLarge { number: usize, limit: usize },
    #[error("{text:?} is not {supported:?}")]
    UnsupportedVersion { text: String, supported: &'static str },
    #[error("letters, digits and dashes only")]
    NotAName,
    #[error("{0}")]
    NotADuration(String),
}

/// The value that a name stands for.
pub(super) fn named<T: Copy>(text: &str, values: &[(&'static str, T)]) -> Result<T, AttributeError> {
    let found = values.iter().find(|(name, _)| *name == text).map(|(_, value)| *value);
    found.ok_or_else(|| AttributeError::UnknownName {
        text: text.to_string(),
        names: values.iter().map(|(name, _)| *name).collect(),
    })
}

pub(super) fn number<T: FromStr>(text: &str) -> Result<T, AttributeError> {
    text.parse().map_err(|_| AttributeError::NotANumber(text.to_string()))
}

/// A number over 0.
pub(super) fn positive(text: &str) -> Result<f64, AttributeError> {
    let value: f64 = number(text)?;
    let is_valid = value > 0.0 && value < NUMBER_LIMIT;
    is_valid.then_some(value).ok_or_else(|| AttributeError::NotPositive(text.to_string()))
}

/// A whole number below a limit.
pub(super) fn number_below(text: &str, limit: usize) -> Result<usize, AttributeError> {
    let number: usize = number(text)?;
    (number < limit).then_some(number).ok_or(AttributeError::TooLarge { number, limit })
}

/// A time in seconds with a fraction, as in `12.5s`, or with units as operators write it.
pub(super) fn duration(text: &str) -> Result<Span, AttributeError> {
    let seconds = text.strip_suffix('s').and_then(|seconds| seconds.parse::<f64>().ok());
    match seconds.filter(|seconds| (0.0..NUMBER_LIMIT).contains(seconds)) {
        Some(seconds) => Ok(Span::ms((seconds * 1000.0).round() as u64)),
        None => text::parse_duration(text).map_err(|error| AttributeError::NotADuration(error.to_string())),
    }
}
