//! Waking late: a process that was paused must not act on its old view.
//!
//! Each traffic thread asks [`WakeGuard::turn`] before it acts. When more
//! time has passed since its last turn than an idle turn takes, it holds
//! traffic until the configuration is confirmed. Wakes are numbered, so that
//! a confirmation of an earlier wake does not end the hold of a later one.

use std::time::Duration;

use ramp_state::time::Millis;

/// Longest time between two turns of a thread that was not paused.
pub const LATE_LIMIT: Duration = Duration::from_millis(600);

/// Number of a wake, from 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Wake(pub u64);

/// Watches the turns of one thread.
#[derive(Clone, Copy, Debug)]
pub struct WakeGuard {
    last_turn: Millis,
    wake: Wake,
    holding: bool,
}

impl WakeGuard {
    /// Guard of a thread that starts at `now`.
    pub fn new(now: Millis) -> WakeGuard {
        WakeGuard {
            last_turn: now,
            wake: Wake(0),
            holding: false,
        }
    }

    /// Takes note of a turn; gives the number of the wake when it came late.
    pub fn turn(&mut self, now: Millis) -> Option<Wake> {
        let late = now.since(self.last_turn) > LATE_LIMIT;
        self.last_turn = now;
        if !late {
            return None;
        }
        self.wake.0 += 1;
        self.holding = true;
        Some(self.wake)
    }

    /// Takes note that the configuration was confirmed after wake `wake`.
    pub fn confirm(&mut self, wake: Wake) {
        if wake == self.wake {
            self.holding = false;
        }
    }

    /// Whether traffic is held.
    pub fn is_holding(&self) -> bool {
        self.holding
    }
}
