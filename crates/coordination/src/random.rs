//! Repeatable random numbers from a seed.

use std::time::Duration;

use ramp_state::key::mix;
use ramp_state::time::Millis;

/// Source of pseudo-random numbers (SplitMix64). Nothing secret is made of
/// them.
#[derive(Clone, Debug)]
pub struct Random(u64);

impl Random {
    /// Source that gives the same numbers for the same `seed`.
    pub fn new(seed: u64) -> Random {
        Random(seed)
    }

    /// The next number.
    pub fn next_u64(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(1);
        mix(self.0)
    }

    /// A number below `bound`; zero when `bound` is zero.
    pub fn below(&mut self, bound: u64) -> u64 {
        let wide = u128::from(self.next_u64()) * u128::from(bound);
        (wide >> u64::BITS) as u64
    }

    /// Moment after `now`, by less than `span` and to the millisecond.
    pub fn within(&mut self, now: Millis, span: Duration) -> Millis {
        Millis(now.0 + self.below(span.as_millis() as u64))
    }

    /// One of `all`; none when there is none.
    pub fn pick<'a, T>(&mut self, all: &'a [T]) -> Option<&'a T> {
        all.get(self.below(all.len() as u64) as usize)
    }
}
