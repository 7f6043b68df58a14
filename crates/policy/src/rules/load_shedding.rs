//! Load shedding.

use crate::api::Action;
use crate::measure::admission::{EASED, STRAINED};
use crate::measure::load_estimates::{ENOUGH, JUDGED_OVER};
use crate::rules::outlier_ejection::FAILING_SHARE;
use crate::state::fleet::Policy;
use crate::state::replica::Replica;
use crate::state::schedule::ROUND;
use crate::state::slice::{Priority, RETRIES_ONLY};
use std::mem::take;

pub(crate) const CUT_STEP: f64 = 0.15;
pub(crate) const ONE_BY_ONE: f64 = 2.0;
pub(crate) const LEVEL_STEP: f64 = 0.08;
/// A cut after another step: by what goes unanswered where answers are late, back where they are quick.
pub(crate) fn next_cut(cut: f64, strain: f64, kept: f64) -> f64 {
    let step = match () {
        _ if strain > STRAINED => (1.0 - cut) * (1.0 - 0.85 * kept.max(0.5)),
        _ if strain < EASED => CUT_STEP * (strain / EASED - 2.0),
        _ => 0.0,
    };
    (cut + step).clamp(0.0, 1.0)
}

impl Policy {
    /// A queue that makes all answers late serves nobody. Further tries are cut first, then the request class with
    /// the least priority weight; for all where the usual replica is late, else by each slice's least cut owner.
    pub(crate) fn ration(&mut self) -> bool {
        if !take(&mut self.agenda.ration) {
            return false;
        }
        let usual = self.usual(|s| self.is_fit(s), |s| s.strain);
        // Answers that never come leave no time to be measured. Where every request class lacks them, and the usual
        // replica, it is neither one type nor some replicas that fail, but all that is too much.
        let lost = self.unanswered(JUDGED_OVER + self.behind, ENOUGH);
        let lost = lost.min(self.usual(|s| self.is_fit(s), |s| s.seen.failed_share()));
        // Where orders a slice take few seconds of the channel, each owner's own cut is the finer tool.
        let orders =
            (self.slices.len() * self.site.request_classes.len() * self.channel.proxies.len()) as f64;
        let dear = f64::from(u8::from(orders > self.site.lines_per_second * ONE_BY_ONE));
        let late = dear * if lost > FAILING_SHARE { 1.0 } else { usual };
        let wait = if self.cut <= RETRIES_ONLY { ROUND } else { ROUND + self.behind };
        if self.now - self.cut_at >= wait {
            let cut = next_cut(self.cut, late, 1.0 - lost);
            let cut = if self.cut == 0.0 { cut.min(RETRIES_ONLY) } else { cut };
            (self.cut, self.cut_at) = if cut == self.cut { (cut, self.cut_at) } else { (cut, self.now) };
        }
        let cut = |s: &Replica| match () {
            // What the last step did is not in the reports yet; and what ails all is not cut down on twice.
            _ if self.now - s.cut_at < ROUND + ROUND + self.behind => s.cut,
            _ if late > STRAINED && s.strain > STRAINED => s.cut,
            _ if s.strain > STRAINED => next_cut(s.cut, s.strain, 1.0 - s.seen.failed_share()),
            // Against a cold replica pushed over where its slices have no other place to go.
            _ if s.press > self.allowance(s) => (s.cut + CUT_STEP).min(1.0),
            _ => next_cut(s.cut, s.strain, 1.0),
        };
        let cuts: Vec<f64> = self.replicas.values().map(cut).collect();
        for (s, cut) in self.replicas.values_mut().zip(cuts).filter(|(s, cut)| s.cut != *cut) {
            (s.cut, s.cut_at) = (cut, self.now);
        }
        let mut changed = Vec::new();
        for (n, slice) in &mut self.slices {
            let cut = slice.owners().filter_map(|id| Some(self.replicas.get(&id)?.cut)).fold(1.0, f64::min);
            slice.cut = match slice.cut_held {
                _ if cut <= self.cut => 0.0,
                0.0 => cut.min(RETRIES_ONLY),
                // A small change is not worth a line at each proxy.
                held if (cut - held).abs() < LEVEL_STEP => held,
                _ => cut,
            };
            if slice.cut != slice.cut_held {
                changed.push(*n);
            }
        }
        changed.into_iter().for_each(|n| self.tell(n, Priority::Calm));
        true
    }

    /// What holds for all tables is one order, where one a slice would take the channel many seconds. One
    /// further try is allowed, after proof that the first never ran: no effect happens twice (rule 2).
    pub(crate) fn tell_all(&mut self) -> bool {
        let told = (self.cut_told == Some(self.cut)) || self.channel.proxies.is_empty();
        let many = self.site.request_classes.len();
        if told || !self.has_room(many as f64, Priority::Urgent) {
            return false;
        }
        let (retries, share) = (self.retries(self.cut), |at| self.level(self.cut, at));
        let order =
            |at| Action::SetAdmission { slice: None, request_classes: 1u64 << at, share: share(at), retries };
        let orders: Vec<_> = (0..many).map(order).collect();
        self.actions.extend(orders);
        self.write(many as f64);
        self.cut_told = Some(self.cut);
        true
    }
}
