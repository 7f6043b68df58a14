//! Days of the emulator: the same for the same seed, rules kept by the real governors, and each checker speaks up
//! where its rule is broken on purpose.

use whinwall_fleet::day::play;
use whinwall_fleet::policy::Policy;
use whinwall_fleet::sizes::Sizes;
use whinwall_fleet::trouble::{at, drawn, What};

#[test]
fn a_calm_day_is_served() {
    let day = play(&Sizes::small(), Policy::Governed, &[], 1);
    println!("{day:?}");
    assert!(day.service > 0.97 && day.broken.is_empty(), "{day:?}");
}
