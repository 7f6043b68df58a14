//! Operators' overrides.

use crate::api::OverrideStatus::{Absent, InForce, Suspended, Waiting};
use crate::api::{OverrideId, OverrideSpec, OverrideStatus, ReplicaId, ReplicaState, SliceId};
use crate::measure::admission::EASED;
use crate::rules::acknowledgements::ACK_WAIT;
use crate::rules::outlier_ejection::SICK_FOR;
use crate::state::fleet::{Policy, Wished};
use crate::state::replica::Replica;
use crate::state::slice::{Priority, Slice};
use std::collections::BTreeMap;
use std::mem::take;

pub(crate) const MOST_PULLS: f64 = 12.0;
pub(crate) const PULLS: &str = "its slices come";

impl Policy {
    /// What operators override, as far as the rules let it; what had to stand back comes into force again by
    /// itself, but not at once.
    pub(crate) fn heed(&mut self) -> bool {
        if !take(&mut self.agenda.heed) || self.wishes.is_empty() {
            return false;
        }
        let (pins, mut wishes) = (self.heed_pins(), take(&mut self.wishes));
        let missing = |s: &Replica| s.is_ready() && (s.out || self.is_sick(s));
        let mut left = (self.many(|s| self.is_good(s)), self.many(Replica::is_ready), self.many(missing));
        for (id, w) in &mut wishes {
            let was = w.heeded;
            w.heeded = match w.wish {
                OverrideSpec::Out { replica } => self.heed_out(replica, w, &mut left),
                OverrideSpec::Weight { replica, factor } => self.heed_weight(replica, factor),
                OverrideSpec::Pin { .. } => {
                    pins.get(id).copied().unwrap_or(Waiting("no slice of it is ours"))
                }
            };
            let back = matches!((was, w.heeded), (InForce | Waiting(_), Suspended(_)));
            w.stood_back = if back { Some(self.now) } else { w.stood_back };
        }
        self.wishes = wishes;
        true
    }

    /// Where a warm replica stays, and half of the fleet: one more could not be made up for. What is in force
    /// stays so for as long as there is a warm one.
    pub(crate) fn heed_out(
        &mut self,
        id: ReplicaId,
        w: &Wished,
        left: &mut (usize, usize, usize),
    ) -> OverrideStatus {
        let Some(s) = self.replicas.get(&id).filter(|s| s.listed || s.out) else { return Absent };
        let good = left.0 > usize::from(self.is_good(s));
        let missing = left.2 + usize::from(!s.out && !self.is_sick(s));
        let again = w.stood_back.is_some_and(|at| self.now - at < SICK_FOR);
        let out = s.state == ReplicaState::Draining || (good && (s.out || !(missing * 2 > left.1 || again)));
        if out && !s.out {
            (left.0, left.2) = (left.0 - usize::from(self.is_good(s)), missing);
        }
        let leaves = || s.lines.iter().any(|n| self.slices[n].owners().any(|owner| owner == id));
        let heeded = match () {
            _ if !out && !good => Suspended("rule 1: no other warm server is well"),
            _ if !out && again => Suspended("rule 1: it stood back a moment ago"),
            _ if !out => Suspended("rule 1: over half of the servers would be missing"),
            _ if self.to_shut.contains_key(&id) => Waiting("rule 5: its withdrawal waits for room"),
            _ if leaves() => Waiting("its slices leave"),
            _ => InForce,
        };
        self.agenda.flee |= s.out != out;
        self.replicas.get_mut(&id).into_iter().for_each(|s| s.out = out);
        heeded
    }

    /// What a cold replica may be sent does not grow with what it counts for.
    pub(crate) fn heed_weight(&mut self, id: ReplicaId, factor: f64) -> OverrideStatus {
        let Some(s) = self.replicas.get(&id).filter(|s| s.listed) else { return Absent };
        let heeded = match () {
            _ if s.state == ReplicaState::Draining => Suspended("rule 3: the server drains"),
            _ if s.out => Suspended("the server is out of service"),
            _ if factor > 1.0 && self.is_cold(s) => Suspended("rule 4: the server is cold"),
            _ => InForce,
        };
        let factor = if heeded == InForce { factor } else { 1.0 };
        self.replicas.get_mut(&id).into_iter().for_each(|s| s.factor = factor);
        heeded
    }

    /// Brings pinned slices to their replicas, one a replica and beat; says what holds up the first of each.
    pub(crate) fn heed_pins(&mut self) -> BTreeMap<OverrideId, OverrideStatus> {
        let (mut heeded, mut pulls) = (BTreeMap::new(), BTreeMap::new());
        for (first, last, (to, id)) in self.pins.ranges() {
            for (n, slice) in self.slices.range(first..=last) {
                let how = self.heed_pin(*n, slice, to, id);
                let seen = heeded.entry(id).or_insert(InForce);
                *seen = if *seen == InForce { how } else { *seen };
                _ = (how == Waiting(PULLS)).then(|| pulls.entry(to).or_insert((*n, id)));
            }
        }
        for (to, (n, id)) in pulls {
            let others: Vec<_> = self.slices[&n].owners().filter(|owner| *owner != to).collect();
            others.iter().skip(1).for_each(|other| self.reline(n, Some(*other), None, Priority::Calm));
            self.hand_over(n, others.first().copied().unwrap_or(to), to, Priority::Calm);
            self.slices.get_mut(&n).into_iter().for_each(|s| s.note_pull(id));
        }
        heeded
    }

    /// What the rules take from its pin comes back later each time: no flapping.
    pub(crate) fn heed_pin(
        &self,
        n: SliceId,
        slice: &Slice,
        to: ReplicaId,
        id: OverrideId,
    ) -> OverrideStatus {
        let wait = ACK_WAIT.times(slice.pulls(id).min(MOST_PULLS));
        let Some(s) = self.replicas.get(&to).filter(|s| s.listed) else { return Absent };
        match () {
            _ if s.state == ReplicaState::Draining => Suspended("rule 3: the server drains"),
            _ if s.out => Suspended("the server is out of service"),
            _ if self.is_sick(s) || s.shut => Suspended("rule 1: the server is sick or withdrawn"),
            _ if self.is_at_pin(n, slice) && slice.is_told() => InForce,
            _ if self.is_at_pin(n, slice) => Waiting("rule 5: orders wait for room"),
            _ if slice.version.is_some() => Waiting("an earlier change is not acked yet"),
            _ if self.now - slice.settled < wait => Waiting("it had to leave lately"),
            _ if s.strain >= EASED => Suspended("the server answers late"),
            _ if !self.may_take(s, slice.load.max(slice.press)) => Suspended("rule 4: the server is cold"),
            _ => Waiting(PULLS),
        }
    }
}
