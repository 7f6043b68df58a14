//! The bodies of requests. The types have the names that serde puts into its error messages, which are replies of the
//! API; the rest of the package knows them as [`SetBody`](super::SetBody) and [`ClearBody`](super::ClearBody).

use super::{KindFields, KindName};
use serde::{Deserialize, Serialize};
use whinwall_overrides::text::format_duration;
use whinwall_overrides::OverrideKind;
use whinwall_policy::time::Span;

/// The body of a request to set an override; its id is in the path. Unknown fields are rejected, lest a misspelled
/// one count as a default.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Set {
    /// The effect.
    pub kind: KindName,
    /// The replica's name.
    #[serde(rename = "server")]
    pub replica: String,
    /// Of a weight: the multiplier.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub factor: Option<f64>,
    /// Of a pin: a slice or a range of slices.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub slices: Option<String>,
    /// Who requests it.
    pub author: String,
    /// Why, for other operators.
    pub reason: String,
    /// How long it holds, such as `1h30m`.
    #[serde(rename = "for")]
    pub duration: String,
}

impl Set {
    /// The body that sets this override.
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

/// The body of a request to clear an override; its id is in the path.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Clear {
    /// Who ends it.
    pub by: String,
}
