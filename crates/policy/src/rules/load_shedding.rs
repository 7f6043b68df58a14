//! Load shedding.

use crate::api::Action;
use crate::measure::admission::{LATE_RATIO, QUICK_RATIO};
use crate::measure::load_estimates::{MIN_SAMPLES, RECENT_WINDOW};
use crate::rules::outlier_ejection::FAILING_SHARE;
use crate::state::controller::ControllerState;
use crate::state::replica::Replica;
use crate::state::schedule::ROUND;
use crate::state::slice::{Priority, RETRIES_ONLY_REDUCTION};
use std::mem::take;

pub(crate) const REDUCTION_STEP: f64 = 0.15;
pub(crate) const MAX_SECONDS_FOR_SLICE_COMMANDS: f64 = 2.0;
pub(crate) const MIN_REDUCTION_CHANGE: f64 = 0.08;
/// A cut after another step: by what goes unanswered where answers are late, back where they are quick.
pub(crate) fn next_cut(cut: f64, strain: f64, kept: f64) -> f64 {
    let step = match () {
        _ if strain > LATE_RATIO => (1.0 - cut) * (1.0 - 0.85 * kept.max(0.5)),
        _ if strain < QUICK_RATIO => REDUCTION_STEP * (strain / QUICK_RATIO - 2.0),
        _ => 0.0,
    };
    (cut + step).clamp(0.0, 1.0)
}

impl ControllerState {
    /// A queue that makes all answers late serves nobody. Further tries are cut first, then the request class with
    /// the least priority weight; for all where the usual replica is late, else by each slice's least cut owner.
    pub(crate) fn shed_load(&mut self) -> bool {
        if !take(&mut self.pending_work.load_shedding) {
            return false;
        }
        let usual = self.median(|s| self.is_usable(s), |s| s.latency_ratio);
        // Answers that never come leave no time to be measured. Where every request class lacks them, and the usual
        // replica, it is neither one type nor some replicas that fail, but all that is too much.
        let lost = self.lowest_failed_share(RECENT_WINDOW + self.report_lag, MIN_SAMPLES);
        let lost = lost.min(self.median(|s| self.is_usable(s), |s| s.recent.failed_share()));
        // Where orders a slice take few seconds of the channel, each owner's own cut is the finer tool.
        let orders =
            (self.slices.len() * self.deployment.request_classes.len() * self.channel.proxies.len()) as f64;
        let dear =
            f64::from(u8::from(orders > self.deployment.lines_per_second * MAX_SECONDS_FOR_SLICE_COMMANDS));
        let late = dear * if lost > FAILING_SHARE { 1.0 } else { usual };
        let wait =
            if self.global_reduction <= RETRIES_ONLY_REDUCTION { ROUND } else { ROUND + self.report_lag };
        if self.now - self.global_reduction_changed_at >= wait {
            let cut = next_cut(self.global_reduction, late, 1.0 - lost);
            let cut = if self.global_reduction == 0.0 { cut.min(RETRIES_ONLY_REDUCTION) } else { cut };
            (self.global_reduction, self.global_reduction_changed_at) = if cut == self.global_reduction {
                (cut, self.global_reduction_changed_at)
            } else {
                (cut, self.now)
            };
        }
        let cut = |s: &Replica| match () {
            // What the last step did is not in the reports yet; and what ails all is not cut down on twice.
            _ if self.now - s.reduction_changed_at < ROUND + ROUND + self.report_lag => s.reduction,
            _ if late > LATE_RATIO && s.latency_ratio > LATE_RATIO => s.reduction,
            _ if s.latency_ratio > LATE_RATIO => {
                next_cut(s.reduction, s.latency_ratio, 1.0 - s.recent.failed_share())
            }
            // Against a cold replica pushed over where its slices have no other place to go.
            _ if s.demand > self.slow_start_budget(s) => (s.reduction + REDUCTION_STEP).min(1.0),
            _ => next_cut(s.reduction, s.latency_ratio, 1.0),
        };
        let cuts: Vec<f64> = self.replicas.values().map(cut).collect();
        for (s, cut) in self.replicas.values_mut().zip(cuts).filter(|(s, cut)| s.reduction != *cut) {
            (s.reduction, s.reduction_changed_at) = (cut, self.now);
        }
        let mut changed = Vec::new();
        for (n, slice) in &mut self.slices {
            let cut =
                slice.owners().filter_map(|id| Some(self.replicas.get(&id)?.reduction)).fold(1.0, f64::min);
            slice.reduction = match slice.applied_reduction {
                _ if cut <= self.global_reduction => 0.0,
                0.0 => cut.min(RETRIES_ONLY_REDUCTION),
                // A small change is not worth a line at each proxy.
                held if (cut - held).abs() < MIN_REDUCTION_CHANGE => held,
                _ => cut,
            };
            if slice.reduction != slice.applied_reduction {
                changed.push(*n);
            }
        }
        changed.into_iter().for_each(|n| self.mark_pending(n, Priority::Calm));
        true
    }

    /// What holds for all tables is one order, where one a slice would take the channel many seconds. One
    /// further try is allowed, after proof that the first never ran: no effect happens twice (rule 2).
    pub(crate) fn send_global_admission(&mut self) -> bool {
        let told =
            (self.applied_global_reduction == Some(self.global_reduction)) || self.channel.proxies.is_empty();
        let many = self.deployment.request_classes.len();
        if told || !self.has_channel_room(many as f64, Priority::Urgent) {
            return false;
        }
        let (retries, share) = (self.allowed_retries(self.global_reduction), |at| {
            self.admission_rate(self.global_reduction, at)
        });
        let order =
            |at| Action::SetAdmission { slice: None, request_classes: 1u64 << at, share: share(at), retries };
        let orders: Vec<_> = (0..many).map(order).collect();
        self.actions.extend(orders);
        self.add_lines(many as f64);
        self.applied_global_reduction = Some(self.global_reduction);
        true
    }
}
