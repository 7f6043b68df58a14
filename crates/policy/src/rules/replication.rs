//! Replication of hot slices, and standby endpoints.

use crate::api::{ReplicaId, SliceId};
use crate::measure::load_estimates::{LOAD_OVER, SPREAD_OVER};
use crate::rules::placement::Need;
use crate::state::fleet::Policy;
use crate::state::replica::Replica;
use crate::state::slice::{Priority, Slice, STANDING_BY, WHOLE};
use std::mem::take;

pub(crate) const MOST_LINES: usize = 4;
pub(crate) const GATHER_BELOW: f64 = 0.6;

impl Policy {
    /// A slice that alone overfills its replicas gets one more, where tables may hold several lines.
    pub(crate) fn spread(&mut self) -> bool {
        if !take(&mut self.agenda.spread) || self.site.single_writer || self.now - self.born < SPREAD_OVER {
            return false;
        }
        let hot = |s: &Slice| s.version.is_none() && s.is_told() && s.burst > self.picture.even * 0.5;
        let mut hot = self.slices.iter().filter(|(n, s)| hot(s) && !self.is_at_pin(**n, s));
        let found = hot.find_map(|(n, s)| {
            // Bands hold for loads over a longer time; a short time is judged by what came to all in it.
            let tops: f64 = self.owners(s).map(|(_, owner)| self.picture.top(owner)).sum();
            let over = s.burst - self.picture.rise * tops;
            let more = over > 0.0 && s.owners().count() < MOST_LINES;
            Some((*n, more.then(|| self.refuge(s, over, Need::Relief))??))
        });
        let Some((n, to)) = found else { return false };
        self.reshape(n, None, Some((to, WHOLE)), Priority::Urgent);
        self.agenda.spread = true;
        true
    }

    /// Once a slice fits on fewer replicas again, it leaves the fullest of its own.
    pub(crate) fn gather(&mut self) -> bool {
        if !take(&mut self.agenda.gather) {
            return false;
        }
        let free = |s: &Slice| s.wanted.len() > 1 && s.version.is_none() && self.now - s.settled > LOAD_OVER;
        let several = self.slices.iter().filter(|(_, s)| free(s) && s.sole_owner().is_none());
        let mut found = several.filter_map(|(n, s)| {
            let fullest = self.owners(s).max_by(|a, b| a.1.level().total_cmp(&b.1.level()))?;
            let rest = self.owners(s).filter(|(id, _)| *id != fullest.0).map(|(_, o)| self.picture.top(o));
            (s.load.max(s.burst) < GATHER_BELOW * rest.sum::<f64>()).then_some((*n, fullest.0))
        });
        let Some((n, id)) = found.next() else { return false };
        self.reshape(n, Some(id), None, Priority::Calm);
        self.agenda.gather = true;
        true
    }

    /// A slice with one line gets a second that stands by, on a warm replica of another place where there is
    /// one: proxies go there by themselves as soon as its owner turns them away, long before we hear of it.
    pub(crate) fn stand_by(&mut self) -> bool {
        if !take(&mut self.agenda.stand_by) || self.site.single_writer {
            return false;
        }
        let alone = |s: &Slice| s.version.is_none() && s.is_told() && s.wanted.len() == 1;
        let due: Vec<SliceId> = self.slices.iter().filter(|(_, s)| alone(s)).map(|(n, _)| *n).collect();
        for n in due {
            _ = self.stand_in(n).map(|line| self.reline(n, None, Some(line), Priority::Spare));
        }
        true
    }

    /// The least burdened; chance parts equals, for all slices of one replica must not stand by at one other.
    pub(crate) fn stand_in(&self, n: SliceId) -> Option<(ReplicaId, f64)> {
        let slice = &self.slices[&n];
        let home = self.owners(slice).next().map(|(_, s)| s.zone);
        let apt = |id: &ReplicaId, away: bool| {
            let there = |s: &Replica| self.is_good(s) && (!away || Some(s.zone) != home);
            !slice.wanted.contains_key(id) && self.replicas.get(id).is_some_and(there)
        };
        let first = |away| self.ranks.by_standing_by.first(|id| apt(id, away));
        first(true).or_else(|| first(false)).map(|id| (id, STANDING_BY))
    }
}
