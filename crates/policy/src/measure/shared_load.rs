//! What other controllers bring to shared replicas.

use crate::api::SubsetMembership;
use crate::state::controller::ControllerState;
use crate::state::replica::Replica;
use crate::state::shared_load::{SAMPLE_BUCKET, SAMPLE_BUCKETS};
use crate::time::{Moment, Span};

/// What other controllers bring is averaged over this time; where more came within the shorter time, that counts.
pub(crate) const OTHERS_WINDOW: Span = Span::ms(3000);
pub(crate) const OTHERS_BURST_WINDOW: Span = Span::ms(1000);
/// A replica of which no report has come for so long, while others' came, gets nothing. Where no reports come at all, what
/// came last stands.
pub(crate) const MAX_REPORT_SILENCE: Span = Span::ms(4000);
pub(crate) const DRAW_PERIOD: Span = Span::ms(1000);

impl Replica {
    /// What other controllers brought a second within this time.
    pub(crate) fn others_rate(&self, end: Moment, over: Span) -> f64 {
        let residue = self.attempts.sum(end, over) - self.shared.own_requests.sum(end, over);
        residue.max(0.0) / over.seconds()
    }
}

impl ControllerState {
    /// Adds to each replica's load what other controllers' slices bring. Does nothing where all is everyone's.
    pub(crate) fn add_others_load(&mut self, repeated: f64) {
        self.sharing.is_active = self.replicas.values().any(|s| s.subset != SubsetMembership::Everyone);
        if !self.sharing.is_active {
            return;
        }
        self.draw_for_round();
        self.sample_own_load();
        let windows =
            self.replicas.values().filter(|s| !s.is_steered_by_others()).map(|s| s.shared.report_window);
        self.sharing.window_excess = windows.max().unwrap_or_default() - self.deployment.report_period;
        let now = self.now;
        let newest = self.replicas.values().map(|s| s.attempts.newest()).max().unwrap_or_default();
        // Aggregated reports may have longer windows than that.
        let oldest = newest - MAX_REPORT_SILENCE.max(self.report_lag + self.deployment.report_period);
        // Nobody else brings anything to a replica that this controller steers alone.
        let is_shared =
            |s: &&mut Replica| !matches!(s.subset, SubsetMembership::Subset { controllers: 1, .. });
        for s in self.replicas.values_mut().filter(is_shared) {
            let end = s.attempts.newest().max(oldest).min(now) - SAMPLE_BUCKET;
            s.shared.others_demand =
                s.others_rate(end, OTHERS_WINDOW).max(s.others_rate(end, OTHERS_BURST_WINDOW));
            s.shared.others_load =
                s.others_rate(end, OTHERS_WINDOW) * (1.0 - repeated * s.recent.failed_share());
            s.demand += s.shared.others_demand;
            s.load += s.shared.others_load;
        }
    }

    pub(crate) fn draw_for_round(&mut self) {
        let round = self.now.count_of(DRAW_PERIOD);
        if std::mem::replace(&mut self.sharing.drawn_round, round) != round {
            let random = &mut self.random;
            self.replicas.values_mut().for_each(|s| s.shared.round_draw = random.draw());
        }
    }

    /// Notes what our slices have brought, by the tables that proxies were told, since the last time.
    pub(crate) fn sample_own_load(&mut self) {
        let now = self.now;
        // Before the first sample, and while reports were interrupted, tables were what they are now.
        let longest = SAMPLE_BUCKET.times(SAMPLE_BUCKETS as f64);
        let elapsed =
            self.sharing.sampled_at.replace(now).map_or(longest, |since| (now - since).min(longest));
        for slice in self.slices.values() {
            let whole: f64 = slice.applied.values().sum();
            for (id, weight) in &slice.applied {
                if let Some(s) = self.replicas.get_mut(id) {
                    let amount = slice.demand * elapsed.seconds() * weight / whole;
                    s.shared.own_requests.spread(now, elapsed, amount);
                }
            }
        }
    }

    /// Whether this controller may move slices to a replica of its own accord.
    pub(crate) fn holds_claim(&self, s: &Replica) -> bool {
        s.subset.is_claimed(s.stable_hash, self.now, self.sharing.window_excess)
    }
}
