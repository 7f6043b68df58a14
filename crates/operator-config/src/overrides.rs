//! The element `<overrides>`: limits, and overrides that expire at a wall-clock time.

use crate::error::{ConfigError, StructureError};
use crate::values::{parse_number, parse_positive_integer};
use crate::xml::Element;
use std::collections::BTreeSet;
use whinwall_overrides::text::{parse_duration, parse_slices, parse_wall_time};
use whinwall_overrides::validation::validate;
use whinwall_overrides::{ConfiguredOverride, OverrideKind, OverrideLimits};

/// The upper bound of [`OverrideLimits::max_active`]: each active override costs time in every tick.
const MAX_ACTIVE_LIMIT: usize = 10_000;
/// The attributes that all kinds of override have.
const COMMON_ATTRIBUTES: [&str; 5] = ["id", "server", "author", "reason", "until"];

/// The contents of the `<overrides>` element.
#[derive(Default)]
pub(crate) struct OverridesElement {
    pub limits: OverrideLimits,
    pub overrides: Vec<ConfiguredOverride>,
}

pub(crate) fn parse_overrides(element: &Element) -> Result<OverridesElement, ConfigError> {
    element.allow_only(&["longest", "most", "ended-kept"], &["weight", "out", "pin"])?;
    let limits = parse_limits(element)?;
    let mut ids = BTreeSet::new();
    let mut overrides = Vec::new();
    for child in &element.children {
        let entry = parse_override(child)?;
        if !ids.insert(entry.id.clone()) {
            let value = format!("{:?}", entry.id);
            return Err(child.error(StructureError::DuplicateValue { attribute: "id".into(), value }));
        }
        overrides.push(entry);
    }
    if overrides.len() > limits.max_active {
        let (count, max) = (overrides.len(), limits.max_active);
        return Err(element.error(StructureError::TooManyOverrides { count, max }));
    }
    Ok(OverridesElement { limits, overrides })
}

fn parse_limits(element: &Element) -> Result<OverrideLimits, ConfigError> {
    let defaults = OverrideLimits::default();
    let parse_limit = |text: &str| parse_positive_integer(text, MAX_ACTIVE_LIMIT);
    Ok(OverrideLimits {
        max_duration: element.optional("longest", parse_duration)?.unwrap_or(defaults.max_duration),
        max_active: element.optional("most", parse_limit)?.unwrap_or(defaults.max_active),
        ended_retention: element.optional("ended-kept", parse_duration)?.unwrap_or(defaults.ended_retention),
    })
}

fn parse_override(element: &Element) -> Result<ConfiguredOverride, ConfigError> {
    let mut attributes = COMMON_ATTRIBUTES.to_vec();
    match element.name.as_str() {
        "weight" => attributes.push("factor"),
        "pin" => attributes.push("slices"),
        _ => {}
    }
    element.allow_only(&attributes, &[])?;
    let replica = element.required_text("server")?;
    let kind = match element.name.as_str() {
        "weight" => OverrideKind::Weight { replica, factor: element.required("factor", parse_number)? },
        "pin" => {
            let (first, last) = element.required("slices", parse_slices)?;
            OverrideKind::Pin { first, last, replica }
        }
        _ => OverrideKind::Out { replica },
    };
    let id = element.required_text("id")?;
    let author = element.required_text("author")?;
    let reason = element.required_text("reason")?;
    validate(&id, &kind, &author, &reason).map_err(|error| element.error(error))?;
    let expires_at = element.required("until", parse_wall_time)?;
    Ok(ConfiguredOverride { id, kind, author, reason, expires_at })
}
