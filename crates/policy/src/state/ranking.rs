//! Replicas ordered by a value, so that the search for a destination of each of many slices does not have to scan
//! all replicas.

use crate::api::ReplicaId;
use std::collections::{BTreeMap, BTreeSet};

/// A replica's position in a ranking: its value, then its tie breaker, both as integers of the same order.
type Rank = (i64, i64);

/// Replicas in ascending order of a value, then of their tie breakers.
#[derive(Default)]
pub(crate) struct Ranking {
    order: BTreeSet<(i64, i64, ReplicaId)>,
    by_replica: BTreeMap<ReplicaId, Rank>,
}

impl Ranking {
    /// Inserts a replica, or moves it to its new position.
    pub(crate) fn insert(&mut self, id: ReplicaId, value: f64, tie_breaker: f64) {
        let rank = (order_preserving_bits(value), order_preserving_bits(tie_breaker));
        if let Some((value, tie_breaker)) = self.by_replica.insert(id, rank) {
            self.order.remove(&(value, tie_breaker, id));
        }
        self.order.insert((rank.0, rank.1, id));
    }

    /// Returns the first replica that `accepts` returns true for.
    pub(crate) fn first(&self, accepts: impl Fn(&ReplicaId) -> bool) -> Option<ReplicaId> {
        self.order.iter().map(|(.., id)| id).find(|id| accepts(id)).copied()
    }
}

/// Returns an integer that has the same order as the floating point value.
fn order_preserving_bits(value: f64) -> i64 {
    let bits = value.to_bits() as i64;
    bits ^ (((bits >> 63) as u64) >> 1) as i64
}

/// The rankings of all replicas that may be chosen.
#[derive(Default)]
pub(crate) struct Rankings {
    /// By headroom, highest first.
    pub by_headroom: Ranking,
    /// By utilization, lowest first.
    pub by_utilization: Ranking,
    /// By standby endpoints per capacity, lowest first.
    pub by_standby_load: Ranking,
}
