//! Decisions of a controller that shares its replicas with others.

mod fleet;

use fleet::{at_ms, deployment, owners_of, Fleet};
use std::collections::BTreeSet;
use whinwall_policy::api::*;
use whinwall_policy::claims::{claim_holder, CLAIM_EPOCH};
use whinwall_policy::deployment::Deployment;
use whinwall_policy::time::{Moment, Span};

fn subset(controllers: u32, position: u32) -> SubsetMembership {
    SubsetMembership::Subset { controllers, position }
}

/// Creates one of `controllers` controllers with `slices` slices each. Each replica is shared by 14 controllers,
/// and `others` is the load from the other controllers.
fn shared_fleet(controllers: u32, replicas: u32, slices: u32, others: impl Fn(ReplicaId) -> f64) -> Fleet {
    let slice_count = controllers * slices;
    let mut fleet = Fleet::new(
        Deployment { controller_count: controllers, slice_count, ..deployment() },
        replicas,
        slices,
        3,
    );
    fleet.subsets = (0..replicas).map(|replica| (replica, subset(14, (replica * 5 + 3) % 14))).collect();
    fleet.others_requests = (0..replicas).map(|replica| (replica, others(replica))).collect();
    fleet.start_incarnation(5);
    fleet
}

/// Advances in steps of 100 ms; returns the slice, the new owner and the time of each change of owner.
fn moves(fleet: &mut Fleet, ms: u64) -> Vec<(SliceId, ReplicaId, Moment)> {
    let owned_slices = |fleet: &Fleet| {
        let pairs = fleet
            .store
            .keys()
            .flat_map(|slice| owners_of(fleet, *slice).into_iter().map(|replica| (*slice, replica)));
        pairs.collect::<BTreeSet<_>>()
    };
    let (mut moves, mut before) = (Vec::new(), owned_slices(fleet));
    for _ in 0..ms / 100 {
        fleet.advance(100);
        let after = owned_slices(fleet);
        moves.extend(
            after.difference(&before).map(|(slice, replica)| (*slice, *replica, at_ms(fleet.now_ms))),
        );
        before = after;
    }
    moves
}

#[test]
fn exactly_one_controller_holds_a_claim_and_each_controller_holds_it_once() {
    for controllers in [1, 2, 3, 14, 80] {
        for stable_hash in [0, 1, 7, u64::MAX, u64::MAX - 1, 0x9e37_79b9_7f4a_7c15] {
            let mut turns = BTreeSet::new();
            for epoch in 1000..1000 + u64::from(controllers) {
                let start = Moment::at_ns(epoch * CLAIM_EPOCH.as_ns());
                let holds = |position: &u32| {
                    subset(controllers, *position).is_claimed(stable_hash, start, Span::default())
                };
                let holders: Vec<_> = (0..controllers).filter(holds).collect();
                assert_eq!(holders, [claim_holder(stable_hash, epoch, controllers)]);
                turns.extend(holders);
            }
            assert_eq!(turns.len(), controllers as usize, "stable hash {stable_hash}");
        }
    }
}

/// The next claim holder must see the moves of the previous one in the reports, even if these cover 2 s more than
/// usual.
#[test]
fn claim_holder_pauses_before_the_next_epoch_if_reports_are_late() {
    let last = Moment::at_ns(1001 * CLAIM_EPOCH.as_ns() - 1);
    let late = Span::ms(2000);
    assert_eq!(
        (0..5).filter(|position| subset(5, *position).is_claimed(3, last, Span::default())).count(),
        1
    );
    assert!((0..5).all(|position| !subset(5, position).is_claimed(3, last, late)));
    assert!(subset(1, 0).is_claimed(3, last, late), "a sole controller has to wait");
    assert!(
        SubsetMembership::AllControllers.is_claimed(3, last, late)
            && !SubsetMembership::OtherControllers.is_claimed(3, last, late)
    );
}

/// Replicas 0 to 23 get 60 requests per second from other controllers, the rest 25: AvgL 45, band 29 to 61. A
/// slice of 30 makes replica 0 heavy, but fits within the band of a light replica.
#[test]
fn hot_slice_moves_to_a_light_replica_with_650_controllers() {
    let others = |replica: ReplicaId| if replica < 24 { 60.0 } else { 25.0 };
    let mut fleet = shared_fleet(650, 48, 20, others);
    fleet.advance(12_000);
    fleet.request_rates.insert(0, 30.0);
    let moves = moves(&mut fleet, 120_000);
    let first = moves.iter().find(|(slice, ..)| *slice == 0);
    let (_, to, when) = first.expect("the hot slice did not move");
    assert!(*to >= 24, "moved to replica {to}, which is full");
    assert!(fleet.subsets[to].is_claimed(u64::from(*to), *when, Span::default()), "moved without the claim");
}

/// The same without subsets: the totals of other controllers are unknown and the band grows with the square root
/// of the number of controllers, so no replica is ever heavy. Only replication acts, which leaves the slice where
/// it is. This is the reason for subsets.
#[test]
fn hot_slice_stays_with_650_controllers_and_no_subsets() {
    let others = |replica: ReplicaId| if replica < 24 { 60.0 } else { 25.0 };
    let mut fleet = shared_fleet(650, 48, 20, others);
    fleet.subsets.clear();
    fleet.start_incarnation(5);
    fleet.advance(12_000);
    fleet.request_rates.insert(0, 30.0);
    let moves = moves(&mut fleet, 120_000);
    assert!(moves.iter().all(|(slice, ..)| *slice == 0), "{moves:?}");
    assert!(owners_of(&fleet, 0).contains(&0), "{moves:?}");
}

/// The first 12 replicas look empty to this controller, but others fill them: AvgL is 44, the band ends at 59.
#[test]
fn evacuated_slices_move_to_replicas_with_headroom_across_all_controllers() {
    for seed in 1..6 {
        let mut fleet = shared_fleet(60, 36, 24, |replica| if replica < 12 { 80.0 } else { 20.0 });
        for slice in 0..24 {
            fleet.store.insert(slice, [(12 + slice % 12, 1.0)].into());
        }
        fleet.start_incarnation(seed);
        fleet.advance(9000);
        for replica in [12, 13] {
            fleet.nodes.get_mut(&replica).unwrap().state = ReplicaState::Draining;
            fleet.list_replica(replica);
        }
        fleet.advance(4000);
        let chosen: Vec<_> = [0, 1, 12, 13].iter().flat_map(|slice| owners_of(&fleet, *slice)).collect();
        assert!(chosen.len() >= 4 && chosen.iter().all(|replica| *replica >= 14), "{chosen:?}");
    }
}

/// 60 identical controllers evacuate one replica at the same time, each with one slice. They must not all choose
/// the same destination.
#[test]
fn controllers_that_evacuate_at_once_choose_different_replicas() {
    let mut chosen: Vec<ReplicaId> = Vec::new();
    for seed in 0..60 {
        let mut fleet = shared_fleet(60, 24, 1, |_| 40.0);
        // No controller holds a claim here, so only the random draw decides.
        fleet.subsets = (0..24).map(|replica| (replica, subset(1000, 999))).collect();
        fleet.start_incarnation(1000 + seed * 7919);
        fleet.advance(6000);
        fleet.nodes.get_mut(&0).unwrap().state = ReplicaState::Draining;
        fleet.list_replica(0);
        fleet.advance(1500);
        let to = owners_of(&fleet, 0);
        assert!(!to.contains(&0));
        chosen.extend(to);
    }
    let max_per_replica = (0..24).map(|replica| chosen.iter().filter(|to| **to == replica).count()).max();
    let different: BTreeSet<_> = chosen.iter().collect();
    assert!(different.len() >= 15 && max_per_replica <= Some(8), "{chosen:?}");
}

/// Restarts replica 3, and so many others that the warm ones do not suffice.
fn restart_replica_3_and_others(fleet: &mut Fleet) {
    for replica in [3, 6, 7, 8, 9] {
        let node = fleet.nodes.get_mut(&replica).expect("replica exists");
        (node.started_ms, node.state) = (fleet.now_ms, ReplicaState::Ready);
        fleet.list_replica(replica);
    }
}

/// AvgL is 10, the band 7 to 14: replica 5 has 20, and the cold replica 3 has no load.
#[test]
fn cold_replica_gets_slices_only_from_its_claim_holder_and_within_its_budget() {
    let others = |replica| match replica {
        3 => 0.0,
        5 => 12.0,
        _ => 4.0,
    };
    let mut fleet = shared_fleet(60, 12, 24, others);
    fleet.subsets.insert(3, subset(3, 1));
    for slice in [3, 15] {
        fleet.store.insert(slice, [(4, 1.0)].into());
    }
    fleet.start_incarnation(9);
    fleet.advance(9000);
    let restarted = fleet.now_ms;
    restart_replica_3_and_others(&mut fleet);
    let cold_until = at_ms(restarted + 10_000);
    let moves = moves(&mut fleet, 20_000);
    let onto_cold: Vec<_> = moves.iter().filter(|(_, to, when)| *to == 3 && *when < cold_until).collect();
    assert!(
        onto_cold.iter().all(|(_, to, when)| fleet.subsets[to].is_claimed(3, *when, Span::default())),
        "{moves:?}"
    );
    assert!(!onto_cold.is_empty(), "the claim holder did not use the budget: {moves:?}");
}

/// A cold replica whose budget is used up by other controllers gets no slice, even from the claim holder.
#[test]
fn demand_of_other_controllers_counts_against_a_cold_replicas_budget() {
    let mut fleet = shared_fleet(60, 12, 12, |replica| if replica == 3 { 200.0 } else { 30.0 });
    fleet.subsets.insert(3, subset(1, 0));
    fleet.store.insert(3, [(4, 1.0)].into());
    fleet.start_incarnation(9);
    fleet.advance(6000);
    restart_replica_3_and_others(&mut fleet);
    let moves = moves(&mut fleet, 8000);
    assert!(moves.iter().all(|(_, to, _)| *to != 3), "{moves:?}");
}

#[test]
fn slices_leave_replicas_of_other_controllers_one_by_one_and_none_moves_there() {
    for seed in 1..6 {
        let mut fleet = shared_fleet(60, 24, 24, |_| 30.0);
        for replica in 12..24 {
            fleet.subsets.insert(replica, SubsetMembership::OtherControllers);
            fleet.others_requests.remove(&replica);
        }
        fleet.start_incarnation(seed);
        let first = moves(&mut fleet, 4000);
        assert!(first.len() < 12, "all slices moved at once: {first:?}");
        fleet.nodes.get_mut(&1).unwrap().state = ReplicaState::Draining;
        fleet.list_replica(1);
        let rest = moves(&mut fleet, 200_000);
        assert!(first.iter().chain(&rest).all(|(_, to, _)| *to < 12), "{first:?} {rest:?}");
        assert!((0..24)
            .all(|slice| owners_of(&fleet, slice).iter().all(|replica| *replica < 12 && *replica != 1)));
    }
}

/// Rule 1 (a slice always has a usable endpoint) takes precedence over subsets: if all replicas of the subset
/// drain, a warm replica of other controllers is used.
#[test]
fn lost_subset_is_evacuated_to_a_replica_of_other_controllers() {
    let mut fleet = shared_fleet(60, 8, 6, |_| 10.0);
    for slice in 0..6 {
        fleet.store.insert(slice, [(slice % 3, 1.0)].into());
    }
    (3..8).for_each(|replica| _ = fleet.subsets.insert(replica, SubsetMembership::OtherControllers));
    fleet.start_incarnation(5);
    fleet.advance(6000);
    for replica in 0..3 {
        fleet.nodes.get_mut(&replica).unwrap().state = ReplicaState::Draining;
        fleet.list_replica(replica);
    }
    fleet.advance(8000);
    assert!(
        (0..6).all(|slice| owners_of(&fleet, slice).iter().all(|replica| *replica >= 3)),
        "{:?}",
        fleet.store
    );
}
