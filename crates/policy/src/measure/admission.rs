//! Admission rates of request classes.

use crate::api::{Action, SliceId};
use crate::deployment::RequestClass;
use crate::state::controller::ControllerState;
use crate::state::slice::{HALTED_REDUCTION, RETRIES_ONLY_REDUCTION};

// Levels: answers later than this part of the tightest target are cut down on; well below it, less is cut.
pub(crate) const LATE_RATIO: f64 = 0.6;
pub(crate) const QUICK_RATIO: f64 = 0.35;
pub(crate) const MIN_ADMISSION_RATE: f64 = 0.1;

impl ControllerState {
    /// The level of an request class at a cut between 0 and 1: types in order of priority weight, one after the other.
    pub(crate) fn admission_rate(&self, cut: f64, request_class: usize) -> f64 {
        let types = &self.deployment.request_classes;
        let Some(own) = types.get(request_class) else { return 1.0 };
        let before =
            |t: &RequestClass| types.iter().filter(|o| o.priority_weight < t.priority_weight).count() as f64;
        match cut {
            HALTED_REDUCTION => 0.0,
            _ if cut <= RETRIES_ONLY_REDUCTION => 1.0,
            _ => 1.0 - (cut * types.len() as f64 - before(own)).clamp(0.0, 1.0) * (1.0 - MIN_ADMISSION_RATE),
        }
    }

    /// Further tries are cut with the first step of a cut.
    pub(crate) fn allowed_retries(&self, cut: f64) -> u8 {
        u8::from(cut == 0.0)
    }

    /// The orders from one cut of a slice to another; one serves where all request classes are let in alike.
    pub(crate) fn admission_commands(&self, n: SliceId, held: f64, cut: f64) -> Vec<Action> {
        let (many, retries) = (self.deployment.request_classes.len(), self.allowed_retries(cut));
        let order =
            |request_classes, share| Action::SetAdmission { slice: Some(n), request_classes, share, retries };
        let share = |at| self.admission_rate(cut, at);
        let changed = |at: &usize| {
            retries != self.allowed_retries(held) || share(*at) != self.admission_rate(held, *at)
        };
        if (0..many).all(|at| changed(&at) && share(at) == share(0)) {
            return vec![order(0, share(0))];
        }
        (0..many).filter(changed).map(|at| order(1 << at, share(at))).collect()
    }
}
