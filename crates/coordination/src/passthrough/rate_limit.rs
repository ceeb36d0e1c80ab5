//! Rate limiter over a sliding window of one second.
//!
//! It limits the new flows of a server in its cold start, and the copies of
//! packets to agents that don't answer. No second, wherever it begins, may hold
//! more events than the limit. Unlike a token bucket it allows no burst beyond
//! that.

use std::collections::VecDeque;
use std::time::Duration;

use ramp_state::time::Millis;

/// Length of the sliding window.
const WINDOW: Duration = Duration::from_millis(1000);

/// Times of the events within the last [`WINDOW`].
#[derive(Clone, Debug, Default)]
pub(super) struct RateLimiter {
    recorded_at: VecDeque<Millis>,
}

impl RateLimiter {
    /// Records an event and returns true, unless `limit` events were recorded
    /// within the last second.
    pub(super) fn try_acquire(&mut self, now: Millis, limit: usize) -> bool {
        self.evict_old(now);
        if self.recorded_at.len() >= limit {
            return false;
        }
        self.recorded_at.push_back(now);
        true
    }

    /// Records an event without checking the limit.
    pub(super) fn record(&mut self, now: Millis) {
        self.evict_old(now);
        self.recorded_at.push_back(now);
    }

    /// Time of the last event.
    pub(super) fn last(&self) -> Option<Millis> {
        self.recorded_at.back().copied()
    }

    /// Time until the `n`th event from now on is allowed, if each one before it
    /// happens as soon as it is allowed. `limit` must not be zero.
    pub(super) fn time_until(&self, now: Millis, limit: usize, n: usize) -> Duration {
        if n > limit {
            return self.time_until(now, limit, n - limit) + WINDOW;
        }
        let Some(at) = (self.recorded_at.len() + n).checked_sub(limit + 1) else {
            return Duration::ZERO;
        };
        let freed_by = self.recorded_at.get(at);
        freed_by.map_or(Duration::ZERO, |by| (*by + WINDOW).since(now))
    }

    fn evict_old(&mut self, now: Millis) {
        while self
            .recorded_at
            .front()
            .is_some_and(|at| now.since(*at) >= WINDOW)
        {
            self.recorded_at.pop_front();
        }
    }
}
