//! Canonical order and demands of replicas, and the capacities and floors of each zone and group in a subset.

use crate::hashing::{dither, stable_fraction};
use crate::parameters::{Parameters, Replica, MIN_CONTROLLERS_PER_REPLICA};
use std::collections::BTreeMap;

/// Capacity of a controller relative to the average. The margin lets replicas match with controllers near the head of
/// their preference lists.
const CAPACITY_FACTOR: f64 = 1.125;
/// Minimum number of replicas of a zone or group in a subset, relative to the average.
const FLOOR_FACTOR: f64 = 0.5;

/// Returns the replicas in an order that is independent of the input order, without duplicate ids.
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

/// Returns the weight, or the default of 1 if the weight is invalid.
fn valid_weight(replica: &Replica) -> f64 {
    if replica.weight.is_finite() && replica.weight > 0.0 {
        replica.weight
    } else {
        1.0
    }
}

/// Returns the number of controllers that each replica needs.
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

/// The replicas of one zone or one group, as positions in the canonical order.
pub(crate) struct Stratum {
    pub members: Vec<usize>,
    /// The average number of these replicas in a subset.
    average: f64,
}

impl Stratum {
    /// Returns the maximum number of these replicas in the subset of the controller with this stable fraction.
    pub fn capacity(&self, fraction: f64) -> usize {
        1 + dither(self.average * CAPACITY_FACTOR, fraction)
    }

    /// Returns the maximum number of these replicas in any subset.
    pub fn largest_capacity(&self) -> usize {
        self.capacity(0.0).min(self.members.len())
    }

    /// Returns the minimum number of replicas of a zone in the subset of the controller with this stable fraction. It
    /// is at least one if the average is at least one.
    pub fn zone_floor(&self, fraction: f64) -> usize {
        let presence = (2.0 * self.average - 1.0).clamp(0.0, 1.0);
        self.floor(presence.max(self.average * FLOOR_FACTOR), fraction)
    }

    /// Returns the minimum number of replicas of a group in the subset of the controller with this stable fraction.
    /// There may be more groups than replicas in a subset, so the minimum is at least one only if the average is at
    /// least four.
    pub fn group_floor(&self, fraction: f64) -> usize {
        self.floor((self.average * FLOOR_FACTOR - 1.0).max(0.0), fraction)
    }

    fn floor(&self, desired: f64, fraction: f64) -> usize {
        dither(desired, fraction).min(self.members.len())
    }
}

/// Groups the replicas by the name of their zone or group.
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
