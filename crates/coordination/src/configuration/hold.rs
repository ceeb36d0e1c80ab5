//! State of the traffic hold after a pause of this process.
//!
//! A process that was paused may have missed newer versions. It holds traffic
//! until a peer or the platform confirms that its version is the newest, or
//! until [`HOLD_TIMEOUT`]. [`Hold`] tracks the rounds of requests to peers and
//! which answers count: only those sent after the pause.

use std::time::Duration;

use ramp_state::time::Millis;

use crate::configuration::platform_calls::CallId;

/// Traffic is held for at most this time, confirmed or not.
pub const HOLD_TIMEOUT: Duration = Duration::from_secs(2);

/// Time after a pause in which messages confirm nothing: they may have been
/// sent before or during the pause and have waited in the socket's buffer.
pub const STALE_MESSAGE_WINDOW: Duration = Duration::from_millis(50);

/// Time between two rounds of version requests to peers.
const REQUEST_PERIOD: Duration = Duration::from_millis(300);

/// A traffic hold, from a pause to its confirmation or timeout.
#[derive(Debug)]
pub struct Hold {
    started_at: Millis,
    next_round_at: Millis,
    rounds: u32,
    last_call_before_pause: CallId,
}

impl Hold {
    /// Starts a hold at `now`. Results of platform calls up to `last_call`
    /// confirm nothing, since those calls were made before the pause.
    pub fn new(now: Millis, last_call: CallId) -> Hold {
        Hold {
            started_at: now,
            next_round_at: now + STALE_MESSAGE_WINDOW,
            rounds: 0,
            last_call_before_pause: last_call,
        }
    }

    /// Returns the number of the round of requests that is due, from 1, and
    /// schedules the next one.
    pub fn due_round(&mut self, now: Millis) -> Option<u32> {
        if now < self.next_round_at {
            return None;
        }
        self.rounds += 1;
        self.next_round_at = now + REQUEST_PERIOD;
        Some(self.rounds)
    }

    /// Whether a message that arrives now can confirm the version: it does
    /// once the first round of requests was sent.
    pub fn accepts_messages(&self) -> bool {
        self.rounds > 0
    }

    /// Whether the platform call `call` was made after the pause, so that its
    /// result can confirm the version.
    pub fn accepts_call(&self, call: CallId) -> bool {
        call > self.last_call_before_pause
    }

    /// Whether the hold has lasted for [`HOLD_TIMEOUT`].
    pub fn has_timed_out(&self, now: Millis) -> bool {
        now >= self.started_at + HOLD_TIMEOUT
    }

    /// Moment of the next round or of the timeout, whichever is first.
    pub fn next_check_at(&self) -> Millis {
        self.next_round_at.min(self.started_at + HOLD_TIMEOUT)
    }
}
