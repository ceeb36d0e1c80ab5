//! Load reports of the simulated backend server. To test that consumers don't rely
//! on them, they can be delayed, and a random share of them can be false.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use ramp_coordination::random::Random;
use serde::Serialize;

/// Load of a backend server, in the JSON format of `GET /load`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct LoadReport {
    /// Requests in progress, feeds not included.
    pub in_progress: u32,
    /// Current concurrency limit, below `slots` during cold start.
    pub bears: u32,
    /// Concurrency limit when warm.
    pub slots: u32,
    /// Open TCP connections, feeds included.
    pub connections: u32,
}

/// Keeps recent loads and reports the one from `lag` ago.
#[derive(Debug)]
pub struct LoadReports {
    lag: Duration,
    past: VecDeque<(Instant, LoadReport)>,
}

impl LoadReports {
    /// Creates reports that are `lag` old.
    pub fn new(lag: Duration) -> LoadReports {
        LoadReports {
            lag,
            past: VecDeque::new(),
        }
    }

    /// Records the load at `now` and drops those older than the lag requires.
    pub fn record(&mut self, now: Instant, load: LoadReport) {
        self.past.push_back((now, load));
        while self.past.len() > 1 && now.duration_since(self.past[1].0) >= self.lag {
            self.past.pop_front();
        }
    }

    /// The delayed report as of the last [`LoadReports::record`].
    pub fn current(&self) -> LoadReport {
        self.past.front().map(|(_, load)| *load).unwrap_or_default()
    }
}

/// Replaces the requests in progress by a random number and reports the limit of
/// a warm server.
pub fn false_report(rng: &mut Random, load: LoadReport) -> LoadReport {
    LoadReport {
        in_progress: rng.below(u64::from(load.slots) + 1) as u32,
        bears: load.slots,
        ..load
    }
}
