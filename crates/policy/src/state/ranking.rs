//! Replicas in the order of a figure.

use crate::api::ReplicaId;
use std::collections::{BTreeMap, BTreeSet};

/// Replicas in the order of a figure, the least first; equals as their lots fall. What looks for a replica for
/// each of many slices must not go through all replicas each time.
#[derive(Default)]
pub struct Ranking {
    order: BTreeSet<(i64, i64, ReplicaId)>,
    positions: BTreeMap<ReplicaId, (i64, i64)>,
}
/// Whole numbers in the order of the figures.
pub(crate) fn ordered(figure: f64) -> i64 {
    let bits = figure.to_bits() as i64;
    bits ^ (((bits >> 63) as u64) >> 1) as i64
}

impl Ranking {
    pub fn insert(&mut self, id: ReplicaId, figure: f64, lot: f64) {
        let position = (ordered(figure), ordered(lot));
        if let Some((figure, lot)) = self.positions.insert(id, position) {
            self.order.remove(&(figure, lot, id));
        }
        self.order.insert((position.0, position.1, id));
    }

    pub fn first(&self, keep: impl Fn(&ReplicaId) -> bool) -> Option<ReplicaId> {
        self.order.iter().map(|(.., id)| id).find(|id| keep(id)).copied()
    }
}

#[derive(Default)]
pub struct Rankings {
    pub by_headroom: Ranking,
    pub by_utilization: Ranking,
    pub by_standby_load: Ranking,
}
