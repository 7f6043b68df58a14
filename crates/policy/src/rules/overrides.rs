//! Operators' overrides.

use crate::api::OverrideStatus::{Absent, InForce, Suspended, Waiting};
use crate::api::{OverrideId, OverrideSpec, OverrideStatus, ReplicaId, ReplicaState, SliceId};
use crate::measure::admission::QUICK_RATIO;
use crate::rules::acknowledgements::ACK_WAIT;
use crate::rules::outlier_ejection::OUTLIER_EJECTION;
use crate::state::controller::{ControllerState, OverrideEntry};
use crate::state::replica::Replica;
use crate::state::slice::{Priority, Slice};
use std::collections::BTreeMap;
use std::mem::take;

pub(crate) const MAX_PIN_BACKOFF_STEPS: f64 = 12.0;
pub(crate) const MOVING_TO_PIN: &str = "its slices come";

impl ControllerState {
    /// What operators override, as far as the rules let it; what had to stand back comes into force again by
    /// itself, but not at once.
    pub(crate) fn apply_overrides(&mut self) -> bool {
        if !take(&mut self.pending_work.overrides) || self.overrides.is_empty() {
            return false;
        }
        let (pins, mut wishes) = (self.apply_pins(), take(&mut self.overrides));
        let missing = |s: &Replica| s.is_ready() && (s.out_of_service || self.is_ejected(s));
        let mut left = (
            self.count_replicas(|s| self.is_usable_and_warm(s)),
            self.count_replicas(Replica::is_ready),
            self.count_replicas(missing),
        );
        for (id, w) in &mut wishes {
            let was = w.status;
            w.status = match w.spec {
                OverrideSpec::Out { replica } => self.apply_out_of_service(replica, w, &mut left),
                OverrideSpec::Weight { replica, factor } => self.apply_weight(replica, factor),
                OverrideSpec::Pin { .. } => {
                    pins.get(id).copied().unwrap_or(Waiting("no slice of it is ours"))
                }
            };
            let back = matches!((was, w.status), (InForce | Waiting(_), Suspended(_)));
            w.suspended_at = if back { Some(self.now) } else { w.suspended_at };
        }
        self.overrides = wishes;
        true
    }

    /// Where a warm replica stays, and half of the fleet: one more could not be made up for. What is in force
    /// stays so for as long as there is a warm one.
    pub(crate) fn apply_out_of_service(
        &mut self,
        id: ReplicaId,
        w: &OverrideEntry,
        left: &mut (usize, usize, usize),
    ) -> OverrideStatus {
        let Some(s) = self.replicas.get(&id).filter(|s| s.listed || s.out_of_service) else { return Absent };
        let good = left.0 > usize::from(self.is_usable_and_warm(s));
        let missing = left.2 + usize::from(!s.out_of_service && !self.is_ejected(s));
        let again = w.suspended_at.is_some_and(|at| self.now - at < OUTLIER_EJECTION);
        let out = s.state == ReplicaState::Draining
            || (good && (s.out_of_service || !(missing * 2 > left.1 || again)));
        if out && !s.out_of_service {
            (left.0, left.2) = (left.0 - usize::from(self.is_usable_and_warm(s)), missing);
        }
        let leaves = || s.slices.iter().any(|n| self.slices[n].owners().any(|owner| owner == id));
        let heeded = match () {
            _ if !out && !good => Suspended("rule 1: no other warm server is well"),
            _ if !out && again => Suspended("rule 1: it stood back a moment ago"),
            _ if !out => Suspended("rule 1: over half of the servers would be missing"),
            _ if self.pending_withdrawals.contains_key(&id) => {
                Waiting("rule 5: its withdrawal waits for room")
            }
            _ if leaves() => Waiting("its slices leave"),
            _ => InForce,
        };
        self.pending_work.evacuation |= s.out_of_service != out;
        self.replicas.get_mut(&id).into_iter().for_each(|s| s.out_of_service = out);
        heeded
    }

    /// What a cold replica may be sent does not grow with what it counts for.
    pub(crate) fn apply_weight(&mut self, id: ReplicaId, factor: f64) -> OverrideStatus {
        let Some(s) = self.replicas.get(&id).filter(|s| s.listed) else { return Absent };
        let heeded = match () {
            _ if s.state == ReplicaState::Draining => Suspended("rule 3: the server drains"),
            _ if s.out_of_service => Suspended("the server is out of service"),
            _ if factor > 1.0 && self.is_cold(s) => Suspended("rule 4: the server is cold"),
            _ => InForce,
        };
        let factor = if heeded == InForce { factor } else { 1.0 };
        self.replicas.get_mut(&id).into_iter().for_each(|s| s.weight_factor = factor);
        heeded
    }

    /// Brings pinned slices to their replicas, one a replica and beat; says what holds up the first of each.
    pub(crate) fn apply_pins(&mut self) -> BTreeMap<OverrideId, OverrideStatus> {
        let (mut heeded, mut pulls) = (BTreeMap::new(), BTreeMap::new());
        for (first, last, (to, id)) in self.pins.ranges() {
            for (n, slice) in self.slices.range(first..=last) {
                let how = self.pin_status(*n, slice, to, id);
                let seen = heeded.entry(id).or_insert(InForce);
                *seen = if *seen == InForce { how } else { *seen };
                _ = (how == Waiting(MOVING_TO_PIN)).then(|| pulls.entry(to).or_insert((*n, id)));
            }
        }
        for (to, (n, id)) in pulls {
            let others: Vec<_> = self.slices[&n].owners().filter(|owner| *owner != to).collect();
            others
                .iter()
                .skip(1)
                .for_each(|other| self.replace_endpoint(n, Some(*other), None, Priority::Calm));
            self.move_slice(n, others.first().copied().unwrap_or(to), to, Priority::Calm);
            self.slices.get_mut(&n).into_iter().for_each(|s| s.record_pin_move(id));
        }
        heeded
    }

    /// What the rules take from its pin comes back later each time: no flapping.
    pub(crate) fn pin_status(
        &self,
        n: SliceId,
        slice: &Slice,
        to: ReplicaId,
        id: OverrideId,
    ) -> OverrideStatus {
        let wait = ACK_WAIT.times(slice.pin_move_count(id).min(MAX_PIN_BACKOFF_STEPS));
        let Some(s) = self.replicas.get(&to).filter(|s| s.listed) else { return Absent };
        match () {
            _ if s.state == ReplicaState::Draining => Suspended("rule 3: the server drains"),
            _ if s.out_of_service => Suspended("the server is out of service"),
            _ if self.is_ejected(s) || s.withdrawn => Suspended("rule 1: the server is sick or withdrawn"),
            _ if self.is_at_pin(n, slice) && slice.is_fully_applied() => InForce,
            _ if self.is_at_pin(n, slice) => Waiting("rule 5: orders wait for room"),
            _ if slice.awaited_version.is_some() => Waiting("an earlier change is not acked yet"),
            _ if self.now - slice.settled_at < wait => Waiting("it had to leave lately"),
            _ if s.latency_ratio >= QUICK_RATIO => Suspended("the server answers late"),
            _ if !self.may_take(s, slice.load.max(slice.demand)) => Suspended("rule 4: the server is cold"),
            _ => Waiting(MOVING_TO_PIN),
        }
    }
}
