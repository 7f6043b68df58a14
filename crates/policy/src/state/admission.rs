//! Reductions, which state how much load is shed.
//!
//! A reduction is a number from 0 (everything is admitted, with retries) to 1 (each request class at its lowest
//! admission rate). `measure::admission` maps it to admission rates.

use crate::time::Moment;

/// A reduction that stops retries but does not lower admission rates.
pub(crate) const RETRIES_ONLY_REDUCTION: f64 = 0.001;
/// Marks a slice whose requests are all held back while its owner changes.
pub(crate) const HALTED_REDUCTION: f64 = 2.0;
/// Marks that the reduction applied by the proxies is unknown. It differs from every valid reduction.
pub(crate) const UNKNOWN_REDUCTION: f64 = -1.0;

/// The reduction that applies to all slices.
pub(crate) struct GlobalAdmission {
    /// The desired reduction.
    pub reduction: f64,
    /// The time of the last change.
    pub changed_at: Moment,
    /// The reduction that the proxies were sent, if any.
    pub applied: Option<f64>,
}

impl GlobalAdmission {
    pub(crate) fn new(now: Moment) -> Self {
        GlobalAdmission { reduction: 0.0, changed_at: now, applied: None }
    }

    /// Returns true if the proxies were sent the desired reduction.
    pub(crate) fn is_applied(&self) -> bool {
        self.applied == Some(self.reduction)
    }
}
