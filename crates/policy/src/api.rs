//! What goes in and out of the decisions, in no protocol's terms.

use crate::time::{Moment, Span};

/// Ids stay as the protocol gives them; they carry no meaning.
pub type ReplicaId = u32;
pub type SliceId = u32;
pub type ProxyId = u32;
/// A site of the deployment, by its position among them.
pub type ZoneId = usize;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaState {
    Ready,
    Draining,
    Gone,
}

/// Which controllers steer a replica, where each of them works with a subset of the replicas.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SubsetMembership {
    /// Subsetting is off: every controller steers every replica.
    #[default]
    Everyone,
    /// The replica is in this controller's subset and in those of `controllers - 1` others. `position` is this controller's
    /// rank among them, from 0 on; all of them compute the same order.
    Subset { controllers: u32, position: u32 },
    /// The replica is in the subsets of other controllers only.
    Others,
}

/// One replica as the list shows it.
#[derive(Clone, Debug)]
pub struct ReplicaListing {
    pub replica: ReplicaId,
    pub zone: ZoneId,
    pub machine: String,
    pub standing: ReplicaState,
    pub size: f64,
    pub started: Option<Moment>,
    /// Stands for the replica at all controllers alike, whatever its id is here: draws that they make about it
    /// fall alike.
    pub lot: u64,
    /// Which controllers steer it.
    pub share: SubsetMembership,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    Changes,
    Whole,
    /// The whole list as a former life of this controller knew it.
    Remembered,
}

/// What operators want for a while, whatever the list says.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum OverrideSpec {
    /// A factor on a replica's listed size.
    Weight { replica: ReplicaId, factor: f64 },
    /// Out of service: left as one that drains is.
    Out { replica: ReplicaId },
    /// These slices, both ends included, are to be on this replica; where overrides overlap the newer one counts.
    Pin { first: SliceId, last: SliceId, replica: ReplicaId },
}

impl OverrideSpec {
    pub fn replica(&self) -> ReplicaId {
        match self {
            OverrideSpec::Weight { replica, .. }
            | OverrideSpec::Out { replica }
            | OverrideSpec::Pin { replica, .. } => *replica,
        }
    }
}

/// Given by whoever tells of a override; it stays the same for as long as the override stands.
pub type OverrideId = u64;

/// How far a override has come, and what it waits for or stands back for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OverrideStatus {
    InForce,
    Waiting(&'static str),
    Suspended(&'static str),
    /// The list does not have its replica.
    Absent,
}

/// What the proxies of one place met at one replica within the time that the report covers.
#[derive(Clone, Copy, Debug, Default)]
pub struct EndpointReport {
    pub zone: ZoneId,
    pub covers: Span,
    pub attempts: f64,
    pub failed: f64,
    pub mean_latency: Span,
}

/// What came for one slice, of one request class, within the time that the report covers.
#[derive(Clone, Copy, Debug, Default)]
pub struct DemandReport {
    pub request_class: usize,
    pub covers: Span,
    pub came: f64,
    pub failed: f64,
}

/// One line of a report, or the sum of several that are alike, with the time at which it was told: what comes
/// late to the decisions is late, and not fresh.
#[derive(Clone, Copy, Debug)]
pub struct Report {
    pub at: Moment,
    /// How many lines it is the sum of.
    pub lines: f64,
    pub what: ReportBody,
}

#[derive(Clone, Copy, Debug)]
pub enum ReportBody {
    EndpointReport {
        replica: ReplicaId,
        met: EndpointReport,
        /// What the latest of its answers took on average, where it is a sum.
        latest: Span,
    },
    DemandReport {
        slice: SliceId,
        asked: DemandReport,
    },
}

/// How reports reach the controller.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReportFlow {
    /// As the collectors make them, each second.
    #[default]
    Direct,
    /// Summed by aggregators; the longest time that a line of late covers.
    Aggregated { longest_window: Span },
    /// They are to be aggregated, but nothing comes, or it has come again only just now: what was known last stays.
    Interrupted,
}

/// What reports are on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportSubject {
    Replica(ReplicaId),
    Slice(SliceId),
}

/// A step of a reply. Steps take effect in order: a withdrawal never overtakes the line that replaces it.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    SetEndpoint {
        slice: SliceId,
        replica: ReplicaId,
        weight: f64,
    },
    Withdraw {
        replica: ReplicaId,
        out: bool,
    },
    SetAdmission {
        slice: Option<SliceId>,
        request_classes: u64,
        share: f64,
        retries: u8,
    },
    Sync {
        number: u16,
    },
    RequestReplicaList,
    StartTimer {
        token: u64,
        after: Span,
    },
    /// For whoever watches: a replica is taken for sick, and why.
    ReplicaEjected {
        replica: ReplicaId,
        cause: &'static str,
    },
}

impl Action {
    /// Changes what proxies hold.
    pub fn reaches_proxies(&self) -> bool {
        matches!(self, Action::SetEndpoint { .. } | Action::Withdraw { .. } | Action::SetAdmission { .. })
    }
}
