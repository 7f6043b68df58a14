//! Parses and validates the deployment settings that a controller receives at start-up: JSON with the names and units
//! of the simulator's `powerOn` event. The controller and the simulator adapter share this package, so
//! that the policy does not depend on JSON.
#![forbid(unsafe_code)]
#![warn(clippy::unwrap_used)]

use serde::de::Error;
use serde::{Deserialize, Deserializer};
use whinwall_policy::deployment::{Deployment, RequestClass};
use whinwall_policy::time::Span;

/// The maximum number of request classes of a deployment: the policy represents a set of them as the bits of a `u64`.
const MAX_REQUEST_CLASSES: usize = 64;

/// The validated settings of one deployment.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The typed settings for the policy.
    pub deployment: Deployment,
    /// The names of the request classes, in the order of `deployment.request_classes`.
    pub request_classes: Vec<String>,
    /// The names of the zones; the policy identifies a zone by its position.
    pub zones: Vec<String>,
}

impl<'de> Deserialize<'de> for Settings {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let document = Document::deserialize(deserializer)?;
        let class_count = document.request_classes.len();
        if !(1..=MAX_REQUEST_CLASSES).contains(&class_count) {
            let message = format!(
                "classes: invalid length {class_count}, expected 1 to {MAX_REQUEST_CLASSES} request classes"
            );
            return Err(D::Error::custom(message));
        }
        Ok(document.into_settings())
    }
}

/// The settings are invalid. The text names the key that is missing or has an invalid value.
#[derive(Debug, thiserror::Error)]
#[error(transparent)]
pub struct SettingsError(#[from] serde_path_to_error::Error<serde_json::Error>);

/// Parses the settings.
///
/// # Errors
///
/// Fails if a key is missing, has the wrong type, or has a value outside its range.
pub fn parse_settings(settings: &serde_json::Value) -> Result<Settings, SettingsError> {
    Ok(serde_path_to_error::deserialize(settings)?)
}

/// The settings as written in JSON.
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
    controller_count: u32,
    #[serde(rename = "me", default, deserialize_with = "optional_count")]
    controller_index: Option<u32>,
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
    table_lease: Span,
    #[serde(rename = "writeLifeNs", default, deserialize_with = "duration")]
    write_lifetime: Span,
    #[serde(rename = "fixedCost", deserialize_with = "non_negative")]
    message_overhead_lines: f64,
    #[serde(rename = "pushRate", deserialize_with = "non_negative")]
    lines_per_second: f64,
    #[serde(rename = "queueCap", deserialize_with = "non_negative")]
    queue_capacity_lines: f64,
    #[serde(rename = "updateCap", default, deserialize_with = "non_negative")]
    message_limit: f64,
    #[serde(rename = "reloadSpanNs", default, deserialize_with = "duration")]
    message_window: Span,
}

#[derive(Deserialize)]
struct RulesSection {
    #[serde(rename = "goneIsAdvice", default)]
    delisting_is_advisory: bool,
    #[serde(rename = "coldFrom", deserialize_with = "non_negative")]
    cold_capacity_share: f64,
    #[serde(rename = "warmAfterNs", deserialize_with = "duration")]
    warm_up: Span,
    #[serde(rename = "fallMultiple", deserialize_with = "non_negative")]
    collapse_multiple: f64,
    #[serde(rename = "drainGraceNs", default, deserialize_with = "duration")]
    drain_grace: Span,
}

/// Reads a duration in nanoseconds. JSON writers may write it as an integer or as a decimal number.
fn duration<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Span, D::Error> {
    // Clamped to the range of a signed 64-bit integer (292 years), so that sums of times and durations do not
    // overflow.
    non_negative(deserializer).map(|ns| Span::ns(ns.min(i64::MAX as f64) as u64))
}

/// Reads an integer that fits into a `u32`. JSON writers may write it as a decimal number, such as `5.0`.
fn count<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u32, D::Error> {
    let count = non_negative(deserializer)?;
    let is_u32 = count.fract() == 0.0 && count <= f64::from(u32::MAX);
    is_u32.then_some(count as u32).ok_or_else(|| {
        D::Error::custom(format!("invalid value {count}, expected an integer from 0 to 4294967295"))
    })
}

fn optional_count<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<u32>, D::Error> {
    count(deserializer).map(Some)
}

/// Reads a number, and rejects negative numbers and NaN.
fn non_negative<'de, D: Deserializer<'de>>(deserializer: D) -> Result<f64, D::Error> {
    let number = f64::deserialize(deserializer)?;
    let non_negative = (number >= 0.0).then_some(number);
    non_negative
        .ok_or_else(|| D::Error::custom(format!("invalid value {number}, expected a number of at least 0")))
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
            delisting_is_advisory: rules.delisting_is_advisory,
            list_pushed: self.registry_mode == RegistryMode::Push,
            weights_known: matches!(self.replica_weights.as_str(), "nominal" | "rough"),
            admission_supported: fleet.level_kind == "fraction",
            controller_count: self.controller_count,
            // A controller without an index does not take part in random choices among several controllers.
            controller_index: self.controller_index.unwrap_or(if self.controller_count > 1 {
                u32::MAX
            } else {
                0
            }),
            fleet_size: fleet.proxies,
            slice_count: fleet.slices,
            single_writer: fleet.single_writer,
            table_lease: fleet.table_lease,
            write_lifetime: fleet.write_lifetime,
            cold_capacity_share: rules.cold_capacity_share,
            warm_up: rules.warm_up,
            collapse_multiple: rules.collapse_multiple,
            drain_grace: rules.drain_grace,
            message_overhead_lines: fleet.message_overhead_lines,
            lines_per_second: fleet.lines_per_second,
            queue_capacity_lines: fleet.queue_capacity_lines,
            message_limit: fleet.message_limit as u32,
            message_window: fleet.message_window,
        };
        let request_classes = self.request_classes.into_iter().map(|class| class.name).collect();
        Settings { deployment, request_classes, zones: self.zones }
    }
}
