//! New flows of a server in cold start: never more in any one second than it
//! bears.

use std::collections::VecDeque;
use std::time::Duration;

use ramp_state::time::Millis;

/// Length of the window that is counted.
const WINDOW: Duration = Duration::from_millis(1000);

/// Counts over a sliding window.
#[derive(Clone, Debug, Default)]
pub(super) struct RateLimiter {
    taken: VecDeque<Millis>,
}

impl RateLimiter {
    /// Takes one, unless `limit` were taken within the last second.
    pub(super) fn try_acquire(&mut self, now: Millis, limit: usize) -> bool {
        self.forget(now);
        if self.taken.len() >= limit {
            return false;
        }
        self.taken.push_back(now);
        true
    }

    /// Counts one that is not limited.
    pub(super) fn record(&mut self, now: Millis) {
        self.forget(now);
        self.taken.push_back(now);
    }

    fn forget(&mut self, now: Millis) {
        while self
            .taken
            .front()
            .is_some_and(|at| now.since(*at) >= WINDOW)
        {
            self.taken.pop_front();
        }
    }
}
