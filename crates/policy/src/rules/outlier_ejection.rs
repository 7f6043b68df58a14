//! Ejects replicas that do not answer or fail fast, whatever the cause (crash, hang, silence, cut network).

use crate::api::{Action, ReplicaId};
use crate::measure::admission::{HIGH_LATENCY_RATIO, LOW_LATENCY_RATIO};
use crate::measure::windows::{MIN_SAMPLES, RECENT_WINDOW};
use crate::state::controller::ControllerState;
use crate::state::replica::Replica;
use crate::time::Span;
use std::mem::take;

/// How long an outlier is ejected for the first time; longer each time (docs/design.md, Outlier ejection).
pub(crate) const BASE_EJECTION_DURATION: Span = Span::ms(8000);
/// The longest ejection, in multiples of the first.
const MAX_EJECTION_MULTIPLE: u32 = 4;
/// At or above this share of failed attempts a replica may be an outlier; at or above it at the median replica, the fleet
/// counts as overloaded.
pub(crate) const FAILED_SHARE_THRESHOLD: f64 = 0.3;
/// An outlier fails this many times the usual share more than that.
const MEDIAN_FAILED_SHARE_MULTIPLE: f64 = 2.0;
/// Requests that were expected at a silent replica, at least.
const MIN_EXPECTED_REQUESTS: f64 = 2.0 * MIN_SAMPLES;
/// Above this share of ejected replicas it is more likely that our view is broken than they.
const MAX_EJECTED_SHARE: f64 = 0.4;

impl ControllerState {
    /// Ejects replicas that answer nothing or fail quickly, once a tick. Guards against requests that go on failing at a
    /// broken replica; and, by a limit on the share ejected, against a break of our own view.
    pub(crate) fn eject_outliers(&mut self) -> bool {
        if !take(&mut self.pending_work.outliers) {
            return false;
        }
        let outliers = self.find_outliers();
        if self.would_eject_too_many(outliers.len()) {
            return true;
        }
        for (id, cause) in outliers {
            if let Some(replica) = self.replicas.get_mut(&id) {
                replica.eject(self.now, BASE_EJECTION_DURATION, MAX_EJECTION_MULTIPLE);
                self.actions.push(Action::ReplicaEjected { replica: id, cause });
            }
        }
        true
    }

    /// The outliers that are not ejected yet, and why.
    fn find_outliers(&self) -> Vec<(ReplicaId, &'static str)> {
        let median_failed_share = self.median_of_usable(|replica| replica.recent.failed_share());
        let is_candidate = |replica: &Replica| {
            !self.must_be_evacuated(replica)
                && !self.is_ejected(replica)
                && self.is_observed(replica)
                && !replica.slices.is_empty()
        };
        let candidates = self.replicas.iter().filter(|(_, replica)| is_candidate(replica));
        let with_cause = candidates
            .filter_map(|(id, replica)| Some((*id, self.ejection_cause(replica, median_failed_share)?)));
        with_cause.collect()
    }

    fn ejection_cause(&self, replica: &Replica, median_failed_share: f64) -> Option<&'static str> {
        // Where most attempts fail everywhere, the fleet is overloaded, and evacuations would finish it.
        if median_failed_share < FAILED_SHARE_THRESHOLD && self.is_silent(replica) {
            return Some("answers nothing");
        }
        // A full replica rejects requests too, but then the others do as well, or its answers are late.
        let recent = &replica.recent;
        let failing_share = FAILED_SHARE_THRESHOLD + MEDIAN_FAILED_SHARE_MULTIPLE * median_failed_share;
        let is_failing = recent.failed >= MIN_SAMPLES && recent.failed_share() >= failing_share;
        let answers_quickly = recent.succeeded > 0.0 && replica.latency_ratio < LOW_LATENCY_RATIO;
        (is_failing && answers_quickly).then_some("fails quickly")
    }

    /// Whether so many new outliers would make too large a share of the fleet.
    fn would_eject_too_many(&self, outliers: usize) -> bool {
        let counted = || self.replicas.values().filter(|replica| !self.must_be_evacuated(replica));
        let ejected = outliers + counted().filter(|replica| self.is_ejected(replica)).count();
        ejected as f64 > MAX_EJECTED_SHARE * counted().count() as f64
    }

    /// Whether nothing comes back, though much was expected there or all of the newest attempts failed. One that was late
    /// before is more likely full: its load is shed first and it gets longer, as evacuations from it fill others with slices
    /// whose keys they have cold.
    fn is_silent(&self, replica: &Replica) -> bool {
        let window = RECENT_WINDOW + self.reporting.lag;
        let reports = &replica.reports;
        let was_late = reports.last_latency_seconds > HIGH_LATENCY_RATIO * self.tightest_target_seconds();
        if was_late && reports.succeeded.sum(self.now, window.times(2.0)) > 0.0 {
            return false;
        }
        let recent = &replica.recent;
        if recent.succeeded == 0.0 && recent.expected >= MIN_EXPECTED_REQUESTS {
            return true;
        }
        let newest = reports.attempts.newest_bucket_end().min(self.now).max(self.now - window);
        let last = reports.recent_counts(newest, RECENT_WINDOW);
        recent.failed >= MIN_SAMPLES && last.failed >= MIN_SAMPLES && last.succeeded == 0.0
    }
}
