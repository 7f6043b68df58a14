//! Load estimates of replicas and slices.

use crate::api::{ReplicaId, ReportFlow, SliceId, ZoneId};
use crate::measure::fleet_averages::BAND_HALF_WIDTH;
use crate::state::controller::ControllerState;
use crate::state::replica::Replica;
use crate::state::slice::Slice;
use crate::time::Span;
use std::collections::BTreeMap;
use std::mem::take;

pub(crate) const LOAD_WINDOW: Span = Span::ms(8000);
pub(crate) const RECENT_WINDOW: Span = Span::ms(3000);
// Spreading looks at a shorter time than rounds do: a key in demand may be gone in ten seconds.
pub(crate) const BURST_WINDOW: Span = Span::ms(3000);
pub(crate) const MIN_SAMPLES: f64 = 6.0;
/// The part of aborted requests that is counted as coming again.
pub(crate) const RETRIED_SHARE_OF_FAILURES: f64 = 0.7;

impl ControllerState {
    /// Loads, powers and averages, worked out once a beat; each change of a table corrects them.
    pub(crate) fn refresh_load_estimates(&mut self) -> bool {
        if !take(&mut self.pending_work.load_estimates) || self.keeps_last_estimates() {
            return false;
        }
        self.forget_gone();
        self.report_lag = self.measure_report_lag(RECENT_WINDOW);
        self.link_delays = self.measure_link_delays(RECENT_WINDOW + self.report_lag, MIN_SAMPLES);
        self.refresh_replicas(RECENT_WINDOW + self.report_lag);
        // mu: size times speed, speed from the time an answer takes against the like's. Its root only: a full
        // replica looks slow too, and taken at its word it would throw out the slices whose keys it has warm.
        let slownesses = self.slownesses(LOAD_WINDOW + self.report_lag, MIN_SAMPLES, |s| self.is_usable(s));
        let parts: Vec<_> = self.replicas.values().map(|s| self.ownership_of(s)).collect();
        for ((s, slowness), part) in self.replicas.values_mut().zip(slownesses).zip(parts) {
            s.service_rate = s.weight.clamp(0.01, 1e6) * (1.0 / slowness).sqrt().clamp(0.5, 1.3);
            (s.ownership, s.effective_capacity) = (part, s.service_rate * s.weight_factor * part.max(1.0));
        }
        self.refresh_slices(LOAD_WINDOW, BURST_WINDOW, RETRIED_SHARE_OF_FAILURES);
        self.averages =
            self.fleet_averages(BAND_HALF_WIDTH, LOAD_WINDOW, |s| self.is_usable(s) && s.ownership > 0.0);
        self.rebuild_rankings();
        true
    }

    /// While no reports come the last loads, powers and averages stay; a replica that is new since then counts for what it
    /// is listed as.
    pub(crate) fn keeps_last_estimates(&mut self) -> bool {
        if self.report_flow != ReportFlow::Interrupted {
            return false;
        }
        self.forget_gone();
        for s in self.replicas.values_mut() {
            s.service_rate = if s.attempts.newest() < self.started_at {
                s.weight.clamp(0.01, 1e6)
            } else {
                s.service_rate
            };
            s.effective_capacity = s.service_rate * s.weight_factor * s.ownership.max(1.0);
        }
        self.rebuild_rankings();
        true
    }

    /// What was met at each replica of late, and how late its answers are against the tightest target.
    pub(crate) fn refresh_replicas(&mut self, over: Span) {
        let (now, target) = (self.now, self.tightest_target_seconds());
        for s in self.replicas.values_mut() {
            s.recent = s.recent_counts(now, over);
            s.latency_ratio = match () {
                _ if s.recent.succeeded > 0.0 => s.recent.latency_seconds / s.recent.succeeded / target,
                _ if s.recent.attempts > 0.0 => s.last_latency_seconds / target,
                _ => 0.0,
            };
        }
    }

    /// Each slice's requests a second, laid on the replicas of its table. Clients come again after an abort: in
    /// full, a broken replica's slices would look like hot ones. But all that came, repeats of the same request
    /// too, is what a replica feels.
    pub(crate) fn refresh_slices(&mut self, long: Span, short: Span, repeated: f64) {
        let measured = |s: &Slice| {
            let since = s.granted_at.max(s.observed_since);
            let came = |over| self.request_rate(&s.admitted, over, since);
            let load = |over| (came(over) - repeated * self.request_rate(&s.failed, over, since)).max(0.0);
            (load(long), load(short), came(short).max(came(long)))
        };
        let measures: Vec<_> = self.slices.values().map(measured).collect();
        self.replicas.values_mut().for_each(|s| (s.load, s.demand) = (0.0, 0.0));
        for (slice, measured) in self.slices.values_mut().zip(measures) {
            (slice.load, slice.burst_load, slice.demand) = measured;
            for (id, part) in slice.request_shares() {
                if let Some(s) = self.replicas.get_mut(&id) {
                    s.load += slice.load * part;
                    s.demand += slice.demand * part;
                }
            }
        }
        self.add_others_load(repeated);
    }

    /// What the way between two places adds to an answer's time, beyond what a replica's own place finds.
    pub(crate) fn measure_link_delays(&self, over: Span, enough: f64) -> BTreeMap<(ZoneId, ZoneId), f64> {
        let mean = |way: (ZoneId, ZoneId)| {
            let seen = self.link_latencies.get(&way)?;
            let answers = seen.succeeded.sum(self.now, over);
            (answers >= enough).then(|| seen.latency_seconds.sum(self.now, over) / answers)
        };
        let delay = |way: &(ZoneId, ZoneId)| Some((mean(*way)? - mean((way.1, way.1))?).max(0.0));
        self.link_latencies.keys().filter_map(|way| Some((*way, delay(way)?))).collect()
    }

    /// Each replica's time an answer, as far as known, against the mean of those like it that are counted.
    pub(crate) fn slownesses(&self, over: Span, enough: f64, counted: impl Fn(&Replica) -> bool) -> Vec<f64> {
        let time = |s: &Replica| {
            let answered = s.succeeded.sum(self.now, over);
            (answered >= enough).then(|| s.latency_seconds.sum(self.now, over) / answered)
        };
        let times: Vec<_> = self.replicas.values().map(time).collect();
        let mut like: BTreeMap<&str, (f64, f64)> = BTreeMap::new();
        for (s, time) in self.replicas.values().zip(&times).filter(|(s, _)| counted(s)) {
            let (sum, many) = like.entry(self.machine_kind(s)).or_default();
            (*sum, *many) = (*sum + time.unwrap_or(0.0), *many + f64::from(u8::from(time.is_some())));
        }
        let against = |(s, time): (&Replica, Option<f64>)| match (time, like.get(self.machine_kind(s))) {
            (Some(time), Some((sum, many))) if *sum > 0.0 => time * many / sum,
            _ => 1.0,
        };
        self.replicas.values().zip(times).map(against).collect()
    }

    /// The same way for all replicas of a kind, where the list tells kinds apart by size.
    pub(crate) fn machine_kind<'a>(&self, s: &'a Replica) -> &'a str {
        if self.deployment.weights_known {
            &s.machine
        } else {
            ""
        }
    }

    /// The share of what was let in that got no answer, of the request class that fares best.
    pub(crate) fn lowest_failed_share(&self, over: Span, enough: f64) -> f64 {
        let sums = self
            .class_outcomes
            .iter()
            .map(|(came, lost)| (came.sum(self.now, over), lost.sum(self.now, over)));
        let shares = sums.filter(|(came, _)| *came >= enough).map(|(came, lost)| lost / came);
        shares.reduce(f64::min).unwrap_or(0.0)
    }

    /// Its table is with all proxies, long enough to have shown in reports.
    pub(crate) fn has_stood(&self, slice: &Slice) -> bool {
        slice.awaited_version.is_none() && self.now - slice.settled_at > RECENT_WINDOW + self.report_lag
    }

    /// The slices that a replica owns alone and that no change is under way for, in descending load.
    pub(crate) fn movable_slices(&self, id: ReplicaId, s: &Replica) -> Vec<(SliceId, f64, u32)> {
        let owned = s.slices.iter().map(|n| (*n, &self.slices[n]));
        let free =
            |s: &Slice| s.awaited_version.is_none() && s.sole_owner() == Some(id) && s.desired == s.applied;
        let pinned = |n: SliceId| self.pins.get(n).is_some_and(|(to, _)| to == id);
        let mut own: Vec<_> =
            owned.filter(|(n, s)| free(s) && !pinned(*n)).map(|(n, s)| (n, s.load, s.move_count)).collect();
        own.sort_by(|a, b| b.1.total_cmp(&a.1));
        own
    }
}
