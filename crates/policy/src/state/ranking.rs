//! Replicas in the order of a figure.

use crate::api::ReplicaId;
use std::collections::{BTreeMap, BTreeSet};

/// Replicas in the order of a figure, the least first; equals as their lots fall. What looks for a replica for
/// each of many slices must not go through all replicas each time.
#[derive(Default)]
pub struct Ranks {
    order: BTreeSet<(i64, i64, ReplicaId)>,
    zones: BTreeMap<ReplicaId, (i64, i64)>,
}
/// Whole numbers in the order of the figures.
pub(crate) fn ordered(figure: f64) -> i64 {
    let bits = figure.to_bits() as i64;
    bits ^ (((bits >> 63) as u64) >> 1) as i64
}

impl Ranks {
    pub fn put(&mut self, id: ReplicaId, figure: f64, lot: f64) {
        let zone = (ordered(figure), ordered(lot));
        if let Some((figure, lot)) = self.zones.insert(id, zone) {
            self.order.remove(&(figure, lot, id));
        }
        self.order.insert((zone.0, zone.1, id));
    }

    pub fn first(&self, keep: impl Fn(&ReplicaId) -> bool) -> Option<ReplicaId> {
        self.order.iter().map(|(.., id)| id).find(|id| keep(id)).copied()
    }
}

#[derive(Default)]
pub struct AllRanks {
    pub by_room: Ranks,
    pub by_level: Ranks,
    pub by_standing_by: Ranks,
}
