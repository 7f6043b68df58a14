//! Days of the emulator: the same for the same seed, rules kept by the real governors whatever happens, and
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

/// Each alone, in the middle of a day. What a server or a place does wrong costs less than with nobody who
/// decides, and what befalls the governor costs next to nothing.
#[test]
fn each_trouble_alone_breaks_no_rule_and_is_made_up_for() {
    let server = 3;
    let of_servers = [
        What::Crash { server },
        What::Hang { server },
        What::Silence { server },
        What::Slow { server, factor: 6.0 },
        What::FastErrors { server, share: 0.8 },
        What::Drain { server },
        What::Release { from: 0, to: 4 },
        What::HotSlice { slice: 7, factor: 20.0 },
        What::PlaceCut { place: 1 },
    ];
    for what in of_servers {
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
        What::GovernorKilled { governor: 0 },
        What::SlowChannel { part: 0.05 },
        What::ProxiesLeave { many: 10 },
        What::OutOfService { server },
        What::Burst { factor: 1.5 },
        What::Garbled { share: 0.4 },
    ];
    for what in of_others {
        let day = governed(&[at(12_000, 12_000, what.clone())], 3);
        assert!(day.service > 0.97, "{what:?}: {}", day.service);
    }
}

/// Slices that change hands between governors, while servers drain and answers are garbled.
#[test]
fn slices_that_change_hands_lose_nothing() {
    let sizes = Sizes { governors: 3, ..short() };
    let troubles = [
        at(8000, 6000, What::HandOver { from: 0, to: 30 }),
        at(9000, 15_000, What::Drain { server: 3 }),
        at(10_000, 10_000, What::Garbled { share: 0.3 }),
        at(18_000, 3000, What::HandOver { from: 20, to: 60 }),
    ];
    let day = play(&sizes, Policy::Governed, &troubles, 4);
    assert!(day.broken.is_empty() && day.service > 0.98, "{} {:?}", day.service, day.violations);
}

/// The shape of the operators' fleet days: most governors are killed at once while servers are released one after
/// the other, and proxies come back before slices do.
fn herd(seed: u64) -> (Sizes, Vec<Trouble>) {
    let sizes = Sizes {
        governors: 5,
        servers: 60,
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
        (first..first + 9).map(move |server| at(begins, 12_000, What::Drain { server }))
    };
    let mut troubles = vec![at(12_000 + seed * 300, 3000, What::Herd { governors: 4 })];
    troubles.extend(release(0, 11_000).chain(release(10, 14_000)).chain(release(25, 17_500)));
    troubles.extend(release(50, 18_800));
    // They come back one by one, from 17 s on.
    troubles.extend((1..40).map(|n| at(14_000, 3000 + n as u64 * 100, What::ProxiesLeave { many: n * 2 })));
    troubles.push(at(16_000, 8000, What::Garbled { share: 0.1 }));
    (sizes, troubles)
}

#[test]
fn most_governors_killed_in_a_release_break_no_rule() {
    for seed in [1, 5, 7] {
        let (sizes, troubles) = herd(seed);
        let day = play(&sizes, Policy::Governed, &troubles, seed);
        assert!(day.broken.is_empty(), "seed {seed}: {:?} {:?}", day.broken, day.violations.first());
        assert!(day.ops > 0 && day.service > 0.5, "{}", day.service);
    }
}

/// The shapes of the operators' large days, for governors that know nothing of each other: a release while the list
/// is told oddly; a place that is lost and back cold; six servers in ten replaced within seconds, some of them bad.
#[test]
fn large_days_of_several_governors_break_no_rule() {
    let sizes = Sizes { governors: 5, servers: 40, slices: 200, proxies: 60, load: 0.25, ..short() };
    let release = at(12_000, 12_000, What::Release { from: 0, to: 20 });
    let odd = |how| vec![release.clone(), at(10_000, 16_000, What::OddList { how })];
    let place = at(12_000, 5000, What::PlaceLost { place: 1 });
    let bad = at(11_000, 15_000, What::FastErrors { server: 30, share: 0.8 });
    let slow = at(11_000, 15_000, What::Slow { server: 31, factor: 6.0 });
    let days = [
        odd(Odd::Late(Span::ms(1500))),
        odd(Odd::Again),
        odd(Odd::Back),
        odd(Odd::Lossy(3)),
        vec![place, slow.clone()],
        vec![at(12_000, 10_000, What::Replaced { from: 0, to: 24 }), bad, slow],
    ];
    for (seed, troubles) in (1..).zip(&days) {
        let day = play(&sizes, Policy::Governed, troubles, seed);
        assert!(day.broken.is_empty(), "{troubles:?}: {:?} {:?}", day.broken, day.violations.first());
        assert!(day.service > 0.85, "{troubles:?}: {}", day.service);
    }
}

/// Found by a search over 1,000 drawn days: the governor that is killed had withdrawn what the list dropped, and
/// hears of those servers anew only after the proxies have joined it.
#[test]
fn what_a_former_life_withdrew_for_a_wrong_list_is_let_in_again() {
    let sizes = Sizes { governors: 5, servers: 40, slices: 200, proxies: 60, load: 0.3, ..short() };
    let troubles = [
        at(14_003, 6251, What::GovernorKilled { governor: 1 }),
        at(13_835, 1650, What::WrongList { from: 21, to: 40 }),
    ];
    let day = play(&sizes, Policy::Governed, &troubles, 443);
    assert!(day.broken.is_empty(), "{:?} {:?}", day.broken, day.violations.first());
}

/// Servers that take a third of the proxies at a time: refusals are proof, further tries go elsewhere.
#[test]
fn servers_with_few_connections_are_lived_with() {
    let few = Sizes { connections: 10, idle: Span::ms(200), load: 0.2, ..short() };
    let day = play(&few, Policy::Governed, &[at(12_000, 12_000, What::Drain { server: 3 })], 4);
    let plenty = play(&Sizes { connections: 1000, ..few }, Policy::Governed, &[], 4);
    assert!(day.broken.is_empty(), "{:?}", day.violations);
    assert!(day.service > 0.5 && day.service < plenty.service, "{} against {}", day.service, plenty.service);
}

#[test]
fn drawn_troubles_together_break_no_rule() {
    for seed in 0..8u64 {
        let sizes =
            Sizes { governors: 1 + (seed % 3) as usize, load: 0.3 + 0.1 * (seed % 4) as f64, ..short() };
        let troubles = drawn(seed, 3, &sizes);
        let day = play(&sizes, Policy::Governed, &troubles, seed);
        assert!(day.broken.is_empty(), "seed {seed}, {troubles:?}: {:?}", day.violations);
    }
}

#[test]
fn a_server_out_of_service_is_left_and_let_in_again() {
    let outs = [at(10_000, 10_000, What::OutOfService { server: 3 })];
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
    let troubles = [at(12_000, 20_000, What::Drain { server: 3 })];
    broken(1, &short(), &troubles, |order| match order.split(',').collect::<Vec<_>>()[..] {
        ["SET", _, _, weight] if weight != "0" => vec![],
        _ => vec![order.into()],
    });
}

/// All are told to try again whatever became of the first.
#[test]
fn the_second_checker_notices_effects_that_come_twice() {
    let troubles = [at(12_000, 20_000, What::FastErrors { server: 3, share: 0.5 })];
    broken(2, &short(), &troubles, |order| match order.split(',').collect::<Vec<_>>()[..] {
        ["LIMIT", slice, kinds, share, _] => vec![format!("LIMIT,{slice},{kinds},{share},3")],
        _ => vec![order.into()],
    });
}

/// Nothing is withdrawn and no line leaves.
#[test]
fn the_third_checker_notices_drains_that_are_not_left() {
    let troubles = [at(12_000, 20_000, What::Drain { server: 3 })];
    broken(3, &short(), &troubles, |order| match order.split(',').collect::<Vec<_>>()[..] {
        ["SET", _, _, "0"] | ["OUT", _] => vec![],
        _ => vec![order.into()],
    });
}

/// Whatever is ordered goes to one server, which is new.
#[test]
fn the_fourth_checker_notices_cold_servers_that_are_pushed_over() {
    let troubles =
        [at(10_000, 3000, What::Crash { server: 3 }), at(14_000, 20_000, What::Release { from: 4, to: 9 })];
    let sizes = Sizes { load: 0.9, ..short() };
    broken(4, &sizes, &troubles, |order| match order.split(',').collect::<Vec<_>>()[..] {
        ["SET", slice, server, "0"] if server != "s-3" => vec![format!("SET,{slice},s-3,1"), order.into()],
        ["SET", slice, _, "1"] => vec![format!("SET,{slice},s-3,1")],
        ["SET", _, "s-3", "0"] | ["OUT", "s-3"] => vec![],
        _ => vec![order.into()],
    });
}

/// Each order is said a thousand times.
#[test]
fn the_fifth_checker_notices_a_queue_that_is_too_long() {
    let troubles = [at(12_000, 20_000, What::Drain { server: 3 })];
    broken(5, &short(), &troubles, |order| {
        vec![order.to_string(); if order.starts_with("SYNC") { 1 } else { 1000 }]
    });
}

/// A server with one core, its service even between half and one and a half times its mean: Pollaczek and
/// Khinchine say how long an op waits. With two cores, how much of the time they are busy.
#[test]
fn queues_agree_with_closed_forms() {
    use std::collections::BTreeMap;
    use whinwall_emulator::server::{Job, Offer, Server};
    use whinwall_policy::chance::Chance;
    use whinwall_policy::time::Moment;
    let run = |cores: usize, load: f64| {
        let sizes = Sizes { cores, queue: usize::MAX, cold_factor: 1.0, ..Sizes::small() };
        let (mut server, mut chance) = (Server::new(), Chance::from_seed(11));
        let (mut now, mut next) = (Moment::at_ns(1 << 60), Moment::at_ns(1 << 60));
        let began = now;
        let mut ends: BTreeMap<(Moment, u64), ()> = BTreeMap::new();
        let mut came: BTreeMap<u64, Moment> = BTreeMap::new();
        let (mut waited, mut served, mut busy) = (0.0, 0u64, 0.0);
        for op in 0..200_000u64 {
            let pause = -(1.0 - chance.draw()).ln() / (sizes.capacity() * load);
            next = next + Span::ns((pause * 1e9) as u64);
            while let Some(((at, _), ())) =
                ends.first_key_value().filter(|((at, _), ())| *at <= next).map(|(k, ())| (*k, ()))
            {
                ends.pop_first();
                now = at;
                if let Some((job, takes)) = server.done(now, &sizes, &mut chance) {
                    waited += (now - came.remove(&job.op).unwrap()).seconds();
                    (served, busy) = (served + 1, busy + takes.seconds());
                    ends.insert((now + takes, job.op), ());
                }
            }
            now = next;
            let job = Job { op, attempt: 1, key: 1, from: 0 };
            match server.offer(now, job, &sizes, &mut chance) {
                Offer::Runs(takes) => {
                    (served, busy) = (served + 1, busy + takes.seconds());
                    ends.insert((now + takes, op), ());
                }
                Offer::Waits => _ = came.insert(op, now),
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
