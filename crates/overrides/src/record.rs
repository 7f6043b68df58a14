//! One override, and what is asked for when one is set.

use std::fmt;
use whinwall_policy::api::{OverrideId, SliceId};
use whinwall_policy::time::{Moment, Span};

/// What it does. Replicas go by name: a number is the program's own and may change.
#[derive(Clone, Debug, PartialEq)]
pub enum Kind {
    /// A factor on the replica's listed size.
    Weight {
        replica: String,
        factor: f64,
    },
    Out {
        replica: String,
    },
    /// Both ends included.
    Pin {
        first: SliceId,
        last: SliceId,
        replica: String,
    },
}

impl Kind {
    pub fn replica(&self) -> &str {
        match self {
            Kind::Weight { replica, .. } | Kind::Out { replica } | Kind::Pin { replica, .. } => replica,
        }
    }

    /// Whether it takes the place of an earlier one: two of a kind can't both hold for the same.
    pub fn replaces(&self, earlier: &Kind) -> bool {
        match (self, earlier) {
            (Kind::Weight { replica, .. }, Kind::Weight { replica: other, .. }) => replica == other,
            (Kind::Out { replica }, Kind::Out { replica: other }) => replica == other,
            (Kind::Pin { first, last, .. }, Kind::Pin { first: from, last: to, .. }) => {
                first <= from && last >= to
            }
            _ => false,
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Kind::Weight { replica, factor } => write!(f, "weight {factor} on {replica}"),
            Kind::Out { replica } => write!(f, "{replica} out of service"),
            Kind::Pin { first, last, replica } => {
                write!(f, "slices {} pinned to {replica}", crate::words::write_slices(*first, *last))
            }
        }
    }
}

/// Who set it: where the operators' file no longer has one of its own, it ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    Request,
    File,
}

/// Why it is no more.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    Expired,
    Cleared {
        by: String,
    },
    /// By a newer one, of this id.
    Replaced {
        by: String,
    },
    /// The clock went back while the program was away: how much time is left can't be known, and it must not
    /// get more.
    ClockWentBack,
}

impl fmt::Display for End {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            End::Expired => f.write_str("expired"),
            End::Cleared { by } => write!(f, "cleared by {by}"),
            End::Replaced { by } => write!(f, "replaced by {by}"),
            End::ClockWentBack => f.write_str("the clock went back over a restart"),
        }
    }
}

/// What is asked for. The id is chosen by whoever asks, and the same at all controllers: said again after an
/// unknown outcome, it sets nothing twice.
#[derive(Clone, Debug, PartialEq)]
pub struct Order {
    pub id: String,
    pub kind: Kind,
    pub author: String,
    pub reason: String,
    pub lasts: Span,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Override {
    /// In the order in which they were set; it names the override to the decisions.
    pub number: OverrideId,
    pub id: String,
    pub kind: Kind,
    pub author: String,
    pub reason: String,
    pub origin: Origin,
    pub set: Moment,
    pub ends: Moment,
    /// The wall's time of its end, where that was asked for.
    pub until_wall: Option<Moment>,
    pub ended: Option<(Moment, End)>,
}

impl Override {
    pub fn stands(&self) -> bool {
        self.ended.is_none()
    }

    /// The same in all that was asked for, but for its length: a repeat may come late.
    pub fn is_what(&self, kind: &Kind, author: &str, reason: &str) -> bool {
        (&self.kind, self.author.as_str(), self.reason.as_str()) == (kind, author, reason)
    }
}

const ID: usize = 64;
const NAME: usize = 128;
const AUTHOR: usize = 64;
const REASON: usize = 200;
/// Beyond these a factor is a slip of the pen; who wants none of a replica takes it out of service.
const FACTORS: std::ops::RangeInclusive<f64> = 0.01..=100.0;

/// What is wrong with a part of an override, and with which.
pub fn check(id: &str, kind: &Kind, author: &str, reason: &str) -> Result<(), (&'static str, String)> {
    let letter = |c: char| c.is_ascii_alphanumeric() || "._-".contains(c);
    if id.is_empty() || id.len() > ID || !id.chars().all(letter) {
        return Err(("id", format!("{id:?} is not 1 to {ID} letters, digits, dots, dashes or underscores")));
    }
    let text = |part: &'static str, text: &str, most: usize| {
        let fits = !text.trim().is_empty() && text.len() <= most && !text.chars().any(char::is_control);
        fits.then_some(()).ok_or((part, format!("it must have 1 to {most} bytes and no control characters")))
    };
    text("server", kind.replica(), NAME)?;
    text("author", author, AUTHOR)?;
    text("reason", reason, REASON)?;
    match kind {
        Kind::Weight { factor, .. } if !FACTORS.contains(factor) => {
            Err(("factor", format!("{factor} is not from {} to {}", FACTORS.start(), FACTORS.end())))
        }
        Kind::Pin { first, last, .. } if first > last => {
            Err(("slices", format!("{first}-{last} ends before it begins")))
        }
        _ => Ok(()),
    }
}
