//! What goes in and out of the decisions, in no protocol's terms.

use crate::time::{Moment, Span};

/// Ids stay as the protocol gives them; they carry no meaning.
pub type ServerId = u32;
pub type SliceId = u32;
pub type ProxyId = u32;
/// A site of the deployment, by its position among them.
pub type PlaceId = usize;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    Ready,
    Draining,
    Gone,
}

/// Which governors steer a replica, where each of them works with a subset of the replicas.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Share {
    /// Subsetting is off: every governor steers every replica.
    #[default]
    Everyone,
    /// The replica is in this governor's subset and in those of `governors - 1` others. `position` is this governor's
    /// rank among them, from 0 on; all of them compute the same order.
    Subset { governors: u32, position: u32 },
    /// The replica is in the subsets of other governors only.
    Others,
}

/// One server as the list shows it.
#[derive(Clone, Debug)]
pub struct Listing {
    pub server: ServerId,
    pub place: PlaceId,
    pub machine: String,
    pub standing: Standing,
    pub size: f64,
    pub started: Option<Moment>,
    /// Stands for the server at all governors alike, whatever its id is here: draws that they make about it
    /// fall alike.
    pub lot: u64,
    /// Which governors steer it.
    pub share: Share,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    Changes,
    Whole,
    /// The whole list as a former life of this governor knew it.
    Remembered,
}

/// What operators want for a while, whatever the list says.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Wish {
    /// A factor on a server's listed size.
    Weight { server: ServerId, factor: f64 },
    /// Out of service: left as one that drains is.
    Out { server: ServerId },
    /// These slices, both ends included, are to be on this server; where wishes overlap the newer one counts.
    Pin { first: SliceId, last: SliceId, server: ServerId },
}

impl Wish {
    pub fn server(&self) -> ServerId {
        match self {
            Wish::Weight { server, .. } | Wish::Out { server } | Wish::Pin { server, .. } => *server,
        }
    }
}

/// Given by whoever tells of a wish; it stays the same for as long as the wish stands.
pub type WishId = u64;

/// How far a wish has come, and what it waits for or stands back for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heeded {
    InForce,
    Waiting(&'static str),
    Suspended(&'static str),
    /// The list does not have its server.
    Absent,
}

/// What the proxies of one place met at one server within the time that the report covers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Met {
    pub place: PlaceId,
    pub covers: Span,
    pub tries: f64,
    pub aborted: f64,
    pub mean_latency: Span,
}

/// What came for one slice, of one op type, within the time that the report covers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Asked {
    pub op_type: usize,
    pub covers: Span,
    pub came: f64,
    pub aborted: f64,
}

/// One line of a report, or the sum of several that are alike, with the time at which it was told: what comes
/// late to the decisions is late, and not fresh.
#[derive(Clone, Copy, Debug)]
pub struct Report {
    pub at: Moment,
    /// How many lines it is the sum of.
    pub lines: f64,
    pub what: Reported,
}

#[derive(Clone, Copy, Debug)]
pub enum Reported {
    Met {
        server: ServerId,
        met: Met,
        /// What the latest of its answers took on average, where it is a sum.
        latest: Span,
    },
    Asked {
        slice: SliceId,
        asked: Asked,
    },
}

/// How reports reach the governor.
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
pub enum ReportedOn {
    Server(ServerId),
    Slice(SliceId),
}

/// A step of a reply. Steps take effect in order: a withdrawal never overtakes the line that replaces it.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    Line {
        slice: SliceId,
        server: ServerId,
        weight: f64,
    },
    Withdraw {
        server: ServerId,
        out: bool,
    },
    Level {
        slice: Option<SliceId>,
        op_types: u64,
        share: f64,
        tries: u8,
    },
    Mark {
        number: u16,
    },
    FollowList,
    Wake {
        token: u64,
        after: Span,
    },
    /// For whoever watches: a server is taken for sick, and why.
    Sick {
        server: ServerId,
        cause: &'static str,
    },
}

impl Step {
    /// Changes what proxies hold.
    pub fn reaches_proxies(&self) -> bool {
        matches!(self, Step::Line { .. } | Step::Withdraw { .. } | Step::Level { .. })
    }
}
