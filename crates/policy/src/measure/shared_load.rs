//! What other controllers bring to the replicas that they share with this one.
//!
//! A replica's load is what all proxies report for it. Reports lag, so a controller replaces its own part of what was
//! reported by what its own slices bring now.

use crate::api::SubsetMembership;
use crate::measure::windows::RETRIED_SHARE_OF_FAILURES;
use crate::state::controller::ControllerState;
use crate::state::replica::Replica;
use crate::state::shared_load::{SAMPLE_BUCKET_COUNT, SAMPLE_BUCKET_DURATION};
use crate::time::{Moment, Span};
use std::mem::replace;

/// What other controllers bring is averaged over this window.
const OTHERS_WINDOW: Span = Span::ms(3000);
/// Where more came within this shorter window, that counts as their demand.
const OTHERS_BURST_WINDOW: Span = Span::ms(1000);
/// A replica of which no report has come for so long, while others' came, gets nothing. Where no reports come at all, what
/// came last stands.
const MAX_REPORT_SILENCE: Span = Span::ms(4000);
/// The period of random draws.
const DRAW_PERIOD: Span = Span::ms(1000);

impl ControllerState {
    /// Adds to each replica's load what other controllers' slices bring. Does nothing where all replicas are everyone's.
    pub(crate) fn add_others_load(&mut self) {
        let is_shared = |replica: &Replica| replica.subset != SubsetMembership::AllControllers;
        self.sharing.is_active = self.replicas.values().any(is_shared);
        if !self.sharing.is_active {
            return;
        }
        self.draw_for_round();
        self.sample_own_load();
        self.refresh_window_excess();
        let now = self.now;
        let newest = self.replicas.values().map(|replica| replica.reports.attempts.newest_bucket_end()).max();
        // Aggregated reports may have longer windows than the silence that is allowed.
        let allowed_silence = MAX_REPORT_SILENCE.max(self.reporting.lag + self.deployment.report_period);
        let oldest = newest.unwrap_or_default() - allowed_silence;
        for replica in self.replicas.values_mut() {
            // Nobody else brings anything to a replica that this controller steers alone.
            if matches!(replica.subset, SubsetMembership::Subset { controllers: 1, .. }) {
                continue;
            }
            let end =
                replica.reports.attempts.newest_bucket_end().max(oldest).min(now) - SAMPLE_BUCKET_DURATION;
            let rate = others_rate(replica, end, OTHERS_WINDOW);
            let retried = RETRIED_SHARE_OF_FAILURES * replica.recent.failed_share();
            replica.shared.others_demand = rate.max(others_rate(replica, end, OTHERS_BURST_WINDOW));
            replica.shared.others_load = rate * (1.0 - retried);
            replica.demand += replica.shared.others_demand;
            replica.load += replica.shared.others_load;
        }
    }

    fn refresh_window_excess(&mut self) {
        let steered = self.replicas.values().filter(|replica| !replica.is_steered_by_others());
        let longest_window = steered.map(|replica| replica.shared.report_window).max().unwrap_or_default();
        self.sharing.window_excess = longest_window - self.deployment.report_period;
    }

    fn draw_for_round(&mut self) {
        let round = self.now.elapsed_periods(DRAW_PERIOD);
        if replace(&mut self.sharing.drawn_round, round) != round {
            for replica in self.replicas.values_mut() {
                replica.shared.round_draw = self.random.draw();
            }
        }
    }

    /// Notes what this controller's slices have brought since the last time, by the tables that proxies were sent.
    fn sample_own_load(&mut self) {
        let now = self.now;
        // Before the first sample, and while reports were interrupted, tables were what they are now.
        let longest = SAMPLE_BUCKET_DURATION.times(SAMPLE_BUCKET_COUNT as f64);
        let sampled_at = self.sharing.sampled_at.replace(now);
        let elapsed = sampled_at.map_or(longest, |since| (now - since).min(longest));
        for slice in self.slices.values() {
            let total_weight: f64 = slice.table.applied.values().sum();
            for (id, weight) in &slice.table.applied {
                if let Some(replica) = self.replicas.get_mut(id) {
                    let requests = slice.demand * elapsed.seconds() * weight / total_weight;
                    replica.shared.own_requests.add_over(now, elapsed, requests);
                }
            }
        }
    }

    /// Whether this controller may move slices to a replica by the ordinary path.
    pub(crate) fn holds_claim(&self, replica: &Replica) -> bool {
        replica.subset.is_claimed(replica.stable_hash, self.now, self.sharing.window_excess)
    }
}

/// Requests a second that other controllers brought to a replica within a window.
fn others_rate(replica: &Replica, end: Moment, window: Span) -> f64 {
    let reported = replica.reports.attempts.sum(end, window);
    let own = replica.shared.own_requests.sum(end, window);
    (reported - own).max(0.0) / window.seconds()
}
