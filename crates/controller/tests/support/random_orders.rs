//! Seeds and draws of tests with random orders of events.

use std::ops::Range;
use whinwall_policy::random::Random;

/// Returns the seeds `FIRST..END` that this environment variable names; `None` if it is not set.
pub fn seeds_from_environment(variable: &str) -> Option<Range<u64>> {
    let text = std::env::var(variable).ok()?;
    let (first, end) = text.split_once("..").unwrap_or_else(|| panic!("{variable} is FIRST..END"));
    Some(first.parse().expect("first seed")..end.parse().expect("end of the seeds"))
}

/// Draws a whole number below the limit.
pub fn below(random: &mut Random, limit: u32) -> u32 {
    (random.draw() * f64::from(limit)) as u32
}
