//! Replicas in a canonical order, how many controllers each is to have, and how much of a subset each zone and each
//! group makes.

use crate::hashing::{dither, stable_fraction};
use crate::parameters::{Parameters, Replica, MIN_CONTROLLERS_PER_REPLICA};
use std::collections::BTreeMap;

/// A controller's capacity, as a multiple of the average, so that replicas find controllers near the head of their order.
const CAPACITY_FACTOR: f64 = 1.125;
/// The least that a controller has of a zone or group, as a fraction of the average.
const FLOOR_FACTOR: f64 = 0.5;

/// Replicas in an order that does not depend on how they were given, each id once.
pub(crate) fn canonicalize<'a>(replicas: &[Replica<'a>]) -> Vec<Replica<'a>> {
    let mut sorted: Vec<_> =
        replicas.iter().map(|replica| Replica { weight: valid_weight(replica), ..*replica }).collect();
    sorted.sort_unstable_by(|left, right| {
        let names = |replica: &Replica<'a>| (replica.id, replica.zone, replica.group);
        names(left).cmp(&names(right)).then(left.weight.total_cmp(&right.weight))
    });
    sorted.dedup_by(|later, earlier| later.id == earlier.id);
    sorted
}

/// An invalid weight counts as 1, the usual one.
fn valid_weight(replica: &Replica) -> f64 {
    if replica.weight.is_finite() && replica.weight > 0.0 {
        replica.weight
    } else {
        1.0
    }
}

/// How many controllers each replica is to have.
pub(crate) fn demands(replicas: &[Replica], controllers: usize, parameters: &Parameters) -> Vec<usize> {
    let min_controllers = controllers.min(MIN_CONTROLLERS_PER_REPLICA);
    if parameters.subset_size >= replicas.len() {
        return vec![controllers; replicas.len()];
    }
    let total: f64 = replicas.iter().map(|replica| replica.weight).sum();
    let pairs = parameters.subset_size as f64 * controllers as f64;
    let demand = |replica: &Replica| {
        let desired = (pairs * replica.weight / total).clamp(min_controllers as f64, controllers as f64);
        dither(desired, stable_fraction(replica.id)).min(controllers)
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
    /// The most of them in the subset of the controller with this stable fraction.
    pub fn capacity(&self, fraction: f64) -> usize {
        1 + dither(self.average * CAPACITY_FACTOR, fraction)
    }

    /// The most of them in any subset.
    pub fn largest_capacity(&self) -> usize {
        self.capacity(0.0).min(self.members.len())
    }

    /// The fewest of them in the subset of the controller with this stable fraction, for a zone. Every controller has one of them
    /// where the average is at least one.
    pub fn zone_floor(&self, fraction: f64) -> usize {
        let presence = (2.0 * self.average - 1.0).clamp(0.0, 1.0);
        self.floor(presence.max(self.average * FLOOR_FACTOR), fraction)
    }

    /// The same for a group. There may be more groups than a subset has replicas: every controller has one of them
    /// only where the average is at least four.
    pub fn group_floor(&self, fraction: f64) -> usize {
        self.floor((self.average * FLOOR_FACTOR - 1.0).max(0.0), fraction)
    }

    fn floor(&self, desired: f64, fraction: f64) -> usize {
        dither(desired, fraction).min(self.members.len())
    }
}

/// Groups the replicas by a name, of their zone or of their group.
pub(crate) fn group_into_strata<'a>(
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
