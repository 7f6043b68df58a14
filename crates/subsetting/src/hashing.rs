//! Stable hashes: xxh3 of the bytes of names, identical on every controller and in every build.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Seed of [`stable_fraction`]. It makes the fractions independent of the rendezvous scores.
const FRACTION_SEED: u64 = 0x006c_6f74;
/// Number of distinct stable fractions: 2^53, because every non-negative integer below it is exact as an `f64`.
const FRACTION_STEPS: f64 = 9_007_199_254_740_992.0;

/// Returns the seed of a controller for [`score`].
pub(crate) fn seed(controller: &str) -> u64 {
    xxh3_64(controller.as_bytes())
}

/// Returns the rendezvous score of a (replica, controller) pair. Replicas and controllers rank each other by it.
pub(crate) fn score(replica: &str, controller_seed: u64) -> u64 {
    xxh3_64_with_seed(replica.as_bytes(), controller_seed)
}

/// Returns a number in [0, 1) that is derived from a name.
pub(crate) fn stable_fraction(name: &str) -> f64 {
    (xxh3_64_with_seed(name.as_bytes(), FRACTION_SEED) >> 11) as f64 / FRACTION_STEPS
}

/// Rounds a number up if `fraction` is below its fractional part, else down. Averaged over many stable fractions the
/// result equals the number, and a small change of the number changes the result for few fractions only.
pub(crate) fn dither(number: f64, fraction: f64) -> usize {
    let integer = number.floor();
    integer as usize + usize::from(fraction < number - integer)
}

/// Returns the member with the highest score for a key (rendezvous hashing). All callers with the same members select
/// the same one, and the removal of a member changes the selection only for the keys of that member.
pub fn rendezvous<'a>(key: &str, members: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    members.max_by_key(|member| (score(key, seed(member)), *member))
}
