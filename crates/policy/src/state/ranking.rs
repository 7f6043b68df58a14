//! Replicas in the order of a figure, so that a search for each of many slices need not go through all replicas.

use crate::api::ReplicaId;
use std::collections::{BTreeMap, BTreeSet};

/// A replica's place in a ranking: its figure, then its tie breaker, both as integers of the same order.
type Rank = (i64, i64);

/// Replicas in the order of a figure, the least first; equal ones in the order of their tie breakers.
#[derive(Default)]
pub(crate) struct Ranking {
    order: BTreeSet<(i64, i64, ReplicaId)>,
    by_replica: BTreeMap<ReplicaId, Rank>,
}

impl Ranking {
    /// Puts a replica where this figure has it.
    pub(crate) fn insert(&mut self, id: ReplicaId, figure: f64, tie_breaker: f64) {
        let rank = (order_preserving_bits(figure), order_preserving_bits(tie_breaker));
        if let Some((figure, tie_breaker)) = self.by_replica.insert(id, rank) {
            self.order.remove(&(figure, tie_breaker, id));
        }
        self.order.insert((rank.0, rank.1, id));
    }

    /// The first replica that is accepted.
    pub(crate) fn first(&self, accepts: impl Fn(&ReplicaId) -> bool) -> Option<ReplicaId> {
        self.order.iter().map(|(.., id)| id).find(|id| accepts(id)).copied()
    }
}

/// An integer that compares with others as the figure does with other figures.
fn order_preserving_bits(figure: f64) -> i64 {
    let bits = figure.to_bits() as i64;
    bits ^ (((bits >> 63) as u64) >> 1) as i64
}

/// The rankings of all replicas that may be chosen.
#[derive(Default)]
pub(crate) struct Rankings {
    /// By headroom, the most first.
    pub by_headroom: Ranking,
    /// By utilization, the least first.
    pub by_utilization: Ranking,
    /// By standby endpoints per capacity, the fewest first.
    pub by_standby_load: Ranking,
}
