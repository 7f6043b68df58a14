//! Days on which each controller steers a subset of the replicas.

use whinwall_emulator::day::{play, Outcome};
use whinwall_emulator::policy::Policy;
use whinwall_emulator::sizes::Sizes;
use whinwall_emulator::trouble::{at, Trouble, What};
use whinwall_policy::time::Span;

fn sizes(controllers: usize, subset: usize) -> Sizes {
    let lasts = Span::ms(30_000);
    Sizes { replicas: 24, slices: 132, proxies: 40, controllers, subset, load: 0.5, lasts, ..Sizes::small() }
}

fn governed(sizes: &Sizes, troubles: &[Trouble], seed: u64) -> Outcome {
    let day = play(sizes, Policy::Governed, troubles, seed);
    assert!(day.broken.is_empty(), "seed {seed}: {:?} {:?}", day.broken, day.violations.first());
    day
}

fn replaced() -> Trouble {
    at(10_000, 10_000, What::Replaced { from: 0, to: 14 })
}

/// Controllers that see only their own slices do worse the more of them there are; with subsets they don't.
#[test]
fn many_controllers_with_subsets_serve_nearly_as_well_as_few_without() {
    let mean = |controllers, subset| {
        let seeds = 1..=2;
        let served = seeds.map(|seed| governed(&sizes(controllers, subset), &[replaced()], seed).service);
        served.sum::<f64>() / 2.0
    };
    let (few, many, shared) = (mean(5, 0), mean(24, 0), mean(24, 8));
    assert!(shared > many + 0.02, "{shared} with subsets, {many} without");
    assert!(shared > few - 0.03, "{shared} with subsets, {few} with five governors");
}

#[test]
fn rules_hold_with_subsets_on_all_kinds_of_days() {
    let days = [
        at(10_000, 10_000, What::HotSlice { slice: 40, factor: 20.0 }),
        at(10_000, 10_000, What::Burst { factor: 1.5 }),
        at(10_000, 5000, What::ZoneLost { zone: 1 }),
        at(10_000, 8000, What::Hang { replica: 3 }),
        at(10_000, 8000, What::FastErrors { replica: 3, share: 0.8 }),
        at(10_000, 4000, What::Herd { controllers: 10 }),
    ];
    for (seed, trouble) in (1..).zip(days) {
        let day = governed(&sizes(24, 8), std::slice::from_ref(&trouble), seed);
        assert!(day.service > 0.9, "{trouble:?}: {}", day.service);
    }
}

/// An aggregator may stretch its windows: no replica is taken for sick because its report is still to come.
#[test]
fn reports_of_several_seconds_make_no_verdict() {
    let sizes = Sizes { load_window: 3, ..sizes(24, 8) };
    let day = governed(&sizes, &[], 1);
    assert_eq!(day.verdicts, 0);
    assert!(day.service > 0.98, "{}", day.service);
}

/// A subset as large as the fleet, and more controllers than slices.
#[test]
fn extreme_subsets_play() {
    for (controllers, subset) in [(2, 500), (150, 1), (1, 3)] {
        let sizes = Sizes { lasts: Span::ms(15_000), ..sizes(controllers, subset) };
        let day = governed(&sizes, &[], 1);
        assert!(day.service > 0.95, "{controllers} governors, subsets of {subset}: {}", day.service);
    }
}
