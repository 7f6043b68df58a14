//! Random numbers from a seed, so that the same events give the same actions.

/// A multiply-with-carry generator: fast, small and reproducible; not for secrets.
#[derive(Clone, Debug)]
pub struct Random(u64);

impl Random {
    /// The generator for this seed.
    pub fn from_seed(seed: u64) -> Self {
        // Both halves of the state must not be zero at once, or the sequence stands still.
        Random((seed ^ (seed >> 32) << 7) | 1 << 32)
    }

    /// The next number, from 0 up to, but not including, 1.
    pub fn draw(&mut self) -> f64 {
        self.0 = (self.0 & 0xffff_ffff).wrapping_mul(4_294_957_665).wrapping_add(self.0 >> 32);
        (self.0 & 0xffff_ffff) as f64 / 4_294_967_296.0
    }
}
