//! Requests and replies as JSON. Field names, and type names in serde's error messages, are part of the interface.
//! They stay unchanged when a Rust field or type is renamed, by means of `rename`, `expecting` or an alias.

mod bodies;
mod decode;
mod encode;

pub use bodies::{Clear as ClearBody, Set as SetBody};
pub use decode::{decode_clear, decode_set};
pub use encode::encode;

use serde::{Deserialize, Serialize};
use whinwall_overrides::text::format_slices;
use whinwall_overrides::{InvalidField, OverrideKind};

/// The kind of an override, by its name in JSON.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum KindName {
    /// [`OverrideKind::Weight`].
    Weight,
    /// [`OverrideKind::Out`].
    Out,
    /// [`OverrideKind::Pin`].
    Pin,
}

/// The name of a kind and the fields that exist for some kinds only.
struct KindFields {
    name: KindName,
    factor: Option<f64>,
    slices: Option<String>,
}

impl From<&OverrideKind> for KindFields {
    fn from(kind: &OverrideKind) -> Self {
        match kind {
            OverrideKind::Weight { factor, .. } => {
                KindFields { name: KindName::Weight, factor: Some(*factor), slices: None }
            }
            OverrideKind::Out { .. } => KindFields { name: KindName::Out, factor: None, slices: None },
            OverrideKind::Pin { first, last, .. } => {
                let slices = Some(format_slices(*first, *last));
                KindFields { name: KindName::Pin, factor: None, slices }
            }
        }
    }
}

/// An override in a list or in the reply to a change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(expecting = "struct Item")]
pub struct OverrideItem {
    /// The id of the override.
    pub id: String,
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
    /// The operator who set the override.
    pub author: String,
    /// The reason, for other operators.
    pub reason: String,
    /// `request` or `file`.
    pub origin: String,
    /// The wall-clock time at which the override was set.
    #[serde(rename = "set")]
    pub set_at: String,
    /// The wall-clock time at which the override expires.
    #[serde(rename = "ends")]
    pub expires_at: String,
    /// The time until it expires, in seconds; 0 if it has ended.
    #[serde(rename = "left_s")]
    pub remaining_s: f64,
    /// `in force`, `waiting`, `suspended`, `absent` or `ended`.
    pub state: String,
    /// The reason why the override is not in force.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<String>,
}

/// The reply to a list request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(expecting = "struct List")]
pub struct OverrideList {
    /// All listed overrides, oldest first.
    pub overrides: Vec<OverrideItem>,
}

/// The start of [`ChangeOutcome::durability`] if a restart may undo the change.
pub(crate) const PENDING_DURABILITY_PREFIX: &str = "not on disk yet";

/// The reply to a change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(expecting = "struct Outcome")]
pub struct ChangeOutcome {
    /// `set`, `set before`, `cleared` or `ended before`.
    pub outcome: String,
    /// `on disk`, `nowhere`, or `not on disk yet:` with the reason.
    #[serde(rename = "kept")]
    pub durability: String,
    /// The override after the change.
    #[serde(rename = "override")]
    pub item: OverrideItem,
}

impl ChangeOutcome {
    /// Returns true if the change is not on disk yet, so that a restart of the controller may undo it. The client has
    /// to repeat the request until the change is on disk.
    pub fn is_not_on_disk_yet(&self) -> bool {
        self.durability.starts_with(PENDING_DURABILITY_PREFIX)
    }
}

/// The status of a controller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(expecting = "struct State")]
pub struct ControllerState {
    /// The controller's name.
    pub name: String,
    /// The version of the controller program.
    pub version: String,
    /// The time since the process started, in seconds.
    #[serde(rename = "up_s")]
    pub uptime_s: f64,
    /// The number of connected proxies.
    pub proxies: usize,
    /// The number of slices that the controller owns.
    pub slices: usize,
    /// The number of replicas that the controller tracks, including ones that are no longer in the endpoint list.
    #[serde(rename = "servers")]
    pub replicas: usize,
    /// True while commands to the relay are pending or in flight.
    #[serde(rename = "orders_open")]
    pub has_outstanding_commands: bool,
    /// The operations that currently fail.
    #[serde(rename = "failing")]
    pub failures: Vec<RepeatedFailure>,
    /// The number of active overrides.
    #[serde(rename = "overrides_standing")]
    pub active_overrides: usize,
    /// The number of listed overrides, including ended ones.
    #[serde(rename = "overrides_listed")]
    pub listed_overrides: usize,
    /// The subset of the controller; absent if subsetting is off.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub subsetting: Option<SubsettingState>,
    /// The freshness of the aggregators' reports; absent if collectors report to the controller directly.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reports: Option<ReportState>,
}

/// The fleet and the controller's subset of the replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(expecting = "struct Subsetting")]
pub struct SubsettingState {
    /// The number of controllers in the fleet, including the one that replies.
    #[serde(rename = "governors")]
    pub controllers: usize,
    /// The number of aggregators in the fleet.
    pub aggregators: usize,
    /// The desired number of replicas per controller.
    #[serde(rename = "subset")]
    pub subset_size: usize,
    /// The number of replicas that the controller currently steers.
    pub own_replicas: usize,
    /// The number of replicas that the registry currently lists.
    pub listed_replicas: usize,
    /// The budget for reports to the controller, in bytes per second.
    #[serde(rename = "budget_bytes_per_s")]
    pub report_budget_bytes_per_second: u64,
}

/// The freshness and completeness of the reports that the controller bases its decisions on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(expecting = "struct Reports")]
pub struct ReportState {
    /// The current rate of received reports, in bytes per second.
    #[serde(rename = "bytes_per_s")]
    pub bytes_per_second: f64,
    /// The time since the latest report, in seconds; absent before the first one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub age_s: Option<f64>,
    /// True if the reports are too old for outlier ejection.
    pub stale: bool,
    /// The number of replicas whose reports do not cover every zone and interval.
    pub partial_replicas: usize,
}

/// An operation that currently fails.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(expecting = "struct Failing")]
pub struct RepeatedFailure {
    /// The name of the operation.
    #[serde(rename = "what")]
    pub source: String,
    /// The number of consecutive failures.
    #[serde(rename = "times")]
    pub count: u32,
}

/// The body of a reply to a request that was not carried out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(expecting = "struct Problem")]
pub struct ErrorBody {
    /// The error message.
    pub error: String,
    /// The field of the request that is invalid.
    #[serde(rename = "part", default, skip_serializing_if = "Option::is_none")]
    pub field: Option<String>,
}

impl ErrorBody {
    /// Creates an error that does not concern a particular field.
    pub fn new(error: impl Into<String>) -> Self {
        ErrorBody { error: error.into(), field: None }
    }
}

impl From<InvalidField> for ErrorBody {
    fn from(invalid: InvalidField) -> Self {
        ErrorBody { error: invalid.to_string(), field: Some(invalid.field.into()) }
    }
}

impl From<serde_json::Error> for ErrorBody {
    fn from(error: serde_json::Error) -> Self {
        ErrorBody::new(error.to_string())
    }
}
