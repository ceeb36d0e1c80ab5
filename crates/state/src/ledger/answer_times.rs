//! Histogram of the answer times of served requests, with fixed buckets.

use std::time::Duration;

/// Inclusive upper bounds of the buckets, in milliseconds. One more bucket, without
/// a bound, holds longer times.
pub const BUCKET_BOUNDS_MS: [u64; 31] = [
    1, 2, 3, 5, 7, 10, 15, 20, 30, 50, 70, 100, 150, 200, 300, 500, 700, 1_000, 1_500, 2_000,
    3_000, 5_000, 7_000, 10_000, 15_000, 20_000, 30_000, 60_000, 300_000, 1_800_000, 3_600_000,
];

/// Number of buckets, with the unbounded one.
pub const BUCKET_COUNT: usize = BUCKET_BOUNDS_MS.len() + 1;

/// Histogram of answer times.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AnswerTimes {
    buckets: [u64; BUCKET_COUNT],
}

impl AnswerTimes {
    /// Creates a histogram from the counts of its buckets; missing counts are
    /// zero, surplus ones are ignored.
    pub fn from_buckets(counts: impl IntoIterator<Item = u64>) -> AnswerTimes {
        let mut times = AnswerTimes::default();
        for (bucket, count) in times.buckets.iter_mut().zip(counts) {
            *bucket = count;
        }
        times
    }

    /// Counts one answer.
    pub fn add(&mut self, took: Duration) {
        // Bounds are inclusive, so the time is rounded up to whole milliseconds.
        let ms = took.as_micros().div_ceil(1_000) as u64;
        let index = BUCKET_BOUNDS_MS.partition_point(|bound| *bound < ms);
        self.buckets[index] = self.buckets[index].saturating_add(1);
    }

    /// Adds the counts of `other`.
    pub fn merge(&mut self, other: &AnswerTimes) {
        for (x, y) in self.buckets.iter_mut().zip(other.buckets) {
            *x = x.saturating_add(y);
        }
    }

    /// Number of answers.
    pub fn total(&self) -> u64 {
        saturating_sum(&self.buckets)
    }

    /// Number of answers in the buckets up to `limit`. Exact when `limit` is one
    /// of [`BUCKET_BOUNDS_MS`], otherwise a lower bound.
    pub fn count_within(&self, limit: Duration) -> u64 {
        let ms = limit.as_millis() as u64;
        let bucket_count = BUCKET_BOUNDS_MS.partition_point(|bound| *bound <= ms);
        saturating_sum(&self.buckets[..bucket_count])
    }

    /// Quantile at `ppm` parts per million, rounded up to the bound of its bucket;
    /// `None` without answers or when it lies in the unbounded bucket.
    pub fn quantile(&self, ppm: u32) -> Option<Duration> {
        let total = self.total();
        let rank = (u128::from(total) * u128::from(ppm)).div_ceil(1_000_000) as u64;
        let mut seen = 0;
        for (bound, count) in BUCKET_BOUNDS_MS.iter().zip(self.buckets) {
            seen = u64::saturating_add(seen, count);
            if total > 0 && seen >= rank {
                return Some(Duration::from_millis(*bound));
            }
        }
        None
    }

    /// Counts of the buckets, in order of [`BUCKET_BOUNDS_MS`].
    pub fn buckets(&self) -> &[u64; BUCKET_COUNT] {
        &self.buckets
    }
}

/// Saturating sum, because counts also come from other processes and may be
/// arbitrarily large.
fn saturating_sum(counts: &[u64]) -> u64 {
    counts.iter().fold(0, |sum, n| sum.saturating_add(*n))
}
