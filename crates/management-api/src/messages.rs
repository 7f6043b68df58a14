//! Requests to a controller and its replies as validated values, independent of HTTP.

use whinwall_overrides::{ChangeReply, ChangeRequest, Durability, Override, OverrideError};
use whinwall_policy::api::{OverrideNumber, OverrideStatus};
use whinwall_policy::time::{Moment, Span};

/// A request to a controller.
#[derive(Clone, Debug, PartialEq)]
pub enum Request {
    /// Sets or clears an override.
    Change(ChangeRequest),
    /// Lists the overrides.
    List,
    /// Returns the controller's status.
    Status,
    /// Returns the controller's metrics.
    Metrics,
}

/// An override and its status in the policy.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedOverride {
    /// The override.
    pub entry: Override,
    /// The policy's status of the override; `None` once the override has ended.
    pub status: Option<OverrideStatus>,
}

/// The status of a controller. All times are readings of the controller's process clock.
#[derive(Clone, Debug, PartialEq)]
pub struct Status {
    /// The time of the reply.
    pub now: Moment,
    /// The start time of the process.
    pub started_at: Moment,
    /// The number of connected proxies.
    pub proxies: usize,
    /// The number of slices that the controller owns.
    pub slices: usize,
    /// The number of replicas that the controller tracks, including ones that are no longer in the endpoint list.
    pub replicas: usize,
    /// The operations that currently fail, each with its number of consecutive failures.
    pub failures: Vec<(&'static str, u32)>,
    /// True while commands to the relay are pending or in flight.
    pub has_outstanding_commands: bool,
    /// The number of active overrides.
    pub active_overrides: usize,
    /// The number of listed overrides, including ended ones.
    pub listed_overrides: usize,
    /// The subset of this controller; `None` if subsetting is off.
    pub subsetting: Option<SubsettingStatus>,
    /// The freshness of the aggregators' reports; `None` if collectors report to the controller directly.
    pub reports: Option<ReportFreshness>,
}

impl Status {
    /// The time since the process started.
    pub fn uptime(&self) -> Span {
        self.now - self.started_at
    }
}

/// The fleet and this controller's subset of the replicas.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SubsettingStatus {
    /// The number of controllers in the fleet, including this one.
    pub controllers: usize,
    /// The number of aggregators in the fleet.
    pub aggregators: usize,
    /// The desired number of replicas per controller.
    pub subset_size: usize,
    /// The number of replicas that this controller currently steers.
    pub own_replicas: usize,
    /// The number of replicas that the registry currently lists.
    pub listed_replicas: usize,
    /// The budget for reports to this controller, in bytes per second.
    pub report_budget_bytes_per_second: u64,
}

/// The freshness and completeness of the reports that this controller bases its decisions on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReportFreshness {
    /// The current rate of received reports, in bytes per second.
    pub bytes_per_second: f64,
    /// The time since the latest report; `None` before the first one.
    pub age: Option<Span>,
    /// True if the reports are too old for outlier ejection.
    pub stale: bool,
    /// The number of replicas whose reports do not cover every zone and interval.
    pub partial_replicas: usize,
}

/// A controller's reply. All times are readings of the controller's process clock.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// The override is set.
    Set {
        /// The override.
        listed: ListedOverride,
        /// True if an earlier request had already set the override.
        is_repeat: bool,
        /// Whether the override survives a restart of the process.
        durability: Durability,
        /// The time of the reply.
        now: Moment,
    },
    /// The override has ended.
    Cleared {
        /// The override.
        listed: ListedOverride,
        /// True if the override had already ended before this request.
        is_repeat: bool,
        /// Whether the end of the override survives a restart of the process.
        durability: Durability,
        /// The time of the reply.
        now: Moment,
    },
    /// The list of overrides.
    Listed {
        /// All listed overrides, oldest first.
        overrides: Vec<ListedOverride>,
        /// The time of the reply.
        now: Moment,
    },
    /// The controller's status.
    Status(Status),
    /// The controller's metrics in the OpenMetrics text format.
    Metrics(String),
    /// The request is rejected; nothing was changed.
    Rejected(OverrideError),
    /// The store cannot be written to, for the given reason; nothing was changed.
    NotStored(String),
    /// The overrides cannot be listed because the store has not been read yet, for the given reason.
    StoreUnavailable(String),
    /// The request queue is full; nothing was changed.
    Busy,
    /// The controller is shutting down; nothing was changed.
    ShuttingDown,
}

impl Reply {
    /// Converts the reply to a change. `find_override` looks an override up by its number. If the override was removed
    /// from the list in the meantime, the reply is [`Reply::NotStored`].
    pub fn from_change(
        reply: ChangeReply,
        now: Moment,
        find_override: impl FnOnce(OverrideNumber) -> Option<ListedOverride>,
    ) -> Reply {
        let not_listed = || Reply::NotStored("it is not listed any more".into());
        match reply {
            ChangeReply::Set { number, is_repeat, durability } => find_override(number)
                .map_or_else(not_listed, |listed| Reply::Set { listed, is_repeat, durability, now }),
            ChangeReply::Cleared { number, is_repeat, durability } => find_override(number)
                .map_or_else(not_listed, |listed| Reply::Cleared { listed, is_repeat, durability, now }),
            ChangeReply::Rejected(error) => Reply::Rejected(error),
            ChangeReply::NotStored(reason) => Reply::NotStored(reason),
            ChangeReply::Busy => Reply::Busy,
        }
    }
}
