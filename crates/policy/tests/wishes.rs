//! What operators override for a while, and the five rules, which come first.

mod fleet;

use fleet::{at, site, Fleet};
use quickcheck::{Arbitrary, Gen};
use whinwall_policy::api::*;
use whinwall_policy::deployment::Deployment;
use OverrideStatus::{Absent, InForce, Suspended, Waiting};

const OUT_OF_0: [(OverrideId, OverrideSpec); 1] = [(1, OverrideSpec::Out { replica: 0 })];

/// Four even replicas and twelve slices, the overrides told.
fn told(wishes: &[(OverrideId, OverrideSpec)]) -> Fleet {
    let mut fleet = Fleet::new(site(), 4, 12, 3);
    fleet.advance(2000);
    tell(&mut fleet, wishes);
    fleet
}

fn tell(fleet: &mut Fleet, wishes: &[(OverrideId, OverrideSpec)]) {
    fleet.policy.set_overrides(at(fleet.now_ms), wishes);
    fleet.reply();
}

fn owner(fleet: &Fleet, slice: SliceId) -> Vec<ReplicaId> {
    fleet.store[&slice].iter().filter(|(_, weight)| **weight >= 1.0).map(|(s, _)| *s).collect()
}

fn named(fleet: &Fleet, replica: ReplicaId) -> usize {
    fleet.store.values().filter(|table| table.contains_key(&replica)).count()
}

fn cold(fleet: &mut Fleet, replica: ReplicaId) {
    let now = fleet.now_ms;
    fleet.nodes.get_mut(&replica).unwrap().started_ms = now;
    fleet.news(replica);
}

fn restand(fleet: &mut Fleet, replica: ReplicaId, standing: ReplicaState) {
    fleet.nodes.get_mut(&replica).unwrap().standing = standing;
    fleet.news(replica);
}

/// Counts moves of a slice onto a replica.
fn pulls(fleet: &Fleet, slice: SliceId, replica: ReplicaId) -> usize {
    let whole = |step: &&Action| matches!(step, Action::SetEndpoint { slice: n, replica: s, weight } if (*n, *s) == (slice, replica) && *weight >= 1.0);
    fleet.log.iter().filter(whole).count()
}

#[test]
fn out_of_service_goes_the_way_of_a_drain() {
    let mut fleet = told(&OUT_OF_0);
    let withdrawn = Action::Withdraw { replica: 0 };
    assert!(fleet.log.contains(&withdrawn), "at once, as for a drain");
    fleet.advance(fleet::GRACE_MS);
    assert_eq!(named(&fleet, 0), 0);
    assert_eq!(fleet.policy.override_status(1), Some(InForce));
    tell(&mut fleet, &[]);
    fleet.advance(500);
    assert!(fleet.log.contains(&Action::Reinstate { replica: 0 }), "let in within a second");
    fleet.rates.values_mut().for_each(|rate| *rate += 1.0);
    fleet.advance(30_000);
    assert!(named(&fleet, 0) > 0, "used again");
}

#[test]
fn what_ends_while_its_replica_drains_does_not_bring_it_back() {
    let mut fleet = told(&OUT_OF_0);
    restand(&mut fleet, 0, ReplicaState::Draining);
    fleet.advance(1000);
    let before = fleet.log.len();
    tell(&mut fleet, &[]);
    fleet.advance(20_000);
    assert_eq!(named(&fleet, 0), 0);
    assert!(!fleet.log[before..].contains(&Action::Reinstate { replica: 0 }));
}

#[test]
fn half_of_the_fleet_stays_and_the_older_wishes_hold() {
    let outs = [0, 1, 2, 3].map(|replica| (u64::from(replica) + 1, OverrideSpec::Out { replica }));
    let mut fleet = told(&outs);
    fleet.advance(4000);
    let heeded = [1, 2, 3, 4].map(|id| fleet.policy.override_status(id).unwrap());
    assert!(matches!(heeded, [InForce, InForce, Suspended(_), Suspended(_)]), "{heeded:?}");
    // One that ends makes room for the next, but not at once for one that had to stand back before.
    tell(&mut fleet, &outs[1..]);
    fleet.advance(4000);
    assert_eq!(fleet.policy.override_status(3), Some(InForce));
    assert_eq!((named(&fleet, 1), named(&fleet, 2)), (0, 0));
}

#[test]
fn a_replica_out_of_service_comes_back_where_nobody_else_is_left() {
    let mut fleet = Fleet::new(site(), 2, 6, 2);
    fleet.advance(2000);
    tell(&mut fleet, &OUT_OF_0);
    fleet.advance(3000);
    assert_eq!(fleet.policy.override_status(1), Some(InForce));
    restand(&mut fleet, 1, ReplicaState::Draining);
    fleet.advance(3000);
    assert!(matches!(fleet.policy.override_status(1), Some(Suspended(why)) if why.starts_with("rule 1")));
    assert_eq!((named(&fleet, 0), named(&fleet, 1)), (6, 0));
    // The other is back, as warm as ever: it comes into force again, but not at once.
    restand(&mut fleet, 1, ReplicaState::Ready);
    fleet.advance(3000);
    assert_eq!(fleet.policy.override_status(1), Some(Suspended("rule 1: it stood back a moment ago")));
    fleet.advance(9000);
    assert_eq!(fleet.policy.override_status(1), Some(InForce));
    restand(&mut fleet, 1, ReplicaState::Draining);
    fleet.advance(3000);
    // A cold one is no other one.
    cold(&mut fleet, 1);
    restand(&mut fleet, 1, ReplicaState::Ready);
    fleet.advance(5000);
    assert!(matches!(fleet.policy.override_status(1), Some(Suspended(_))));
    fleet.advance(20_000);
    assert_eq!(fleet.policy.override_status(1), Some(InForce));
}

#[test]
fn a_weight_shifts_the_load_and_its_end_shifts_it_back() {
    let mut fleet = Fleet::new(site(), 4, 40, 3);
    fleet.advance(2000);
    tell(&mut fleet, &[(1, OverrideSpec::Weight { replica: 0, factor: 0.25 })]);
    fleet.advance(60_000);
    assert_eq!(fleet.policy.override_status(1), Some(InForce));
    let owned = |fleet: &Fleet| (0..40).filter(|n| owner(fleet, *n) == [0]).count();
    let light = owned(&fleet);
    assert!(light < 6, "{light} of 40 slices at a quarter of the weight");
    tell(&mut fleet, &[]);
    // It is light now, and filled as others become heavy.
    for n in (0..40).filter(|n| owner(&fleet, *n) == [1]).collect::<Vec<_>>() {
        fleet.rates.insert(n, 7.0);
    }
    fleet.advance(60_000);
    assert!(owned(&fleet) > light + 1, "{} slices once it has ended", owned(&fleet));
}

#[test]
fn a_weight_on_a_cold_replica_does_not_raise_its_budget() {
    // The rule checker of the fleet fails the test where too much goes to the cold replica.
    let mut fleet = Fleet::new(site(), 4, 40, 3);
    fleet.advance(10_000);
    tell(&mut fleet, &[(1, OverrideSpec::Weight { replica: 0, factor: 10.0 })]);
    cold(&mut fleet, 0);
    fleet.advance(500);
    assert!(matches!(fleet.policy.override_status(1), Some(Suspended(why)) if why.starts_with("rule 4")));
    fleet.advance(8000);
    assert!(matches!(fleet.policy.override_status(1), Some(Suspended(_))));
    fleet.advance(3000);
    assert_eq!(fleet.policy.override_status(1), Some(InForce));
}

/// 120 requests a second on four replicas: a fresh one may be sent 0.55 * 3 * 0.2 * 30, and a fifth more where it
/// is there already, that is 11.9 of the 30 that it has.
#[test]
fn a_weight_that_makes_all_others_small_does_not_raise_a_cold_ones_budget() {
    let mut fleet = Fleet::new(site(), 4, 40, 3);
    fleet.advance(10_000);
    tell(
        &mut fleet,
        &[1, 2, 3].map(|replica| (u64::from(replica), OverrideSpec::Weight { replica, factor: 0.01 })),
    );
    cold(&mut fleet, 0);
    fleet.advance(1500);
    let owned: f64 = (0..40).filter(|n| owner(&fleet, *n) == [0]).map(|n| fleet.rates[&n]).sum();
    assert!(owned <= 12.0 && owned > 0.0, "{owned} ops a second");
}

#[test]
fn pinned_slices_come_and_stay() {
    let mut fleet = told(&[(7, OverrideSpec::Pin { first: 4, last: 6, replica: 3 })]);
    fleet.advance(4000);
    assert_eq!([4, 5, 6].map(|n| owner(&fleet, n)), [vec![3], vec![3], vec![3]]);
    assert_eq!(fleet.policy.override_status(7), Some(InForce));
    // Hot or not, the ordinary path leaves them there.
    fleet.rates.extend((4..=6).map(|n| (n, 12.0)));
    fleet.advance(20_000);
    assert_eq!([4, 5, 6].map(|n| owner(&fleet, n)), [vec![3], vec![3], vec![3]]);
    tell(&mut fleet, &[]);
    fleet.advance(40_000);
    assert!((4..=6).any(|n| owner(&fleet, n) != [3]), "free again once the pin has ended");
}

#[test]
fn the_newer_pin_counts_where_pins_overlap() {
    let older = (1, OverrideSpec::Pin { first: 0, last: 9, replica: 1 });
    let newer = (2, OverrideSpec::Pin { first: 4, last: 5, replica: 2 });
    let mut fleet = told(&[older, newer]);
    fleet.advance(8000);
    assert_eq!([3, 4, 5, 6].map(|n| owner(&fleet, n)), [vec![1], vec![2], vec![2], vec![1]]);
    tell(&mut fleet, &[older]);
    fleet.advance(8000);
    assert_eq!(owner(&fleet, 4), [1]);
}

#[test]
fn a_pin_stands_back_for_a_drain_and_for_a_replica_out_of_service() {
    let mut fleet = told(&[
        (1, OverrideSpec::Pin { first: 0, last: 3, replica: 2 }),
        (2, OverrideSpec::Out { replica: 2 }),
    ]);
    fleet.advance(5000);
    assert_eq!((named(&fleet, 2), fleet.policy.override_status(2)), (0, Some(InForce)));
    assert_eq!(fleet.policy.override_status(1), Some(Suspended("the server is out of service")));
    tell(&mut fleet, &[(1, OverrideSpec::Pin { first: 0, last: 3, replica: 2 })]);
    fleet.advance(6000);
    assert_eq!(fleet.policy.override_status(1), Some(InForce));
    restand(&mut fleet, 2, ReplicaState::Draining);
    fleet.advance(fleet::GRACE_MS);
    assert_eq!(named(&fleet, 2), 0);
    assert_eq!(fleet.policy.override_status(1), Some(Suspended("rule 3: the server drains")));
    restand(&mut fleet, 2, ReplicaState::Gone);
    assert_eq!(fleet.policy.override_status(1), Some(Absent));
}

#[test]
fn a_pin_takes_what_the_cold_budget_leaves() {
    let mut fleet = told(&[]);
    cold(&mut fleet, 2);
    tell(&mut fleet, &[(1, OverrideSpec::Pin { first: 0, last: 11, replica: 2 })]);
    fleet.advance(5000);
    let there = |fleet: &Fleet| (0..12).filter(|n| owner(fleet, *n) == [2]).count();
    assert!(
        there(&fleet) < 12 && !matches!(fleet.policy.override_status(1), Some(InForce)),
        "{}",
        there(&fleet)
    );
    fleet.advance(120_000);
    assert_eq!(there(&fleet), 12);
    assert!((0..12).all(|n| pulls(&fleet, n, 2) <= 1), "none had to leave again");
}

/// Sick, back, sick, back: each return waits longer than the one before.
#[test]
fn a_pin_does_not_flap_with_its_replica() {
    let mut fleet = told(&[(1, OverrideSpec::Pin { first: 4, last: 4, replica: 3 })]);
    fleet.advance(3000);
    for _ in 0..30 {
        fleet.nodes.get_mut(&3).unwrap().answers = false;
        fleet.advance(5000);
        fleet.nodes.get_mut(&3).unwrap().answers = true;
        fleet.advance(5000);
    }
    let pulls = pulls(&fleet, 4, 3);
    assert!((2..=9).contains(&pulls), "brought there {pulls} times in 300 s");
    fleet.advance(150_000);
    assert_eq!(owner(&fleet, 4), [3], "and in the end it is there");
}

#[test]
fn wishes_survive_a_slice_that_changes_hands_and_a_new_list() {
    let wishes =
        [(1, OverrideSpec::Pin { first: 4, last: 4, replica: 3 }), (2, OverrideSpec::Out { replica: 1 })];
    let mut fleet = told(&wishes);
    fleet.advance(3000);
    fleet.store.insert(4, [(1, 1.0)].into());
    fleet.policy.slice_revoked(at(fleet.now_ms), 4);
    fleet.policy.slice_granted(at(fleet.now_ms), 4, &[(1, 1.0)]);
    fleet.advance(10_000);
    assert_eq!((owner(&fleet, 4), named(&fleet, 1)), (vec![3], 0));
    // It leaves and rejoins; the fresh start is cold and out of service still.
    restand(&mut fleet, 1, ReplicaState::Gone);
    fleet.advance(2000);
    cold(&mut fleet, 1);
    restand(&mut fleet, 1, ReplicaState::Ready);
    fleet.advance(40_000);
    assert_eq!((named(&fleet, 1), fleet.policy.override_status(2)), (0, Some(InForce)));
}

#[test]
fn with_single_writers_wishes_take_the_staged_way() {
    let site = Deployment { single_writer: true, ..site() };
    let mut fleet = Fleet::new(site, 4, 12, 3);
    fleet.advance(2000);
    tell(
        &mut fleet,
        &[(1, OverrideSpec::Out { replica: 0 }), (2, OverrideSpec::Pin { first: 1, last: 1, replica: 2 })],
    );
    fleet.advance(8000);
    assert_eq!((named(&fleet, 0), owner(&fleet, 1)), (0, vec![2]));
}

#[test]
fn what_waits_for_the_channel_says_so() {
    let mut fleet = told(&[]);
    fleet.lines_a_tick = 0.0;
    for n in 0..12 {
        fleet.rates.insert(n, 2.0);
    }
    fleet.advance(3000);
    tell(&mut fleet, &[(1, OverrideSpec::Pin { first: 0, last: 11, replica: 2 })]);
    fleet.advance(12_000);
    assert!(
        matches!(fleet.policy.override_status(1), Some(Waiting(_))),
        "{:?}",
        fleet.policy.override_status(1)
    );
    fleet.lines_a_tick = 150.0;
    fleet.advance(60_000);
    assert_eq!(fleet.policy.override_status(1), Some(InForce));
}

/// Wishes come and go while replicas drain, vanish, return and fall silent: the checkers of the fleet look on.
#[derive(Clone, Debug)]
struct Day(Vec<(u8, u32)>);

impl Arbitrary for Day {
    fn arbitrary(gen: &mut Gen) -> Self {
        Day((0..16).map(|_| (u8::arbitrary(gen), u32::arbitrary(gen))).collect())
    }
}

#[test]
fn the_rules_come_first_whatever_is_wished() {
    fn holds(day: Day) -> bool {
        let mut fleet = Fleet::new(site(), 8, 24, 3);
        let mut wishes: Vec<(OverrideId, OverrideSpec)> = Vec::new();
        for (at, (deed, n)) in day.0.into_iter().enumerate() {
            let (replica, slice) = (n % 8, n / 8 % 24);
            match deed % 10 {
                0 => wishes.push((at as u64, OverrideSpec::Out { replica })),
                1 => wishes
                    .push((at as u64, OverrideSpec::Weight { replica, factor: f64::from(n % 100) / 10.0 })),
                2 | 3 => {
                    wishes.push((at as u64, OverrideSpec::Pin { first: slice, last: slice + n % 7, replica }))
                }
                4 => wishes.truncate(wishes.len() / 2),
                5 => restand(&mut fleet, replica, ReplicaState::Draining),
                6 => {
                    fleet.nodes.get_mut(&replica).unwrap().answers = true;
                    cold(&mut fleet, replica);
                    restand(&mut fleet, replica, ReplicaState::Ready);
                }
                7 => fleet.nodes.get_mut(&replica).unwrap().answers = false,
                8 => {
                    fleet.introduce(u64::from(n));
                }
                _ => fleet.lines_a_tick = 60.0 + f64::from(n % 100),
            }
            tell(&mut fleet, &wishes);
            fleet.advance(1500);
        }
        true
    }
    quickcheck::QuickCheck::new().tests(60).quickcheck(holds as fn(Day) -> bool);
}
