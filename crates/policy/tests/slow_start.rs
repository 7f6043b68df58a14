//! Slow start: what a replica that is warming up may be sent, and what observers are told about it.

mod fleet;

use fleet::{at_ms, fleet_with_loads, owners_of, Fleet, Node};
use whinwall_policy::api::*;

/// A replica that the fleets of these tests do not have at the start.
const COLD: ReplicaId = 9;

/// Four warm replicas that own six slices of two requests per second each, with reports of twelve seconds.
fn even_fleet() -> Fleet {
    let slices: &[f64] = &[2.0; 6];
    let mut fleet = fleet_with_loads(false, &[slices; 4]);
    fleet.advance(12_000);
    fleet
}

/// Adds a replica that has been running for `age_ms`.
fn add_cold_replica(fleet: &mut Fleet, age_ms: u64) {
    let started_ms = fleet.now_ms - age_ms;
    let node = Node { state: ReplicaState::Ready, started_ms, answers: true, listed_ms: fleet.now_ms };
    fleet.nodes.insert(COLD, node);
    fleet.list_replica(COLD);
}

fn drain(fleet: &mut Fleet, replica: ReplicaId) {
    fleet.nodes.get_mut(&replica).expect("replica exists").state = ReplicaState::Draining;
    fleet.list_replica(replica);
}

#[test]
fn owner_that_is_warming_up_is_reported_with_what_is_known_of_its_slice() {
    let mut fleet = even_fleet();
    add_cold_replica(&mut fleet, 4000);
    drain(&mut fleet, 0);
    fleet.advance(1000);
    let assigned = fleet.log.iter().find_map(|action| match action {
        Action::ColdReplicaAssigned { replica: COLD, slice, basis } => Some((*slice, *basis)),
        _ => None,
    });
    let (slice, basis) = assigned.expect("a slice is reported at the cold replica");
    assert!(owners_of(&fleet, slice).contains(&COLD));
    assert_eq!((basis.age.seconds(), basis.owners, basis.reduction), (4.0, 1, 0.0));
    assert!((basis.slice_demand - 2.0).abs() < 0.2, "demand {}", basis.slice_demand);
    assert!(basis.replica_demand <= basis.budget, "{basis:?}");
    assert_eq!(basis.granted_for, at_ms(12_000) - at_ms(0));
}

#[test]
fn cold_replica_that_exceeds_its_budget_is_reported_once() {
    let mut fleet = even_fleet();
    add_cold_replica(&mut fleet, 0);
    drain(&mut fleet, 0);
    fleet.advance(1000);
    let slice = *fleet.store.iter().find(|(_, table)| table.contains_key(&COLD)).expect("a slice moved").0;
    fleet.request_rates.insert(slice, 20.0);
    fleet.advance(4000);
    let over_budget: Vec<_> = fleet
        .log
        .iter()
        .filter_map(|action| match action {
            Action::ColdReplicaOverBudget { replica: COLD, demand, budget } => Some((*demand, *budget)),
            _ => None,
        })
        .collect();
    assert!(matches!(over_budget[..], [(demand, budget)] if demand > budget), "{over_budget:?}");
}
