//! Requests and replies as JSON. Unknown keys are refused: a slip of the pen must not pass for a default.

use crate::ask::{Reply, ReportFreshness, Request, Shown, Status, SubsettingStatus};
use serde::{Deserialize, Serialize};
use whinwall_overrides::{
    text, ChangeRequest, Durability, Ending, NewOverride, Origin, OverrideError, OverrideKind,
};
use whinwall_policy::api::OverrideStatus;
use whinwall_policy::time::{Moment, Span};

/// What sets an override; its id stands in the path.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Set {
    pub kind: KindName,
    #[serde(rename = "server")]
    pub replica: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub factor: Option<f64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub slices: Option<String>,
    pub author: String,
    pub reason: String,
    #[serde(rename = "for")]
    pub lasts: String,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum KindName {
    Weight,
    Out,
    Pin,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Clear {
    pub by: String,
}

/// An override as it is shown.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Item {
    pub id: String,
    pub kind: KindName,
    #[serde(rename = "server")]
    pub replica: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub factor: Option<f64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub slices: Option<String>,
    pub author: String,
    pub reason: String,
    pub origin: String,
    pub set: String,
    pub ends: String,
    pub left_s: f64,
    pub state: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<String>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct List {
    pub overrides: Vec<Item>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Outcome {
    pub outcome: String,
    /// "on disk", "nowhere", or why it is not on disk yet.
    pub kept: String,
    #[serde(rename = "override")]
    pub item: Item,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct State {
    pub name: String,
    pub version: String,
    pub up_s: f64,
    pub proxies: usize,
    pub slices: usize,
    #[serde(rename = "servers")]
    pub replicas: usize,
    pub orders_open: bool,
    pub failing: Vec<Failing>,
    pub overrides_standing: usize,
    pub overrides_listed: usize,
    /// Where each controller steers a subset of the replicas.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub subsetting: Option<Subsetting>,
    /// What aggregators tell; none where controllers are told by collectors.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reports: Option<Reports>,
}

/// The fleet and the controller's part of the replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Subsetting {
    /// Controllers of the fleet, the one that answers included.
    #[serde(rename = "governors")]
    pub controllers: usize,
    /// Aggregators of the fleet.
    pub aggregators: usize,
    /// The wished replicas a controller.
    pub subset: usize,
    /// The replicas that the controller steers now.
    pub own_replicas: usize,
    /// The replicas that the registry lists now.
    pub listed_replicas: usize,
    /// What the controller may be told, in bytes a second.
    pub budget_bytes_per_s: u64,
}

/// How fresh and how complete the reports are that the controller goes by.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Reports {
    /// What the controller is told now.
    pub bytes_per_s: f64,
    /// The time since the latest report; none where there was none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub age_s: Option<f64>,
    /// Reports are too old to judge replicas by.
    pub stale: bool,
    /// Replicas whose reports lack a zone or a span of time.
    pub partial_replicas: usize,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Failing {
    pub what: String,
    pub times: u32,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Problem {
    pub error: String,
    /// The part of the request that is wrong.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub part: Option<String>,
}

impl Problem {
    pub fn new(error: impl Into<String>) -> Self {
        Problem { error: error.into(), part: None }
    }

    fn of(part: &str, why: String) -> Self {
        Problem { error: format!("{part}: {why}"), part: Some(part.into()) }
    }
}

impl Set {
    pub fn order(self, id: &str) -> Result<NewOverride, Problem> {
        let replica = self.replica;
        let needless = |part: &str| Err(Problem::of(part, "it has no meaning for this kind".into()));
        let kind = match (self.kind, self.factor, self.slices) {
            (KindName::Weight, Some(factor), None) => OverrideKind::Weight { replica, factor },
            (KindName::Weight, None, _) => return Err(Problem::of("factor", "it is missing".into())),
            (KindName::Pin, None, Some(slices)) => {
                let (first, last) =
                    text::parse_slices(&slices).map_err(|why| Problem::of("slices", why.to_string()))?;
                OverrideKind::Pin { first, last, replica }
            }
            (KindName::Pin, _, None) => return Err(Problem::of("slices", "they are missing".into())),
            (KindName::Out, None, None) => OverrideKind::Out { replica },
            (KindName::Weight, _, Some(_)) | (KindName::Out, None, Some(_)) => return needless("slices"),
            (KindName::Pin | KindName::Out, Some(_), _) => return needless("factor"),
        };
        let duration =
            text::parse_duration(&self.lasts).map_err(|why| Problem::of("for", why.to_string()))?;
        Ok(NewOverride { id: id.into(), kind, author: self.author, reason: self.reason, duration })
    }
}

pub fn decode_set(id: &str, body: &[u8]) -> Result<Request, Problem> {
    let set: Set = serde_json::from_slice(body).map_err(|why| Problem::new(why.to_string()))?;
    Ok(Request::Change(ChangeRequest::Set(set.order(id)?)))
}

pub fn decode_clear(id: &str, body: &[u8]) -> Result<Request, Problem> {
    let clear: Clear = serde_json::from_slice(body).map_err(|why| Problem::new(why.to_string()))?;
    let fits = !clear.by.trim().is_empty() && clear.by.len() <= 64 && !clear.by.chars().any(char::is_control);
    fits.then_some(())
        .ok_or_else(|| Problem::of("by", "it must have 1 to 64 bytes and no control characters".into()))?;
    Ok(Request::Change(ChangeRequest::Clear { id: id.into(), by: clear.by }))
}

/// A kind's name, and what only some kinds have.
fn parts(kind: &OverrideKind) -> (KindName, Option<f64>, Option<String>) {
    match kind {
        OverrideKind::Weight { factor, .. } => (KindName::Weight, Some(*factor), None),
        OverrideKind::Out { .. } => (KindName::Out, None, None),
        OverrideKind::Pin { first, last, .. } => {
            (KindName::Pin, None, Some(text::format_slices(*first, *last)))
        }
    }
}

/// A moment of the controller's own clock by the wall's: both are there now.
fn by_wall(at: Moment, now: Moment, wall: Moment) -> String {
    text::format_wall_time(if at >= now { wall + (at - now) } else { wall - (now - at) })
}

impl Item {
    pub fn of(shown: &Shown, now: Moment, wall: Moment) -> Self {
        let one = &shown.one;
        let (kind, factor, slices) = parts(&one.kind);
        let (state, cause) = match (&one.ended, shown.heeded) {
            (Some(Ending { at, cause }), _) => {
                ("ended", Some(format!("{cause} at {}", by_wall(*at, now, wall))))
            }
            (None, None | Some(OverrideStatus::Absent)) => {
                ("absent", Some("its server is not in the list".into()))
            }
            (None, Some(OverrideStatus::InForce)) => ("in force", None),
            (None, Some(OverrideStatus::Waiting(why))) => ("waiting", Some(why.into())),
            (None, Some(OverrideStatus::Suspended(why))) => ("suspended", Some(why.into())),
        };
        Item {
            id: one.id.clone(),
            kind,
            replica: one.kind.replica().into(),
            factor,
            slices,
            author: one.author.clone(),
            reason: one.reason.clone(),
            origin: if one.origin == Origin::File { "file" } else { "request" }.into(),
            set: by_wall(one.set_at, now, wall),
            ends: by_wall(one.expires_at, now, wall),
            left_s: if one.is_active() { (one.expires_at - now).seconds() } else { 0.0 },
            state: state.into(),
            cause,
        }
    }
}

fn kept_word(kept: Durability) -> String {
    match kept {
        Durability::OnDisk => "on disk".into(),
        Durability::InMemory => "nowhere".into(),
        Durability::Pending(why) => format!("not on disk yet: {why}"),
    }
}

/// Status code and body.
pub fn encode(reply: Reply, name: &str, wall: Moment) -> (u16, String) {
    fn body(value: &impl Serialize) -> String {
        serde_json::to_string(value).unwrap_or_default()
    }
    let outcome = |word: &str, kept, shown: &Shown, now| {
        body(&Outcome { outcome: word.into(), kept: kept_word(kept), item: Item::of(shown, now, wall) })
    };
    match reply {
        Reply::Set { shown, again: false, kept, now } => (201, outcome("set", kept, &shown, now)),
        Reply::Set { shown, again: true, kept, now } => (200, outcome("set before", kept, &shown, now)),
        Reply::Cleared { shown, again, kept, now } => {
            (200, outcome(if again { "ended before" } else { "cleared" }, kept, &shown, now))
        }
        Reply::Listed { all, now } => {
            let overrides = all.iter().map(|shown| Item::of(shown, now, wall)).collect();
            (200, body(&List { overrides }))
        }
        Reply::Metrics(text) => (200, text),
        Reply::Status(status) => (200, body(&State::of(&status, name))),
        Reply::Refused(refused) => {
            let (code, part) = match &refused {
                OverrideError::InvalidField(invalid) => (400, Some(invalid.field.to_string())),
                OverrideError::IdInUse { .. } => (409, None),
                OverrideError::LimitReached { .. } => (429, None),
                OverrideError::UnknownId { .. } => (404, None),
            };
            (code, body(&Problem { error: refused.to_string(), part }))
        }
        Reply::NotKept(why) => (507, body(&Problem::new(format!("not kept, nothing has changed: {why}")))),
        Reply::Busy => (503, body(&Problem::new("too many wait already; nothing has changed"))),
    }
}

impl State {
    fn of(status: &Status, name: &str) -> Self {
        let failing = |(what, times): &(&str, u32)| Failing { what: what.to_string(), times: *times };
        State {
            name: name.into(),
            version: env!("CARGO_PKG_VERSION").into(),
            up_s: status.up().seconds(),
            proxies: status.proxies,
            slices: status.slices,
            replicas: status.replicas,
            orders_open: status.orders_open,
            failing: status.failing.iter().map(failing).collect(),
            overrides_standing: status.standing,
            overrides_listed: status.listed,
            subsetting: status.subsetting.as_ref().map(Subsetting::of),
            reports: status.reports.as_ref().map(Reports::of),
        }
    }
}

impl Subsetting {
    fn of(status: &SubsettingStatus) -> Self {
        Subsetting {
            controllers: status.controllers,
            aggregators: status.aggregators,
            subset: status.subset_size,
            own_replicas: status.own_replicas,
            listed_replicas: status.listed_replicas,
            budget_bytes_per_s: status.bytes_per_second,
        }
    }
}

impl Reports {
    fn of(freshness: &ReportFreshness) -> Self {
        Reports {
            bytes_per_s: freshness.bytes_per_second,
            age_s: freshness.age.map(Span::seconds),
            stale: freshness.stale,
            partial_replicas: freshness.partial_replicas,
        }
    }
}

/// For who writes an order by hand.
pub fn set_of(kind: &OverrideKind, author: &str, reason: &str, lasts: Span) -> Set {
    let (name, factor, slices) = parts(kind);
    Set {
        kind: name,
        replica: kind.replica().into(),
        factor,
        slices,
        author: author.into(),
        reason: reason.into(),
        lasts: text::format_duration(lasts),
    }
}
