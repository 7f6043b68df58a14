//! Replicas in a canonical order, and what part of a subset each zone and each group makes.

use crate::hashing::{dithered, lot};
use crate::planner::{Parameters, Replica, FEWEST_CONTROLLERS};
use std::collections::BTreeMap;

/// The room that a controller has beyond the average, so that replicas find controllers near the head of their order.
const SLACK: f64 = 1.125;
/// Of its average part of a zone or group, a controller has at least this fraction.
const FLOOR_SHARE: f64 = 0.5;

/// Replicas in an order that does not depend on how they were given, each id once.
pub(crate) fn canonical<'a>(replicas: &[Replica<'a>]) -> Vec<Replica<'a>> {
    let mut sorted: Vec<_> =
        replicas.iter().map(|replica| Replica { weight: weight(replica), ..*replica }).collect();
    sorted.sort_unstable_by(|one, other| {
        let names = |replica: &Replica<'a>| (replica.id, replica.zone, replica.group);
        names(one).cmp(&names(other)).then(one.weight.total_cmp(&other.weight))
    });
    sorted.dedup_by(|later, earlier| later.id == earlier.id);
    sorted
}

/// A weight that is none counts as the usual one.
fn weight(replica: &Replica) -> f64 {
    if replica.weight.is_finite() && replica.weight > 0.0 {
        replica.weight
    } else {
        1.0
    }
}

/// How many controllers each replica is to have.
pub(crate) fn demands(replicas: &[Replica], controllers: usize, parameters: &Parameters) -> Vec<usize> {
    let fewest = controllers.min(FEWEST_CONTROLLERS);
    if parameters.subset_size >= replicas.len() {
        return vec![controllers; replicas.len()];
    }
    let total: f64 = replicas.iter().map(|replica| replica.weight).sum();
    let pairs = parameters.subset_size as f64 * controllers as f64;
    let demand = |replica: &Replica| {
        let wished = (pairs * replica.weight / total).clamp(fewest as f64, controllers as f64);
        dithered(wished, lot(replica.id)).min(controllers)
    };
    replicas.iter().map(demand).collect()
}

/// The replicas of one zone, or of one group, by their positions in the canonical order.
pub(crate) struct Stratum {
    pub members: Vec<usize>,
    /// The average number of them in a subset.
    average: f64,
}

impl Stratum {
    /// The most of them in the subset of the controller with this lot. It exceeds the average times the slack.
    pub fn capacity(&self, lot: f64) -> usize {
        1 + dithered(self.average * SLACK, lot)
    }

    /// The most of them in any subset.
    pub fn largest_capacity(&self) -> usize {
        self.capacity(0.0).min(self.members.len())
    }

    /// The fewest of them in the subset of the controller with this lot, for a zone. Every controller has one of them
    /// where the average is at least one.
    pub fn zone_floor(&self, lot: f64) -> usize {
        let presence = (2.0 * self.average - 1.0).clamp(0.0, 1.0);
        self.floor(presence.max(self.average * FLOOR_SHARE), lot)
    }

    /// The same for a group. There may be more groups than a subset has room for: every controller has one of them
    /// only where the average is at least four.
    pub fn group_floor(&self, lot: f64) -> usize {
        self.floor((self.average * FLOOR_SHARE - 1.0).max(0.0), lot)
    }

    fn floor(&self, wished: f64, lot: f64) -> usize {
        dithered(wished, lot).min(self.members.len())
    }
}

/// Strata by a name of the replicas.
pub(crate) fn strata<'a>(
    replicas: &[Replica<'a>],
    demands: &[usize],
    controllers: usize,
    name: impl Fn(&Replica<'a>) -> &'a str,
) -> Vec<Stratum> {
    let mut by_name: BTreeMap<&str, Vec<usize>> = BTreeMap::new();
    for (index, replica) in replicas.iter().enumerate() {
        by_name.entry(name(replica)).or_default().push(index);
    }
    let stratum = |members: Vec<usize>| {
        let pairs: usize = members.iter().map(|member| demands[*member]).sum();
        Stratum { members, average: pairs as f64 / controllers as f64 }
    };
    by_name.into_values().map(stratum).collect()
}
