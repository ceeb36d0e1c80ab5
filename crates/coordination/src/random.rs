//! Pseudo-random numbers that a seed makes reproducible.

use std::time::Duration;

use fastrand::Rng;
use ramp_state::time::Millis;

/// Seeded generator of pseudo-random numbers; not for secrets.
#[derive(Clone, Debug)]
pub struct Random(Rng);

impl Random {
    /// Generator that yields the same sequence for the same `seed`.
    pub fn new(seed: u64) -> Random {
        Random(Rng::with_seed(seed))
    }

    /// Next number, uniform over all of `u64`.
    pub fn next_u64(&mut self) -> u64 {
        self.0.u64(..)
    }

    /// Number from zero up to but excluding `bound`; zero if `bound` is zero.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.0.u64(..bound.max(1))
    }

    /// True with probability `p`, from 0 to 1.
    pub fn chance(&mut self, p: f64) -> bool {
        self.0.f64() < p
    }

    /// Random time, in whole milliseconds, from `now` up to but excluding
    /// `now + span`; `now` itself if `span` is zero.
    pub fn within(&mut self, now: Millis, span: Duration) -> Millis {
        Millis(now.0 + self.below(span.as_millis() as u64))
    }

    /// Random element of `all`; `None` when it is empty.
    pub fn pick<'a, T>(&mut self, all: &'a [T]) -> Option<&'a T> {
        all.get(self.below(all.len() as u64) as usize)
    }
}
