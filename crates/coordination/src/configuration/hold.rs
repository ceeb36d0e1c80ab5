//! Waking late: a process whose time jumped holds traffic until a peer or the
//! platform confirmed its version, and no longer than a bound.

use std::time::Duration;

use ramp_state::time::Millis;

use crate::configuration::platform_calls::CallId;

/// Longest time that traffic is held.
pub const HOLD_TIMEOUT: Duration = Duration::from_secs(2);

/// Time in which messages may still come from before the jump: they lay in
/// the socket's buffer and confirm nothing.
pub const STALE_MESSAGE_WINDOW: Duration = Duration::from_millis(50);

/// Time between two rounds of questions to peers.
const REQUEST_PERIOD: Duration = Duration::from_millis(300);

/// A hold.
#[derive(Debug)]
pub struct Hold {
    started_at: Millis,
    next_round_at: Millis,
    rounds: u32,
    last_call_before_pause: CallId,
}

impl Hold {
    /// Hold from `now`; results of calls up to `last_call` don't confirm.
    pub fn new(now: Millis, last_call: CallId) -> Hold {
        Hold {
            started_at: now,
            next_round_at: now + STALE_MESSAGE_WINDOW,
            rounds: 0,
            last_call_before_pause: last_call,
        }
    }

    /// Number of the round of questions that is due, from 1.
    pub fn due_round(&mut self, now: Millis) -> Option<u32> {
        if now < self.next_round_at {
            return None;
        }
        self.rounds += 1;
        self.next_round_at = now + REQUEST_PERIOD;
        Some(self.rounds)
    }

    /// Whether a message that comes now was sent after the jump.
    pub fn accepts_messages(&self) -> bool {
        self.rounds > 0
    }

    /// Whether the result of `call` tells of the time after the jump.
    pub fn accepts_call(&self, call: CallId) -> bool {
        call > self.last_call_before_pause
    }

    /// Whether it has lasted as long as it may.
    pub fn has_timed_out(&self, now: Millis) -> bool {
        now >= self.started_at + HOLD_TIMEOUT
    }

    /// Moment to look again.
    pub fn next_check_at(&self) -> Millis {
        self.next_round_at.min(self.started_at + HOLD_TIMEOUT)
    }
}
