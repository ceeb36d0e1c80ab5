//! Concurrency limit of the simulated backend server.
//!
//! A warm server runs as many requests at once as it has slots. A cold one starts
//! at one request, and its limit grows with each finished request. Above the limit
//! it slows down, and after several excess requests it crashes.

/// Factor by which the service time grows while a server is above its limit.
pub const OVERLOAD_SLOWDOWN: u32 = 20;

/// Number of requests accepted above the limit at which a cold server crashes.
const CRASH_EXCESS_REQUESTS: u32 = 3;

/// Slots, requests in progress and cold start progress of one server.
#[derive(Clone, Debug)]
pub struct Capacity {
    slots: u32,
    warm_after: u32,
    in_progress: u32,
    /// Requests finished since the cold start began; `None` when warm.
    finished_since_cold: Option<u32>,
    /// Requests accepted above the limit since one was last accepted within it.
    excess: u32,
}

/// Result of starting a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartResult {
    /// Not started, as every slot is in use.
    Rejected,
    /// Started within the limit; takes the normal service time.
    Accepted,
    /// Started above the limit; takes [`OVERLOAD_SLOWDOWN`] times as long.
    Overloaded,
    /// Started, but the server now crashes from overload.
    Crashed,
}

impl Capacity {
    /// Server with this many slots, which a cold start takes `warm_after` finished
    /// requests to reach.
    pub fn new(slots: u32, warm_after: u32, cold: bool) -> Capacity {
        Capacity {
            slots,
            warm_after: warm_after.max(1),
            in_progress: 0,
            finished_since_cold: cold.then_some(0),
            excess: 0,
        }
    }

    /// Requests started and not yet ended, including those above the limit.
    pub fn in_progress(&self) -> u32 {
        self.in_progress
    }

    /// Requests that the server can run at once now without overload.
    pub fn limit(&self) -> u32 {
        let Some(finished) = self.finished_since_cold else {
            return self.slots;
        };
        let gained = u64::from(finished) * u64::from(self.slots) / u64::from(self.warm_after);
        (1 + gained as u32).min(self.slots)
    }

    /// Whether the limit is still below the number of slots.
    pub fn is_cold(&self) -> bool {
        self.limit() < self.slots
    }

    /// Starts a request, unless every slot is in use.
    pub fn begin(&mut self) -> StartResult {
        if self.in_progress >= self.slots {
            return StartResult::Rejected;
        }
        self.in_progress += 1;
        if self.in_progress <= self.limit() {
            self.excess = 0;
            return StartResult::Accepted;
        }
        self.excess += 1;
        if self.excess >= CRASH_EXCESS_REQUESTS {
            return StartResult::Crashed;
        }
        StartResult::Overloaded
    }

    /// Ends a request. Only finished requests count towards the end of the cold
    /// start, abandoned ones don't.
    pub fn end(&mut self, finished: bool) {
        self.in_progress -= 1;
        if finished && let Some(count) = &mut self.finished_since_cold {
            *count += 1;
        }
        if !self.is_cold() {
            self.finished_since_cold = None;
        }
    }

    /// Enters cold start; requests in progress go on.
    pub fn enter_cold_start(&mut self) {
        self.finished_since_cold = Some(0);
        self.excess = 0;
    }

    /// Factor to apply to the service time of a request at this moment.
    pub fn slowdown(&self) -> u32 {
        if self.in_progress > self.limit() {
            OVERLOAD_SLOWDOWN
        } else {
            1
        }
    }
}
