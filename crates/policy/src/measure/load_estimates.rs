//! Load estimates of replicas and slices.

use crate::api::{ReplicaId, ReportFlow, SliceId, ZoneId};
use crate::measure::fleet_averages::BAND;
use crate::state::fleet::Policy;
use crate::state::replica::Replica;
use crate::state::slice::Slice;
use crate::time::Span;
use std::collections::BTreeMap;
use std::mem::take;

pub(crate) const LOAD_OVER: Span = Span::ms(8000);
pub(crate) const JUDGED_OVER: Span = Span::ms(3000);
// Spreading looks at a shorter time than rounds do: a key in demand may be gone in ten seconds.
pub(crate) const SPREAD_OVER: Span = Span::ms(3000);
pub(crate) const ENOUGH: f64 = 6.0;
/// The part of aborted requests that is counted as coming again.
pub(crate) const REPEATED: f64 = 0.7;

impl Policy {
    /// Loads, powers and averages, worked out once a beat; each change of a table corrects them.
    pub(crate) fn survey(&mut self) -> bool {
        if !take(&mut self.agenda.survey) || self.holds_last_survey() {
            return false;
        }
        self.forget_gone();
        self.behind = self.lag(JUDGED_OVER);
        self.delays = self.way_delays(JUDGED_OVER + self.behind, ENOUGH);
        self.see_replicas(JUDGED_OVER + self.behind);
        // mu: size times speed, speed from the time an answer takes against the like's. Its root only: a full
        // replica looks slow too, and taken at its word it would throw out the slices whose keys it has warm.
        let slownesses = self.slownesses(LOAD_OVER + self.behind, ENOUGH, |s| self.is_fit(s));
        let parts: Vec<_> = self.replicas.values().map(|s| self.part(s)).collect();
        for ((s, slowness), part) in self.replicas.values_mut().zip(slownesses).zip(parts) {
            s.able = s.weight.clamp(0.01, 1e6) * (1.0 / slowness).sqrt().clamp(0.5, 1.3);
            (s.part, s.power) = (part, s.able * s.factor * part.max(1.0));
        }
        self.see_slices(LOAD_OVER, SPREAD_OVER, REPEATED);
        self.picture = self.sum_up(BAND, LOAD_OVER, |s| self.is_fit(s) && s.part > 0.0);
        self.rank_all();
        true
    }

    /// While no reports come the last loads, powers and averages stay; a replica that is new since then counts for what it
    /// is listed as.
    pub(crate) fn holds_last_survey(&mut self) -> bool {
        if self.report_flow != ReportFlow::Interrupted {
            return false;
        }
        self.forget_gone();
        for s in self.replicas.values_mut() {
            s.able = if s.attempts.newest() < self.born { s.weight.clamp(0.01, 1e6) } else { s.able };
            s.power = s.able * s.factor * s.part.max(1.0);
        }
        self.rank_all();
        true
    }

    /// What was met at each replica of late, and how late its answers are against the tightest target.
    pub(crate) fn see_replicas(&mut self, over: Span) {
        let (now, target) = (self.now, self.target());
        for s in self.replicas.values_mut() {
            s.seen = s.lately(now, over);
            s.strain = match () {
                _ if s.seen.answered > 0.0 => s.seen.busy / s.seen.answered / target,
                _ if s.seen.attempts > 0.0 => s.last_took / target,
                _ => 0.0,
            };
        }
    }

    /// Each slice's requests a second, laid on the replicas of its table. Clients come again after an abort: in
    /// full, a broken replica's slices would look like hot ones. But all that came, repeats of the same request
    /// too, is what a replica feels.
    pub(crate) fn see_slices(&mut self, long: Span, short: Span, repeated: f64) {
        let measured = |s: &Slice| {
            let since = s.given.max(s.observed);
            let came = |over| self.rate(&s.came, over, since);
            let load = |over| (came(over) - repeated * self.rate(&s.failed, over, since)).max(0.0);
            (load(long), load(short), came(short).max(came(long)))
        };
        let measures: Vec<_> = self.slices.values().map(measured).collect();
        self.replicas.values_mut().for_each(|s| (s.load, s.press) = (0.0, 0.0));
        for (slice, measured) in self.slices.values_mut().zip(measures) {
            (slice.load, slice.burst, slice.press) = measured;
            for (id, part) in slice.parts() {
                if let Some(s) = self.replicas.get_mut(&id) {
                    s.load += slice.load * part;
                    s.press += slice.press * part;
                }
            }
        }
        self.add_others(repeated);
    }

    /// What the way between two places adds to an answer's time, beyond what a replica's own place finds.
    pub(crate) fn way_delays(&self, over: Span, enough: f64) -> BTreeMap<(ZoneId, ZoneId), f64> {
        let mean = |way: (ZoneId, ZoneId)| {
            let seen = self.links.get(&way)?;
            let answers = seen.answered.sum(self.now, over);
            (answers >= enough).then(|| seen.busy.sum(self.now, over) / answers)
        };
        let delay = |way: &(ZoneId, ZoneId)| Some((mean(*way)? - mean((way.1, way.1))?).max(0.0));
        self.links.keys().filter_map(|way| Some((*way, delay(way)?))).collect()
    }

    /// Each replica's time an answer, as far as known, against the mean of those like it that are counted.
    pub(crate) fn slownesses(&self, over: Span, enough: f64, counted: impl Fn(&Replica) -> bool) -> Vec<f64> {
        let time = |s: &Replica| {
            let answered = s.answered.sum(self.now, over);
            (answered >= enough).then(|| s.busy.sum(self.now, over) / answered)
        };
        let times: Vec<_> = self.replicas.values().map(time).collect();
        let mut like: BTreeMap<&str, (f64, f64)> = BTreeMap::new();
        for (s, time) in self.replicas.values().zip(&times).filter(|(s, _)| counted(s)) {
            let (sum, many) = like.entry(self.kind(s)).or_default();
            (*sum, *many) = (*sum + time.unwrap_or(0.0), *many + f64::from(u8::from(time.is_some())));
        }
        let against = |(s, time): (&Replica, Option<f64>)| match (time, like.get(self.kind(s))) {
            (Some(time), Some((sum, many))) if *sum > 0.0 => time * many / sum,
            _ => 1.0,
        };
        self.replicas.values().zip(times).map(against).collect()
    }

    /// The same way for all replicas of a kind, where the list tells kinds apart by size.
    pub(crate) fn kind<'a>(&self, s: &'a Replica) -> &'a str {
        if self.site.weights_known {
            &s.machine
        } else {
            ""
        }
    }

    /// The share of what was let in that got no answer, of the request class that fares best.
    pub(crate) fn unanswered(&self, over: Span, enough: f64) -> f64 {
        let sums = self.fates.iter().map(|(came, lost)| (came.sum(self.now, over), lost.sum(self.now, over)));
        let shares = sums.filter(|(came, _)| *came >= enough).map(|(came, lost)| lost / came);
        shares.reduce(f64::min).unwrap_or(0.0)
    }

    /// Its table is with all proxies, long enough to have shown in reports.
    pub(crate) fn has_stood(&self, slice: &Slice) -> bool {
        slice.version.is_none() && self.now - slice.settled > JUDGED_OVER + self.behind
    }

    /// The slices that a replica owns alone and that no change is under way for, in descending load.
    pub(crate) fn free_slices(&self, id: ReplicaId, s: &Replica) -> Vec<(SliceId, f64, u32)> {
        let owned = s.lines.iter().map(|n| (*n, &self.slices[n]));
        let free = |s: &Slice| s.version.is_none() && s.sole_owner() == Some(id) && s.wanted == s.held;
        let pinned = |n: SliceId| self.pins.at(n).is_some_and(|(to, _)| to == id);
        let mut own: Vec<_> =
            owned.filter(|(n, s)| free(s) && !pinned(*n)).map(|(n, s)| (n, s.load, s.moves)).collect();
        own.sort_by(|a, b| b.1.total_cmp(&a.1));
        own
    }
}
