//! Properties that hold for every assignment.

mod fleet;

use fleet::{borrow_all, membership, names, OwnedReplica};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::collections::{BTreeMap, BTreeSet};
use whinwall_subsetting::*;

const TRIALS: u64 = 300;

/// A random fleet with a random subset size.
#[derive(Clone, Debug)]
struct Fleet {
    controllers: usize,
    replicas: Vec<OwnedReplica>,
    subset_size: usize,
}

impl Arbitrary for Fleet {
    fn arbitrary(gen: &mut Gen) -> Self {
        let up_to = |gen: &mut Gen, max: usize| 1 + usize::arbitrary(gen) % max;
        let (controllers, zones, groups) = (up_to(gen, 40), up_to(gen, 9), up_to(gen, 5));
        let replica = |number: usize, gen: &mut Gen| OwnedReplica {
            id: format!("replica-{number}"),
            zone: format!("zone-{}", usize::arbitrary(gen) % zones),
            group: format!("group-{}", usize::arbitrary(gen) % groups),
            weight: *gen
                .choose(&[1.0, 1.0, 1.0, 0.5, 2.0, 8.0, 0.0, f64::NAN, f64::INFINITY])
                .expect("a choice"),
        };
        let replicas = (0..up_to(gen, 120)).map(|number| replica(number, gen)).collect();
        Fleet { controllers, replicas, subset_size: up_to(gen, 140) }
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
        Assignment::compute(&membership(self.controllers), &borrow_all(&self.replicas), &self.parameters())
    }

    fn parameters(&self) -> Parameters {
        Parameters::new(self.subset_size).expect("not 0")
    }

    fn subset_sizes(&self, assignment: &Assignment) -> Vec<usize> {
        names(self.controllers).iter().map(|name| assignment.subset_of(name).len()).collect()
    }
}

fn assert_property(property: fn(Fleet) -> bool) {
    QuickCheck::new().tests(TRIALS).quickcheck(property as fn(Fleet) -> bool);
}

#[test]
fn input_order_has_no_effect() {
    fn property(fleet: Fleet) -> bool {
        let reversed = Membership::new(names(fleet.controllers).into_iter().rev()).expect("names differ");
        let mut replicas = borrow_all(&fleet.replicas);
        replicas.reverse();
        let middle = replicas.len() / 2;
        replicas.rotate_left(middle);
        fleet.assignment() == Assignment::compute(&reversed, &replicas, &fleet.parameters())
    }
    assert_property(property);
}

#[test]
fn planner_with_cached_preferences_agrees_with_a_new_one() {
    fn property(fleet: Fleet) -> bool {
        let mut planner = Planner::new(membership(fleet.controllers), fleet.parameters());
        let all = borrow_all(&fleet.replicas);
        planner.assign(&all[all.len() / 2..]);
        planner.assign(&all[..all.len() / 3]);
        planner.assign(&all) == fleet.assignment()
    }
    assert_property(property);
}

#[test]
fn every_replica_has_at_least_two_controllers_if_the_fleet_has_two() {
    fn property(fleet: Fleet) -> bool {
        let assignment = fleet.assignment();
        let min_controllers = fleet.controllers.min(MIN_CONTROLLERS_PER_REPLICA);
        let distinct =
            |controllers: &[u32]| controllers.iter().collect::<BTreeSet<_>>().len() == controllers.len();
        let known = |controllers: &[u32]| {
            controllers.iter().all(|controller| (*controller as usize) < fleet.controllers)
        };
        assignment.replicas().count() == fleet.replicas.len()
            && assignment.replicas().all(|(_, controllers)| {
                controllers.len() >= min_controllers && distinct(controllers) && known(controllers)
            })
    }
    assert_property(property);
}

#[test]
fn subset_sizes_are_within_the_bound() {
    fn property(fleet: Fleet) -> bool {
        let assignment = fleet.assignment();
        let largest = fleet.subset_sizes(&assignment).into_iter().max().unwrap_or(0);
        fleet.controllers < STRICT_BOUND_MIN_CONTROLLERS || largest <= assignment.size_bound()
    }
    assert_property(property);
}

#[test]
fn size_bound_is_at_most_an_eighth_plus_two_replicas_per_zone_above_the_average() {
    fn property(fleet: Fleet) -> bool {
        let zones: BTreeSet<_> = fleet.replicas.iter().map(|replica| &replica.zone).collect();
        let min_controllers = fleet.controllers.min(MIN_CONTROLLERS_PER_REPLICA) * fleet.replicas.len();
        let heavy = fleet.replicas.iter().filter(|replica| replica.weight != 1.0).count();
        let pairs =
            min_controllers + (fleet.subset_size + 1) * fleet.controllers + heavy + fleet.replicas.len();
        let average = pairs as f64 / fleet.controllers as f64;
        fleet.assignment().size_bound() as f64 <= 1.125 * average + 2.0 * zones.len() as f64
    }
    assert_property(property);
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
            // Controllers below the floor of a zone get additional replicas. The average of the finished assignment
            // can therefore exceed the average from which the floor was computed.
            let enough = pairs >= 2 * fleet.controllers;
            let has =
                |name: &String| members.iter().any(|member| assignment.position(member, name).is_some());
            !enough || names(fleet.controllers).iter().all(has)
        })
    }
    assert_property(property);
}

#[test]
fn subset_size_of_the_whole_registry_assigns_every_replica_to_every_controller() {
    fn property(fleet: Fleet) -> bool {
        let fleet = Fleet { subset_size: fleet.replicas.len(), ..fleet };
        let assignment = fleet.assignment();
        fleet.subset_sizes(&assignment).iter().all(|size| *size == fleet.replicas.len())
    }
    assert_property(property);
}

#[test]
fn positions_follow_the_rendezvous_order() {
    fn property(fleet: Fleet) -> bool {
        let assignment = fleet.assignment();
        let ordered = |(replica, controllers): (&str, &[u32])| {
            let named: Vec<_> = controllers
                .iter()
                .filter_map(|controller| assignment.membership().name(*controller as usize))
                .collect();
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
    assert_property(property);
}

#[test]
fn key_changes_members_only_when_its_member_leaves() {
    fn property(fleet: Fleet) -> bool {
        let all = names(fleet.controllers + 1);
        let rest: Vec<_> = all.iter().skip(1).map(String::as_str).collect();
        fleet.replicas.iter().all(|replica| {
            let before = rendezvous(&replica.id, all.iter().map(String::as_str));
            let after = rendezvous(&replica.id, rest.iter().copied());
            before == Some(all[0].as_str()) || before == after
        })
    }
    assert_property(property);
}
