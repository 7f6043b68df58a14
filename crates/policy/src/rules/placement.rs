//! Which replica a slice may move to.

use crate::api::{ReplicaId, SliceId};
use crate::state::controller::ControllerState;
use crate::state::ranking::Ranking;
use crate::state::replica::Replica;
use crate::state::slice::{Priority, Slice, FULL_WEIGHT};
use crate::time::Span;

pub(crate) const FRESH_PERIOD: Span = Span::ms(30_000);
/// How far a search for another replica may go.
#[derive(Clone, Copy)]
pub(crate) enum RefugeScope {
    WithCapacity,
    AnyWarm,
    Any,
}

impl ControllerState {
    pub(crate) fn may_take(&self, s: &Replica, load: f64) -> bool {
        let fresh = s.started.is_some_and(|at| self.now - at < FRESH_PERIOD);
        self.is_usable(s)
            && self.holds_claim(s)
            && !(fresh && s.moved_this_round)
            && s.demand + load <= self.slow_start_budget(s)
    }

    /// Most room under AvgL+phi, else the least loaded; a bad replica only where there is no good one.
    pub(crate) fn find_refuge(&self, slice: &Slice, load: f64, need: RefugeScope) -> Option<ReplicaId> {
        let owns = |id: &ReplicaId| slice.desired.contains_key(id) && !slice.is_standby(id);
        let first = |ranks: &Ranking, keep: &dyn Fn(&Replica) -> bool| {
            ranks.first(|id| !owns(id) && self.replicas.get(id).is_some_and(keep))
        };
        // What comes with repeats, not the load alone, is what would push a cold one over.
        let takes = |s: &Replica| self.may_take(s, load.max(slice.demand));
        let roomy =
            first(&self.rankings.by_headroom, &|s| takes(s) && self.has_headroom_if_shared(need, s, load));
        if roomy.is_some_and(|id| self.averages.headroom(&self.replicas[&id]) >= load) {
            return roomy;
        }
        let fit = self.usable_or_escape(need, first(&self.rankings.by_utilization, &takes), load, &owns);
        // With no fit one, a full warm replica still beats a cold one, which would fall over (rule 4).
        let well = || first(&self.rankings.by_utilization, &|s| self.is_usable_and_warm(s));
        let ready = self.replicas.iter().filter(|(id, s)| !owns(id) && s.is_selectable());
        let pushed = |s: &Replica| (s.demand + slice.demand.max(load)) / self.slow_start_budget(s).max(0.001);
        let least = || ready.min_by(|a, b| pushed(a.1).total_cmp(&pushed(b.1))).map(|(id, _)| *id);
        match need {
            RefugeScope::WithCapacity => fit,
            RefugeScope::AnyWarm => fit.or_else(well),
            RefugeScope::Any => fit.or_else(well).or_else(least),
        }
    }

    pub(crate) fn move_slice(&mut self, n: SliceId, from: ReplicaId, to: ReplicaId, priority: Priority) {
        self.replace_owner(n, Some(from), Some((to, FULL_WEIGHT)), priority);
        self.slices.get_mut(&n).into_iter().for_each(|s| s.move_count += 1);
        self.replicas.get_mut(&to).into_iter().for_each(|s| s.moved_this_round = true);
    }

    /// Whether a claimed replica has room for all of it; to escapes it is preferred up to the average only, lest those
    /// whose claimants have much to place are filled before the others.
    pub(crate) fn has_headroom_if_shared(&self, need: RefugeScope, s: &Replica, load: f64) -> bool {
        let preferred =
            || matches!(need, RefugeScope::WithCapacity) || s.utilization() < self.averages.utilization;
        !self.sharing.is_active || (self.averages.headroom(s) >= load && preferred())
    }

    /// The fit replica that was found, or, where a slice must leave one that is shared, a better way out.
    pub(crate) fn usable_or_escape(
        &self,
        need: RefugeScope,
        fit: Option<ReplicaId>,
        load: f64,
        owns: &dyn Fn(&ReplicaId) -> bool,
    ) -> Option<ReplicaId> {
        let escapes = self.sharing.is_active && !matches!(need, RefugeScope::WithCapacity);
        escapes.then(|| self.shared_escape(load, owns)).flatten().or(fit)
    }

    /// A warm replica of the subset with room, or the least loaded by draw, whoever holds the claim on it; where the
    /// subset has no warm one that is fit, a warm one of other controllers.
    pub(crate) fn shared_escape(&self, load: f64, owns: &dyn Fn(&ReplicaId) -> bool) -> Option<ReplicaId> {
        let good =
            |id: &ReplicaId| !owns(id) && self.replicas.get(id).is_some_and(|s| self.is_usable_and_warm(s));
        let roomy = |id: &ReplicaId| good(id) && self.averages.headroom(&self.replicas[id]) >= load;
        let own =
            || self.rankings.by_headroom.first(roomy).or_else(|| self.rankings.by_utilization.first(good));
        own().or_else(|| self.foreign_escape(owns))
    }

    pub(crate) fn foreign_escape(&self, owns: &dyn Fn(&ReplicaId) -> bool) -> Option<ReplicaId> {
        let well =
            |s: &Replica| s.is_steered_by_others() && s.is_ready() && !s.withdrawn && !s.out_of_service;
        let warm = |s: &Replica| well(s) && !self.is_ejected(s) && !self.is_cold(s);
        let able = self.replicas.iter().filter(|(id, s)| warm(s) && !owns(id));
        able.min_by(|a, b| a.1.shared.round_draw.total_cmp(&b.1.shared.round_draw)).map(|(id, _)| *id)
    }
}
