//! The bodies of requests. serde puts the type names into its error messages, which the API returns to clients, so the
//! types keep these names. The rest of the package uses them as [`SetBody`](super::SetBody) and
//! [`ClearBody`](super::ClearBody).

use super::{KindFields, KindName};
use serde::{Deserialize, Serialize};
use whinwall_overrides::text::format_duration;
use whinwall_overrides::OverrideKind;
use whinwall_policy::time::Span;

/// The body of a request to set an override; the id is part of the path. Unknown fields are rejected, because a
/// misspelled optional field would otherwise be ignored.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Set {
    /// The kind of the override.
    pub kind: KindName,
    /// The replica's name.
    #[serde(rename = "server")]
    pub replica: String,
    /// The multiplier, for kind `weight`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub factor: Option<f64>,
    /// The slice or range of slices, for kind `pin`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub slices: Option<String>,
    /// The operator who requests the override.
    pub author: String,
    /// The reason, for other operators.
    pub reason: String,
    /// The time until the override expires, such as `1h30m`.
    #[serde(rename = "for")]
    pub duration: String,
}

impl Set {
    /// Creates the body of a request that sets the override.
    pub fn new(kind: &OverrideKind, author: &str, reason: &str, duration: Span) -> Self {
        let fields = KindFields::from(kind);
        Set {
            kind: fields.name,
            replica: kind.replica().into(),
            factor: fields.factor,
            slices: fields.slices,
            author: author.into(),
            reason: reason.into(),
            duration: format_duration(duration),
        }
    }
}

/// The body of a request to clear an override; the id is part of the path.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Clear {
    /// The operator who clears the override.
    pub by: String,
}
