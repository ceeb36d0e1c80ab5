//! Load reports that lag and, by seed, lie.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use ramp_coordination::random::Random;
use serde::Serialize;

/// Load of a backend server as its endpoint tells it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct LoadReport {
    /// Requests in progress.
    pub in_progress: u32,
    /// Requests that it bears at once.
    pub bears: u32,
    /// Requests that it runs at once when warm.
    pub slots: u32,
    /// Open connections.
    pub connections: u32,
}

/// Past loads, of which an old one is told.
#[derive(Debug)]
pub struct LoadReports {
    lag: Duration,
    past: VecDeque<(Instant, LoadReport)>,
}

impl LoadReports {
    /// Reports that are `lag` old.
    pub fn new(lag: Duration) -> LoadReports {
        LoadReports {
            lag,
            past: VecDeque::new(),
        }
    }

    /// Notes the load at `now`.
    pub fn note(&mut self, now: Instant, load: LoadReport) {
        self.past.push_back((now, load));
        while self.past.len() > 1 && now.duration_since(self.past[1].0) >= self.lag {
            self.past.pop_front();
        }
    }

    /// The report given out after [`LoadReports::note`].
    pub fn told(&self) -> LoadReport {
        self.past.front().map(|(_, load)| *load).unwrap_or_default()
    }
}

/// A false report in place of a true one.
pub fn lie(rng: &mut Random, load: LoadReport) -> LoadReport {
    LoadReport {
        in_progress: rng.below(u64::from(load.slots) + 1) as u32,
        bears: load.slots,
        ..load
    }
}
