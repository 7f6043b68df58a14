//! Load shedding: where answers are late, retries are stopped first, then admission rates are reduced, starting
//! with the request class of the lowest priority weight.
//!
//! This avoids a queue that makes all answers late and therefore useless.

use crate::api::Action;
use crate::measure::admission::{HIGH_LATENCY_RATIO, LOW_LATENCY_RATIO};
use crate::rules::outlier_ejection::FAILED_SHARE_THRESHOLD;
use crate::state::admission::RETRIES_ONLY_REDUCTION;
use crate::state::controller::ControllerState;
use crate::state::pending_slices::Priority;
use crate::state::replica::Replica;
use crate::state::schedule::ROUND_PERIOD;
use crate::state::slice::Slice;
use std::mem::take;

/// The decrease of a reduction per round when the latency ratio is just below `LOW_LATENCY_RATIO`; up to twice
/// this for lower latencies. The reduction of an overloaded cold replica grows by the same step, and the former
/// reduction of a slice at a cold replica shrinks by at most this step.
const REDUCTION_STEP: f64 = 0.15;
/// The weight of the answered share in the growth of a reduction: each step adds the share (1 - this * answered
/// share) of the difference between the reduction and 1.
const ANSWERED_SHARE_WEIGHT: f64 = 0.85;
/// The lower bound applied to the share of answered requests.
const MIN_ANSWERED_SHARE: f64 = 0.5;
/// If commands for each slice would take more channel time than this, in seconds, a single reduction for all
/// slices may be used.
const MAX_SECONDS_FOR_SLICE_COMMANDS: f64 = 2.0;
/// The minimum change of a slice's reduction that is worth a line to each proxy.
const MIN_REDUCTION_CHANGE: f64 = 0.08;

/// Returns a reduction after another round. It grows with the share of unanswered requests where answers are late,
/// and shrinks where they are fast.
fn next_reduction(reduction: f64, latency_ratio: f64, answered_share: f64) -> f64 {
    let step = if latency_ratio > HIGH_LATENCY_RATIO {
        (1.0 - reduction) * (1.0 - ANSWERED_SHARE_WEIGHT * answered_share.max(MIN_ANSWERED_SHARE))
    } else if latency_ratio < LOW_LATENCY_RATIO {
        REDUCTION_STEP * (latency_ratio / LOW_LATENCY_RATIO - 2.0)
    } else {
        0.0
    };
    (reduction + step).clamp(0.0, 1.0)
}

impl ControllerState {
    /// Refreshes all reductions, once per round.
    pub(crate) fn shed_load(&mut self) -> bool {
        if !take(&mut self.pending_work.load_shedding) {
            return false;
        }
        // Missing answers have no latency to measure. If every request class and the median replica lack answers,
        // the whole fleet is overloaded, rather than one class or some replicas failing.
        let median_failed_share = self.median_of_usable(|replica| replica.recent_counts.failed_share());
        let failed_share = self.lowest_failed_share().min(median_failed_share);
        let fleet_latency_ratio = self.fleet_latency_ratio(failed_share);
        self.refresh_global_reduction(fleet_latency_ratio, failed_share);
        self.refresh_replica_reductions(fleet_latency_ratio);
        self.refresh_slice_reductions();
        true
    }

    /// Returns the latency ratio of the median replica. Returns 0 if commands for each slice take little channel
    /// time, because reductions per owner are more precise then.
    fn fleet_latency_ratio(&self, failed_share: f64) -> f64 {
        let classes = self.deployment.request_classes.len();
        let commands = (self.slices.len() * classes * self.channel.proxies.len()) as f64;
        let is_costly = commands > self.deployment.lines_per_second * MAX_SECONDS_FOR_SLICE_COMMANDS;
        // Not a multiplication by 0 or 1: with a target latency of 0 the median ratio is infinite.
        if !is_costly {
            0.0
        } else if failed_share > FAILED_SHARE_THRESHOLD {
            1.0
        } else {
            self.median_of_usable(|replica| replica.latency_ratio)
        }
    }

    fn refresh_global_reduction(&mut self, fleet_latency_ratio: f64, failed_share: f64) {
        let previous = self.global_admission.reduction;
        // The reports do not show the effect of the last step yet. Only the effect of stopping retries is
        // immediate.
        let pause =
            if previous <= RETRIES_ONLY_REDUCTION { ROUND_PERIOD } else { ROUND_PERIOD + self.reporting.lag };
        if self.now - self.global_admission.changed_at < pause {
            return;
        }
        let next = next_reduction(previous, fleet_latency_ratio, 1.0 - failed_share);
        let reduction = if previous == 0.0 { next.min(RETRIES_ONLY_REDUCTION) } else { next };
        if reduction != previous {
            self.global_admission.reduction = reduction;
            self.global_admission.changed_at = self.now;
        }
    }

    fn refresh_replica_reductions(&mut self, fleet_latency_ratio: f64) {
        let next = |replica: &Replica| self.next_replica_reduction(replica, fleet_latency_ratio);
        let reductions: Vec<f64> = self.replicas.values().map(next).collect();
        for (replica, reduction) in self.replicas.values_mut().zip(reductions) {
            if replica.reduction != reduction {
                replica.reduction = reduction;
                replica.reduction_changed_at = self.now;
            }
        }
    }

    fn next_replica_reduction(&self, replica: &Replica, fleet_latency_ratio: f64) -> f64 {
        let previous = replica.reduction;
        let is_late = replica.latency_ratio > HIGH_LATENCY_RATIO;
        if self.now - replica.reduction_changed_at < ROUND_PERIOD + ROUND_PERIOD + self.reporting.lag {
            // The reports do not show the effect of the last step yet.
            previous
        } else if is_late && fleet_latency_ratio > HIGH_LATENCY_RATIO {
            // The global reduction already covers overload of the whole fleet.
            previous
        } else if is_late {
            next_reduction(previous, replica.latency_ratio, 1.0 - replica.recent_counts.failed_share())
        } else if self.expected_attempts(replica) > self.slow_start_budget(replica) {
            // Prevents a cold replica from collapsing if its slices have no other destination.
            (previous + REDUCTION_STEP).min(1.0)
        } else {
            next_reduction(previous, replica.latency_ratio, 1.0)
        }
    }

    /// Returns the reduction of a slice's least reduced owner. While an owner is warming up, a former reduction ends in
    /// steps: the requests that it holds back may be several times what the replica can take.
    fn owners_reduction(&self, slice: &Slice) -> f64 {
        let least_reduced = self.owners(slice).map(|(_, owner)| owner.reduction).fold(1.0, f64::min);
        let is_owned_by_cold_replica = self.owners(slice).any(|(_, owner)| self.is_warming_up(owner));
        if is_owned_by_cold_replica {
            least_reduced.max(slice.reduction - REDUCTION_STEP)
        } else {
            least_reduced
        }
    }

    /// Sets each slice's reduction to that of its owners, if it exceeds the global reduction.
    fn refresh_slice_reductions(&mut self) {
        let global_reduction = self.global_admission.reduction;
        let reductions: Vec<f64> = self.slices.values().map(|slice| self.owners_reduction(slice)).collect();
        let mut changed = Vec::new();
        for ((id, slice), reduction) in self.slices.iter_mut().zip(reductions) {
            let applied = slice.applied_reduction;
            slice.reduction = if reduction <= global_reduction {
                0.0
            } else if applied == 0.0 {
                reduction.min(RETRIES_ONLY_REDUCTION)
            } else if (reduction - applied).abs() < MIN_REDUCTION_CHANGE {
                applied
            } else {
                reduction
            };
            if slice.reduction != applied {
                changed.push(*id);
            }
        }
        changed.into_iter().for_each(|id| self.mark_pending(id, Priority::Normal));
    }

    /// Sends the global reduction: one command per request class, since commands for each slice would take the
    /// channel many seconds. One retry is allowed, and only after proof that the first attempt was not executed,
    /// so that no request takes effect twice.
    pub(crate) fn send_global_admission(&mut self) -> bool {
        let class_count = self.deployment.request_classes.len();
        let is_needed = !self.global_admission.is_applied() && !self.channel.proxies.is_empty();
        if !is_needed || !self.has_channel_room(class_count as f64, Priority::Urgent) {
            return false;
        }
        let reduction = self.global_admission.reduction;
        let retries = self.allowed_retries(reduction);
        for class in 0..class_count {
            let admission_rate = self.admission_rate(reduction, class);
            let request_classes = 1u64 << class;
            self.actions.push(Action::SetAdmission { slice: None, request_classes, admission_rate, retries });
        }
        self.add_lines(class_count as f64);
        self.global_admission.applied = Some(reduction);
        true
    }
}
