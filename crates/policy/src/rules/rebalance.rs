//! The ordinary path: DDMC.

use crate::api::{ReplicaId, ReportFlow, SliceId};
use crate::measure::admission::QUICK_RATIO;
use crate::state::controller::ControllerState;
use crate::state::replica::Replica;
use crate::state::schedule::ROUND;
use crate::state::slice::Priority;

pub(crate) const MOVE_DAMPING: f64 = 0.8;
pub(crate) const MOVE_THRESHOLD: f64 = 0.3;
pub(crate) const MIN_ROUNDS_OUTSIDE_BAND: i32 = 3;

impl ControllerState {
    pub(crate) fn open_round(&mut self) -> bool {
        if self.deadlines.round > self.now || self.report_flow == ReportFlow::Interrupted {
            return false;
        }
        self.deadlines.round = self.now + ROUND;
        (self.pending_work.rebalancing, self.pending_work.load_shedding) =
            (true, self.deployment.admission_supported);
        for s in self.replicas.values_mut() {
            let (low, high) = self.averages.band(s);
            let side = i32::from(s.utilization() > high) - i32::from(s.utilization() < low);
            (s.moved_this_round, s.rounds_outside_band) =
                (false, if side * s.rounds_outside_band > 0 { s.rounds_outside_band + side } else { side });
        }
        true
    }

    /// One move or swap of the ordinary path.
    pub(crate) fn rebalance(&mut self) -> bool {
        if !self.pending_work.rebalancing {
            return false;
        }
        let found = self.find_return_move().map(|one| vec![one]).or_else(|| self.find_move());
        self.pending_work.rebalancing = found.is_some();
        for (n, from, to) in found.into_iter().flatten() {
            self.move_slice(n, from, to, Priority::Calm);
            _ = self.replicas.get_mut(&from).map(|s| s.moved_this_round = true);
        }
        true
    }

    pub(crate) fn find_move(&self) -> Option<Vec<(SliceId, ReplicaId, ReplicaId)>> {
        let (low, high) = (|s: &Replica| self.averages.band(s).0, |s: &Replica| self.averages.band(s).1);
        let idle = |s: &Replica| self.is_usable(s) && !s.moved_this_round && self.may_shed(s);
        let is_heavy = |s: &Replica| {
            s.rounds_outside_band >= MIN_ROUNDS_OUTSIDE_BAND && idle(s) && s.utilization() > high(s)
        };
        let mut heavy: Vec<_> = self.replicas.iter().filter(|(_, s)| is_heavy(s)).collect();
        heavy.sort_by(|a, b| b.1.utilization().total_cmp(&a.1.utilization()));
        // One that operators made small is heavy though nobody is light.
        let (top, made_small) = heavy.first().map(|(_, s)| (s.utilization(), s.weight_factor < 1.0))?;
        heavy.truncate(if made_small { 1 } else { heavy.len() });
        let easy = |s: &Replica| self.may_take(s, 0.0) && s.latency_ratio < QUICK_RATIO;
        let below =
            |s: &Replica| -s.rounds_outside_band >= MIN_ROUNDS_OUTSIDE_BAND && s.utilization() < low(s);
        let is_light =
            |s: &Replica| idle(s) && (below(s) || (made_small && s.utilization() < high(s))) && easy(s);
        let light = self.replicas.iter().filter(|(_, s)| is_light(s));
        let (to, dest) = light.max_by(|a, b| self.headroom(a.1).total_cmp(&self.headroom(b.1)))?;
        for (from, source) in heavy {
            let damped =
                |moves: u32| MOVE_DAMPING.powi(moves as i32) * source.utilization() / top > MOVE_THRESHOLD;
            let fits = |net: f64| {
                net > 0.0
                    && source.utilization() - net / source.effective_capacity >= low(source)
                    && dest.utilization() + net / dest.effective_capacity <= high(dest)
                    && self.may_take(dest, net)
            };
            let mine = self.movable_slices(*from, source);
            if let Some((n, ..)) = mine.iter().find(|(_, load, moves)| damped(*moves) && fits(*load)) {
                return Some(vec![(*n, *from, *to)]);
            }
            let theirs = self.movable_slices(*to, dest);
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
