//! The types of the calls to [`Policy`](crate::Policy) and of the actions that it returns, free of any wire protocol.

use crate::time::{Moment, Span};

/// A replica's id. Ids stay as the protocol gives them; they carry no meaning.
pub type ReplicaId = u32;
/// The id of a slice of the key space, which is the unit of routing: each slice has a routing table of its own.
pub type SliceId = u32;
/// The id of a proxy.
pub type ProxyId = u32;
/// A zone of the deployment, by its position among them.
pub type ZoneId = usize;

/// What the list says of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaState {
    /// It serves requests.
    Ready,
    /// It shuts down gracefully and must be left.
    Draining,
    /// It is not listed any more.
    Gone,
}

/// Which controllers steer a replica, where each of them works with a subset of the replicas.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SubsetMembership {
    /// Subsetting is off: every controller steers every replica.
    #[default]
    AllControllers,
    /// The replica is in this controller's subset and in those of `controllers - 1` others.
    Subset {
        /// The number of controllers that steer the replica.
        controllers: u32,
        /// This controller's rank among them, from 0 on; all of them compute the same order.
        position: u32,
    },
    /// The replica is in the subsets of other controllers only.
    OtherControllers,
}

/// One entry of the replica list.
#[derive(Clone, Debug)]
pub struct ReplicaListing {
    /// Which replica.
    pub replica: ReplicaId,
    /// The zone that it runs in; `ZoneId::MAX` where that is not known.
    pub zone: ZoneId,
    /// The kind of machine that it runs on.
    pub machine: String,
    /// Whether it serves.
    pub state: ReplicaState,
    /// Its capacity against that of the others, as listed.
    pub weight: f64,
    /// When its process started, if known.
    pub started: Option<Moment>,
    /// Identifies the replica at all controllers alike, whatever its id is here: random draws about it give all of them
    /// the same result.
    pub stable_hash: u64,
    /// Which controllers steer it.
    pub subset: SubsetMembership,
}

/// How much of the replica list an update covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    /// Only the entries that changed.
    Changes,
    /// All entries: a replica that is missing has gone.
    Complete,
    /// All entries as an earlier incarnation of this controller knew them.
    Cached,
}

/// A temporary operators' override of what the list says.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum OverrideSpec {
    /// A factor on a replica's listed weight.
    Weight {
        /// Which replica.
        replica: ReplicaId,
        /// The factor, above 0.
        factor: f64,
    },
    /// Out of service: left as a draining replica is.
    OutOfService {
        /// Which replica.
        replica: ReplicaId,
    },
    /// These slices are to be on this replica; where overrides overlap the newer one counts.
    Pin {
        /// The first slice of the range.
        first: SliceId,
        /// The last slice of the range, included.
        last: SliceId,
        /// Where they belong.
        replica: ReplicaId,
    },
}

impl OverrideSpec {
    /// The replica that the override is about.
    pub fn replica(&self) -> ReplicaId {
        match self {
            OverrideSpec::Weight { replica, .. }
            | OverrideSpec::OutOfService { replica }
            | OverrideSpec::Pin { replica, .. } => *replica,
        }
    }
}

/// An override's id, given by the caller; it stays the same for as long as the override exists.
pub type OverrideNumber = u64;

/// Whether an override is in force, and if not, what it waits for or which rule suspends it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OverrideStatus {
    /// It is in force.
    InForce,
    /// It will be in force once this is done.
    Waiting(&'static str),
    /// It is not in force while this holds.
    Suspended(&'static str),
    /// Its replica is not on the list.
    Absent,
}

/// What the proxies of one zone observed at one replica within a time window.
#[derive(Clone, Copy, Debug, Default)]
pub struct EndpointReport {
    /// The proxies' zone.
    pub zone: ZoneId,
    /// The length of the time window that the report covers.
    pub window: Span,
    /// Requests sent to the replica, retries included.
    pub attempts: f64,
    /// Those of them that failed.
    pub failed: f64,
    /// The mean latency of the others.
    pub mean_latency: Span,
}

/// The requests for one slice, of one request class, within a time window.
#[derive(Clone, Copy, Debug, Default)]
pub struct DemandReport {
    /// The request class, by its position among those of the deployment.
    pub request_class: usize,
    /// The length of the time window that the report covers.
    pub window: Span,
    /// Requests received, before admission control.
    pub requests: f64,
    /// Those of them that failed.
    pub failed: f64,
}

/// One line of a load report, or the sum of several of the same subject, with the time at which it was sent: a line that
/// arrives late counts for the time that it covers.
#[derive(Clone, Copy, Debug)]
pub struct Report {
    /// When it was sent, which is the end of its time window.
    pub at: Moment,
    /// How many lines it is the sum of.
    pub line_count: f64,
    /// What it says.
    pub body: ReportBody,
}

/// What a line of a load report is about, and its figures.
#[derive(Clone, Copy, Debug)]
pub enum ReportBody {
    /// On a replica.
    Endpoint {
        /// Which replica.
        replica: ReplicaId,
        /// The figures.
        report: EndpointReport,
        /// The mean latency in the newest of the lines that were added up.
        latest_latency: Span,
    },
    /// On a slice.
    Demand {
        /// Which slice.
        slice: SliceId,
        /// The figures.
        report: DemandReport,
    },
}

/// How load reports reach the controller.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReportFlow {
    /// From the collectors themselves, once a second.
    #[default]
    Direct,
    /// Summed by aggregators.
    Aggregated {
        /// The longest time window of the lines received recently.
        longest_window: Span,
    },
    /// They should come from aggregators but do not, or have started again only just now: the last estimates stay in use.
    Interrupted,
}

/// What a load report is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportSubject {
    /// The replica of an [`EndpointReport`].
    Replica(ReplicaId),
    /// The slice of a [`DemandReport`].
    Slice(SliceId),
}

/// The tables that a proxy holds when it joins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProxyTables {
    /// What it applied before its stream broke, withdrawals included.
    Retained,
    /// Nothing: it has just started, or has dropped its state.
    Empty,
}

/// One action of a reply. Actions take effect in order: a withdrawal never overtakes the endpoint that replaces it.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sets one endpoint of a slice's routing table.
    SetEndpoint {
        /// Whose table.
        slice: SliceId,
        /// Which endpoint.
        replica: ReplicaId,
        /// Its weight in the table; 0 removes it.
        weight: f64,
    },
    /// Takes a replica out of all routing tables, whose endpoints stay as they are.
    Withdraw {
        /// Which replica.
        replica: ReplicaId,
    },
    /// Ends a replica's withdrawal.
    Reinstate {
        /// Which replica.
        replica: ReplicaId,
    },
    /// Sets which share of the requests is admitted, and the retries of those.
    SetAdmission {
        /// Of which slice, or of all.
        slice: Option<SliceId>,
        /// Of which request classes: bit n stands for the class at position n; 0 stands for all.
        request_classes: u64,
        /// The share of requests that is admitted, from 0 to 1.
        admission_rate: f64,
        /// Retries that a request may have.
        retries: u8,
    },
    /// Asks all proxies to acknowledge what was sent up to here.
    Sync {
        /// The version of this reply.
        version: u16,
    },
    /// Asks for the replica list.
    RequestReplicaList,
    /// Asks for [`Policy::timer_fired`](crate::Policy::timer_fired).
    StartTimer {
        /// Comes back with the call.
        token: u64,
        /// How long until the call.
        after: Span,
    },
    /// For observers: a replica was ejected as an outlier.
    ReplicaEjected {
        /// Which replica.
        replica: ReplicaId,
        /// Why, for operators.
        cause: &'static str,
    },
}

impl Action {
    /// Whether the action changes what proxies hold.
    pub fn reaches_proxies(&self) -> bool {
        match self {
            Action::SetEndpoint { .. }
            | Action::Withdraw { .. }
            | Action::Reinstate { .. }
            | Action::SetAdmission { .. } => true,
            Action::Sync { .. }
            | Action::RequestReplicaList
            | Action::StartTimer { .. }
            | Action::ReplicaEjected { .. } => false,
        }
    }
}

/// What may wait in the command channel to the proxies, as far as acknowledgements show.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ChannelLoad {
    /// The number of connected proxies.
    pub proxies: usize,
    /// Lines that are not acknowledged, in all messages together.
    pub unacked_lines: f64,
    /// Lines that may wait.
    pub capacity_lines: f64,
}
