//! Maps a reduction (see [`crate::state::admission`]) to admission rates.

use crate::api::{Action, SliceId};
use crate::deployment::RequestClass;
use crate::state::admission::{HALTED_REDUCTION, RETRIES_ONLY_REDUCTION, UNKNOWN_REDUCTION};
use crate::state::controller::ControllerState;

/// Answers are late if the ratio of mean latency to the tightest target latency is above this (docs/design.md,
/// Load shedding).
pub(crate) const HIGH_LATENCY_RATIO: f64 = 0.6;
/// Answers are fast if the ratio of mean latency to the tightest target latency is below this (docs/design.md,
/// Load shedding).
pub(crate) const LOW_LATENCY_RATIO: f64 = 0.35;
/// The lowest admission rate of a request class, at a reduction of 1 (docs/design.md, Load shedding: one tenth).
const MIN_ADMISSION_RATE: f64 = 0.1;

impl ControllerState {
    /// Returns the admission rate of a request class at a reduction, from 0 to 1. Classes are reduced one after
    /// the other in the order of their priority weight, lowest first; classes of equal weight are reduced
    /// together.
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

    /// Returns the number of retries that a request may have at a reduction. The first step of a reduction stops
    /// retries.
    pub(crate) fn allowed_retries(&self, reduction: f64) -> u8 {
        u8::from(reduction == 0.0)
    }

    /// Returns the commands that change a slice from the applied reduction to the desired one. If all request
    /// classes get the same rate, one command is enough.
    pub(crate) fn admission_commands(&self, slice: SliceId, applied: f64, desired: f64) -> Vec<Action> {
        if applied == desired {
            return Vec::new();
        }
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
        let is_unknown = applied == UNKNOWN_REDUCTION;
        let is_changed = |class: &usize| {
            is_unknown || retries_changed || rate(*class) != self.admission_rate(applied, *class)
        };
        if (0..class_count).all(|class| is_changed(&class) && rate(class) == rate(0)) {
            return vec![command(0, rate(0))];
        }
        (0..class_count).filter(is_changed).map(|class| command(1 << class, rate(class))).collect()
    }
}
