//! Repeatable random numbers for jitter and choices.

use std::time::Duration;

use ramp_state::key::mix;
use ramp_state::time::Millis;

/// Step of the state of SplitMix64.
const STEP: u64 = 0x9e37_79b9_7f4a_7c15;

/// Random numbers from a seed (SplitMix64). Nothing secret is made of them.
#[derive(Clone, Debug)]
pub struct Dice(u64);

impl Dice {
    /// Numbers that follow from `seed`.
    pub fn new(seed: u64) -> Dice {
        Dice(mix(seed))
    }

    /// Next number.
    pub fn next_u64(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(STEP);
        mix(self.0)
    }

    /// Number below `limit`; zero when that is zero.
    pub fn below(&mut self, limit: u64) -> u64 {
        let wide = u128::from(self.next_u64()) * u128::from(limit);
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
