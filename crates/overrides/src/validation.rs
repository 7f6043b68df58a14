//! Limits on the fields of an override. They apply to requests, the operators' file and the store alike.

use crate::record::OverrideKind;
use std::ops::RangeInclusive;

/// The longest id, in bytes.
const MAX_ID_BYTES: usize = 64;
/// The longest replica name, in bytes.
const MAX_REPLICA_NAME_BYTES: usize = 128;
/// The longest author, in bytes.
pub const MAX_AUTHOR_BYTES: usize = 64;
/// The longest reason, in bytes.
const MAX_REASON_BYTES: usize = 200;
/// The allowed weight factors. A factor outside is a mistake: to remove all load, a replica is taken out of service.
const WEIGHT_FACTORS: RangeInclusive<f64> = 0.01..=100.0;

/// A field that is outside its limits. Field names are those of the management API and the operators' file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{field}: {reason}")]
pub struct InvalidField {
    /// The field's name.
    pub field: &'static str,
    /// The reason why its value is invalid.
    pub reason: String,
}

impl InvalidField {
    /// Returns an error for this field.
    pub fn new(field: &'static str, reason: impl Into<String>) -> Self {
        InvalidField { field, reason: reason.into() }
    }
}

/// Checks the fields that requests, the operators' file and the store have in common.
///
/// # Errors
/// The first field that is outside its limits.
pub fn validate(id: &str, kind: &OverrideKind, author: &str, reason: &str) -> Result<(), InvalidField> {
    validate_id(id)?;
    validate_text("server", kind.replica(), MAX_REPLICA_NAME_BYTES)?;
    validate_text("author", author, MAX_AUTHOR_BYTES)?;
    validate_text("reason", reason, MAX_REASON_BYTES)?;
    match kind {
        OverrideKind::Weight { factor, .. } if !WEIGHT_FACTORS.contains(factor) => Err(InvalidField::new(
            "factor",
            format!("{factor} is not from {} to {}", WEIGHT_FACTORS.start(), WEIGHT_FACTORS.end()),
        )),
        OverrideKind::Pin { first, last, .. } if first > last => {
            Err(InvalidField::new("slices", format!("{first}-{last} ends before it begins")))
        }
        _ => Ok(()),
    }
}

fn validate_id(id: &str) -> Result<(), InvalidField> {
    let is_allowed = |letter: char| letter.is_ascii_alphanumeric() || "._-".contains(letter);
    if id.is_empty() || id.len() > MAX_ID_BYTES || !id.chars().all(is_allowed) {
        let reason =
            format!("{id:?} is not 1 to {MAX_ID_BYTES} letters, digits, dots, dashes or underscores");
        return Err(InvalidField::new("id", reason));
    }
    Ok(())
}

/// Checks a text that is shown to operators: it must not be blank, contain control characters or exceed `max_bytes`.
///
/// # Errors
/// The field, if its text violates one of these limits.
pub fn validate_text(field: &'static str, text: &str, max_bytes: usize) -> Result<(), InvalidField> {
    let is_valid = !text.trim().is_empty() && text.len() <= max_bytes && !text.chars().any(char::is_control);
    if is_valid {
        Ok(())
    } else {
        let reason = format!("it must have 1 to {max_bytes} bytes and no control characters");
        Err(InvalidField::new(field, reason))
    }
}
