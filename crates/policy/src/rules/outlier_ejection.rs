//! Outlier ejection: ejects replicas that do not answer or that fail fast, whatever the cause (crash, hang, no
//! response, network partition).

use crate::api::{Action, ReplicaId};
use crate::measure::admission::{HIGH_LATENCY_RATIO, LOW_LATENCY_RATIO};
use crate::measure::windows::{MIN_SAMPLES, RECENT_WINDOW};
use crate::state::controller::ControllerState;
use crate::state::replica::Replica;
use crate::time::Span;
use std::mem::take;

/// The duration of the first ejection of an outlier; later ones are longer (docs/design.md, Outlier ejection).
pub(crate) const BASE_EJECTION_DURATION: Span = Span::ms(8000);
/// The duration of the longest ejection, as a multiple of the first.
const MAX_EJECTION_MULTIPLE: u32 = 4;
/// The share of failed attempts at or above which a replica may be an outlier. If the median replica reaches it,
/// the fleet counts as overloaded.
pub(crate) const FAILED_SHARE_THRESHOLD: f64 = 0.3;
/// An outlier's share of failed attempts must exceed `FAILED_SHARE_THRESHOLD` by this multiple of the median
/// replica's share.
const MEDIAN_FAILED_SHARE_MULTIPLE: f64 = 2.0;
/// The minimum number of requests expected at a replica for it to count as silent.
const MIN_EXPECTED_REQUESTS: f64 = 2.0 * MIN_SAMPLES;
/// Above this share of ejected replicas, a fault in this controller's observations is more likely than failing
/// replicas.
const MAX_EJECTED_SHARE: f64 = 0.4;

impl ControllerState {
    /// Ejects replicas that answer nothing or fail quickly, once per tick. This avoids further failing requests to
    /// broken replicas; the limit on the share of ejected replicas protects against faulty observations.
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

    /// Returns the outliers that are not ejected yet, with the cause.
    fn find_outliers(&self) -> Vec<(ReplicaId, &'static str)> {
        let median_failed_share = self.median_of_usable(|replica| replica.recent_counts.failed_share());
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
        // If most attempts fail everywhere, the fleet is overloaded, and evacuations would make it collapse.
        if median_failed_share < FAILED_SHARE_THRESHOLD && self.is_silent(replica) {
            return Some("answers nothing");
        }
        // An overloaded replica rejects requests too, but then other replicas do as well, or its answers are late.
        let recent = &replica.recent_counts;
        let failing_share = FAILED_SHARE_THRESHOLD + MEDIAN_FAILED_SHARE_MULTIPLE * median_failed_share;
        let is_failing = recent.failed >= MIN_SAMPLES && recent.failed_share() >= failing_share;
        let answers_quickly = recent.succeeded > 0.0 && replica.latency_ratio < LOW_LATENCY_RATIO;
        (is_failing && answers_quickly).then_some("fails quickly")
    }

    /// Returns true if ejecting this number of new outliers would exceed the limit on the share of ejected
    /// replicas.
    fn would_eject_too_many(&self, outlier_count: usize) -> bool {
        let counted = || self.replicas.values().filter(|replica| !self.must_be_evacuated(replica));
        let ejected = outlier_count + counted().filter(|replica| self.is_ejected(replica)).count();
        ejected as f64 > MAX_EJECTED_SHARE * counted().count() as f64
    }

    /// Returns true if a replica does not answer although many requests were expected there, or although all of
    /// the newest attempts failed. A replica that was late before is more likely overloaded: its load is shed
    /// first and it gets more time, because evacuating it would fill other replicas with slices whose keys they
    /// have not cached.
    fn is_silent(&self, replica: &Replica) -> bool {
        let window = RECENT_WINDOW + self.reporting.lag;
        let reports = &replica.reports;
        let was_late = reports.last_latency_seconds > HIGH_LATENCY_RATIO * self.tightest_target_seconds();
        if was_late && reports.succeeded.sum(self.now, window.times(2.0)) > 0.0 {
            return false;
        }
        let recent = &replica.recent_counts;
        if recent.succeeded == 0.0 && recent.expected >= MIN_EXPECTED_REQUESTS {
            return true;
        }
        let newest_end = reports.attempts.newest_bucket_end().min(self.now).max(self.now - window);
        let newest_counts = reports.recent_counts(newest_end, RECENT_WINDOW);
        recent.failed >= MIN_SAMPLES && newest_counts.failed >= MIN_SAMPLES && newest_counts.succeeded == 0.0
    }
}
