//! Averages over the fleet.

use crate::state::averages::Picture;
use crate::state::fleet::Policy;
use crate::state::replica::Replica;
use crate::time::Span;

pub(crate) const BAND: f64 = 0.35;

impl Policy {
    /// How much more all controllers carry than this one, as far as slices tell; where replicas are shared, what all
    /// bring is known.
    pub(crate) fn whole(&self) -> f64 {
        match self.sharing.active {
            true => 1.0,
            false => (f64::from(self.site.slice_count) / self.slices.len().max(1) as f64).max(1.0),
        }
    }

    /// AvgL and what goes with it, over the replicas that are counted.
    pub(crate) fn sum_up(&self, band: f64, long: Span, is_counted: impl Fn(&Replica) -> bool) -> Picture {
        let counted = || self.replicas.values().filter(|s| is_counted(s));
        let power = counted().map(|s| s.power).sum::<f64>().max(0.01);
        let load: f64 = self.slices.values().map(|s| s.load).sum();
        let burst: f64 = self.slices.values().map(|s| s.burst).sum();
        // What was seen of replicas is no less for what operators count them for, nor for cold ones beside them
        // that are sent little.
        let some_warm = counted().any(|s| !self.is_cold(s));
        let sure = || counted().filter(|s| !some_warm || !self.is_cold(s));
        let able = sure().map(|s| s.able).sum::<f64>().max(0.01);
        let carried: f64 = sure().map(|s| s.load).sum();
        let answered: f64 = sure().map(|s| self.rate(&s.answered, long, self.born.max(s.observed))).sum();
        let average = load / power;
        let own = Picture {
            average,
            phi: band * average * self.whole().sqrt(),
            proven: carried.min(answered) / able,
            rise: burst / load.max(0.01),
            even: burst / self.replicas.len().max(1) as f64,
        };
        self.shared_picture(own, band, &is_counted)
    }

    /// Averages over the replicas of the subset that are counted: what comes to all of them, also to those that
    /// must be left, has to find its place on these.
    pub(crate) fn shared_picture(
        &self,
        own: Picture,
        band: f64,
        counted: impl Fn(&Replica) -> bool,
    ) -> Picture {
        if !self.sharing.active {
            return own;
        }
        let ours = || self.replicas.values().filter(|s| !s.is_foreign());
        let counted = || ours().filter(|s| counted(s));
        let load: f64 = ours().map(|s| s.load).sum();
        let power = counted().map(|s| s.power).sum::<f64>().max(0.01);
        let average = load / power;
        let even = load * own.rise / counted().count().max(1) as f64;
        Picture { average, phi: band * average, even, ..own }
    }
}
