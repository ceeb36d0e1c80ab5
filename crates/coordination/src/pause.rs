//! Waking late: a process that was paused must not act on its old view.
//!
//! Each traffic thread asks [`PauseDetector::record_turn`] before it acts. When more
//! time has passed since its last turn than an idle turn takes, it holds
//! traffic until the configuration is confirmed. Wakes are numbered, so that
//! a confirmation of an earlier wake does not end the hold of a later one.
//!
//! What comes meanwhile, and what waited at the socket during the pause, is
//! kept for after the hold. Callers' TCP doubles its pauses: by the time of a
//! pause of some seconds, their next try may be as many seconds away.

use std::collections::VecDeque;
use std::time::Duration;

use ramp_state::time::Millis;

/// Longest time between two turns of a thread that was not paused.
pub const PAUSE_THRESHOLD: Duration = Duration::from_millis(600);

/// Packets kept while traffic is held; the rest are dropped.
const MAX_HELD_PACKETS: usize = 1024;

/// Number of a wake, from 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct PauseId(pub u64);

/// Watches the turns of one thread.
#[derive(Clone, Copy, Debug)]
pub struct PauseDetector {
    last_turn: Millis,
    wake: PauseId,
    holding: bool,
}

impl PauseDetector {
    /// Guard of a thread that starts at `now`.
    pub fn new(now: Millis) -> PauseDetector {
        PauseDetector {
            last_turn: now,
            wake: PauseId(0),
            holding: false,
        }
    }

    /// Takes note of a turn; gives the number of the wake when it came late.
    pub fn record_turn(&mut self, now: Millis) -> Option<PauseId> {
        let late = now.since(self.last_turn) > PAUSE_THRESHOLD;
        self.last_turn = now;
        if !late {
            return None;
        }
        self.wake.0 += 1;
        self.holding = true;
        Some(self.wake)
    }

    /// Takes note that the configuration was confirmed after wake `wake`.
    pub fn confirm(&mut self, wake: PauseId) {
        if wake == self.wake {
            self.holding = false;
        }
    }

    /// Whether traffic is held.
    pub fn is_holding(&self) -> bool {
        self.holding
    }
}

/// Packets that came while traffic was held, the oldest first.
#[derive(Debug, Default)]
pub struct HeldPackets(VecDeque<Vec<u8>>);

impl HeldPackets {
    /// Keeps a packet; false when there is no room.
    pub fn keep(&mut self, packet: &[u8]) -> bool {
        if self.0.len() >= MAX_HELD_PACKETS {
            return false;
        }
        self.0.push_back(packet.to_vec());
        true
    }

    /// Takes out all that were kept.
    pub fn take(&mut self) -> impl Iterator<Item = Vec<u8>> + use<> {
        std::mem::take(&mut self.0).into_iter()
    }
}
