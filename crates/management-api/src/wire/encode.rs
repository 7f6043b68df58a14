//! Encodes replies as HTTP status codes and bodies.

use super::{
    ChangeOutcome, ControllerState, ErrorBody, KindFields, OverrideItem, OverrideList, RepeatedFailure,
    ReportState, SubsettingState, PENDING_DURABILITY_PREFIX,
};
use crate::messages::{ListedOverride, Reply, ReportFreshness, Status, SubsettingStatus};
use serde::Serialize;
use whinwall_overrides::text::format_wall_time;
use whinwall_overrides::{Durability, Ending, Origin, OverrideError};
use whinwall_policy::api::OverrideStatus;
use whinwall_policy::time::{Moment, Span};

/// Returns the status code and the body of a reply. `name` is the name of the controller, `wall_time` the wall-clock
/// time of the reply.
pub fn encode(reply: Reply, name: &str, wall_time: Moment) -> (u16, String) {
    let encode_outcome = |outcome: &str, durability, listed: &ListedOverride, now| {
        let item = OverrideItem::new(listed, now, wall_time);
        to_json(&ChangeOutcome { outcome: outcome.into(), durability: describe_durability(durability), item })
    };
    match reply {
        Reply::Set { listed, is_repeat: false, durability, now } => {
            (201, encode_outcome("set", durability, &listed, now))
        }
        Reply::Set { listed, is_repeat: true, durability, now } => {
            (200, encode_outcome("set before", durability, &listed, now))
        }
        Reply::Cleared { listed, is_repeat, durability, now } => {
            // 202: the end of the override has taken effect, but a restart may undo it until it is on disk.
            let code = if matches!(durability, Durability::Pending(_)) { 202 } else { 200 };
            let outcome = if is_repeat { "ended before" } else { "cleared" };
            (code, encode_outcome(outcome, durability, &listed, now))
        }
        Reply::Listed { overrides, now } => {
            let items = overrides.iter().map(|listed| OverrideItem::new(listed, now, wall_time));
            (200, to_json(&OverrideList { overrides: items.collect() }))
        }
        Reply::Metrics(text) => (200, text),
        Reply::Status(status) => (200, to_json(&ControllerState::new(&status, name))),
        Reply::Rejected(error) => encode_rejection(error),
        Reply::NotStored(reason) => {
            (507, to_json(&ErrorBody::new(format!("not kept, nothing has changed: {reason}"))))
        }
        Reply::StoreUnavailable(reason) => (
            503,
            to_json(&ErrorBody::new(format!("the overrides are not read from the store yet: {reason}"))),
        ),
        Reply::ShuttingDown => (503, to_json(&ErrorBody::new("shutting down; nothing has changed"))),
        Reply::Busy => (503, to_json(&ErrorBody::new("too many wait already; nothing has changed"))),
    }
}

fn encode_rejection(error: OverrideError) -> (u16, String) {
    let code = match &error {
        OverrideError::InvalidField(_) => 400,
        OverrideError::IdInUse { .. } => 409,
        OverrideError::LimitReached { .. } => 429,
        OverrideError::UnknownId { .. } => 404,
    };
    let body = match error {
        OverrideError::InvalidField(invalid) => ErrorBody::from(invalid),
        error => ErrorBody::new(error.to_string()),
    };
    (code, to_json(&body))
}

fn to_json(value: &impl Serialize) -> String {
    serde_json::to_string(value).unwrap_or_default()
}

fn describe_durability(durability: Durability) -> String {
    match durability {
        Durability::OnDisk => "on disk".into(),
        Durability::InMemory => "nowhere".into(),
        Durability::Pending(reason) => format!("{PENDING_DURABILITY_PREFIX}: {reason}"),
    }
}

/// Converts a process time to wall-clock time and formats it. `now` and `wall_time` are the same point in time on both
/// clocks.
fn format_as_wall_time(process_time: Moment, now: Moment, wall_time: Moment) -> String {
    format_wall_time(if process_time >= now {
        wall_time + (process_time - now)
    } else {
        wall_time - (now - process_time)
    })
}

impl OverrideItem {
    /// Creates the item of an override; `now` and `wall_time` are the same point in time on both clocks.
    pub fn new(listed: &ListedOverride, now: Moment, wall_time: Moment) -> Self {
        let entry = &listed.entry;
        let fields = KindFields::from(&entry.kind);
        let (state, cause) = match (&entry.ended, listed.status) {
            (Some(Ending { at, cause }), _) => {
                ("ended", Some(format!("{cause} at {}", format_as_wall_time(*at, now, wall_time))))
            }
            (None, None | Some(OverrideStatus::Absent)) => {
                ("absent", Some("its server is not in the list".into()))
            }
            (None, Some(OverrideStatus::InForce)) => ("in force", None),
            (None, Some(OverrideStatus::Waiting(cause))) => ("waiting", Some(cause.into())),
            (None, Some(OverrideStatus::Suspended(cause))) => ("suspended", Some(cause.into())),
        };
        OverrideItem {
            id: entry.id.clone(),
            kind: fields.name,
            replica: entry.kind.replica().into(),
            factor: fields.factor,
            slices: fields.slices,
            author: entry.author.clone(),
            reason: entry.reason.clone(),
            origin: if entry.origin == Origin::File { "file" } else { "request" }.into(),
            set_at: format_as_wall_time(entry.set_at, now, wall_time),
            expires_at: format_as_wall_time(entry.expires_at, now, wall_time),
            remaining_s: if entry.is_active() { (entry.expires_at - now).seconds() } else { 0.0 },
            state: state.into(),
            cause,
        }
    }
}

impl ControllerState {
    fn new(status: &Status, name: &str) -> Self {
        let to_failure =
            |(source, count): &(&str, u32)| RepeatedFailure { source: (*source).into(), count: *count };
        ControllerState {
            name: name.into(),
            version: env!("CARGO_PKG_VERSION").into(),
            uptime_s: status.uptime().seconds(),
            proxies: status.proxies,
            slices: status.slices,
            replicas: status.replicas,
            has_outstanding_commands: status.has_outstanding_commands,
            failures: status.failures.iter().map(to_failure).collect(),
            active_overrides: status.active_overrides,
            listed_overrides: status.listed_overrides,
            subsetting: status.subsetting.as_ref().map(SubsettingState::from),
            reports: status.reports.as_ref().map(ReportState::from),
        }
    }
}

impl From<&SubsettingStatus> for SubsettingState {
    fn from(status: &SubsettingStatus) -> Self {
        SubsettingState {
            controllers: status.controllers,
            aggregators: status.aggregators,
            subset_size: status.subset_size,
            own_replicas: status.own_replicas,
            listed_replicas: status.listed_replicas,
            report_budget_bytes_per_second: status.report_budget_bytes_per_second,
        }
    }
}

impl From<&ReportFreshness> for ReportState {
    fn from(freshness: &ReportFreshness) -> Self {
        ReportState {
            bytes_per_second: freshness.bytes_per_second,
            age_s: freshness.age.map(Span::seconds),
            stale: freshness.stale,
            partial_replicas: freshness.partial_replicas,
        }
    }
}
