//! Outlier ejection.

use crate::api::Action;
use crate::measure::admission::{LATE_RATIO, QUICK_RATIO};
use crate::measure::load_estimates::{MIN_SAMPLES, RECENT_WINDOW};
use crate::state::controller::ControllerState;
use crate::state::replica::Replica;
use crate::time::Span;
use std::mem::take;

pub(crate) const OUTLIER_EJECTION: Span = Span::ms(8000);
pub(crate) const FAILING_SHARE: f64 = 0.3;
pub(crate) const MAX_EJECTED_SHARE: f64 = 0.4;

impl ControllerState {
    /// Against all that looks alike from outside: crash, hang, silence, fast errors, crawling.
    pub(crate) fn eject_outliers(&mut self) -> bool {
        if !take(&mut self.pending_work.outliers) {
            return false;
        }
        let usual = self.median(|s| self.is_usable(s), |s| s.recent.failed_share());
        let cause = |s: &Replica| {
            // Where most tries fail everywhere, the fleet is overfull, and flights would finish it.
            let silent = usual < FAILING_SHARE && self.is_silent(s);
            // A full replica turns work away too, but then the others do as well, or its answers are late.
            let failing =
                s.recent.failed >= MIN_SAMPLES && s.recent.failed_share() >= FAILING_SHARE + 2.0 * usual;
            let quick = failing && s.recent.succeeded > 0.0 && s.latency_ratio < QUICK_RATIO;
            silent.then_some("answers nothing").or(quick.then_some("fails quickly"))
        };
        let there = |s: &Replica| !self.must_be_left(s) && !self.is_ejected(s) && self.is_observed(s);
        let watched = self.replicas.iter().filter(|(_, s)| there(s) && !s.slices.is_empty());
        let ill: Vec<_> = watched.filter_map(|(id, s)| cause(s).map(|why| (*id, why))).collect();
        let around = self.replicas.values().filter(|s| !self.must_be_left(s));
        let (all, sick) =
            around.fold((0, ill.len()), |(a, k), s| (a + 1, k + usize::from(self.is_ejected(s))));
        if sick as f64 > MAX_EJECTED_SHARE * all as f64 {
            return true; // More likely our view is broken than they.
        }
        for (id, cause) in ill {
            let Some(s) = self.replicas.get_mut(&id) else { continue };
            s.consecutive_ejections += 1;
            s.ejected_until =
                Some(self.now + OUTLIER_EJECTION.times(f64::from(s.consecutive_ejections.min(4))));
            s.clear_reports();
            self.actions.push(Action::ReplicaEjected { replica: id, cause });
        }
        true
    }

    /// Nothing comes back, though much is asked or all of the newest tries failed. One that was late before
    /// is more likely full: it is cut first and gets longer, or flights from it fill others with cold keys.
    pub(crate) fn is_silent(&self, s: &Replica) -> bool {
        let over = RECENT_WINDOW + self.report_lag;
        let full = s.last_latency_seconds > LATE_RATIO * self.tightest_target_seconds()
            && s.succeeded.sum(self.now, over.times(2.0)) > 0.0;
        let newest = s.attempts.newest().min(self.now).max(self.now - over);
        let last = || s.recent_counts(newest, RECENT_WINDOW);
        !full
            && ((s.recent.succeeded == 0.0 && s.recent.expected >= 2.0 * MIN_SAMPLES)
                || (s.recent.failed >= MIN_SAMPLES
                    && last().failed >= MIN_SAMPLES
                    && last().succeeded == 0.0))
    }
}
