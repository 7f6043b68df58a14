//! The ordinary path: DDMC.

use crate::api::{ReplicaId, ReportFlow, SliceId};
use crate::measure::admission::EASED;
use crate::state::fleet::Policy;
use crate::state::replica::Replica;
use crate::state::schedule::ROUND;
use crate::state::slice::Priority;

pub(crate) const OMEGA: f64 = 0.8;
pub(crate) const DELTA: f64 = 0.3;
pub(crate) const ROUNDS_OUTSIDE: i32 = 3;

impl Policy {
    pub(crate) fn open_round(&mut self) -> bool {
        if self.due.round > self.now || self.report_flow == ReportFlow::Interrupted {
            return false;
        }
        self.due.round = self.now + ROUND;
        (self.agenda.shift, self.agenda.ration) = (true, self.site.admission_supported);
        for s in self.replicas.values_mut() {
            let (low, high) = self.picture.band(s);
            let side = i32::from(s.level() > high) - i32::from(s.level() < low);
            (s.used, s.outside) = (false, if side * s.outside > 0 { s.outside + side } else { side });
        }
        true
    }

    /// One move or swap of the ordinary path.
    pub(crate) fn shift(&mut self) -> bool {
        if !self.agenda.shift {
            return false;
        }
        let found = self.find_return().map(|one| vec![one]).or_else(|| self.find_shift());
        self.agenda.shift = found.is_some();
        for (n, from, to) in found.into_iter().flatten() {
            self.hand_over(n, from, to, Priority::Calm);
            _ = self.replicas.get_mut(&from).map(|s| s.used = true);
        }
        true
    }

    pub(crate) fn find_shift(&self) -> Option<Vec<(SliceId, ReplicaId, ReplicaId)>> {
        let (low, high) = (|s: &Replica| self.picture.band(s).0, |s: &Replica| self.picture.band(s).1);
        let idle = |s: &Replica| self.is_fit(s) && !s.used && self.may_shed(s);
        let is_heavy = |s: &Replica| s.outside >= ROUNDS_OUTSIDE && idle(s) && s.level() > high(s);
        let mut heavy: Vec<_> = self.replicas.iter().filter(|(_, s)| is_heavy(s)).collect();
        heavy.sort_by(|a, b| b.1.level().total_cmp(&a.1.level()));
        // One that operators made small is heavy though nobody is light.
        let (top, made_small) = heavy.first().map(|(_, s)| (s.level(), s.factor < 1.0))?;
        heavy.truncate(if made_small { 1 } else { heavy.len() });
        let easy = |s: &Replica| self.may_take(s, 0.0) && s.strain < EASED;
        let below = |s: &Replica| -s.outside >= ROUNDS_OUTSIDE && s.level() < low(s);
        let is_light = |s: &Replica| idle(s) && (below(s) || (made_small && s.level() < high(s))) && easy(s);
        let light = self.replicas.iter().filter(|(_, s)| is_light(s));
        let (to, dest) = light.max_by(|a, b| self.room(a.1).total_cmp(&self.room(b.1)))?;
        for (from, source) in heavy {
            let damped = |moves: u32| OMEGA.powi(moves as i32) * source.level() / top > DELTA;
            let fits = |net: f64| {
                net > 0.0
                    && source.level() - net / source.power >= low(source)
                    && dest.level() + net / dest.power <= high(dest)
                    && self.may_take(dest, net)
            };
            let mine = self.free_slices(*from, source);
            if let Some((n, ..)) = mine.iter().find(|(_, load, moves)| damped(*moves) && fits(*load)) {
                return Some(vec![(*n, *from, *to)]);
            }
            let theirs = self.free_slices(*to, dest);
            for (n, load, _) in mine.iter().filter(|(.., moves)| damped(*moves)) {
                let back = theirs.iter().rev().find(|(_, other, moves)| damped(*moves) && fits(load - other));
                if let Some((m, ..)) = back {
                    return Some(vec![(*n, *from, *to), (*m, *to, *from)]);
                }
            }
        }
        None
    }
}
