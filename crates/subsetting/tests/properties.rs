//! What holds for every fleet.

mod fleet;

use fleet::{lend, membership, names, OwnedReplica};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::collections::{BTreeMap, BTreeSet};
use whinwall_subsetting::*;

const TRIALS: u64 = 300;

/// A fleet of any shape, with every size of subset.
#[derive(Clone, Debug)]
struct Fleet {
    controllers: usize,
    replicas: Vec<OwnedReplica>,
    subset_size: usize,
}

impl Arbitrary for Fleet {
    fn arbitrary(g: &mut Gen) -> Self {
        let up_to = |g: &mut Gen, most: usize| 1 + usize::arbitrary(g) % most;
        let (controllers, zones, groups) = (up_to(g, 40), up_to(g, 9), up_to(g, 5));
        let replica = |number: usize, g: &mut Gen| OwnedReplica {
            id: format!("replica-{number}"),
            zone: format!("zone-{}", usize::arbitrary(g) % zones),
            group: format!("group-{}", usize::arbitrary(g) % groups),
            weight: *g
                .choose(&[1.0, 1.0, 1.0, 0.5, 2.0, 8.0, 0.0, f64::NAN, f64::INFINITY])
                .expect("a choice"),
        };
        let replicas = (0..up_to(g, 120)).map(|number| replica(number, g)).collect();
        Fleet { controllers, replicas, subset_size: up_to(g, 140) }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let fleet = self.clone();
        let fewer_replicas = (self.replicas.len() > 1).then(|| {
            let replicas = fleet.replicas[..fleet.replicas.len() / 2].to_vec();
            Fleet { replicas, ..fleet.clone() }
        });
        let fewer_controllers =
            (self.controllers > 1).then(|| Fleet { controllers: fleet.controllers - 1, ..fleet.clone() });
        Box::new(fewer_replicas.into_iter().chain(fewer_controllers))
    }
}

impl Fleet {
    fn assignment(&self) -> Assignment {
        Assignment::compute(&membership(self.controllers), &lend(&self.replicas), &self.parameters())
    }

    fn parameters(&self) -> Parameters {
        Parameters::new(self.subset_size).expect("not 0")
    }

    fn subset_sizes(&self, assignment: &Assignment) -> Vec<usize> {
        names(self.controllers).iter().map(|name| assignment.subset_of(name).len()).collect()
    }
}

fn check(property: fn(Fleet) -> bool) {
    QuickCheck::new().tests(TRIALS).quickcheck(property as fn(Fleet) -> bool);
}

#[test]
fn the_order_of_the_input_has_no_effect() {
    fn property(fleet: Fleet) -> bool {
        let turned = Membership::new(names(fleet.controllers).into_iter().rev()).expect("names differ");
        let mut replicas = lend(&fleet.replicas);
        replicas.reverse();
        let mid = replicas.len() / 2;
        replicas.rotate_left(mid);
        fleet.assignment() == Assignment::compute(&turned, &replicas, &fleet.parameters())
    }
    check(property);
}

#[test]
fn a_planner_that_has_seen_other_registries_agrees_with_a_new_one() {
    fn property(fleet: Fleet) -> bool {
        let mut planner = Planner::new(membership(fleet.controllers), fleet.parameters());
        let all = lend(&fleet.replicas);
        planner.assign(&all[all.len() / 2..]);
        planner.assign(&all[..all.len() / 3]);
        planner.assign(&all) == fleet.assignment()
    }
    check(property);
}

#[test]
fn every_replica_has_controllers_and_two_where_the_fleet_has_them() {
    fn property(fleet: Fleet) -> bool {
        let assignment = fleet.assignment();
        let fewest = fleet.controllers.min(FEWEST_CONTROLLERS);
        let distinct =
            |controllers: &[u32]| controllers.iter().collect::<BTreeSet<_>>().len() == controllers.len();
        let known = |controllers: &[u32]| controllers.iter().all(|one| (*one as usize) < fleet.controllers);
        assignment.replicas().count() == fleet.replicas.len()
            && assignment.replicas().all(|(_, controllers)| {
                controllers.len() >= fewest && distinct(controllers) && known(controllers)
            })
    }
    check(property);
}

#[test]
fn no_subset_exceeds_the_bound() {
    fn property(fleet: Fleet) -> bool {
        let assignment = fleet.assignment();
        let largest = fleet.subset_sizes(&assignment).into_iter().max().unwrap_or(0);
        fleet.controllers < STRICT_BOUND_FROM || largest <= assignment.size_bound()
    }
    check(property);
}

#[test]
fn the_bound_is_an_eighth_and_two_replicas_a_zone_above_the_average() {
    fn property(fleet: Fleet) -> bool {
        let zones: BTreeSet<_> = fleet.replicas.iter().map(|replica| &replica.zone).collect();
        let fewest = fleet.controllers.min(FEWEST_CONTROLLERS) * fleet.replicas.len();
        let heavy = fleet.replicas.iter().filter(|replica| replica.weight != 1.0).count();
        let pairs = fewest + (fleet.subset_size + 1) * fleet.controllers + heavy + fleet.replicas.len();
        let average = pairs as f64 / fleet.controllers as f64;
        fleet.assignment().size_bound() as f64 <= 1.125 * average + 2.0 * zones.len() as f64
    }
    check(property);
}

#[test]
fn every_controller_has_replicas_of_each_zone_that_has_enough() {
    fn property(fleet: Fleet) -> bool {
        let assignment = fleet.assignment();
        let mut zones: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
        for replica in &fleet.replicas {
            zones.entry(&replica.zone).or_default().push(&replica.id);
        }
        zones.values().all(|members| {
            let pairs: usize = members.iter().map(|member| assignment.controllers_of(member).len()).sum();
            // A controller that lacks a zone is given more: the average may exceed what made the floor by this.
            let enough = pairs >= 2 * fleet.controllers;
            let has =
                |name: &String| members.iter().any(|member| assignment.position(member, name).is_some());
            !enough || names(fleet.controllers).iter().all(has)
        })
    }
    check(property);
}

#[test]
fn a_subset_as_large_as_the_registry_is_the_registry() {
    fn property(fleet: Fleet) -> bool {
        let fleet = Fleet { subset_size: fleet.replicas.len(), ..fleet };
        let assignment = fleet.assignment();
        fleet.subset_sizes(&assignment).iter().all(|size| *size == fleet.replicas.len())
    }
    check(property);
}

#[test]
fn positions_are_the_rendezvous_order() {
    fn property(fleet: Fleet) -> bool {
        let assignment = fleet.assignment();
        let ordered = |(replica, controllers): (&str, &[u32])| {
            let named: Vec<_> =
                controllers.iter().filter_map(|one| assignment.membership().name(*one as usize)).collect();
            let position = |(rank, name): (usize, &&str)| {
                let expected = Position { controllers: controllers.len() as u32, position: rank as u32 };
                assignment.position(replica, name) == Some(expected)
            };
            rendezvous(replica, named.iter().copied()) == Some(named[0])
                && named.iter().enumerate().all(position)
        };
        let all = assignment.replicas().all(ordered);
        all
    }
    check(property);
}

#[test]
fn a_key_changes_members_only_where_its_own_leaves() {
    fn property(fleet: Fleet) -> bool {
        let all = names(fleet.controllers + 1);
        let rest: Vec<_> = all.iter().skip(1).map(String::as_str).collect();
        fleet.replicas.iter().all(|replica| {
            let before = rendezvous(&replica.id, all.iter().map(String::as_str));
            let after = rendezvous(&replica.id, rest.iter().copied());
            before == Some(all[0].as_str()) || before == after
        })
    }
    check(property);
}
