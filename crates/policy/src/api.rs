//! Types used in calls to [`Policy`](crate::Policy) and in the actions that it returns. They do not depend on any
//! wire protocol.

use crate::time::{Moment, Span};

/// The id of a replica, as given by the protocol.
pub type ReplicaId = u32;
/// The id of a slice of the key space. A slice is the unit of routing: each slice has its own routing table.
pub type SliceId = u32;
/// The id of a proxy.
pub type ProxyId = u32;
/// A zone of the deployment, as an index into the list of zones.
pub type ZoneId = usize;

/// The state of a replica according to the replica list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaState {
    /// The replica serves requests.
    Ready,
    /// The replica is shutting down gracefully; its slices must move to other replicas.
    Draining,
    /// The replica is no longer listed.
    Gone,
}

/// The controllers that may assign slices to ("steer") a replica when each controller works with a subset of the
/// replicas.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SubsetMembership {
    /// Subsetting is off: every controller steers every replica.
    #[default]
    AllControllers,
    /// The replica is in this controller's subset and in those of `controllers - 1` other controllers.
    Subset {
        /// The number of controllers that steer the replica.
        controllers: u32,
        /// The zero-based rank of this controller among them. All controllers compute the same order.
        position: u32,
    },
    /// The replica is in the subsets of other controllers only.
    OtherControllers,
}

/// An entry of the replica list.
#[derive(Clone, Debug)]
pub struct ReplicaListing {
    /// The id of the replica.
    pub replica: ReplicaId,
    /// The zone that the replica runs in; `ZoneId::MAX` if it is unknown.
    pub zone: ZoneId,
    /// The machine type that the replica runs on.
    pub machine: String,
    /// The state of the replica.
    pub state: ReplicaState,
    /// The listed weight: the replica's capacity relative to other replicas.
    pub weight: f64,
    /// The start time of the replica's process, if known.
    pub started: Option<Moment>,
    /// A hash that identifies the replica identically at all controllers, whatever its id is here. Random draws
    /// that are seeded with it give the same result at all of them.
    pub stable_hash: u64,
    /// The controllers that steer the replica.
    pub subset: SubsetMembership,
}

/// What the replica list last said about a replica's process.
#[derive(Clone, Copy, Debug)]
pub struct ListedState {
    /// The last listed state.
    pub state: ReplicaState,
    /// The start time of the process, if known.
    pub started: Option<Moment>,
}

/// The part of the replica list that an update covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    /// Only the entries that changed.
    Changes,
    /// All entries: a replica that is missing is gone.
    Complete,
    /// All entries, as cached by an earlier incarnation of this controller.
    Cached,
}

/// An operator's temporary change to a replica's listed properties, or to the placement of slices.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum OverrideSpec {
    /// Multiplies a replica's listed weight by a factor.
    Weight {
        /// The replica whose weight changes.
        replica: ReplicaId,
        /// The factor, greater than 0.
        factor: f64,
    },
    /// Takes a replica out of service: it is evacuated like a draining replica.
    OutOfService {
        /// The replica to take out of service.
        replica: ReplicaId,
    },
    /// Pins a range of slices to a replica. Where pins overlap, the newer override takes precedence.
    Pin {
        /// The first slice of the range.
        first: SliceId,
        /// The last slice of the range, inclusive.
        last: SliceId,
        /// The replica that the slices are pinned to.
        replica: ReplicaId,
    },
}

impl OverrideSpec {
    /// Returns the replica that the override applies to.
    pub fn replica(&self) -> ReplicaId {
        match self {
            OverrideSpec::Weight { replica, .. }
            | OverrideSpec::OutOfService { replica }
            | OverrideSpec::Pin { replica, .. } => *replica,
        }
    }
}

/// An override's id, assigned by the caller. It does not change during the override's lifetime.
pub type OverrideNumber = u64;

/// The status of an override: in force, or the reason why it is not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OverrideStatus {
    /// The override is in force.
    InForce,
    /// The override takes effect once the condition described by the text is met.
    Waiting(&'static str),
    /// A rule suspends the override while the condition described by the text holds.
    Suspended(&'static str),
    /// The override's replica is not listed.
    Absent,
}

/// Requests from the proxies of one zone to one replica within a time window.
#[derive(Clone, Copy, Debug, Default)]
pub struct EndpointReport {
    /// The zone of the proxies.
    pub zone: ZoneId,
    /// The length of the time window that the report covers.
    pub window: Span,
    /// The number of requests sent to the replica, including retries.
    pub attempts: f64,
    /// The number of these requests that failed.
    pub failed: f64,
    /// The mean latency of the requests that succeeded.
    pub mean_latency: Span,
}

/// Requests for one slice and one request class within a time window.
#[derive(Clone, Copy, Debug, Default)]
pub struct DemandReport {
    /// The request class, as an index into
    /// [`Deployment::request_classes`](crate::deployment::Deployment::request_classes).
    pub request_class: usize,
    /// The length of the time window that the report covers.
    pub window: Span,
    /// The number of requests received, before admission control.
    pub requests: f64,
    /// The number of these requests that failed.
    pub failed: f64,
}

/// One line of a load report, or the sum of several lines about the same subject. The time at which it was sent is
/// included because a line that arrives late counts for the time that it covers.
#[derive(Clone, Copy, Debug)]
pub struct Report {
    /// The end of its time window, which is the time at which the report was sent.
    pub window_end: Moment,
    /// The number of lines that were added up.
    pub line_count: f64,
    /// The subject and the figures of the report.
    pub body: ReportBody,
}

/// The subject of a line of a load report, with its figures.
#[derive(Clone, Copy, Debug)]
pub enum ReportBody {
    /// A report on a replica.
    Endpoint {
        /// The replica.
        replica: ReplicaId,
        /// The figures of the report.
        report: EndpointReport,
        /// The mean latency in the newest of the lines that were added up.
        latest_latency: Span,
    },
    /// A report on a slice.
    Demand {
        /// The slice.
        slice: SliceId,
        /// The figures of the report.
        report: DemandReport,
    },
}

/// The path on which load reports reach the controller.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReportFlow {
    /// Reports come directly from the collectors, once a second.
    #[default]
    Direct,
    /// Reports are summed by aggregators.
    Aggregated {
        /// The longest time window of the lines received recently.
        longest_window: Span,
    },
    /// Reports should come from aggregators, but none arrive or they have only just resumed. The last load
    /// estimates stay in use.
    Interrupted,
}

/// The subject of a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportSubject {
    /// The replica of an [`EndpointReport`].
    Replica(ReplicaId),
    /// The slice of a [`DemandReport`].
    Slice(SliceId),
}

/// The routing tables that a proxy holds when it connects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProxyTables {
    /// The proxy still holds what it applied before its stream was lost, including withdrawals.
    Retained,
    /// The proxy holds nothing: it has just started, or it has dropped its state.
    Empty,
}

/// One action of a reply. Actions take effect in order, so an endpoint is never withdrawn before its replacement
/// is in place.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sets one endpoint of a slice's routing table.
    SetEndpoint {
        /// The slice whose table changes.
        slice: SliceId,
        /// The replica that serves as the endpoint.
        replica: ReplicaId,
        /// The endpoint's weight in the table; 0 removes the endpoint.
        weight: f64,
    },
    /// Excludes a replica from all routing tables without changing their endpoints.
    Withdraw {
        /// The replica to withdraw.
        replica: ReplicaId,
    },
    /// Ends the withdrawal of a replica.
    Reinstate {
        /// The replica to reinstate.
        replica: ReplicaId,
    },
    /// Sets the admission rate of requests and the number of retries that admitted requests may have.
    SetAdmission {
        /// The slice, or `None` for all slices.
        slice: Option<SliceId>,
        /// The request classes as a bit mask: bit n stands for the class at position n; 0 stands for all classes.
        request_classes: u64,
        /// The share of requests that is admitted, from 0 to 1.
        admission_rate: f64,
        /// The number of retries that a request may have.
        retries: u8,
    },
    /// Requests that all proxies acknowledge everything sent up to this point.
    Sync {
        /// The version of this reply.
        version: u16,
    },
    /// Requests the replica list.
    RequestReplicaList,
    /// Starts a timer, after which [`Policy::timer_fired`](crate::Policy::timer_fired) must be called.
    StartTimer {
        /// The token to pass to the call.
        token: u64,
        /// The time until the call.
        after: Span,
    },
    /// Reports to observers that a replica was ejected as an outlier.
    ReplicaEjected {
        /// The replica that was ejected.
        replica: ReplicaId,
        /// The reason, in words for operators.
        cause: &'static str,
    },
    /// Reports to observers that a replica that is warming up became an owner of a slice.
    ColdReplicaAssigned {
        /// The replica that is warming up.
        replica: ReplicaId,
        /// The slice that it owns now.
        slice: SliceId,
        /// What the decision was based on.
        basis: SlowStartBasis,
    },
    /// Reports to observers that the demand at a replica that is warming up exceeds its slow-start budget.
    ColdReplicaOverBudget {
        /// The replica that is warming up.
        replica: ReplicaId,
        /// What is known of its load.
        load: ColdReplicaLoad,
    },
}

/// What was known when a replica that is warming up became an owner of a slice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartBasis {
    /// The time since the start of the replica.
    pub age: Span,
    /// The requests per second of the slice, as estimated.
    pub slice_demand: f64,
    /// The reduction of the slice's load under which its demand was measured.
    pub reduction: f64,
    /// The number of owners of the slice, including the replica.
    pub owners: usize,
    /// The time for which this controller has owned the slice.
    pub granted_for: Span,
    /// The requests per second at the replica including its part of the slice, as estimated.
    pub replica_demand: f64,
    /// The requests per second that the replica may be sent.
    pub budget: f64,
}

/// What is known of a replica that is warming up when its demand exceeds its slow-start budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdReplicaLoad {
    /// The time since the start of the replica.
    pub age: Span,
    /// The requests per second at the replica, as estimated.
    pub demand: f64,
    /// The attempts per second that proxies reported, whatever slices caused them.
    pub attempts: f64,
    /// The requests per second that the replica may be sent.
    pub budget: f64,
    /// The number of slices whose tables name the replica.
    pub slices: usize,
    /// The slice that brings the replica the most requests.
    pub heaviest: Option<HeaviestSlice>,
}

/// The slice that brings a replica that is warming up the most requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HeaviestSlice {
    /// The slice.
    pub slice: SliceId,
    /// The requests per second of the slice, as estimated.
    pub demand: f64,
    /// The estimate when its owners last changed.
    pub demand_at_change: f64,
    /// The time since its owners last changed.
    pub unchanged_for: Span,
    /// The number of its owners.
    pub owners: usize,
}

impl Action {
    /// Returns true if the action is a command, which can only be carried out through the command channel.
    pub fn needs_channel(&self) -> bool {
        self.reaches_proxies() || matches!(self, Action::Sync { .. })
    }

    /// Returns true if the action changes state held by the proxies.
    pub fn reaches_proxies(&self) -> bool {
        match self {
            Action::SetEndpoint { .. }
            | Action::Withdraw { .. }
            | Action::Reinstate { .. }
            | Action::SetAdmission { .. } => true,
            Action::Sync { .. }
            | Action::RequestReplicaList
            | Action::StartTimer { .. }
            | Action::ReplicaEjected { .. }
            | Action::ColdReplicaAssigned { .. }
            | Action::ColdReplicaOverBudget { .. } => false,
        }
    }
}

/// An upper bound of what is queued in the command channel to the proxies, derived from acknowledgements.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ChannelLoad {
    /// The number of connected proxies.
    pub proxies: usize,
    /// The number of unacknowledged lines in all messages.
    pub unacked_lines: f64,
    /// The number of lines that may be queued.
    pub capacity_lines: f64,
}
