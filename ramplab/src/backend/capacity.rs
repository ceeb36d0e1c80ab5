//! What a backend server bears: its slots when warm, one request when cold,
//! and what happens when it gets more.

/// Factor by which requests take longer on an overloaded server.
pub const OVERLOAD_SLOWDOWN: u32 = 20;

/// Requests above what it bears that make a cold server fall over.
const EXCESS_LIMIT: u32 = 3;

/// Slots and cold start of one server.
#[derive(Clone, Debug)]
pub struct Capacity {
    slots: u32,
    warm_after: u32,
    in_progress: u32,
    /// Requests finished since it turned cold; none when warm.
    finished: Option<u32>,
    /// Requests above what it bore since it was last within it.
    excess: u32,
}

/// Whether a request gets in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Entry {
    /// Every slot is in use.
    Full,
    /// It runs in its ordinary time.
    Taken,
    /// It runs, slowly: the server got more than it bears.
    Overloaded,
    /// The server falls over.
    FellOver,
}

impl Capacity {
    /// Server with so many slots, warm after so many finished requests.
    pub fn new(slots: u32, warm_after: u32, cold: bool) -> Capacity {
        Capacity {
            slots,
            warm_after: warm_after.max(1),
            in_progress: 0,
            finished: cold.then_some(0),
            excess: 0,
        }
    }

    /// Requests in progress.
    pub fn in_progress(&self) -> u32 {
        self.in_progress
    }

    /// Requests in progress that it bears now.
    pub fn bears(&self) -> u32 {
        let Some(finished) = self.finished else {
            return self.slots;
        };
        let gained = u64::from(finished) * u64::from(self.slots) / u64::from(self.warm_after);
        (1 + gained as u32).min(self.slots)
    }

    /// Whether it bears less than its slots.
    pub fn is_cold(&self) -> bool {
        self.bears() < self.slots
    }

    /// Takes a request, unless every slot is in use.
    pub fn begin(&mut self) -> Entry {
        if self.in_progress >= self.slots {
            return Entry::Full;
        }
        self.in_progress += 1;
        if self.in_progress <= self.bears() {
            self.excess = 0;
            return Entry::Taken;
        }
        self.excess += 1;
        if self.excess >= EXCESS_LIMIT {
            return Entry::FellOver;
        }
        Entry::Overloaded
    }

    /// Ends a request; finished work warms, abandoned work does not.
    pub fn end(&mut self, finished: bool) {
        self.in_progress -= 1;
        if finished && let Some(count) = &mut self.finished {
            *count += 1;
        }
        if !self.is_cold() {
            self.finished = None;
        }
    }

    /// Turns cold; requests in progress stay.
    pub fn turn_cold(&mut self) {
        self.finished = Some(0);
        self.excess = 0;
    }

    /// Factor on the time that a request takes at this moment.
    pub fn slowdown(&self) -> u32 {
        if self.in_progress > self.bears() {
            OVERLOAD_SLOWDOWN
        } else {
            1
        }
    }
}
