//! Detects that this process was paused, so that it doesn't route traffic by
//! an outdated view.
//!
//! A pause is time in which the process does not run, as when a signal stops
//! it. Each traffic thread calls [`PauseDetector::record_turn`] in every turn
//! of its event loop. When more time has passed since the last turn than an
//! idle turn takes, the thread holds traffic until the configuration is
//! confirmed. Pauses are numbered, so that the confirmation after an earlier
//! pause does not end the hold of a later one.
//!
//! Packets that arrive during the hold, or waited at the socket during the
//! pause, are kept and handled after the hold. TCP doubles its retransmission
//! timeout: after a pause of some seconds, a caller may not retransmit a
//! dropped packet for as many seconds again.

use std::collections::VecDeque;
use std::time::Duration;

use ramp_state::time::Millis;

/// A thread that goes longer than this from one turn to the next was paused.
pub const PAUSE_THRESHOLD: Duration = Duration::from_millis(600);

/// Limit on packets kept while traffic is held; the rest are dropped.
const MAX_HELD_PACKETS: usize = 1024;

/// Number of a detected pause, counted from 1 per thread.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct PauseId(pub u64);

/// Detects pauses from the time between two turns of one thread's event loop.
#[derive(Clone, Copy, Debug)]
pub struct PauseDetector {
    last_turn: Millis,
    last_pause: PauseId,
    holding: bool,
}

impl PauseDetector {
    /// Detector for a thread that starts at `now`.
    pub fn new(now: Millis) -> PauseDetector {
        PauseDetector {
            last_turn: now,
            last_pause: PauseId(0),
            holding: false,
        }
    }

    /// Records a turn of the event loop. Returns the number of the pause when
    /// there was one since the last turn; traffic is then held.
    pub fn record_turn(&mut self, now: Millis) -> Option<PauseId> {
        let was_paused = now.since(self.last_turn) > PAUSE_THRESHOLD;
        self.last_turn = now;
        if !was_paused {
            return None;
        }
        self.last_pause.0 += 1;
        self.holding = true;
        Some(self.last_pause)
    }

    /// Ends the hold if `pause` is the last one: the configuration was
    /// confirmed after it.
    pub fn confirm(&mut self, pause: PauseId) {
        if pause == self.last_pause {
            self.holding = false;
        }
    }

    /// Whether this thread holds traffic after a pause.
    pub fn is_holding(&self) -> bool {
        self.holding
    }
}

/// Queue of packets that arrived while traffic was held, oldest first.
#[derive(Debug, Default)]
pub struct HeldPackets(VecDeque<Vec<u8>>);

impl HeldPackets {
    /// Appends a packet; returns false, and drops it, when the queue is full.
    pub fn keep(&mut self, packet: &[u8]) -> bool {
        if self.0.len() >= MAX_HELD_PACKETS {
            return false;
        }
        self.0.push_back(packet.to_vec());
        true
    }

    /// Removes and returns all packets.
    pub fn take(&mut self) -> impl Iterator<Item = Vec<u8>> + use<> {
        std::mem::take(&mut self.0).into_iter()
    }
}
