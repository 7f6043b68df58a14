//! What other controllers bring to shared replicas.

use crate::api::SubsetMembership;
use crate::state::fleet::Policy;
use crate::state::replica::Replica;
use crate::state::shared_load::{SAMPLE_BUCKET, SAMPLE_BUCKETS};
use crate::time::{Moment, Span};

/// What other controllers bring is averaged over this time; where more came within the shorter time, that counts.
pub(crate) const OTHERS_OVER: Span = Span::ms(3000);
pub(crate) const OTHERS_LATELY: Span = Span::ms(1000);
/// A replica of which no report has come for so long, while others' came, gets nothing. Where no reports come at all, what
/// came last stands.
pub(crate) const NOTHING_COMES: Span = Span::ms(4000);
pub(crate) const DRAW_EVERY: Span = Span::ms(1000);

impl Replica {
    /// What other controllers brought a second within this time.
    pub(crate) fn others_rate(&self, end: Moment, over: Span) -> f64 {
        let residue = self.attempts.sum(end, over) - self.shared.own.sum(end, over);
        residue.max(0.0) / over.seconds()
    }
}

impl Policy {
    /// Adds to each replica's load what other controllers' slices bring. Does nothing where all is everyone's.
    pub(crate) fn add_others(&mut self, repeated: f64) {
        self.sharing.active = self.replicas.values().any(|s| s.subset != SubsetMembership::Everyone);
        if !self.sharing.active {
            return;
        }
        self.draw_for_round();
        self.sample_own();
        let windows = self.replicas.values().filter(|s| !s.is_foreign()).map(|s| s.shared.window);
        self.sharing.stretch = windows.max().unwrap_or_default() - self.site.report_period;
        let now = self.now;
        let newest = self.replicas.values().map(|s| s.attempts.newest()).max().unwrap_or_default();
        // Aggregated reports may have longer windows than that.
        let oldest = newest - NOTHING_COMES.max(self.behind + self.site.report_period);
        // Nobody else brings anything to a replica that this controller steers alone.
        let is_shared =
            |s: &&mut Replica| !matches!(s.subset, SubsetMembership::Subset { controllers: 1, .. });
        for s in self.replicas.values_mut().filter(is_shared) {
            let end = s.attempts.newest().max(oldest).min(now) - SAMPLE_BUCKET;
            s.shared.others_press = s.others_rate(end, OTHERS_OVER).max(s.others_rate(end, OTHERS_LATELY));
            s.shared.others_load = s.others_rate(end, OTHERS_OVER) * (1.0 - repeated * s.seen.failed_share());
            s.press += s.shared.others_press;
            s.load += s.shared.others_load;
        }
    }

    pub(crate) fn draw_for_round(&mut self) {
        let round = self.now.count_of(DRAW_EVERY);
        if std::mem::replace(&mut self.sharing.drawn, round) != round {
            let random = &mut self.random;
            self.replicas.values_mut().for_each(|s| s.shared.draw = random.draw());
        }
    }

    /// Notes what our slices have brought, by the tables that proxies were told, since the last time.
    pub(crate) fn sample_own(&mut self) {
        let now = self.now;
        // Before the first sample, and while reports were interrupted, tables were what they are now.
        let longest = SAMPLE_BUCKET.times(SAMPLE_BUCKETS as f64);
        let elapsed = self.sharing.sampled.replace(now).map_or(longest, |since| (now - since).min(longest));
        for slice in self.slices.values() {
            let whole: f64 = slice.held.values().sum();
            for (id, weight) in &slice.held {
                if let Some(s) = self.replicas.get_mut(id) {
                    let amount = slice.press * elapsed.seconds() * weight / whole;
                    s.shared.own.spread(now, elapsed, amount);
                }
            }
        }
    }

    /// Whether this controller may move slices to a replica of its own accord.
    pub(crate) fn holds_claim(&self, s: &Replica) -> bool {
        s.subset.is_claimed(s.stable_hash, self.now, self.sharing.stretch)
    }
}
