//! Operators' overrides, and the five rules that take precedence over them.

mod fleet;

use fleet::{at_ms, deployment, owners_of, Fleet};
use quickcheck::{Arbitrary, Gen};
use whinwall_policy::api::*;
use whinwall_policy::deployment::Deployment;
use OverrideStatus::{Absent, InForce, Suspended, Waiting};

const REPLICA_0_OUT: [(OverrideNumber, OverrideSpec); 1] = [(1, OverrideSpec::OutOfService { replica: 0 })];

/// Creates four equal replicas and twelve slices, with these overrides.
fn fleet_with_overrides(overrides: &[(OverrideNumber, OverrideSpec)]) -> Fleet {
    let mut fleet = Fleet::new(deployment(), 4, 12, 3);
    fleet.advance(2000);
    set_overrides(&mut fleet, overrides);
    fleet
}

fn set_overrides(fleet: &mut Fleet, overrides: &[(OverrideNumber, OverrideSpec)]) {
    fleet.policy.set_overrides(at_ms(fleet.now_ms), overrides);
    fleet.collect_reply();
}

fn slices_naming(fleet: &Fleet, replica: ReplicaId) -> usize {
    fleet.store.values().filter(|table| table.contains_key(&replica)).count()
}

fn restart(fleet: &mut Fleet, replica: ReplicaId) {
    let now = fleet.now_ms;
    fleet.nodes.get_mut(&replica).unwrap().started_ms = now;
    fleet.list_replica(replica);
}

fn set_state(fleet: &mut Fleet, replica: ReplicaId, state: ReplicaState) {
    fleet.nodes.get_mut(&replica).unwrap().state = state;
    fleet.list_replica(replica);
}

/// Counts the moves of a slice to a replica.
fn moves_onto(fleet: &Fleet, slice: SliceId, replica: ReplicaId) -> usize {
    let is_owner_added = |action: &&Action| {
        matches!(action, Action::SetEndpoint { slice: moved_slice, replica: owner, weight }
            if (*moved_slice, *owner) == (slice, replica) && *weight >= 1.0)
    };
    fleet.log.iter().filter(is_owner_added).count()
}

#[test]
fn replica_out_of_service_is_evacuated_like_a_draining_one() {
    let mut fleet = fleet_with_overrides(&REPLICA_0_OUT);
    let withdrawn = Action::Withdraw { replica: 0 };
    assert!(fleet.log.contains(&withdrawn), "not withdrawn at once");
    fleet.advance(fleet::DRAIN_GRACE_MS);
    assert_eq!(slices_naming(&fleet, 0), 0);
    assert_eq!(fleet.policy.override_status(1), Some(InForce));
    set_overrides(&mut fleet, &[]);
    fleet.advance(500);
    assert!(fleet.log.contains(&Action::Reinstate { replica: 0 }), "not reinstated within 500 ms");
    fleet.request_rates.values_mut().for_each(|rate| *rate += 1.0);
    fleet.advance(30_000);
    assert!(slices_naming(&fleet, 0) > 0, "not used again");
}

#[test]
fn override_that_ends_while_its_replica_drains_does_not_reinstate_it() {
    let mut fleet = fleet_with_overrides(&REPLICA_0_OUT);
    set_state(&mut fleet, 0, ReplicaState::Draining);
    fleet.advance(1000);
    let before = fleet.log.len();
    set_overrides(&mut fleet, &[]);
    fleet.advance(20_000);
    assert_eq!(slices_naming(&fleet, 0), 0);
    assert!(!fleet.log[before..].contains(&Action::Reinstate { replica: 0 }));
}

#[test]
fn half_of_the_fleet_stays_in_service_and_older_overrides_take_precedence() {
    let all_out =
        [0, 1, 2, 3].map(|replica| (u64::from(replica) + 1, OverrideSpec::OutOfService { replica }));
    let mut fleet = fleet_with_overrides(&all_out);
    fleet.advance(4000);
    let statuses = [1, 2, 3, 4].map(|id| fleet.policy.override_status(id).unwrap());
    assert!(matches!(statuses, [InForce, InForce, Suspended(_), Suspended(_)]), "{statuses:?}");
    // An override that ends makes room for the next one, but a previously suspended override takes effect only
    // after a delay.
    set_overrides(&mut fleet, &all_out[1..]);
    fleet.advance(4000);
    assert_eq!(fleet.policy.override_status(3), Some(InForce));
    assert_eq!((slices_naming(&fleet, 1), slices_naming(&fleet, 2)), (0, 0));
}

#[test]
fn replica_out_of_service_returns_if_no_other_replica_is_usable() {
    let mut fleet = Fleet::new(deployment(), 2, 6, 2);
    fleet.advance(2000);
    set_overrides(&mut fleet, &REPLICA_0_OUT);
    fleet.advance(3000);
    assert_eq!(fleet.policy.override_status(1), Some(InForce));
    set_state(&mut fleet, 1, ReplicaState::Draining);
    fleet.advance(3000);
    assert!(matches!(fleet.policy.override_status(1), Some(Suspended(why)) if why.starts_with("rule 1")));
    assert_eq!((slices_naming(&fleet, 0), slices_naming(&fleet, 1)), (6, 0));
    // The other replica is back and warm: the override takes effect again after a delay.
    set_state(&mut fleet, 1, ReplicaState::Ready);
    fleet.advance(3000);
    assert_eq!(fleet.policy.override_status(1), Some(Suspended("rule 1: it stood back a moment ago")));
    fleet.advance(9000);
    assert_eq!(fleet.policy.override_status(1), Some(InForce));
    set_state(&mut fleet, 1, ReplicaState::Draining);
    fleet.advance(3000);
    // A cold replica does not count as a remaining replica.
    restart(&mut fleet, 1);
    set_state(&mut fleet, 1, ReplicaState::Ready);
    fleet.advance(5000);
    assert!(matches!(fleet.policy.override_status(1), Some(Suspended(_))));
    fleet.advance(20_000);
    assert_eq!(fleet.policy.override_status(1), Some(InForce));
}

#[test]
fn weight_override_shifts_load_and_its_end_shifts_it_back() {
    let mut fleet = Fleet::new(deployment(), 4, 40, 3);
    fleet.advance(2000);
    set_overrides(&mut fleet, &[(1, OverrideSpec::Weight { replica: 0, factor: 0.25 })]);
    fleet.advance(60_000);
    assert_eq!(fleet.policy.override_status(1), Some(InForce));
    let owned_slices = |fleet: &Fleet| (0..40).filter(|slice| owners_of(fleet, *slice) == [0]).count();
    let reduced_count = owned_slices(&fleet);
    assert!(reduced_count < 6, "{reduced_count} of 40 slices at a weight factor of 0.25");
    set_overrides(&mut fleet, &[]);
    // The replica is light now and gets slices as others become heavy.
    for slice in (0..40).filter(|slice| owners_of(&fleet, *slice) == [1]).collect::<Vec<_>>() {
        fleet.request_rates.insert(slice, 7.0);
    }
    fleet.advance(60_000);
    assert!(
        owned_slices(&fleet) > reduced_count + 1,
        "{} slices after the override has ended",
        owned_slices(&fleet)
    );
}

#[test]
fn weight_override_does_not_raise_a_cold_replicas_budget() {
    // The fleet's rule checker fails the test if the cold replica gets too much load.
    let mut fleet = Fleet::new(deployment(), 4, 40, 3);
    fleet.advance(10_000);
    set_overrides(&mut fleet, &[(1, OverrideSpec::Weight { replica: 0, factor: 10.0 })]);
    restart(&mut fleet, 0);
    fleet.advance(500);
    assert!(matches!(fleet.policy.override_status(1), Some(Suspended(why)) if why.starts_with("rule 4")));
    fleet.advance(8000);
    assert!(matches!(fleet.policy.override_status(1), Some(Suspended(_))));
    fleet.advance(3000);
    assert_eq!(fleet.policy.override_status(1), Some(InForce));
}

/// 120 requests per second on four replicas: a replica that has just started may be sent 0.55 * 3 * 0.2 * 30
/// requests per second, and a fifth more if they are there already. That is 11.9 of its 30.
#[test]
fn small_weights_of_all_others_do_not_raise_a_cold_replicas_budget() {
    let mut fleet = Fleet::new(deployment(), 4, 40, 3);
    fleet.advance(10_000);
    set_overrides(
        &mut fleet,
        &[1, 2, 3].map(|replica| (u64::from(replica), OverrideSpec::Weight { replica, factor: 0.01 })),
    );
    restart(&mut fleet, 0);
    fleet.advance(1500);
    let load: f64 = (0..40)
        .filter(|slice| owners_of(&fleet, *slice) == [0])
        .map(|slice| fleet.request_rates[&slice])
        .sum();
    assert!(load <= 12.0 && load > 0.0, "{load} requests per second on the cold replica");
}

#[test]
fn pinned_slices_move_to_their_replica_and_stay() {
    let mut fleet = fleet_with_overrides(&[(7, OverrideSpec::Pin { first: 4, last: 6, replica: 3 })]);
    fleet.advance(4000);
    assert_eq!([4, 5, 6].map(|slice| owners_of(&fleet, slice)), [vec![3], vec![3], vec![3]]);
    assert_eq!(fleet.policy.override_status(7), Some(InForce));
    // Regular rebalancing does not move them, even if they are hot.
    fleet.request_rates.extend((4..=6).map(|slice| (slice, 12.0)));
    fleet.advance(20_000);
    assert_eq!([4, 5, 6].map(|slice| owners_of(&fleet, slice)), [vec![3], vec![3], vec![3]]);
    set_overrides(&mut fleet, &[]);
    fleet.advance(40_000);
    assert!((4..=6).any(|slice| owners_of(&fleet, slice) != [3]), "no slice moved after the pin ended");
}

#[test]
fn newer_pin_takes_precedence_where_pins_overlap() {
    let older = (1, OverrideSpec::Pin { first: 0, last: 9, replica: 1 });
    let newer = (2, OverrideSpec::Pin { first: 4, last: 5, replica: 2 });
    let mut fleet = fleet_with_overrides(&[older, newer]);
    fleet.advance(8000);
    assert_eq!([3, 4, 5, 6].map(|slice| owners_of(&fleet, slice)), [vec![1], vec![2], vec![2], vec![1]]);
    set_overrides(&mut fleet, &[older]);
    fleet.advance(8000);
    assert_eq!(owners_of(&fleet, 4), [1]);
}

#[test]
fn pin_is_suspended_while_its_replica_drains_or_is_out_of_service() {
    let mut fleet = fleet_with_overrides(&[
        (1, OverrideSpec::Pin { first: 0, last: 3, replica: 2 }),
        (2, OverrideSpec::OutOfService { replica: 2 }),
    ]);
    fleet.advance(5000);
    assert_eq!((slices_naming(&fleet, 2), fleet.policy.override_status(2)), (0, Some(InForce)));
    assert_eq!(fleet.policy.override_status(1), Some(Suspended("the server is out of service")));
    set_overrides(&mut fleet, &[(1, OverrideSpec::Pin { first: 0, last: 3, replica: 2 })]);
    fleet.advance(6000);
    assert_eq!(fleet.policy.override_status(1), Some(InForce));
    set_state(&mut fleet, 2, ReplicaState::Draining);
    fleet.advance(fleet::DRAIN_GRACE_MS);
    assert_eq!(slices_naming(&fleet, 2), 0);
    assert_eq!(fleet.policy.override_status(1), Some(Suspended("rule 3: the server drains")));
    set_state(&mut fleet, 2, ReplicaState::Gone);
    assert_eq!(fleet.policy.override_status(1), Some(Absent));
}

#[test]
fn pin_moves_only_what_the_slow_start_budget_allows() {
    let mut fleet = fleet_with_overrides(&[]);
    restart(&mut fleet, 2);
    set_overrides(&mut fleet, &[(1, OverrideSpec::Pin { first: 0, last: 11, replica: 2 })]);
    fleet.advance(5000);
    let count_at_pin = |fleet: &Fleet| (0..12).filter(|slice| owners_of(fleet, *slice) == [2]).count();
    assert!(
        count_at_pin(&fleet) < 12 && !matches!(fleet.policy.override_status(1), Some(InForce)),
        "{}",
        count_at_pin(&fleet)
    );
    fleet.advance(120_000);
    assert_eq!(count_at_pin(&fleet), 12);
    assert!((0..12).all(|slice| moves_onto(&fleet, slice, 2) <= 1), "a slice had to leave its pin again");
}

/// The replica is ejected and recovers repeatedly; the delay before each return of the slice grows.
#[test]
fn pin_backs_off_while_its_replica_flaps() {
    let mut fleet = fleet_with_overrides(&[(1, OverrideSpec::Pin { first: 4, last: 4, replica: 3 })]);
    fleet.advance(3000);
    for _ in 0..30 {
        fleet.nodes.get_mut(&3).unwrap().answers = false;
        fleet.advance(5000);
        fleet.nodes.get_mut(&3).unwrap().answers = true;
        fleet.advance(5000);
    }
    let moves_onto = moves_onto(&fleet, 4, 3);
    assert!((2..=9).contains(&moves_onto), "moved to the pin {moves_onto} times in 300 s");
    fleet.advance(150_000);
    assert_eq!(owners_of(&fleet, 4), [3], "slice 4 is not at its pin in the end");
}

#[test]
fn overrides_survive_a_regranted_slice_and_a_restarted_replica() {
    let overrides = [
        (1, OverrideSpec::Pin { first: 4, last: 4, replica: 3 }),
        (2, OverrideSpec::OutOfService { replica: 1 }),
    ];
    let mut fleet = fleet_with_overrides(&overrides);
    fleet.advance(3000);
    fleet.store.insert(4, [(1, 1.0)].into());
    fleet.policy.slice_revoked(at_ms(fleet.now_ms), 4);
    fleet.policy.slice_granted(at_ms(fleet.now_ms), 4, &[(1, 1.0)]);
    fleet.advance(10_000);
    assert_eq!((owners_of(&fleet, 4), slices_naming(&fleet, 1)), (vec![3], 0));
    // The replica leaves and rejoins. The new process is cold and still out of service.
    set_state(&mut fleet, 1, ReplicaState::Gone);
    fleet.advance(2000);
    restart(&mut fleet, 1);
    set_state(&mut fleet, 1, ReplicaState::Ready);
    fleet.advance(40_000);
    assert_eq!((slices_naming(&fleet, 1), fleet.policy.override_status(2)), (0, Some(InForce)));
}

#[test]
fn overrides_change_owners_in_stages_under_single_writer() {
    let deployment = Deployment { single_writer: true, ..deployment() };
    let mut fleet = Fleet::new(deployment, 4, 12, 3);
    fleet.advance(2000);
    set_overrides(
        &mut fleet,
        &[
            (1, OverrideSpec::OutOfService { replica: 0 }),
            (2, OverrideSpec::Pin { first: 1, last: 1, replica: 2 }),
        ],
    );
    fleet.advance(8000);
    assert_eq!((slices_naming(&fleet, 0), owners_of(&fleet, 1)), (0, vec![2]));
}

#[test]
fn pin_without_channel_room_reports_that_it_is_waiting() {
    let mut fleet = fleet_with_overrides(&[]);
    fleet.lines_per_tick = 0.0;
    for slice in 0..12 {
        fleet.request_rates.insert(slice, 2.0);
    }
    fleet.advance(3000);
    set_overrides(&mut fleet, &[(1, OverrideSpec::Pin { first: 0, last: 11, replica: 2 })]);
    fleet.advance(12_000);
    assert!(
        matches!(fleet.policy.override_status(1), Some(Waiting(_))),
        "{:?}",
        fleet.policy.override_status(1)
    );
    fleet.lines_per_tick = 150.0;
    fleet.advance(60_000);
    assert_eq!(fleet.policy.override_status(1), Some(InForce));
}

/// Overrides are set and cleared while replicas drain, disappear, return and stop answering. The fleet checks the
/// rules.
#[derive(Clone, Debug)]
struct RandomRun(Vec<(u8, u32)>);

impl Arbitrary for RandomRun {
    fn arbitrary(gen: &mut Gen) -> Self {
        RandomRun((0..16).map(|_| (u8::arbitrary(gen), u32::arbitrary(gen))).collect())
    }
}

#[test]
fn rules_hold_whatever_overrides_are_set() {
    fn holds(run: RandomRun) -> bool {
        let mut fleet = Fleet::new(deployment(), 8, 24, 3);
        let mut overrides: Vec<(OverrideNumber, OverrideSpec)> = Vec::new();
        for (step, (kind, number)) in run.0.into_iter().enumerate() {
            let (replica, slice) = (number % 8, number / 8 % 24);
            match kind % 10 {
                0 => overrides.push((step as u64, OverrideSpec::OutOfService { replica })),
                1 => overrides.push((
                    step as u64,
                    OverrideSpec::Weight { replica, factor: f64::from(number % 100) / 10.0 },
                )),
                2 | 3 => overrides.push((
                    step as u64,
                    OverrideSpec::Pin { first: slice, last: slice + number % 7, replica },
                )),
                4 => overrides.truncate(overrides.len() / 2),
                5 => set_state(&mut fleet, replica, ReplicaState::Draining),
                6 => {
                    fleet.nodes.get_mut(&replica).unwrap().answers = true;
                    restart(&mut fleet, replica);
                    set_state(&mut fleet, replica, ReplicaState::Ready);
                }
                7 => fleet.nodes.get_mut(&replica).unwrap().answers = false,
                8 => {
                    fleet.start_incarnation(u64::from(number));
                }
                _ => fleet.lines_per_tick = 60.0 + f64::from(number % 100),
            }
            set_overrides(&mut fleet, &overrides);
            fleet.advance(1500);
        }
        true
    }
    quickcheck::QuickCheck::new().tests(60).quickcheck(holds as fn(RandomRun) -> bool);
}
