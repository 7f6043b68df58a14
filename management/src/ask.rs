//! What is asked of a governor, and what it replies: checked values, no HTTP.

use whinwall::interface::Heeded;
use whinwall::time::{Moment, Span};
use whinwall_overrides::{Answer, Ask, Kept, Override, Refused};

#[derive(Clone, Debug, PartialEq)]
pub enum Request {
    Change(Ask),
    List,
    Status,
    Metrics,
}

/// An override with what has become of it.
#[derive(Clone, Debug, PartialEq)]
pub struct Shown {
    pub one: Override,
    /// None where it has ended.
    pub heeded: Option<Heeded>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Status {
    pub now: Moment,
    pub since: Moment,
    pub proxies: usize,
    pub slices: usize,
    pub servers: usize,
    /// What fails now, and how often in a row.
    pub failing: Vec<(&'static str, u32)>,
    pub orders_open: bool,
    pub standing: usize,
    pub listed: usize,
    /// There where aggregators report.
    pub reports: Option<ReportFreshness>,
}

/// What becomes of the reports that aggregators make.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReportFreshness {
    /// Bytes of reports that came of late, each second.
    pub bytes_per_second: f64,
    /// The time since the latest report; none where there was none.
    pub age: Option<Span>,
    /// Nothing came for so long that the governor goes on with what it has.
    pub stale: bool,
    /// On so many replicas reports are not whole, so that nobody judges them.
    pub partial_replicas: usize,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    Set {
        shown: Shown,
        again: bool,
        kept: Kept,
        now: Moment,
    },
    Cleared {
        shown: Shown,
        again: bool,
        kept: Kept,
        now: Moment,
    },
    Listed {
        all: Vec<Shown>,
        now: Moment,
    },
    Status(Status),
    /// In the text form that Prometheus reads.
    Metrics(String),
    Refused(Refused),
    NotKept(String),
    Busy,
}

impl Reply {
    /// A clerk's answer, with what is known of the override that it names.
    pub fn of(answer: Answer, now: Moment, shown: impl FnOnce(u64) -> Option<Shown>) -> Reply {
        let gone = || Reply::NotKept("it is not listed any more".into());
        match answer {
            Answer::Set { number, again, kept } => {
                shown(number).map_or_else(gone, |shown| Reply::Set { shown, again, kept, now })
            }
            Answer::Cleared { number, again, kept } => {
                shown(number).map_or_else(gone, |shown| Reply::Cleared { shown, again, kept, now })
            }
            Answer::Refused(refused) => Reply::Refused(refused),
            Answer::NotKept(why) => Reply::NotKept(why),
            Answer::Busy => Reply::Busy,
        }
    }
}

impl Status {
    pub fn up(&self) -> Span {
        self.now - self.since
    }
}
