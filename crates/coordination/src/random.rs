//! Repeatable random numbers from a seed.

use ramp_state::key::mix;

/// Source of pseudo-random numbers (SplitMix64).
#[derive(Clone, Debug)]
pub struct Random(u64);

impl Random {
    /// Source that gives the same numbers for the same `seed`.
    pub fn new(seed: u64) -> Random {
        Random(seed)
    }

    /// A number below `bound`; zero when `bound` is zero.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_add(1);
        let wide = u128::from(mix(self.0)) * u128::from(bound);
        (wide >> u64::BITS) as u64
    }
}
