//! Days of the emulator: the same for the same seed, rules kept by the real controllers whatever happens, and
//! each checker speaks up where its rule is broken on purpose.

use whinwall_emulator::day::{play, play_meddled, Outcome};
use whinwall_emulator::policy::Policy;
use whinwall_emulator::sizes::Sizes;
use whinwall_emulator::trouble::{at, drawn, Odd, Trouble, What};
use whinwall_policy::time::Span;

fn short() -> Sizes {
    Sizes { lasts: Span::ms(40_000), ..Sizes::small() }
}

fn governed(troubles: &[Trouble], seed: u64) -> Outcome {
    let day = play(&short(), Policy::Governed, troubles, seed);
    assert!(day.broken.is_empty(), "{troubles:?} seed {seed}: {:?}", day.violations);
    day
}

#[test]
fn a_calm_day_is_served_by_all() {
    assert!(governed(&[], 1).service > 0.99);
    for policy in [Policy::HandsOff, Policy::Hashing, Policy::TwoChoices, Policy::LeastLoaded] {
        assert!(play(&short(), policy, &[], 1).service > 0.9, "{policy:?}");
    }
}

#[test]
fn the_same_seed_makes_the_same_day() {
    let troubles = drawn(5, 3, &short());
    let (one, again) = (governed(&troubles, 5), governed(&troubles, 5));
    assert_eq!(one, again);
    assert_ne!(one, governed(&troubles, 6));
}

/// Each alone, in the middle of a day. What a replica or a place does wrong costs less than with nobody who
/// decides, and what befalls the controller costs next to nothing.
#[test]
fn each_trouble_alone_breaks_no_rule_and_is_made_up_for() {
    let replica = 3;
    let of_replicas = [
        What::Crash { replica },
        What::Hang { replica },
        What::Silence { replica },
        What::Slow { replica, factor: 6.0 },
        What::FastErrors { replica, share: 0.8 },
        What::Drain { replica },
        What::Release { from: 0, to: 4 },
        What::HotSlice { slice: 7, factor: 20.0 },
        What::ZoneCut { zone: 1 },
    ];
    for what in of_replicas {
        let troubles = [at(12_000, 12_000, what.clone())];
        let (day, nobody) = (governed(&troubles, 3), play(&short(), Policy::HandsOff, &troubles, 3));
        assert!(day.service > nobody.service - 0.01, "{what:?}: {} against {}", day.service, nobody.service);
        assert!(day.service > 0.9, "{what:?}: {}", day.service);
    }
    let of_others = [
        What::WrongList { from: 0, to: 4 },
        What::RelayAway,
        What::RelayMute,
        What::DiscoveryAway,
        What::ControllerKilled { controller: 0 },
        What::SlowChannel { part: 0.05 },
        What::ProxiesLeave { many: 10 },
        What::OutOfService { replica },
        What::Burst { factor: 1.5 },
        What::Garbled { share: 0.4 },
    ];
    for what in of_others {
        let day = governed(&[at(12_000, 12_000, what.clone())], 3);
        assert!(day.service > 0.97, "{what:?}: {}", day.service);
    }
}

/// Slices that change hands between controllers, while replicas drain and answers are garbled.
#[test]
fn slices_that_change_hands_lose_nothing() {
    let sizes = Sizes { controllers: 3, ..short() };
    let troubles = [
        at(8000, 6000, What::HandOver { from: 0, to: 30 }),
        at(9000, 15_000, What::Drain { replica: 3 }),
        at(10_000, 10_000, What::Garbled { share: 0.3 }),
        at(18_000, 3000, What::HandOver { from: 20, to: 60 }),
    ];
    let day = play(&sizes, Policy::Governed, &troubles, 4);
    assert!(day.broken.is_empty() && day.service > 0.98, "{} {:?}", day.service, day.violations);
}

/// The shape of the operators' fleet days: most controllers are killed at once while replicas are released one after
/// the other, and proxies come back before slices do.
fn herd(seed: u64) -> (Sizes, Vec<Trouble>) {
    let sizes = Sizes {
        controllers: 5,
        replicas: 60,
        slices: 300,
        proxies: 90,
        lasts: Span::ms(40_000),
        load: 0.25,
        pace: 9000.0,
        queue_cap: 13_500.0,
        grace: Span::ms(2400),
        ..Sizes::small()
    };
    let release = |first: usize, begins: u64| {
        (first..first + 9).map(move |replica| at(begins, 12_000, What::Drain { replica }))
    };
    let mut troubles = vec![at(12_000 + seed * 300, 3000, What::Herd { controllers: 4 })];
    troubles.extend(release(0, 11_000).chain(release(10, 14_000)).chain(release(25, 17_500)));
    troubles.extend(release(50, 18_800));
    // They come back one by one, from 17 s on.
    troubles.extend((1..40).map(|n| at(14_000, 3000 + n as u64 * 100, What::ProxiesLeave { many: n * 2 })));
    troubles.push(at(16_000, 8000, What::Garbled { share: 0.1 }));
    (sizes, troubles)
}

#[test]
fn most_controllers_killed_in_a_release_break_no_rule() {
    for seed in [1, 5, 7] {
        let (sizes, troubles) = herd(seed);
        let day = play(&sizes, Policy::Governed, &troubles, seed);
        assert!(day.broken.is_empty(), "seed {seed}: {:?} {:?}", day.broken, day.violations.first());
        assert!(day.requests > 0 && day.service > 0.5, "{}", day.service);
    }
}

/// The shapes of the operators' large days, for controllers that know nothing of each other: a release while the list
/// is told oddly; a place that is lost and back cold; six replicas in ten replaced within seconds, some of them bad.
#[test]
fn large_days_of_several_controllers_break_no_rule() {
    let sizes = Sizes { controllers: 5, replicas: 40, slices: 200, proxies: 60, load: 0.25, ..short() };
    let release = at(12_000, 12_000, What::Release { from: 0, to: 20 });
    let odd = |how| vec![release.clone(), at(10_000, 16_000, What::OddList { how })];
    let zone = at(12_000, 5000, What::ZoneLost { zone: 1 });
    let bad = at(11_000, 15_000, What::FastErrors { replica: 30, share: 0.8 });
    let slow = at(11_000, 15_000, What::Slow { replica: 31, factor: 6.0 });
    let days = [
        odd(Odd::Late(Span::ms(1500))),
        odd(Odd::Again),
        odd(Odd::Back),
        odd(Odd::Lossy(3)),
        vec![zone, slow.clone()],
        vec![at(12_000, 10_000, What::Replaced { from: 0, to: 24 }), bad, slow],
    ];
    for (seed, troubles) in (1..).zip(&days) {
        let day = play(&sizes, Policy::Governed, troubles, seed);
        assert!(day.broken.is_empty(), "{troubles:?}: {:?} {:?}", day.broken, day.violations.first());
        assert!(day.service > 0.85, "{troubles:?}: {}", day.service);
    }
}

/// Found by a search over 1,000 drawn days: the controller that is killed had withdrawn what the list dropped, and
/// hears of those replicas anew only after the proxies have joined it.
#[test]
fn what_a_former_incarnation_withdrew_for_a_wrong_list_is_let_in_again() {
    let sizes = Sizes { controllers: 5, replicas: 40, slices: 200, proxies: 60, load: 0.3, ..short() };
    let troubles = [
        at(14_003, 6251, What::ControllerKilled { controller: 1 }),
        at(13_835, 1650, What::WrongList { from: 21, to: 40 }),
    ];
    let day = play(&sizes, Policy::Governed, &troubles, 443);
    assert!(day.broken.is_empty(), "{:?} {:?}", day.broken, day.violations.first());
}

/// Replicas that take a third of the proxies at a time: refusals are proof, further tries go elsewhere.
#[test]
fn replicas_with_few_connections_are_lived_with() {
    let few = Sizes { connections: 10, idle: Span::ms(200), load: 0.2, ..short() };
    let day = play(&few, Policy::Governed, &[at(12_000, 12_000, What::Drain { replica: 3 })], 4);
    let plenty = play(&Sizes { connections: 1000, ..few }, Policy::Governed, &[], 4);
    assert!(day.broken.is_empty(), "{:?}", day.violations);
    assert!(day.service > 0.5 && day.service < plenty.service, "{} against {}", day.service, plenty.service);
}

#[test]
fn drawn_troubles_together_break_no_rule() {
    for seed in 0..8u64 {
        let sizes =
            Sizes { controllers: 1 + (seed % 3) as usize, load: 0.3 + 0.1 * (seed % 4) as f64, ..short() };
        let troubles = drawn(seed, 3, &sizes);
        let day = play(&sizes, Policy::Governed, &troubles, seed);
        assert!(day.broken.is_empty(), "seed {seed}, {troubles:?}: {:?}", day.violations);
    }
}

#[test]
fn a_replica_out_of_service_is_left_and_let_in_again() {
    let outs = [at(10_000, 10_000, What::OutOfService { replica: 3 })];
    let (day, calm) = (governed(&outs, 2), governed(&[], 2));
    assert!(day.orders > calm.orders + 8, "{} against {}", day.orders, calm.orders);
    assert!(day.service > 0.98);
}

fn broken(rule: u8, sizes: &Sizes, troubles: &[Trouble], meddler: fn(&str) -> Vec<String>) {
    let day = play_meddled(sizes, troubles, 3, meddler);
    assert!(day.broken.contains_key(&rule), "rule {rule} is broken and nobody says so: {:?}", day.broken);
    let told = day.violations.iter().find(|violation| violation.rule == rule).unwrap();
    assert!(!told.what.is_empty() && told.at > Default::default());
}

/// New lines do not arrive, former ones leave: proxies have nothing to pick.
#[test]
fn the_first_checker_notices_bare_proxies() {
    let troubles = [at(12_000, 20_000, What::Drain { replica: 3 })];
    broken(1, &short(), &troubles, |order| match order.split(',').collect::<Vec<_>>()[..] {
        ["SET", _, _, weight] if weight != "0" => vec![],
        _ => vec![order.into()],
    });
}

/// All are told to try again whatever became of the first.
#[test]
fn the_second_checker_notices_effects_that_come_twice() {
    let troubles = [at(12_000, 20_000, What::FastErrors { replica: 3, share: 0.5 })];
    broken(2, &short(), &troubles, |order| match order.split(',').collect::<Vec<_>>()[..] {
        ["LIMIT", slice, kinds, share, _] => vec![format!("LIMIT,{slice},{kinds},{share},3")],
        _ => vec![order.into()],
    });
}

/// Nothing is withdrawn and no line leaves.
#[test]
fn the_third_checker_notices_drains_that_are_not_left() {
    let troubles = [at(12_000, 20_000, What::Drain { replica: 3 })];
    broken(3, &short(), &troubles, |order| match order.split(',').collect::<Vec<_>>()[..] {
        ["SET", _, _, "0"] | ["OUT", _] => vec![],
        _ => vec![order.into()],
    });
}

/// Whatever is ordered goes to one replica, which is new.
#[test]
fn the_fourth_checker_notices_cold_replicas_that_are_pushed_over() {
    let troubles =
        [at(10_000, 3000, What::Crash { replica: 3 }), at(14_000, 20_000, What::Release { from: 4, to: 9 })];
    let sizes = Sizes { load: 0.9, ..short() };
    broken(4, &sizes, &troubles, |order| match order.split(',').collect::<Vec<_>>()[..] {
        ["SET", slice, replica, "0"] if replica != "s-3" => vec![format!("SET,{slice},s-3,1"), order.into()],
        ["SET", slice, _, "1"] => vec![format!("SET,{slice},s-3,1")],
        ["SET", _, "s-3", "0"] | ["OUT", "s-3"] => vec![],
        _ => vec![order.into()],
    });
}

/// Each order is said a thousand times.
#[test]
fn the_fifth_checker_notices_a_queue_that_is_too_long() {
    let troubles = [at(12_000, 20_000, What::Drain { replica: 3 })];
    broken(5, &short(), &troubles, |order| {
        vec![order.to_string(); if order.starts_with("SYNC") { 1 } else { 1000 }]
    });
}

/// A replica with one core, its service even between half and one and a half times its mean: Pollaczek and
/// Khinchine say how long an request waits. With two cores, how much of the time they are busy.
#[test]
fn queues_agree_with_closed_forms() {
    use std::collections::BTreeMap;
    use whinwall_emulator::replica::{Job, Offer, Replica};
    use whinwall_policy::random::Random;
    use whinwall_policy::time::Moment;
    let run = |cores: usize, load: f64| {
        let sizes = Sizes { cores, queue: usize::MAX, cold_factor: 1.0, ..Sizes::small() };
        let (mut replica, mut random) = (Replica::new(), Random::from_seed(11));
        let (mut now, mut next) = (Moment::at_ns(1 << 60), Moment::at_ns(1 << 60));
        let began = now;
        let mut ends: BTreeMap<(Moment, u64), ()> = BTreeMap::new();
        let mut came: BTreeMap<u64, Moment> = BTreeMap::new();
        let (mut waited, mut served, mut busy) = (0.0, 0u64, 0.0);
        for request in 0..200_000u64 {
            let pause = -(1.0 - random.draw()).ln() / (sizes.capacity() * load);
            next = next + Span::ns((pause * 1e9) as u64);
            while let Some(((at, _), ())) =
                ends.first_key_value().filter(|((at, _), ())| *at <= next).map(|(k, ())| (*k, ()))
            {
                ends.pop_first();
                now = at;
                if let Some((job, takes)) = replica.done(now, &sizes, &mut random) {
                    waited += (now - came.remove(&job.request).unwrap()).seconds();
                    (served, busy) = (served + 1, busy + takes.seconds());
                    ends.insert((now + takes, job.request), ());
                }
            }
            now = next;
            let job = Job { request, attempt: 1, key: 1, from: 0 };
            match replica.offer(now, job, &sizes, &mut random) {
                Offer::Runs(takes) => {
                    (served, busy) = (served + 1, busy + takes.seconds());
                    ends.insert((now + takes, request), ());
                }
                Offer::Waits => _ = came.insert(request, now),
                other => panic!("{other:?}"),
            }
        }
        (waited / served as f64, busy / (now - began).seconds() / cores as f64)
    };
    for load in [0.3, 0.6, 0.8] {
        let (waits, used) = run(1, load);
        let service = Sizes::small().service.seconds();
        let square = service * service * (1.0 + 1.0 / 12.0);
        let expected = load / service * square / (2.0 * (1.0 - load));
        assert!((waits / expected - 1.0).abs() < 0.05, "at {load}: {waits} against {expected}");
        assert!((used - load).abs() < 0.01, "{used} of the time at {load}");
        let (less, used) = run(2, load);
        assert!(less < waits && (used - load).abs() < 0.01, "two cores: {less}, {used}");
    }
}
