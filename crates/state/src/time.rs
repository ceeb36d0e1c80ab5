//! Time as the decision logic sees it: milliseconds on a monotonic clock.
//!
//! The decision logic never reads a clock. Whoever drives it passes the
//! current moment in, which makes every run repeatable.

use std::ops::Add;
use std::ops::Sub;
use std::time::Duration;

/// Moment on the driver's monotonic clock, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Millis(pub u64);

impl Millis {
    /// Time passed since `earlier`; zero when `earlier` is in the future.
    pub fn since(self, earlier: Millis) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Millis {
    type Output = Millis;

    fn add(self, span: Duration) -> Millis {
        Millis(self.0.saturating_add(span.as_millis() as u64))
    }
}

impl Sub<Duration> for Millis {
    type Output = Millis;

    fn sub(self, span: Duration) -> Millis {
        Millis(self.0.saturating_sub(span.as_millis() as u64))
    }
}
