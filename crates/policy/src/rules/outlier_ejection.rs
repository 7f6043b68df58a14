//! Outlier ejection.

use crate::api::Action;
use crate::measure::admission::{EASED, STRAINED};
use crate::measure::load_estimates::{ENOUGH, JUDGED_OVER};
use crate::state::fleet::Policy;
use crate::state::replica::Replica;
use crate::time::Span;
use std::mem::take;

pub(crate) const SICK_FOR: Span = Span::ms(8000);
pub(crate) const FAILING_SHARE: f64 = 0.3;
pub(crate) const DOUBT_SHARE: f64 = 0.4;

impl Policy {
    /// Against all that looks alike from outside: crash, hang, silence, fast errors, crawling.
    pub(crate) fn judge(&mut self) -> bool {
        if !take(&mut self.agenda.judge) {
            return false;
        }
        let usual = self.usual(|s| self.is_fit(s), |s| s.seen.failed_share());
        let cause = |s: &Replica| {
            // Where most tries fail everywhere, the fleet is overfull, and flights would finish it.
            let silent = usual < FAILING_SHARE && self.is_silent(s);
            // A full replica turns work away too, but then the others do as well, or its answers are late.
            let failing = s.seen.failed >= ENOUGH && s.seen.failed_share() >= FAILING_SHARE + 2.0 * usual;
            let quick = failing && s.seen.answered > 0.0 && s.strain < EASED;
            silent.then_some("answers nothing").or(quick.then_some("fails quickly"))
        };
        let there = |s: &Replica| !self.is_lost(s) && !self.is_sick(s) && self.is_observed(s);
        let watched = self.replicas.iter().filter(|(_, s)| there(s) && !s.lines.is_empty());
        let ill: Vec<_> = watched.filter_map(|(id, s)| cause(s).map(|why| (*id, why))).collect();
        let around = self.replicas.values().filter(|s| !self.is_lost(s));
        let (all, sick) = around.fold((0, ill.len()), |(a, k), s| (a + 1, k + usize::from(self.is_sick(s))));
        if sick as f64 > DOUBT_SHARE * all as f64 {
            return true; // More likely our view is broken than they.
        }
        for (id, cause) in ill {
            let Some(s) = self.replicas.get_mut(&id) else { continue };
            s.strikes += 1;
            s.sick_until = Some(self.now + SICK_FOR.times(f64::from(s.strikes.min(4))));
            s.forget();
            self.actions.push(Action::ReplicaEjected { replica: id, cause });
        }
        true
    }

    /// Nothing comes back, though much is asked or all of the newest tries failed. One that was late before
    /// is more likely full: it is cut first and gets longer, or flights from it fill others with cold keys.
    pub(crate) fn is_silent(&self, s: &Replica) -> bool {
        let over = JUDGED_OVER + self.behind;
        let full = s.last_took > STRAINED * self.target() && s.answered.sum(self.now, over.times(2.0)) > 0.0;
        let newest = s.attempts.newest().min(self.now).max(self.now - over);
        let last = || s.lately(newest, JUDGED_OVER);
        !full
            && ((s.seen.answered == 0.0 && s.seen.asked >= 2.0 * ENOUGH)
                || (s.seen.failed >= ENOUGH && last().failed >= ENOUGH && last().answered == 0.0))
    }
}
