//! Monotonic clock of the process, and its incarnation from the wall clock.

use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use ramp_state::key::Incarnation;
use ramp_state::time::Millis;

/// Monotonic clock that starts with the process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Clock that starts now.
    pub fn start() -> Clock {
        Clock {
            start: Instant::now(),
        }
    }

    /// Instant at which the clock reads zero.
    pub fn epoch(&self) -> Instant {
        self.start
    }

    /// Time since the clock started.
    pub fn now(&self) -> Millis {
        Millis(self.start.elapsed().as_millis() as u64)
    }
}

/// Incarnation of this process: the wall clock in microseconds, so that each
/// restart of the same instance gets a higher one.
pub fn incarnation() -> Incarnation {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    Incarnation(since.map_or(0, |d| d.as_micros() as u64))
}
