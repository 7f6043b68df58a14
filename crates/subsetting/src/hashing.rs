//! Hashes that are the same at every controller and in every build (xxh3 of the names' bytes).

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Seed of [`stable_fraction`], so that it is independent of the scores.
const FRACTION_SEED: u64 = 0x006c_6f74;
/// 2 to the power of 53: every whole number below it is exact as a float.
const FRACTION_STEPS: f64 = 9_007_199_254_740_992.0;

/// A controller's seed for [`score`].
pub(crate) fn seed(controller: &str) -> u64 {
    xxh3_64(controller.as_bytes())
}

/// The score of a controller at a replica, and of the replica at the controller.
pub(crate) fn score(replica: &str, controller_seed: u64) -> u64 {
    xxh3_64_with_seed(replica.as_bytes(), controller_seed)
}

/// A number in [0, 1) that is derived from a name.
pub(crate) fn stable_fraction(name: &str) -> f64 {
    (xxh3_64_with_seed(name.as_bytes(), FRACTION_SEED) >> 11) as f64 / FRACTION_STEPS
}

/// Rounds a number down, or up for the names whose fraction is below its fractional part: over many names the average
/// is the number, and a small change of it changes the result of few names.
pub(crate) fn dither(number: f64, fraction: f64) -> usize {
    let integer = number.floor();
    integer as usize + usize::from(fraction < number - integer)
}

/// The member with the highest score for a key: all callers that know the same members choose the same one, and a
/// member that leaves changes only the choice for its own keys.
pub fn rendezvous<'a>(key: &str, members: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    members.max_by_key(|member| (score(key, seed(member)), *member))
}
