//! What one metric is kept in.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;

use hdrhistogram::Histogram;
use metrics::HistogramFn;
use metrics::Key;

/// Largest time that a histogram tells apart, in microseconds.
const MAX_TIME_US: u64 = 60_000_000;

/// Decimal digits that a histogram keeps of each time.
const SIGNIFICANT_DIGITS: u8 = 2;

/// Microseconds in a second.
const US_PER_S: f64 = 1e6;

/// Makes atomic counters and gauges, and histograms of times.
pub(super) struct Storage;

/// Histogram of times in seconds, to two digits.
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
        // Made with the first time: most processes record only some kinds.
        Arc::new(TimeHistogram(Mutex::new(None)))
    }
}

impl HistogramFn for TimeHistogram {
    fn record(&self, value: f64) {
        // A reader holds the lock only while it renders; one time that comes
        // then is not worth waiting for.
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
    /// Runs `f` on the times recorded so far, if there are any.
    pub(super) fn read(&self, f: impl FnOnce(&Histogram<u32>)) {
        if let Ok(held) = self.0.lock()
            && let Some(times) = &*held
        {
            f(times);
        }
    }
}

/// Seconds of a time that a histogram tells.
pub(super) fn seconds(us: f64) -> f64 {
    us / US_PER_S
}
