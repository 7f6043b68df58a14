//! Slow start: what a replica that is warming up may be sent, and what observers are told about it.

mod fleet;
mod reports;

use fleet::{
    at_ms, deployed_fleet_with_loads, deployment, fleet_with_loads, listing, owners_of, Fleet, Node,
};
use reports::{collect_acked_reply, policy_with_replicas, reduces_admission};
use whinwall_policy::api::*;
use whinwall_policy::deployment::Deployment;
use whinwall_policy::time::Span;
use whinwall_policy::Policy;

/// The first of the replicas that the fleets of these tests do not have at the start.
const COLD: ReplicaId = 200;
/// Requests per second that fill any replica of these tests.
const MORE_THAN_ANY_BUDGET: f64 = 1000.0;
/// The number of controllers of a fleet whose slices are divided.
const CONTROLLERS: u32 = 5;
/// The number of slices of that fleet that become hot.
const HOT_SLICES: usize = 6;
/// The number of warm replicas of that fleet.
const WARM_REPLICAS: usize = 40;

/// Four warm replicas that own six slices of two requests per second each, with reports of twelve seconds.
fn even_fleet() -> Fleet {
    let slices: &[f64] = &[2.0; 6];
    let mut fleet = fleet_with_loads(false, &[slices; 4]);
    fleet.advance(12_000);
    fleet
}

/// Adds a replica that has been running for `age_ms`, and others of that age, which are full, so many that the warm ones
/// do not suffice.
fn add_cold_replica(fleet: &mut Fleet, age_ms: u64) {
    let started_ms = fleet.now_ms - age_ms;
    let warm = fleet.nodes.len() as u32;
    for replica in COLD..=COLD + warm / 2 {
        let node = Node { state: ReplicaState::Ready, started_ms, answers: true, listed_ms: fleet.now_ms };
        fleet.nodes.insert(replica, node);
        fleet.list_replica(replica);
        if replica != COLD {
            fleet.others_requests.insert(replica, MORE_THAN_ANY_BUDGET);
        }
    }
}

fn drain(fleet: &mut Fleet, replica: ReplicaId) {
    fleet.nodes.get_mut(&replica).expect("replica exists").state = ReplicaState::Draining;
    fleet.list_replica(replica);
}

/// An even fleet in which a replica drains and one that has been running for `age_ms` was added, a second later.
fn even_fleet_after_drain(age_ms: u64) -> Fleet {
    let mut fleet = even_fleet();
    add_cold_replica(&mut fleet, age_ms);
    drain(&mut fleet, 0);
    fleet.advance(1000);
    fleet
}

fn slices_at_cold_replica(fleet: &Fleet) -> Vec<SliceId> {
    slices_at(fleet, COLD)
}

fn slices_at(fleet: &Fleet, replica: ReplicaId) -> Vec<SliceId> {
    fleet.store.keys().copied().filter(|slice| owners_of(fleet, *slice).contains(&replica)).collect()
}

fn cold_replicas(fleet: &Fleet) -> impl Iterator<Item = ReplicaId> + '_ {
    fleet.nodes.keys().copied().filter(|replica| *replica >= COLD)
}

#[test]
fn owner_that_is_warming_up_is_reported_with_what_is_known_of_its_slice() {
    let fleet = even_fleet_after_drain(4000);
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
    let mut fleet = even_fleet_after_drain(0);
    let slice = *fleet.store.iter().find(|(_, table)| table.contains_key(&COLD)).expect("a slice moved").0;
    fleet.request_rates.insert(slice, 20.0);
    fleet.advance(4000);
    let over_budget: Vec<_> = fleet
        .log
        .iter()
        .filter_map(|action| match action {
            Action::ColdReplicaOverBudget { replica: COLD, load } => Some(*load),
            _ => None,
        })
        .collect();
    let [load] = over_budget[..] else { panic!("{over_budget:?}") };
    assert!(load.demand > load.budget, "{load:?}");
    let heaviest = load.heaviest.expect("the replica owns a slice");
    assert_eq!((heaviest.slice, load.slices, heaviest.owners), (slice, 1, 1));
    assert!(heaviest.demand_at_change < 3.0 && heaviest.demand > 3.0, "{heaviest:?}");
}

/// Reports one second of six overloaded replicas, which answer four requests each in nine tenths of the target
/// latency. Slice n of replica n gets 18 requests, slice 10 of replica 0 some of the class that is shed first.
fn report_overload(policy: &mut Policy, second: u64, requests_for_slice_10: f64) -> Vec<Action> {
    let (now, window) = (at_ms(second * 1000), Span::ms(1000));
    let mut report_demand = |slice, request_class, requests| {
        policy.demand_reported(now, slice, DemandReport { request_class, window, requests, failed: 0.0 });
    };
    (0..6).for_each(|slice| report_demand(slice, 0, 16.0));
    (0..6).for_each(|slice| report_demand(slice, 1, 2.0));
    report_demand(10, 0, requests_for_slice_10);
    for replica in 0..6 {
        let mean_latency = Span::ms(900);
        let report = EndpointReport { zone: 0, window, attempts: 4.0, failed: 0.0, mean_latency };
        policy.endpoint_reported(now, replica, report);
    }
    collect_acked_reply(policy, now)
}

/// Lists replica 0 as draining after 18 s, and two that are 3 s old. The warm ones do not suffice then.
fn replace_replica_0(policy: &mut Policy) {
    let changes = [
        listing(COLD, ReplicaState::Ready, 15_000),
        listing(COLD + 1, ReplicaState::Ready, 15_000),
        listing(0, ReplicaState::Draining, 0),
    ];
    policy.replicas_listed(at_ms(18_000), ListScope::Changes, &changes);
}

#[test]
fn demand_that_was_shed_counts_when_a_slice_moves_to_a_cold_replica() {
    let mut policy = policy_with_replicas(deployment(), 6);
    policy.slice_granted(at_ms(0), 10, &[(0, 1.0)]);
    let shed: Vec<_> = (1..18).flat_map(|second| report_overload(&mut policy, second, 10.0)).collect();
    assert!(shed.iter().any(|action| reduces_admission(action, Some(10), 1)), "nothing was shed");
    replace_replica_0(&mut policy);
    let moves = report_overload(&mut policy, 18, 10.0);
    let to_cold = |action: &Action| matches!(action, Action::SetEndpoint { slice: 10, replica, weight } if *replica >= COLD && *weight >= 1.0);
    // It can do 0.44 of the four requests that the others answer, and collapses at three times that.
    assert!(!moves.iter().any(to_cold), "a cold replica is sent 10 requests/s, of which 9 were shed before");
}

/// The last admission rate that was sent for a request class of a slice.
fn last_admission_rate(actions: &[Action], slice: SliceId, class_mask: u64) -> Option<f64> {
    let rate = |action: &Action| match action {
        Action::SetAdmission { slice: Some(id), request_classes, admission_rate, .. }
            if *id == slice && (*request_classes == 0 || request_classes & class_mask > 0) =>
        {
            Some(*admission_rate)
        }
        _ => None,
    };
    actions.iter().rev().find_map(rate)
}

#[test]
fn requests_shed_before_a_slice_moved_to_a_cold_replica_are_not_all_admitted_there_at_once() {
    let requests = 10.0;
    let mut policy = policy_with_replicas(deployment(), 6);
    policy.slice_granted(at_ms(0), 10, &[(0, 1.0)]);
    let mut actions: Vec<_> =
        (1..18).flat_map(|second| report_overload(&mut policy, second, requests)).collect();
    replace_replica_0(&mut policy);
    actions.extend((18..22).flat_map(|second| report_overload(&mut policy, second, requests)));
    let is_assigned = |action: &Action| matches!(action, Action::ColdReplicaAssigned { slice: 10, .. });
    assert!(actions.iter().any(is_assigned), "slice 10 moved to no cold replica");
    let admitted = requests * last_admission_rate(&actions, 10, 1).expect("the slice was shed");
    // After 6 s it can do 0.68 of the four requests that the others answer, and collapses at three times that.
    let collapse_load = 3.0 * 0.68 * 4.0;
    assert!(admitted <= collapse_load, "{admitted} requests/s, the replica collapses at {collapse_load}");
}

#[test]
fn cold_replica_that_reports_show_to_be_full_gets_no_slice() {
    let mut fleet = even_fleet();
    add_cold_replica(&mut fleet, 0);
    // Retries, other controllers and other owners that fail cause requests that no slice here explains.
    fleet.others_requests.insert(COLD, 40.0);
    fleet.advance(3000);
    drain(&mut fleet, 0);
    fleet.advance(1000);
    assert_eq!(
        slices_at_cold_replica(&fleet).len(),
        0,
        "slices at a replica with a budget of 12 requests/s or less that already gets 40"
    );
}

#[test]
fn no_slice_moves_to_a_cold_replica_while_no_reports_arrive() {
    let mut fleet = even_fleet();
    fleet.collectors_report = false;
    fleet.advance(12_000);
    add_cold_replica(&mut fleet, 0);
    drain(&mut fleet, 0);
    fleet.advance(1000);
    assert_eq!(slices_at_cold_replica(&fleet).len(), 0, "slices of unknown demand at a cold replica");
}

/// One of five controllers, with a slice on each of `WARM_REPLICAS`. Those of which no slice becomes hot have two
/// more, which are hardly used.
fn divided_fleet(controller_index: u32) -> Fleet {
    let loads: Vec<&[f64]> = (0..WARM_REPLICAS)
        .map(|replica| if replica < HOT_SLICES { [1.0].as_slice() } else { [1.0, 0.01, 0.01].as_slice() })
        .collect();
    let slice_count = CONTROLLERS * 3 * WARM_REPLICAS as u32;
    let divided = Deployment { controller_count: CONTROLLERS, controller_index, slice_count, ..deployment() };
    deployed_fleet_with_loads(divided, &loads)
}

/// A divided fleet with replicas that have been running for 7 s. Some slices have been hot for the last 5 s.
fn divided_fleet_with_cold_replica(controller_index: u32) -> Fleet {
    let mut fleet = divided_fleet(controller_index);
    fleet.advance(12_000);
    add_cold_replica(&mut fleet, 2000);
    (0..HOT_SLICES as u32).for_each(|slice| _ = fleet.request_rates.insert(slice, 6.0));
    fleet.advance(5000);
    fleet
}

/// The requests per second of the slices of a replica, whatever their other owners do.
fn requests_for(fleet: &Fleet, replica: ReplicaId) -> f64 {
    slices_at(fleet, replica).iter().map(|slice| fleet.request_rates[slice]).sum()
}

/// The most that a cold replica of the fleet is sent if the other owners of its slices answer nothing.
fn most_requests_for_a_cold_replica(fleet: &Fleet) -> f64 {
    cold_replicas(fleet).map(|replica| requests_for(fleet, replica)).fold(0.0, f64::max)
}

/// Returns a cold replica and a slice that it shares with one warm replica.
fn slice_shared_with_a_warm_replica(fleet: &Fleet) -> Option<(ReplicaId, SliceId)> {
    let is_shared = |slice: &SliceId| {
        let owners = owners_of(fleet, *slice);
        owners.len() == 2 && owners.iter().any(|owner| *owner < COLD)
    };
    let shared = |replica| Some((replica, slices_at(fleet, replica).into_iter().find(is_shared)?));
    cold_replicas(fleet).find_map(shared)
}

/// The requests per second that a warm replica of a divided fleet gets on average, from all controllers.
fn mean_of_warm_replicas(fleet: &Fleet) -> f64 {
    fleet.request_rates.values().sum::<f64>() * f64::from(CONTROLLERS) / WARM_REPLICAS as f64
}

#[test]
fn cold_replica_stays_within_its_budget_if_the_other_owners_of_its_slices_stop_answering() {
    let fleets = (0..CONTROLLERS).map(divided_fleet_with_cold_replica);
    let most_requests =
        |fleet: Fleet| (most_requests_for_a_cold_replica(&fleet), mean_of_warm_replicas(&fleet));
    let (requests, mean) = fleets
        .map(most_requests)
        .max_by(|(one, _), (other, _)| one.total_cmp(other))
        .expect("there are controllers");
    // At an age of 7 s it can do 0.76 of what a warm one can, and its budget is 0.55 of three times what it can do.
    let budget = 0.55 * 3.0 * 0.76 * mean;
    assert!(requests > 0.0, "no slice at the cold replica");
    assert!(requests <= budget, "{requests} requests/s if its co-owners fail, budget {budget}");
}

#[test]
fn cold_replica_leaves_shared_slices_once_a_report_shows_more_than_it_can_answer() {
    let mut fleets = (0..CONTROLLERS).map(divided_fleet_with_cold_replica);
    let find_shared = |fleet: Fleet| slice_shared_with_a_warm_replica(&fleet).map(|shared| (fleet, shared));
    let (mut fleet, (cold, shared)) = fleets.find_map(find_shared).expect("a slice is shared");
    fleet.request_rates.insert(shared, 44.0);
    fleet.advance(1300);
    let share = 1.0 / owners_of(&fleet, shared).len() as f64;
    let load = if slices_at(&fleet, cold).contains(&shared) { 44.0 * share } else { 0.0 };
    let mean = mean_of_warm_replicas(&fleet);
    assert!(load <= mean, "{load} requests/s of one slice, warm replicas answer {mean}");
}

#[test]
fn slice_that_was_taken_over_moves_to_no_cold_replica_before_a_report_covers_it() {
    let mut fleet = even_fleet();
    add_cold_replica(&mut fleet, 4000);
    let (taken_over, owner) = (100, 50);
    let warm = Node { state: ReplicaState::Ready, started_ms: 0, answers: true, listed_ms: fleet.now_ms };
    fleet.nodes.insert(owner, warm);
    fleet.list_replica(owner);
    fleet.request_rates.insert(taken_over, 2.0);
    fleet.store.insert(taken_over, [(owner, 1.0)].into());
    fleet.policy.slice_granted(at_ms(fleet.now_ms), taken_over, &[(owner, 1.0)]);
    drain(&mut fleet, owner);
    fleet.advance(300);
    assert!(!owners_of(&fleet, taken_over).contains(&owner));
    assert!(!owners_of(&fleet, taken_over).contains(&COLD), "a slice of unknown demand at a cold replica");
}
