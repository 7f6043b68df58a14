//! Which admission rates a reduction stands for.

use crate::api::{Action, SliceId};
use crate::deployment::RequestClass;
use crate::state::admission::{HALTED_REDUCTION, RETRIES_ONLY_REDUCTION};
use crate::state::controller::ControllerState;

/// Answers are late above this ratio of mean latency to the tightest target latency (docs/design.md, Load shedding).
pub(crate) const HIGH_LATENCY_RATIO: f64 = 0.6;
/// Answers are quick below this ratio of mean latency to the tightest target latency (docs/design.md, Load shedding).
pub(crate) const LOW_LATENCY_RATIO: f64 = 0.35;
/// The lowest admission rate of a request class, at a reduction of 1 (docs/design.md, Load shedding: a tenth).
const MIN_ADMISSION_RATE: f64 = 0.1;

impl ControllerState {
    /// The share of a request class that is admitted at a reduction, from 0 to 1. Classes are reduced one after the other,
    /// the one with the least priority weight first; classes of equal weight together.
    pub(crate) fn admission_rate(&self, reduction: f64, request_class: usize) -> f64 {
        let classes = &self.deployment.request_classes;
        let Some(class) = classes.get(request_class) else { return 1.0 };
        let is_before = |other: &&RequestClass| other.priority_weight < class.priority_weight;
        match reduction {
            HALTED_REDUCTION => 0.0,
            _ if reduction <= RETRIES_ONLY_REDUCTION => 1.0,
            _ => {
                let classes_before = classes.iter().filter(is_before).count() as f64;
                let class_reduction = (reduction * classes.len() as f64 - classes_before).clamp(0.0, 1.0);
                1.0 - class_reduction * (1.0 - MIN_ADMISSION_RATE)
            }
        }
    }

    /// Retries that a request may have at a reduction: the first step of a reduction stops them.
    pub(crate) fn allowed_retries(&self, reduction: f64) -> u8 {
        u8::from(reduction == 0.0)
    }

    /// The commands that turn one reduction of a slice into another; one command serves where all request classes get the
    /// same rate.
    pub(crate) fn admission_commands(&self, slice: SliceId, applied: f64, desired: f64) -> Vec<Action> {
        let class_count = self.deployment.request_classes.len();
        let retries = self.allowed_retries(desired);
        let command = |request_classes, admission_rate| Action::SetAdmission {
            slice: Some(slice),
            request_classes,
            admission_rate,
            retries,
        };
        let rate = |class| self.admission_rate(desired, class);
        let retries_changed = retries != self.allowed_retries(applied);
        let is_changed =
            |class: &usize| retries_changed || rate(*class) != self.admission_rate(applied, *class);
        if (0..class_count).all(|class| is_changed(&class) && rate(class) == rate(0)) {
            return vec![command(0, rate(0))];
        }
        (0..class_count).filter(is_changed).map(|class| command(1 << class, rate(class))).collect()
    }
}
