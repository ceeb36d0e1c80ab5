//! Points in time, in milliseconds on a monotonic clock.
//!
//! The decision logic never reads a clock: its caller passes the current time
//! in, so that every run can be reproduced.

use std::ops::Add;
use std::ops::Sub;
use std::time::Duration;

/// Point in time on the monotonic clock of the calling process, in
/// milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Millis(pub u64);

impl Millis {
    /// Time elapsed since `earlier`; zero when `earlier` is later than `self`.
    pub fn since(self, earlier: Millis) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Millis {
    type Output = Millis;

    fn add(self, duration: Duration) -> Millis {
        Millis(self.0.saturating_add(duration.as_millis() as u64))
    }
}

impl Sub<Duration> for Millis {
    type Output = Millis;

    fn sub(self, duration: Duration) -> Millis {
        Millis(self.0.saturating_sub(duration.as_millis() as u64))
    }
}
