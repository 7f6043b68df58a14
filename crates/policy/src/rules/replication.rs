//! Replication of hot slices, and standby endpoints.

use crate::api::{ReplicaId, SliceId};
use crate::measure::load_estimates::{BURST_WINDOW, LOAD_WINDOW};
use crate::rules::placement::RefugeScope;
use crate::state::controller::ControllerState;
use crate::state::replica::Replica;
use crate::state::slice::{Priority, Slice, FULL_WEIGHT, STANDBY_WEIGHT};
use std::mem::take;

pub(crate) const MAX_OWNERS: usize = 4;
pub(crate) const CONSOLIDATION_SHARE: f64 = 0.6;

impl ControllerState {
    /// A slice that alone overfills its replicas gets one more, where tables may hold several lines.
    pub(crate) fn replicate_hot_slices(&mut self) -> bool {
        if !take(&mut self.pending_work.replication)
            || self.deployment.single_writer
            || self.now - self.started_at < BURST_WINDOW
        {
            return false;
        }
        let hot = |s: &Slice| {
            s.awaited_version.is_none()
                && s.is_fully_applied()
                && s.burst_load > self.averages.even_burst_load * 0.5
        };
        let mut hot = self.slices.iter().filter(|(n, s)| hot(s) && !self.is_at_pin(**n, s));
        let found = hot.find_map(|(n, s)| {
            // Bands hold for loads over a longer time; a short time is judged by what came to all in it.
            let tops: f64 = self.owners(s).map(|(_, owner)| self.averages.band_capacity(owner)).sum();
            let over = s.burst_load - self.averages.burst_ratio * tops;
            let more = over > 0.0 && s.owners().count() < MAX_OWNERS;
            Some((*n, more.then(|| self.find_refuge(s, over, RefugeScope::WithCapacity))??))
        });
        let Some((n, to)) = found else { return false };
        self.replace_owner(n, None, Some((to, FULL_WEIGHT)), Priority::Urgent);
        self.pending_work.replication = true;
        true
    }

    /// Once a slice fits on fewer replicas again, it leaves the fullest of its own.
    pub(crate) fn consolidate_cooled_slices(&mut self) -> bool {
        if !take(&mut self.pending_work.consolidation) {
            return false;
        }
        let free = |s: &Slice| {
            s.desired.len() > 1 && s.awaited_version.is_none() && self.now - s.settled_at > LOAD_WINDOW
        };
        let several = self.slices.iter().filter(|(_, s)| free(s) && s.sole_owner().is_none());
        let mut found = several.filter_map(|(n, s)| {
            let fullest = self.owners(s).max_by(|a, b| a.1.utilization().total_cmp(&b.1.utilization()))?;
            let rest = self
                .owners(s)
                .filter(|(id, _)| *id != fullest.0)
                .map(|(_, o)| self.averages.band_capacity(o));
            (s.load.max(s.burst_load) < CONSOLIDATION_SHARE * rest.sum::<f64>()).then_some((*n, fullest.0))
        });
        let Some((n, id)) = found.next() else { return false };
        self.replace_owner(n, Some(id), None, Priority::Calm);
        self.pending_work.consolidation = true;
        true
    }

    /// A slice with one line gets a second that stands by, on a warm replica of another place where there is
    /// one: proxies go there by themselves as soon as its owner turns them away, long before we hear of it.
    pub(crate) fn add_standbys(&mut self) -> bool {
        if !take(&mut self.pending_work.standbys) || self.deployment.single_writer {
            return false;
        }
        let alone = |s: &Slice| s.awaited_version.is_none() && s.is_fully_applied() && s.desired.len() == 1;
        let due: Vec<SliceId> = self.slices.iter().filter(|(_, s)| alone(s)).map(|(n, _)| *n).collect();
        for n in due {
            _ = self
                .find_standby(n)
                .map(|line| self.replace_endpoint(n, None, Some(line), Priority::Standby));
        }
        true
    }

    /// The least burdened; chance parts equals, for all slices of one replica must not stand by at one other.
    pub(crate) fn find_standby(&self, n: SliceId) -> Option<(ReplicaId, f64)> {
        let slice = &self.slices[&n];
        let home = self.owners(slice).next().map(|(_, s)| s.zone);
        let apt = |id: &ReplicaId, away: bool| {
            let there = |s: &Replica| self.is_usable_and_warm(s) && (!away || Some(s.zone) != home);
            !slice.desired.contains_key(id) && self.replicas.get(id).is_some_and(there)
        };
        let first = |away| self.rankings.by_standby_load.first(|id| apt(id, away));
        first(true).or_else(|| first(false)).map(|id| (id, STANDBY_WEIGHT))
    }
}
