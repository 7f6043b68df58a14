//! The load from other controllers on replicas shared with this controller.
//!
//! A replica's load is the sum of what all proxies report for it. Because reports lag, a controller replaces its
//! own part of the reported load by the current load of its own slices.

use crate::api::SubsetMembership;
use crate::measure::windows::RETRIED_SHARE_OF_FAILURES;
use crate::state::controller::ControllerState;
use crate::state::replica::Replica;
use crate::state::shared_load::{SAMPLE_BUCKET_COUNT, SAMPLE_BUCKET_DURATION};
use crate::time::{Moment, Span};
use std::mem::replace;

/// The window over which other controllers' load is averaged.
const OTHERS_WINDOW: Span = Span::ms(3000);
/// A shorter window: if the rate in it is higher, it counts as other controllers' demand.
const OTHERS_BURST_WINDOW: Span = Span::ms(1000);
/// A replica without reports for this time, while reports on others arrive, counts as having no load. If no
/// reports arrive at all, the last values stay.
const MAX_REPORT_SILENCE: Span = Span::ms(4000);
/// The period after which random draws are renewed.
const DRAW_PERIOD: Span = Span::ms(1000);

impl ControllerState {
    /// Adds the load from other controllers' slices to each replica. Does nothing if all replicas are steered by
    /// all controllers.
    pub(crate) fn add_others_load(&mut self) {
        let is_shared = |replica: &Replica| replica.subset != SubsetMembership::AllControllers;
        self.sharing.is_active = self.replicas.values().any(is_shared);
        if !self.sharing.is_active {
            return;
        }
        self.renew_round_draws();
        self.sample_own_load();
        self.refresh_window_excess();
        let now = self.now;
        let newest_report_end =
            self.replicas.values().map(|replica| replica.reports.attempts.newest_bucket_end()).max();
        // The windows of aggregated reports may be longer than `MAX_REPORT_SILENCE`.
        let allowed_silence = MAX_REPORT_SILENCE.max(self.reporting.lag + self.deployment.report_period);
        let earliest_end = newest_report_end.unwrap_or_default() - allowed_silence;
        for replica in self.replicas.values_mut() {
            // No other controller adds load to a replica that this controller steers alone.
            if matches!(replica.subset, SubsetMembership::Subset { controllers: 1, .. }) {
                continue;
            }
            let end = replica.reports.attempts.newest_bucket_end().max(earliest_end).min(now)
                - SAMPLE_BUCKET_DURATION;
            let rate = others_rate(replica, end, OTHERS_WINDOW);
            let retried = RETRIED_SHARE_OF_FAILURES * replica.recent_counts.failed_share();
            replica.shared_load.others_demand = rate.max(others_rate(replica, end, OTHERS_BURST_WINDOW));
            replica.shared_load.others_load = rate * (1.0 - retried);
            replica.demand += replica.shared_load.others_demand;
            replica.unshed_demand += replica.shared_load.others_demand;
            replica.failover_demand += replica.shared_load.others_demand;
            replica.load += replica.shared_load.others_load;
        }
    }

    fn refresh_window_excess(&mut self) {
        let steered = self.replicas.values().filter(|replica| !replica.is_steered_by_others());
        let longest_window =
            steered.map(|replica| replica.shared_load.report_window).max().unwrap_or_default();
        self.sharing.window_excess = longest_window - self.deployment.report_period;
    }

    fn renew_round_draws(&mut self) {
        let round = self.now.elapsed_periods(DRAW_PERIOD);
        if replace(&mut self.sharing.drawn_round, round) != round {
            for replica in self.replicas.values_mut() {
                replica.shared_load.round_draw = self.random.draw();
            }
        }
    }

    /// Records the requests from this controller's slices since the previous sample, according to the tables that
    /// the proxies were sent.
    fn sample_own_load(&mut self) {
        let now = self.now;
        // Before the first sample, and for the time of an interruption, the current tables are assumed.
        let max_elapsed = SAMPLE_BUCKET_DURATION.times(SAMPLE_BUCKET_COUNT as f64);
        let sampled_at = self.sharing.sampled_at.replace(now);
        let elapsed = sampled_at.map_or(max_elapsed, |since| (now - since).min(max_elapsed));
        for slice in self.slices.values() {
            let total_weight: f64 = slice.table.applied.values().sum();
            for (id, weight) in &slice.table.applied {
                if let Some(replica) = self.replicas.get_mut(id) {
                    let requests = slice.demand * elapsed.seconds() * weight / total_weight;
                    replica.shared_load.own_requests.add_over(now, elapsed, requests);
                }
            }
        }
    }

    /// Returns true if this controller may move slices to a replica by regular rebalancing.
    pub(crate) fn holds_claim(&self, replica: &Replica) -> bool {
        replica.subset.is_claimed(replica.stable_hash, self.now, self.sharing.window_excess)
    }
}

/// Returns the rate of requests per second from other controllers to a replica within a window.
fn others_rate(replica: &Replica, end: Moment, window: Span) -> f64 {
    let reported = replica.reports.attempts.sum(end, window);
    let own = replica.shared_load.own_requests.sum(end, window);
    (reported - own).max(0.0) / window.seconds()
}
