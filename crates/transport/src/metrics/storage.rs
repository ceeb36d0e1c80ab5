//! Storage for the value of each metric: atomic counters and gauges, and
//! histograms of times.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;

use hdrhistogram::Histogram;
use metrics::HistogramFn;
use metrics::Key;

/// Largest time in a histogram, in microseconds; longer times are recorded as
/// this one.
const MAX_TIME_US: u64 = 60_000_000;

/// Precision of the times in a histogram, in significant decimal digits.
const SIGNIFICANT_DIGITS: u8 = 2;

/// Microseconds in a second.
const US_PER_S: f64 = 1e6;

/// Creates the storage of a new metric.
pub(super) struct Storage;

/// Histogram of times. They are recorded in seconds and kept in microseconds.
pub(super) struct TimeHistogram(Mutex<Option<Histogram<u32>>>);

impl metrics_util::registry::Storage<Key> for Storage {
    type Counter = Arc<AtomicU64>;
    type Gauge = Arc<AtomicU64>;
    type Histogram = Arc<TimeHistogram>;

    fn counter(&self, _: &Key) -> Arc<AtomicU64> {
        Arc::default()
    }

    fn gauge(&self, _: &Key) -> Arc<AtomicU64> {
        Arc::default()
    }

    fn histogram(&self, _: &Key) -> Arc<TimeHistogram> {
        // Allocated when the first time is recorded, because most processes use
        // only some of the histograms.
        Arc::new(TimeHistogram(Mutex::new(None)))
    }
}

impl HistogramFn for TimeHistogram {
    fn record(&self, value: f64) {
        // The lock is held while the metrics are rendered. A time recorded
        // meanwhile is dropped, as it is not worth blocking this thread.
        let Ok(mut held) = self.0.try_lock() else {
            return;
        };
        let times = match &mut *held {
            Some(times) => times,
            None => match Histogram::new_with_bounds(1, MAX_TIME_US, SIGNIFICANT_DIGITS) {
                Ok(times) => held.insert(times),
                Err(_) => return,
            },
        };
        times.saturating_record((value * US_PER_S) as u64);
    }
}

impl TimeHistogram {
    /// Calls `f` with the histogram, if any time was recorded so far.
    pub(super) fn read(&self, f: impl FnOnce(&Histogram<u32>)) {
        if let Ok(held) = self.0.lock()
            && let Some(times) = &*held
        {
            f(times);
        }
    }
}

/// Converts a time from a histogram to seconds.
pub(super) fn seconds(us: f64) -> f64 {
    us / US_PER_S
}
