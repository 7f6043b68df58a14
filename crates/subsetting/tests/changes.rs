//! Cost of changes of the registry and of the fleet: the number of new (replica, controller) pairs.

mod fleet;

use fleet::{borrow_all, membership, names, replicas, OwnedReplica};
use quickcheck::{Arbitrary, Gen};
use std::collections::BTreeSet;
use whinwall_subsetting::*;

const SUBSET_SIZE: usize = 48;
/// Target size of the fleet.
const CONTROLLERS: usize = 650;
const REPLICAS: usize = 2200;
const ZONES: usize = 9;
const GROUPS: usize = 69;
/// Restarts and replacements in one day.
const CHANGES: usize = 470;
/// Maximum number of pairs that move when one replica or controller is added or removed, as a multiple of the pairs
/// that it has itself.
const MAX_MOVES_PER_MEMBER: f64 = 3.0;

fn planner(controllers: usize) -> Planner {
    Planner::new(membership(controllers), Parameters::new(SUBSET_SIZE).expect("not 0"))
}

/// Returns the number of new pairs divided by the average number of pairs of one of `members` members.
fn moves_per_member(after: &Assignment, before: &Assignment, members: usize) -> f64 {
    after.added_pair_count(before) as f64 * members as f64 / before.pair_count() as f64
}

#[test]
fn added_or_removed_replica_moves_few_pairs() {
    let all = replicas(REPLICAS, ZONES, GROUPS);
    let mut planner = planner(CONTROLLERS);
    let with = planner.assign(&borrow_all(&all));
    for leaving in [0, 700, REPLICAS - 1] {
        let mut rest = all.clone();
        rest.remove(leaving);
        let without = planner.assign(&borrow_all(&rest));
        let removed = moves_per_member(&without, &with, REPLICAS);
        assert!(removed < MAX_MOVES_PER_MEMBER, "replica {leaving} removed: {removed}");
        let added = moves_per_member(&with, &without, REPLICAS);
        assert!(added < MAX_MOVES_PER_MEMBER, "replica {leaving} added: {added}");
    }
}

#[test]
fn added_or_removed_controller_moves_few_pairs() {
    let all = replicas(REPLICAS, ZONES, GROUPS);
    let with = planner(CONTROLLERS).assign(&borrow_all(&all));
    for leaving in ["governor-0", "governor-99", "governor-649"] {
        let rest = names(CONTROLLERS).into_iter().filter(|name| name != leaving);
        let rest = Membership::new(rest).expect("names differ");
        let without = Assignment::compute(&rest, &borrow_all(&all), &planner(1).parameters());
        let removed = moves_per_member(&without, &with, CONTROLLERS);
        assert!(removed < MAX_MOVES_PER_MEMBER, "{leaving} removed: {removed}");
        let added = moves_per_member(&with, &without, CONTROLLERS);
        assert!(added < MAX_MOVES_PER_MEMBER, "{leaving} added: {added}");
    }
}

/// Runs at a fifth of the target size: replicas and controllers are replaced by members with new names, in random
/// order.
#[test]
fn replacements_of_a_day_move_few_pairs_each_and_keep_the_bounds() {
    let (controllers, count) = (CONTROLLERS / 5, REPLICAS / 5);
    let mut random = Gen::from_size_and_seed(CHANGES, 1);
    let (mut all, mut fleet) = (replicas(count, ZONES, GROUPS), names(controllers));
    let mut planner = planner(controllers);
    let mut latest = planner.assign(&borrow_all(&all));
    for change in 0..CHANGES {
        let number = usize::arbitrary(&mut random);
        let members = if bool::arbitrary(&mut random) {
            all[number % count].id = format!("replacement-{change}");
            count
        } else {
            fleet[number % controllers] = format!("new-governor-{change}");
            let membership = Membership::new(fleet.clone()).expect("names differ");
            planner = Planner::new(membership, planner.parameters());
            controllers
        };
        let next = planner.assign(&borrow_all(&all));
        let moved = moves_per_member(&next, &latest, members);
        assert!(moved < MAX_MOVES_PER_MEMBER, "change {change}: {moved}");
        assert!(next.replicas().all(|(_, controllers)| controllers.len() >= MIN_CONTROLLERS_PER_REPLICA));
        let mut sizes = vec![0; controllers];
        next.replicas()
            .flat_map(|(_, controllers)| controllers)
            .for_each(|controller| sizes[*controller as usize] += 1);
        assert!(sizes.iter().all(|size| *size <= next.size_bound()));
        latest = next;
    }
}

#[test]
fn lost_zone_moves_its_own_share_and_its_return_restores_the_assignment() {
    let all = replicas(REPLICAS, ZONES, GROUPS);
    let rest: Vec<_> = all.iter().filter(|replica| replica.zone != "zone-0").cloned().collect();
    assert_eq!(all.len() - rest.len(), 245);
    let mut planner = planner(CONTROLLERS);
    let before = planner.assign(&borrow_all(&all));
    let lost = planner.assign(&borrow_all(&rest));
    let back = planner.assign(&borrow_all(&all));
    let share = (all.len() - rest.len()) as f64 / all.len() as f64;
    let moved = |after: &Assignment, before: &Assignment| {
        after.added_pair_count(before) as f64 / before.pair_count() as f64
    };
    assert!(moved(&lost, &before) < 1.25 * share);
    assert!(moved(&back, &lost) < 1.5 * share);
    assert_eq!(back, before);
}

#[test]
fn every_controller_has_each_zone_at_full_size() {
    let all = replicas(REPLICAS, ZONES, GROUPS);
    let assignment = planner(CONTROLLERS).assign(&borrow_all(&all));
    let zone_of = |id: &str| all.iter().find(|replica| replica.id == id).map(|replica| &replica.zone);
    for name in names(CONTROLLERS).iter().step_by(7) {
        let zones: BTreeSet<_> = assignment.subset_of(name).into_iter().filter_map(zone_of).collect();
        assert_eq!(zones.len(), ZONES, "{name}");
    }
}

#[test]
fn replica_of_twice_the_weight_has_twice_the_controllers() {
    let weighted = |(number, replica): (usize, OwnedReplica)| {
        let weight = if number % 2 == 0 { 2.0 } else { 1.0 };
        OwnedReplica { weight, ..replica }
    };
    let all: Vec<_> = replicas(REPLICAS, ZONES, GROUPS).into_iter().enumerate().map(weighted).collect();
    let assignment = planner(CONTROLLERS).assign(&borrow_all(&all));
    let controllers = |weight: f64| -> usize {
        let of_weight = all.iter().filter(|replica| replica.weight == weight);
        of_weight.map(|replica| assignment.controllers_of(&replica.id).len()).sum()
    };
    let ratio = controllers(2.0) as f64 / controllers(1.0) as f64;
    assert!((1.9..=2.1).contains(&ratio), "{ratio}");
}
