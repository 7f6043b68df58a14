//! What is asked of a controller, and what it replies: checked values, no HTTP.

use whinwall_overrides::{ChangeReply, ChangeRequest, Durability, Override, OverrideError};
use whinwall_policy::api::OverrideStatus;
use whinwall_policy::time::{Moment, Span};

#[derive(Clone, Debug, PartialEq)]
pub enum Request {
    Change(ChangeRequest),
    List,
    Status,
    Metrics,
}

/// An override with what has become of it.
#[derive(Clone, Debug, PartialEq)]
pub struct Shown {
    pub one: Override,
    /// None where it has ended.
    pub heeded: Option<OverrideStatus>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Status {
    pub now: Moment,
    pub since: Moment,
    pub proxies: usize,
    pub slices: usize,
    pub replicas: usize,
    /// What fails now, and how often in a row.
    pub failing: Vec<(&'static str, u32)>,
    pub orders_open: bool,
    pub standing: usize,
    pub listed: usize,
    /// Where each controller steers a subset of the replicas.
    pub subsetting: Option<SubsettingStatus>,
    /// What aggregators tell; none where controllers are told by collectors.
    pub reports: Option<ReportFreshness>,
}

/// The fleet and this controller's part of the replicas.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SubsettingStatus {
    /// Controllers of the fleet, this one included.
    pub controllers: usize,
    /// Aggregators of the fleet.
    pub aggregators: usize,
    /// The wished replicas a controller.
    pub subset_size: usize,
    /// The replicas that this controller steers now.
    pub own_replicas: usize,
    /// The replicas that the registry lists now.
    pub listed_replicas: usize,
    /// What this controller may be told, in bytes a second.
    pub bytes_per_second: u64,
}

/// How fresh and how complete the reports are that this controller goes by.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReportFreshness {
    /// What it is told now.
    pub bytes_per_second: f64,
    /// The time since the latest report; none where there was none.
    pub age: Option<Span>,
    /// Reports are too old to judge replicas by.
    pub stale: bool,
    /// Replicas whose reports lack a zone or a span of time.
    pub partial_replicas: usize,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    Set {
        shown: Shown,
        again: bool,
        kept: Durability,
        now: Moment,
    },
    Cleared {
        shown: Shown,
        again: bool,
        kept: Durability,
        now: Moment,
    },
    Listed {
        all: Vec<Shown>,
        now: Moment,
    },
    Status(Status),
    /// In the text form that Prometheus reads.
    Metrics(String),
    Refused(OverrideError),
    NotKept(String),
    Busy,
}

impl Reply {
    /// A clerk's answer, with what is known of the override that it names.
    pub fn of(answer: ChangeReply, now: Moment, shown: impl FnOnce(u64) -> Option<Shown>) -> Reply {
        let gone = || Reply::NotKept("it is not listed any more".into());
        match answer {
            ChangeReply::Set { number, is_repeat: again, durability: kept } => {
                shown(number).map_or_else(gone, |shown| Reply::Set { shown, again, kept, now })
            }
            ChangeReply::Cleared { number, is_repeat: again, durability: kept } => {
                shown(number).map_or_else(gone, |shown| Reply::Cleared { shown, again, kept, now })
            }
            ChangeReply::Rejected(refused) => Reply::Refused(refused),
            ChangeReply::NotStored(why) => Reply::NotKept(why),
            ChangeReply::Busy => Reply::Busy,
        }
    }
}

impl Status {
    pub fn up(&self) -> Span {
        self.now - self.since
    }
}
