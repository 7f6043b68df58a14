//! When recurring work is due, and what is still to be gone through in a tick.

use crate::api::ReportFlow;
use crate::time::{Moment, Span};

pub(crate) const BEAT: Span = Span::ms(250);
// The ordinary path; the design leaves these open.
pub(crate) const ROUND: Span = Span::ms(1000);
/// When each recurring matter is next due.
#[derive(Default)]
pub struct Due {
    pub list: Option<Moment>,
    pub lift: Option<Moment>,
    pub beat: Moment,
    pub round: Moment,
    pub wake: Option<Moment>,
}
/// What is still to be gone through in this beat: a rule that is not on it costs nothing.
#[derive(Default)]
pub struct Agenda {
    pub survey: bool,
    pub judge: bool,
    pub flee: bool,
    pub spread: bool,
    pub gather: bool,
    pub stand_by: bool,
    pub heed: bool,
    /// On it once a round.
    pub ration: bool,
    pub shift: bool,
}

impl Agenda {
    /// What rests on how reports change has no place there while none come.
    pub fn open(&mut self, flow: ReportFlow) {
        let (ration, shift) = (self.ration, self.shift);
        let follows = flow != ReportFlow::Interrupted;
        let (survey, judge, flee, spread, gather) = (true, follows, true, follows, follows);
        *self = Agenda { survey, judge, flee, spread, gather, stand_by: true, heed: true, ration, shift };
    }
}
