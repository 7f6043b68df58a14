//! One override, and the requests that create one.

use std::fmt;
use whinwall_policy::api::{OverrideNumber, SliceId};
use whinwall_policy::time::{Moment, Span};

/// An override as the store holds it: its number and its encoded record.
pub type StoredRecord = (OverrideNumber, Vec<u8>);

/// The effect of an override. Replicas are named, as their numbers are internal to a program and may change.
#[derive(Clone, Debug, PartialEq)]
pub enum OverrideKind {
    /// Multiplies the weight that the endpoint list gives a replica.
    Weight {
        /// The replica's name.
        replica: String,
        /// The multiplier.
        factor: f64,
    },
    /// Takes a replica out of service.
    Out {
        /// The replica's name.
        replica: String,
    },
    /// Makes a range of slices sticky to a replica.
    Pin {
        /// The first slice of the range.
        first: SliceId,
        /// The last slice of the range, included.
        last: SliceId,
        /// The replica's name.
        replica: String,
    },
}

impl OverrideKind {
    /// The name of the replica that it is about.
    pub fn replica(&self) -> &str {
        match self {
            OverrideKind::Weight { replica, .. }
            | OverrideKind::Out { replica }
            | OverrideKind::Pin { replica, .. } => replica,
        }
    }

    /// Whether it supersedes an earlier override: both cannot hold for the same replica or slices.
    pub fn replaces(&self, earlier: &OverrideKind) -> bool {
        match (self, earlier) {
            (OverrideKind::Weight { replica, .. }, OverrideKind::Weight { replica: other, .. })
            | (OverrideKind::Out { replica }, OverrideKind::Out { replica: other }) => replica == other,
            (
                OverrideKind::Pin { first, last, .. },
                OverrideKind::Pin { first: earlier_first, last: earlier_last, .. },
            ) => first <= earlier_first && last >= earlier_last,
            _ => false,
        }
    }
}

impl fmt::Display for OverrideKind {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            OverrideKind::Weight { replica, factor } => write!(f, "weight {factor} on {replica}"),
            OverrideKind::Out { replica } => write!(f, "{replica} out of service"),
            OverrideKind::Pin { first, last, replica } => {
                write!(f, "slices {} pinned to {replica}", crate::text::format_slices(*first, *last))
            }
        }
    }
}

/// Where an override comes from. One of the operators' file ends when the file no longer names it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// The management API.
    Request,
    /// The operators' file.
    File,
}

/// Why an override has ended.
#[derive(Clone, Debug, PartialEq)]
pub enum EndCause {
    /// Its time was over.
    Expired,
    /// An operator, or the operators' file, ended it.
    Cleared {
        /// Who did.
        by: String,
    },
    /// A newer override superseded it.
    Replaced {
        /// The newer one's id.
        by: String,
    },
    /// The wall clock went back while the program was down: the remaining time is unknown, and an override
    /// must not be prolonged.
    ClockWentBack,
}

impl fmt::Display for EndCause {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            EndCause::Expired => f.write_str("expired"),
            EndCause::Cleared { by } => write!(f, "cleared by {by}"),
            EndCause::Replaced { by } => write!(f, "replaced by {by}"),
            EndCause::ClockWentBack => f.write_str("the clock went back over a restart"),
        }
    }
}

/// The end of an override.
#[derive(Clone, Debug, PartialEq)]
pub struct Ending {
    /// The process time at which it ended.
    pub at: Moment,
    /// Why it ended.
    pub cause: EndCause,
}

/// A request to set an override. The client chooses the id, and sends the same id to all controllers: it is an
/// idempotency key, so that a retry after an unknown outcome sets nothing twice.
#[derive(Clone, Debug, PartialEq)]
pub struct NewOverride {
    /// The idempotency key.
    pub id: String,
    /// The effect.
    pub kind: OverrideKind,
    /// Who requests it.
    pub author: String,
    /// Why, for other operators.
    pub reason: String,
    /// How long it holds from when it is set.
    pub duration: Span,
}

/// An override of the operators' file.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfiguredOverride {
    /// Unique in the file.
    pub id: String,
    /// The effect.
    pub kind: OverrideKind,
    /// Who wrote it.
    pub author: String,
    /// Why, for other operators.
    pub reason: String,
    /// When it expires, by the wall clock.
    pub expires_at: Moment,
}

/// An override that was set, active or ended. Times are of the process clock unless said otherwise.
#[derive(Clone, Debug, PartialEq)]
pub struct Override {
    /// Ascending in the order in which overrides were set; identifies the override to the policy and the store.
    pub number: OverrideNumber,
    /// The id that its client or the operators' file chose.
    pub id: String,
    /// The effect.
    pub kind: OverrideKind,
    /// Who set it.
    pub author: String,
    /// Why, for other operators.
    pub reason: String,
    /// Where it comes from.
    pub origin: Origin,
    /// When it was set.
    pub set_at: Moment,
    /// When it expires.
    pub expires_at: Moment,
    /// When it expires by the wall clock, for overrides of the operators' file.
    pub expires_at_wall_time: Option<Moment>,
    /// Its end; none while it is active.
    pub ended: Option<Ending>,
}

impl Override {
    /// Whether it has not ended.
    pub fn is_active(&self) -> bool {
        self.ended.is_none()
    }

    /// Whether it has these contents. The duration is left out, as a retry may arrive late.
    pub fn has_contents(&self, kind: &OverrideKind, author: &str, reason: &str) -> bool {
        self.kind == *kind && self.author == author && self.reason == reason
    }

    /// The same override, ended.
    pub(crate) fn ended(&self, at: Moment, cause: EndCause) -> Override {
        Override { ended: Some(Ending { at, cause }), ..self.clone() }
    }
}
