//! Waking late: a process whose time jumped holds traffic until a peer or the
//! platform confirmed its version, and no longer than a bound.

use std::time::Duration;

use ramp_state::time::Millis;

use crate::configuration::watch::CallId;

/// Longest time that traffic is held.
pub const HOLD_LIMIT: Duration = Duration::from_secs(2);

/// Time in which messages may still come from before the jump: they lay in
/// the socket's buffer and confirm nothing.
pub const BACKLOG_LIMIT: Duration = Duration::from_millis(50);

/// Time between two rounds of questions to peers.
const ASK_PERIOD: Duration = Duration::from_millis(300);

/// A hold.
#[derive(Debug)]
pub struct Hold {
    began: Millis,
    next_round: Millis,
    rounds: u32,
    last_call_before: CallId,
}

impl Hold {
    /// Hold from `now`; results of calls up to `last_call` don't confirm.
    pub fn new(now: Millis, last_call: CallId) -> Hold {
        Hold {
            began: now,
            next_round: now + BACKLOG_LIMIT,
            rounds: 0,
            last_call_before: last_call,
        }
    }

    /// Number of the round of questions that is due, from 1.
    pub fn due(&mut self, now: Millis) -> Option<u32> {
        if now < self.next_round {
            return None;
        }
        self.rounds += 1;
        self.next_round = now + ASK_PERIOD;
        Some(self.rounds)
    }

    /// Whether a message that comes now was sent after the jump.
    pub fn heeds_messages(&self) -> bool {
        self.rounds > 0
    }

    /// Whether the result of `call` tells of the time after the jump.
    pub fn heeds_call(&self, call: CallId) -> bool {
        call > self.last_call_before
    }

    /// Whether it has lasted as long as it may.
    pub fn is_over(&self, now: Millis) -> bool {
        now >= self.began + HOLD_LIMIT
    }

    /// Moment to look again.
    pub fn timer(&self) -> Millis {
        self.next_round.min(self.began + HOLD_LIMIT)
    }
}
