//! Requests and replies as JSON. The names of fields, and of the types in serde's error messages, are part of the
//! interface and stay when a field or type is renamed: by `rename`, `expecting`, or an alias.

mod bodies;
mod decode;
mod encode;

pub use bodies::{Clear as ClearBody, Set as SetBody};
pub use decode::{decode_clear, decode_set};
pub use encode::encode;

use serde::{Deserialize, Serialize};
use whinwall_overrides::text::format_slices;
use whinwall_overrides::{InvalidField, OverrideKind};

/// The name of an override's kind.
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

/// A kind's name, and the fields that only some kinds have.
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

/// A listed override.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(expecting = "struct Item")]
pub struct OverrideItem {
    /// Its id.
    pub id: String,
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
    /// Who set it.
    pub author: String,
    /// Why, for other operators.
    pub reason: String,
    /// `request` or `file`.
    pub origin: String,
    /// When it was set, by the wall clock.
    #[serde(rename = "set")]
    pub set_at: String,
    /// When it expires, by the wall clock.
    #[serde(rename = "ends")]
    pub expires_at: String,
    /// The time until then in seconds; 0 where it has ended.
    #[serde(rename = "left_s")]
    pub remaining_s: f64,
    /// `in force`, `waiting`, `suspended`, `absent` or `ended`.
    pub state: String,
    /// Why it is not in force.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<String>,
}

/// The reply to a request for the list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(expecting = "struct List")]
pub struct OverrideList {
    /// All listed overrides, the oldest first.
    pub overrides: Vec<OverrideItem>,
}

/// How the durability of a change begins that a restart may undo.
pub(crate) const NOT_ON_DISK_YET: &str = "not on disk yet";

/// The reply to a change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(expecting = "struct Outcome")]
pub struct ChangeOutcome {
    /// `set`, `set before`, `cleared` or `ended before`.
    pub outcome: String,
    /// `on disk`, `nowhere`, or why it is not on disk yet.
    #[serde(rename = "kept")]
    pub durability: String,
    /// The override after the change.
    #[serde(rename = "override")]
    pub item: OverrideItem,
}

impl ChangeOutcome {
    /// Whether a restart of the controller may undo the change, so that it is to be requested again.
    pub fn is_not_on_disk_yet(&self) -> bool {
        self.durability.starts_with(NOT_ON_DISK_YET)
    }
}

/// The status of a controller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(expecting = "struct State")]
pub struct ControllerState {
    /// The controller's name.
    pub name: String,
    /// Its version.
    pub version: String,
    /// How long the program has run, in seconds.
    #[serde(rename = "up_s")]
    pub uptime_s: f64,
    /// Connected proxies.
    pub proxies: usize,
    /// Slices that it owns.
    pub slices: usize,
    /// Replicas that it knows.
    #[serde(rename = "servers")]
    pub replicas: usize,
    /// Whether commands to the relay are queued or in flight.
    #[serde(rename = "orders_open")]
    pub has_outstanding_commands: bool,
    /// What fails at present.
    #[serde(rename = "failing")]
    pub failures: Vec<RepeatedFailure>,
    /// The number of active overrides.
    #[serde(rename = "overrides_standing")]
    pub active_overrides: usize,
    /// The number of listed overrides, ended ones included.
    #[serde(rename = "overrides_listed")]
    pub listed_overrides: usize,
    /// Where each controller steers a subset of the replicas.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub subsetting: Option<SubsettingState>,
    /// How fresh the aggregators' reports are; none where collectors report to the controller.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reports: Option<ReportState>,
}

/// The fleet and the controller's subset of the replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(expecting = "struct Subsetting")]
pub struct SubsettingState {
    /// Controllers of the fleet, the one that replies included.
    #[serde(rename = "governors")]
    pub controllers: usize,
    /// Aggregators of the fleet.
    pub aggregators: usize,
    /// The desired number of replicas per controller.
    #[serde(rename = "subset")]
    pub subset_size: usize,
    /// The replicas that the controller steers now.
    pub own_replicas: usize,
    /// The replicas that the registry lists now.
    pub listed_replicas: usize,
    /// The budget of the reports to the controller, in bytes per second.
    #[serde(rename = "budget_bytes_per_s")]
    pub report_budget_bytes_per_second: u64,
}

/// How fresh and how complete the reports are that the controller decides by.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(expecting = "struct Reports")]
pub struct ReportState {
    /// The rate of the reports at present.
    #[serde(rename = "bytes_per_s")]
    pub bytes_per_second: f64,
    /// The time since the latest report; none where there was none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub age_s: Option<f64>,
    /// Whether reports are too old to eject replicas by.
    pub stale: bool,
    /// Replicas whose reports lack a zone or an interval.
    pub partial_replicas: usize,
}

/// What fails at present.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(expecting = "struct Failing")]
pub struct RepeatedFailure {
    /// What fails.
    #[serde(rename = "what")]
    pub source: String,
    /// The number of failures in a row.
    #[serde(rename = "times")]
    pub count: u32,
}

/// The body of a reply to a request that was not carried out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(expecting = "struct Problem")]
pub struct ErrorBody {
    /// What is wrong.
    pub error: String,
    /// The field of the request that is invalid.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub part: Option<String>,
}

impl ErrorBody {
    /// An error that is not about one field.
    pub fn new(error: impl Into<String>) -> Self {
        ErrorBody { error: error.into(), part: None }
    }
}

impl From<InvalidField> for ErrorBody {
    fn from(invalid: InvalidField) -> Self {
        ErrorBody { error: invalid.to_string(), part: Some(invalid.field.into()) }
    }
}

impl From<serde_json::Error> for ErrorBody {
    fn from(error: serde_json::Error) -> Self {
        ErrorBody::new(error.to_string())
    }
}
