//! Seeded random numbers, so that the same events give the same actions.

/// A multiply-with-carry generator: fast, small and reproducible, but not cryptographically secure.
#[derive(Clone, Debug)]
pub struct Random(u64);

impl Random {
    /// Creates the generator for a seed.
    pub fn from_seed(seed: u64) -> Self {
        // The state must not be all zeros, or every draw would be 0.
        Random((seed ^ (seed >> 32) << 7) | 1 << 32)
    }

    /// Returns the next number in the range [0, 1).
    pub fn draw(&mut self) -> f64 {
        self.0 = (self.0 & 0xffff_ffff).wrapping_mul(4_294_957_665).wrapping_add(self.0 >> 32);
        (self.0 & 0xffff_ffff) as f64 / 4_294_967_296.0
    }
}
