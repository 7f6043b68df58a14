//! Which replica a slice may move to.

use crate::api::{ReplicaId, SliceId};
use crate::state::fleet::Policy;
use crate::state::ranking::Ranks;
use crate::state::replica::Replica;
use crate::state::slice::{Priority, Slice, WHOLE};
use crate::time::Span;

pub(crate) const FRESH_START: Span = Span::ms(30_000);
/// How far a search for another replica may go.
#[derive(Clone, Copy)]
pub(crate) enum Need {
    Relief,
    Escape,
    Any,
}

impl Policy {
    pub(crate) fn may_take(&self, s: &Replica, load: f64) -> bool {
        let fresh = s.started.is_some_and(|at| self.now - at < FRESH_START);
        self.is_fit(s) && self.holds_claim(s) && !(fresh && s.used) && s.press + load <= self.allowance(s)
    }

    /// Most room under AvgL+phi, else the least loaded; a bad replica only where there is no good one.
    pub(crate) fn refuge(&self, slice: &Slice, load: f64, need: Need) -> Option<ReplicaId> {
        let owns = |id: &ReplicaId| slice.wanted.contains_key(id) && !slice.stands_by(id);
        let first = |ranks: &Ranks, keep: &dyn Fn(&Replica) -> bool| {
            ranks.first(|id| !owns(id) && self.replicas.get(id).is_some_and(keep))
        };
        // What comes with repeats, not the load alone, is what would push a cold one over.
        let takes = |s: &Replica| self.may_take(s, load.max(slice.press));
        let roomy = first(&self.ranks.by_room, &|s| takes(s) && self.has_room_if_shared(need, s, load));
        if roomy.is_some_and(|id| self.picture.room(&self.replicas[&id]) >= load) {
            return roomy;
        }
        let fit = self.fit_or_escape(need, first(&self.ranks.by_level, &takes), load, &owns);
        // With no fit one, a full warm replica still beats a cold one, which would fall over (rule 4).
        let well = || first(&self.ranks.by_level, &|s| self.is_good(s));
        let ready = self.replicas.iter().filter(|(id, s)| !owns(id) && s.is_open());
        let pushed = |s: &Replica| (s.press + slice.press.max(load)) / self.allowance(s).max(0.001);
        let least = || ready.min_by(|a, b| pushed(a.1).total_cmp(&pushed(b.1))).map(|(id, _)| *id);
        match need {
            Need::Relief => fit,
            Need::Escape => fit.or_else(well),
            Need::Any => fit.or_else(well).or_else(least),
        }
    }

    pub(crate) fn hand_over(&mut self, n: SliceId, from: ReplicaId, to: ReplicaId, priority: Priority) {
        self.reshape(n, Some(from), Some((to, WHOLE)), priority);
        self.slices.get_mut(&n).into_iter().for_each(|s| s.moves += 1);
        self.replicas.get_mut(&to).into_iter().for_each(|s| s.used = true);
    }

    /// Whether a claimed replica has room for all of it; to escapes it is preferred up to the average only, lest those
    /// whose claimants have much to place are filled before the others.
    pub(crate) fn has_room_if_shared(&self, need: Need, s: &Replica, load: f64) -> bool {
        let preferred = || matches!(need, Need::Relief) || s.level() < self.picture.average;
        !self.sharing.active || (self.picture.room(s) >= load && preferred())
    }

    /// The fit replica that was found, or, where a slice must leave one that is shared, a better way out.
    pub(crate) fn fit_or_escape(
        &self,
        need: Need,
        fit: Option<ReplicaId>,
        load: f64,
        owns: &dyn Fn(&ReplicaId) -> bool,
    ) -> Option<ReplicaId> {
        let escapes = self.sharing.active && !matches!(need, Need::Relief);
        escapes.then(|| self.shared_escape(load, owns)).flatten().or(fit)
    }

    /// A warm replica of the subset with room, or the least loaded by draw, whoever holds the claim on it; where the
    /// subset has no warm one that is fit, a warm one of other controllers.
    pub(crate) fn shared_escape(&self, load: f64, owns: &dyn Fn(&ReplicaId) -> bool) -> Option<ReplicaId> {
        let good = |id: &ReplicaId| !owns(id) && self.replicas.get(id).is_some_and(|s| self.is_good(s));
        let roomy = |id: &ReplicaId| good(id) && self.picture.room(&self.replicas[id]) >= load;
        let own = || self.ranks.by_room.first(roomy).or_else(|| self.ranks.by_level.first(good));
        own().or_else(|| self.foreign_escape(owns))
    }

    pub(crate) fn foreign_escape(&self, owns: &dyn Fn(&ReplicaId) -> bool) -> Option<ReplicaId> {
        let well = |s: &Replica| s.is_foreign() && s.is_ready() && !s.shut && !s.out;
        let warm = |s: &Replica| well(s) && !self.is_sick(s) && !self.is_cold(s);
        let able = self.replicas.iter().filter(|(id, s)| warm(s) && !owns(id));
        able.min_by(|a, b| a.1.shared.draw.total_cmp(&b.1.shared.draw)).map(|(id, _)| *id)
    }
}
