//! An override, and the requests that create one.

use std::fmt;
use whinwall_policy::api::{OverrideNumber, SliceId};
use whinwall_policy::time::{Moment, Span};

/// An override as stored: its number and its encoded record.
pub type StoredRecord = (OverrideNumber, Vec<u8>);

/// The effect of an override. It refers to replicas by name, as their numbers are internal to a process and may change.
#[derive(Clone, Debug, PartialEq)]
pub enum OverrideKind {
    /// Multiplies the weight of a replica in the endpoint list.
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
    /// Pins a range of slices to a replica.
    Pin {
        /// The first slice of the range.
        first: SliceId,
        /// The last slice of the range, which is included.
        last: SliceId,
        /// The replica's name.
        replica: String,
    },
}

impl OverrideKind {
    /// Returns the name of the affected replica.
    pub fn replica(&self) -> &str {
        match self {
            OverrideKind::Weight { replica, .. }
            | OverrideKind::Out { replica }
            | OverrideKind::Pin { replica, .. } => replica,
        }
    }

    /// Returns true if a new override of this kind replaces `earlier`, as both cannot apply to the same replica or the
    /// same slices.
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

/// The source of an override. An override from the operators' file ends when it is removed from the file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// The management API.
    Request,
    /// The operators' file.
    File,
}

/// The reason why an override has ended.
#[derive(Clone, Debug, PartialEq)]
pub enum EndCause {
    /// Its expiry time has passed.
    Expired,
    /// An operator cleared it, or it was removed from the operators' file.
    Cleared {
        /// The operator who cleared it, or `the operators' file`.
        by: String,
    },
    /// A newer override replaced it.
    Replaced {
        /// The id of the newer override.
        by: String,
    },
    /// The wall clock was set back while the program was down. The remaining time is then unknown, and the override
    /// ends as it must not be prolonged.
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

/// A request to set an override. The client chooses the id and sends the same id to all controllers. The id is an
/// idempotency key: a retry after an unknown outcome does not set a second override.
#[derive(Clone, Debug, PartialEq)]
pub struct NewOverride {
    /// The id, which is the idempotency key.
    pub id: String,
    /// The effect.
    pub kind: OverrideKind,
    /// The operator who requests it.
    pub author: String,
    /// The reason, as information for other operators.
    pub reason: String,
    /// The time from setting the override until it expires.
    pub duration: Span,
}

/// An override of the operators' file.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfiguredOverride {
    /// The id, unique within the file.
    pub id: String,
    /// The effect.
    pub kind: OverrideKind,
    /// The operator who wrote it.
    pub author: String,
    /// The reason, as information for other operators.
    pub reason: String,
    /// The expiry time by the wall clock.
    pub expires_at: Moment,
}

/// An override that was set, either active or ended. Times are process times unless stated otherwise.
#[derive(Clone, Debug, PartialEq)]
pub struct Override {
    /// The number, which identifies the override to the policy and the store. Numbers ascend in the order in which
    /// overrides were set.
    pub number: OverrideNumber,
    /// The id chosen by the client or in the operators' file.
    pub id: String,
    /// The effect.
    pub kind: OverrideKind,
    /// The operator who set it.
    pub author: String,
    /// The reason, as information for other operators.
    pub reason: String,
    /// The source of the override.
    pub origin: Origin,
    /// The time at which it was set.
    pub set_at: Moment,
    /// The time at which it expires.
    pub expires_at: Moment,
    /// The expiry time by the wall clock, for overrides from the operators' file.
    pub expires_at_wall_time: Option<Moment>,
    /// The end of the override; `None` while it is active.
    pub ended: Option<Ending>,
}

impl Override {
    /// Returns true if the override has not ended.
    pub fn is_active(&self) -> bool {
        self.ended.is_none()
    }

    /// Returns true if the override has these contents. The duration is not compared, as a retry may arrive late.
    pub fn has_contents(&self, kind: &OverrideKind, author: &str, reason: &str) -> bool {
        self.kind == *kind && self.author == author && self.reason == reason
    }

    /// Returns a copy of the override with its end set.
    pub(crate) fn with_end(&self, at: Moment, cause: EndCause) -> Override {
        Override { ended: Some(Ending { at, cause }), ..self.clone() }
    }
}
