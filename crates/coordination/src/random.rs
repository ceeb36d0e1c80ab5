//! Repeatable random numbers from a seed.

use std::time::Duration;

use fastrand::Rng;
use ramp_state::time::Millis;

/// Source of pseudo-random numbers. Nothing secret is made of them.
#[derive(Clone, Debug)]
pub struct Random(Rng);

impl Random {
    /// Source that gives the same numbers for the same `seed`.
    pub fn new(seed: u64) -> Random {
        Random(Rng::with_seed(seed))
    }

    /// The next number.
    pub fn next_u64(&mut self) -> u64 {
        self.0.u64(..)
    }

    /// A number below `bound`; zero when `bound` is zero.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.0.u64(..bound.max(1))
    }

    /// True with probability `p`, from 0 to 1.
    pub fn chance(&mut self, p: f64) -> bool {
        self.0.f64() < p
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
