//! Requests to a controller and its replies, as validated values without HTTP.

use whinwall_overrides::{ChangeReply, ChangeRequest, Durability, Override, OverrideError};
use whinwall_policy::api::{OverrideNumber, OverrideStatus};
use whinwall_policy::time::{Moment, Span};

/// A request to a controller.
#[derive(Clone, Debug, PartialEq)]
pub enum Request {
    /// Set or clear an override.
    Change(ChangeRequest),
    /// List the overrides.
    List,
    /// Report the controller's status.
    Status,
    /// Report the controller's metrics.
    Metrics,
}

/// An override with its status in the policy.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedOverride {
    /// The override.
    pub entry: Override,
    /// How far it is in force; none where it has ended.
    pub status: Option<OverrideStatus>,
}

/// The status of a controller. Times are of its process clock.
#[derive(Clone, Debug, PartialEq)]
pub struct Status {
    /// The time of the reply.
    pub now: Moment,
    /// When the program started.
    pub started_at: Moment,
    /// Connected proxies.
    pub proxies: usize,
    /// Slices that the controller owns.
    pub slices: usize,
    /// Replicas that it knows.
    pub replicas: usize,
    /// What fails at present, with the number of failures in a row.
    pub failures: Vec<(&'static str, u32)>,
    /// Whether commands to the relay are queued or in flight.
    pub has_outstanding_commands: bool,
    /// The number of active overrides.
    pub active_overrides: usize,
    /// The number of listed overrides, ended ones included.
    pub listed_overrides: usize,
    /// Where each controller steers a subset of the replicas.
    pub subsetting: Option<SubsettingStatus>,
    /// How fresh the aggregators' reports are; none where collectors report to the controller.
    pub reports: Option<ReportFreshness>,
}

impl Status {
    /// How long the program has run.
    pub fn uptime(&self) -> Span {
        self.now - self.started_at
    }
}

/// The fleet and this controller's subset of the replicas.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SubsettingStatus {
    /// Controllers of the fleet, this one included.
    pub controllers: usize,
    /// Aggregators of the fleet.
    pub aggregators: usize,
    /// The desired number of replicas per controller.
    pub subset_size: usize,
    /// The replicas that this controller steers now.
    pub own_replicas: usize,
    /// The replicas that the registry lists now.
    pub listed_replicas: usize,
    /// The budget of the reports to this controller, in bytes per second.
    pub report_budget_bytes_per_second: u64,
}

/// How fresh and how complete the reports are that this controller decides by.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReportFreshness {
    /// The rate of the reports at present.
    pub bytes_per_second: f64,
    /// The time since the latest report; none where there was none.
    pub age: Option<Span>,
    /// Whether reports are too old to eject replicas by.
    pub stale: bool,
    /// Replicas whose reports lack a zone or an interval.
    pub partial_replicas: usize,
}

/// A controller's reply. Times are of its process clock.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// An override is set.
    Set {
        /// The override.
        listed: ListedOverride,
        /// Whether an earlier request had set it.
        is_repeat: bool,
        /// Whether it outlives the program.
        durability: Durability,
        /// The time of the reply.
        now: Moment,
    },
    /// An override has ended.
    Cleared {
        /// The override.
        listed: ListedOverride,
        /// Whether it had ended before.
        is_repeat: bool,
        /// Whether the end outlives the program.
        durability: Durability,
        /// The time of the reply.
        now: Moment,
    },
    /// The overrides.
    Listed {
        /// All that are listed, the oldest first.
        overrides: Vec<ListedOverride>,
        /// The time of the reply.
        now: Moment,
    },
    /// The controller's status.
    Status(Status),
    /// The controller's metrics in the OpenMetrics text format.
    Metrics(String),
    /// The request is rejected; nothing has changed.
    Rejected(OverrideError),
    /// The store cannot be written to, for this reason; nothing has changed.
    NotStored(String),
    /// The overrides cannot be listed, for this reason: the store was not read yet.
    StoreUnavailable(String),
    /// Too many requests are queued; nothing has changed.
    Busy,
    /// The controller shuts down; nothing has changed.
    ShuttingDown,
}

impl Reply {
    /// The reply to a change. `find` finds the override of a number; one that was removed from the list meanwhile is
    /// reported as not stored.
    pub fn from_change(
        reply: ChangeReply,
        now: Moment,
        find: impl FnOnce(OverrideNumber) -> Option<ListedOverride>,
    ) -> Reply {
        let not_listed = || Reply::NotStored("it is not listed any more".into());
        match reply {
            ChangeReply::Set { number, is_repeat, durability } => find(number)
                .map_or_else(not_listed, |listed| Reply::Set { listed, is_repeat, durability, now }),
            ChangeReply::Cleared { number, is_repeat, durability } => find(number)
                .map_or_else(not_listed, |listed| Reply::Cleared { listed, is_repeat, durability, now }),
            ChangeReply::Rejected(error) => Reply::Rejected(error),
            ChangeReply::NotStored(reason) => Reply::NotStored(reason),
            ChangeReply::Busy => Reply::Busy,
        }
    }
}
