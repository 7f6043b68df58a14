//! Parses and validates the deployment settings that a controller receives at startup: JSON with the names and units
//! of the protocol's first message. The simulator adapter and the controller share this package, so that the decision
//! module needs no JSON.
#![forbid(unsafe_code)]
#![warn(clippy::unwrap_used)]

use serde::de::Error;
use serde::{Deserialize, Deserializer};
use whinwall_policy::deployment::{Deployment, RequestClass};
use whinwall_policy::time::Span;

/// The most request classes of one deployment: the decisions address them by the bits of one `u64`.
const MAX_REQUEST_CLASSES: usize = 64;

/// The validated settings of one deployment.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The typed facts that the decision module works with.
    pub deployment: Deployment,
    /// Names of the request classes, by their position in `deployment.request_classes`.
    pub request_classes: Vec<String>,
    /// Names of the zones, by the position under which the decision module knows them.
    pub zones: Vec<String>,
}

impl<'de> Deserialize<'de> for Settings {
    fn deserialize<D: Deserializer<'de>>(raw: D) -> Result<Self, D::Error> {
        let document = Document::deserialize(raw)?;
        let classes = document.request_classes.len();
        if !(1..=MAX_REQUEST_CLASSES).contains(&classes) {
            let message = format!("classes: {classes} op types, not 1 to {MAX_REQUEST_CLASSES}");
            return Err(D::Error::custom(message));
        }
        Ok(document.into_settings())
    }
}

/// The settings can't be used; the text names the key that is missing or has the wrong type.
#[derive(Debug, thiserror::Error)]
#[error(transparent)]
pub struct SettingsError(#[from] serde_path_to_error::Error<serde_json::Error>);

/// Parses the settings.
///
/// # Errors
///
/// Where a key is missing, has the wrong type, or its value is outside its range.
pub fn parse_settings(settings: &serde_json::Value) -> Result<Settings, SettingsError> {
    Ok(serde_path_to_error::deserialize(settings)?)
}

/// The settings as they are written.
#[derive(Deserialize)]
struct Document {
    #[serde(rename = "classes")]
    request_classes: Vec<RequestClassSection>,
    #[serde(rename = "familyInfo")]
    fleet: FleetSection,
    #[serde(rename = "obligations")]
    rules: RulesSection,
    #[serde(rename = "membershipMode")]
    registry_mode: RegistryMode,
    #[serde(rename = "weights", default)]
    replica_weights: String,
    #[serde(rename = "zones", default)]
    zones: Vec<String>,
    #[serde(rename = "peersTotal", default = "single_controller", deserialize_with = "count")]
    controllers: u32,
    #[serde(rename = "me", default, deserialize_with = "optional_count")]
    number: Option<u32>,
}

fn single_controller() -> u32 {
    1
}

#[derive(Deserialize)]
struct RequestClassSection {
    name: String,
    #[serde(rename = "value", deserialize_with = "non_negative")]
    value: f64,
    #[serde(rename = "targetNs", deserialize_with = "duration")]
    target_latency: Span,
}

#[derive(Deserialize, PartialEq)]
#[serde(rename_all = "lowercase")]
enum RegistryMode {
    Push,
    Ask,
}

#[derive(Deserialize)]
struct FleetSection {
    #[serde(rename = "periodNs", default, deserialize_with = "duration")]
    report_period: Span,
    #[serde(rename = "levelKind", default)]
    level_kind: String,
    #[serde(rename = "partitionsN", default, deserialize_with = "count")]
    slices: u32,
    #[serde(rename = "agents", default, deserialize_with = "count")]
    proxies: u32,
    #[serde(rename = "singleWriter", default)]
    single_writer: bool,
    #[serde(rename = "tenureNs", default, deserialize_with = "duration")]
    tenure: Span,
    #[serde(rename = "writeLifeNs", default, deserialize_with = "duration")]
    write_lifetime: Span,
    #[serde(rename = "fixedCost", deserialize_with = "non_negative")]
    message_head: f64,
    #[serde(rename = "pushRate", deserialize_with = "non_negative")]
    pace: f64,
    #[serde(rename = "queueCap", deserialize_with = "non_negative")]
    queue_cap: f64,
    #[serde(rename = "updateCap", default, deserialize_with = "non_negative")]
    message_cap: f64,
    #[serde(rename = "reloadSpanNs", default, deserialize_with = "duration")]
    message_window: Span,
}

#[derive(Deserialize)]
struct RulesSection {
    #[serde(rename = "goneIsAdvice", default)]
    gone_is_advice: bool,
    #[serde(rename = "coldFrom", deserialize_with = "non_negative")]
    cold_share: f64,
    #[serde(rename = "warmAfterNs", deserialize_with = "duration")]
    warm_after: Span,
    #[serde(rename = "fallMultiple", deserialize_with = "non_negative")]
    fall_multiple: f64,
    #[serde(rename = "drainGraceNs", default, deserialize_with = "duration")]
    drain_grace: Span,
}

/// Accepts a count of nanoseconds written as an integer or as a decimal, as different JSON writers do.
fn duration<'de, D: Deserializer<'de>>(raw: D) -> Result<Span, D::Error> {
    // Clamped to a signed 64-bit count (292 years), because moments and durations are added up.
    non_negative(raw).map(|ns| Span::ns(ns.min(i64::MAX as f64) as u64))
}

fn count<'de, D: Deserializer<'de>>(raw: D) -> Result<u32, D::Error> {
    let count = non_negative(raw)?;
    let whole = count.fract() == 0.0 && count <= f64::from(u32::MAX);
    whole.then_some(count as u32).ok_or_else(|| D::Error::custom(format!("{count} is no count")))
}

fn optional_count<'de, D: Deserializer<'de>>(raw: D) -> Result<Option<u32>, D::Error> {
    count(raw).map(Some)
}

/// Rejects negative numbers and NaN.
fn non_negative<'de, D: Deserializer<'de>>(raw: D) -> Result<f64, D::Error> {
    let number = f64::deserialize(raw)?;
    let valid = (number >= 0.0).then_some(number);
    valid.ok_or_else(|| D::Error::custom(format!("{number} is below 0")))
}

impl Document {
    fn into_settings(self) -> Settings {
        let Document { fleet, rules, .. } = self;
        let request_class = |class: &RequestClassSection| RequestClass {
            priority_weight: class.value,
            target_latency: class.target_latency,
        };
        let deployment = Deployment {
            request_classes: self.request_classes.iter().map(request_class).collect(),
            report_period: fleet.report_period,
            delisting_is_advisory: rules.gone_is_advice,
            list_pushed: self.registry_mode == RegistryMode::Push,
            weights_known: matches!(self.replica_weights.as_str(), "nominal" | "rough"),
            admission_supported: fleet.level_kind == "fraction",
            controller_count: self.controllers,
            // Without a number of its own, one of several controllers takes no part in draws among them.
            controller_index: self.number.unwrap_or(if self.controllers > 1 { u32::MAX } else { 0 }),
            fleet_size: fleet.proxies,
            slice_count: fleet.slices,
            single_writer: fleet.single_writer,
            tenure: fleet.tenure,
            write_lifetime: fleet.write_lifetime,
            cold_capacity_share: rules.cold_share,
            warm_up: rules.warm_after,
            collapse_multiple: rules.fall_multiple,
            drain_grace: rules.drain_grace,
            message_overhead_lines: fleet.message_head,
            lines_per_second: fleet.pace,
            queue_capacity_lines: fleet.queue_cap,
            message_limit: fleet.message_cap as u32,
            message_window: fleet.message_window,
        };
        let request_classes = self.request_classes.into_iter().map(|class| class.name).collect();
        Settings { deployment, request_classes, zones: self.zones }
    }
}
