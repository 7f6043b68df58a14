//! Test fleets for the computation of subsets.
#![allow(dead_code)] // each test binary uses only some of the items

use whinwall_subsetting::{Membership, Replica};

#[derive(Clone, Debug, PartialEq)]
pub struct OwnedReplica {
    pub id: String,
    pub zone: String,
    pub group: String,
    pub weight: f64,
}

impl OwnedReplica {
    pub fn borrow(&self) -> Replica<'_> {
        Replica { id: &self.id, zone: &self.zone, group: &self.group, weight: self.weight }
    }
}

pub fn borrow_all(replicas: &[OwnedReplica]) -> Vec<Replica<'_>> {
    replicas.iter().map(OwnedReplica::borrow).collect()
}

pub fn names(controllers: usize) -> Vec<String> {
    (0..controllers).map(|number| format!("governor-{number}")).collect()
}

pub fn membership(controllers: usize) -> Membership {
    Membership::new(names(controllers)).expect("names differ")
}

/// Returns replicas of equal weight, distributed round-robin over zones and groups.
pub fn replicas(count: usize, zones: usize, groups: usize) -> Vec<OwnedReplica> {
    let replica = |number: usize| OwnedReplica {
        id: format!("replica-{number}"),
        zone: format!("zone-{}", number % zones),
        group: format!("group-{}", number / zones % groups),
        weight: 1.0,
    };
    (0..count).map(replica).collect()
}
