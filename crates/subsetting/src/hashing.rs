//! Hashes that are the same at every controller and in every build (xxh3 of the names' bytes).

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Keeps the hash of a name by itself apart from its hashes with a controller as the seed.
const LOT_SEED: u64 = 0x006c_6f74;
/// 2 to the power of 53: every whole number below it is exact as a float.
const EXACT: f64 = 9_007_199_254_740_992.0;

/// A controller's seed for [`score`].
pub(crate) fn seed(controller: &str) -> u64 {
    xxh3_64(controller.as_bytes())
}

/// How high a controller ranks at a replica, and the replica at the controller.
pub(crate) fn score(replica: &str, controller_seed: u64) -> u64 {
    xxh3_64_with_seed(replica.as_bytes(), controller_seed)
}

/// A number in [0, 1) that stands for the name.
pub(crate) fn lot(name: &str) -> f64 {
    (xxh3_64_with_seed(name.as_bytes(), LOT_SEED) >> 11) as f64 / EXACT
}

/// A fraction rounded up for as many names as it says, and down for the others. Where it changes a little, few
/// names change.
pub(crate) fn dithered(number: f64, lot: f64) -> usize {
    let whole = number.floor();
    whole as usize + usize::from(lot < number - whole)
}

/// The member with the highest score for a key: all callers that know the same members choose the same one, and a
/// member that leaves takes only its own keys with it.
pub fn rendezvous<'a>(key: &str, members: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    members.max_by_key(|member| (score(key, seed(member)), *member))
}
