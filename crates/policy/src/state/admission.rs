//! Reductions: how far load is shed.
//!
//! A reduction is a number from 0 (everything is admitted, with retries) to 1 (each request class at its lowest admission
//! rate). `measure::admission` says which admission rates it stands for.

use crate::time::Moment;

/// A reduction so small that it stops retries and leaves admission rates whole.
pub(crate) const RETRIES_ONLY_REDUCTION: f64 = 0.001;
/// Stands for a slice whose requests are all held back while its owner changes.
pub(crate) const HALTED_REDUCTION: f64 = 2.0;
/// Stands for a reduction at the proxies that is not known: it differs from each other.
pub(crate) const UNKNOWN_REDUCTION: f64 = -1.0;

/// The reduction that holds for all slices.
pub(crate) struct GlobalAdmission {
    /// The reduction that is to hold.
    pub reduction: f64,
    /// When it last changed.
    pub changed_at: Moment,
    /// The reduction that the proxies were sent, if any was.
    pub applied: Option<f64>,
}

impl GlobalAdmission {
    pub(crate) fn new(now: Moment) -> Self {
        GlobalAdmission { reduction: 0.0, changed_at: now, applied: None }
    }

    /// Whether the proxies were sent the reduction that is to hold.
    pub(crate) fn is_applied(&self) -> bool {
        self.applied == Some(self.reduction)
    }
}
