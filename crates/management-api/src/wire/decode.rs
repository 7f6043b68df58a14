//! Decodes the bodies of HTTP requests.

use super::{ClearBody, ErrorBody, KindName, SetBody};
use crate::messages::Request;
use whinwall_overrides::text::{parse_duration, parse_slices};
use whinwall_overrides::validation::{validate_text, MAX_AUTHOR_BYTES};
use whinwall_overrides::{ChangeRequest, InvalidField, NewOverride, OverrideKind};

/// Decodes the body of a request to set the override with this id.
///
/// # Errors
/// The body is malformed or has an invalid field; the error is the body of the reply.
pub fn decode_set(id: &str, body: &[u8]) -> Result<Request, ErrorBody> {
    let body: SetBody = serde_json::from_slice(body)?;
    let request = body.into_new_override(id)?;
    Ok(Request::Change(ChangeRequest::Set(request)))
}

/// Decodes the body of a request to clear the override with this id.
///
/// # Errors
/// The body is malformed or has an invalid field; the error is the body of the reply.
pub fn decode_clear(id: &str, body: &[u8]) -> Result<Request, ErrorBody> {
    let body: ClearBody = serde_json::from_slice(body)?;
    validate_text("by", &body.by, MAX_AUTHOR_BYTES)?;
    Ok(Request::Change(ChangeRequest::Clear { id: id.into(), by: body.by }))
}

impl SetBody {
    fn into_new_override(self, id: &str) -> Result<NewOverride, InvalidField> {
        let kind = to_override_kind(self.kind, self.replica, self.factor, self.slices.as_deref())?;
        let duration =
            parse_duration(&self.duration).map_err(|error| InvalidField::new("for", error.to_string()))?;
        Ok(NewOverride { id: id.into(), kind, author: self.author, reason: self.reason, duration })
    }
}

/// Builds the kind with this name. Fields that the kind needs have to be present, all others absent.
fn to_override_kind(
    name: KindName,
    replica: String,
    factor: Option<f64>,
    slices: Option<&str>,
) -> Result<OverrideKind, InvalidField> {
    let unexpected_field = |field| Err(InvalidField::new(field, "it has no meaning for this kind"));
    match (name, factor, slices) {
        (KindName::Weight, Some(factor), None) => Ok(OverrideKind::Weight { replica, factor }),
        (KindName::Weight, None, _) => Err(InvalidField::new("factor", "it is missing")),
        (KindName::Pin, None, Some(slices)) => {
            let (first, last) =
                parse_slices(slices).map_err(|error| InvalidField::new("slices", error.to_string()))?;
            Ok(OverrideKind::Pin { first, last, replica })
        }
        (KindName::Pin, _, None) => Err(InvalidField::new("slices", "they are missing")),
        (KindName::Out, None, None) => Ok(OverrideKind::Out { replica }),
        (KindName::Weight, _, Some(_)) | (KindName::Out, None, Some(_)) => unexpected_field("slices"),
        (KindName::Pin | KindName::Out, Some(_), _) => unexpected_field("factor"),
    }
}
