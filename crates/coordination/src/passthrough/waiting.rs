//! New flows that wait beside a full server: the pattern after a loss of
//! power, when everybody comes back at the same moment.
//!
//! The newest goes first. Those that came before are late already and lose
//! little by waiting longer; served in their order, they would make all later
//! ones late too. Nobody waits for long: who is given up on is told at once.

use std::net::Ipv4Addr;
use std::time::Duration;

use ramp_state::key::FlowKey;
use ramp_state::time::Millis;

/// Longest wait of a new flow.
const WAIT_LIMIT: Duration = Duration::from_millis(800);

/// New flows that wait at most.
const ROOM_FLOWS: usize = 64;

/// A new flow that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Waiter {
    pub(super) flow: FlowKey,
    /// Balancer that sent it.
    pub(super) from: Ipv4Addr,
    /// Sequence number of its opening packet.
    pub(super) seq: u32,
    since: Millis,
}

/// New flows that wait, the oldest first.
#[derive(Clone, Debug, Default)]
pub(super) struct Waiting(Vec<Waiter>);

impl Waiting {
    /// Lets a flow wait; false when there is no room.
    pub(super) fn add(&mut self, flow: FlowKey, seq: u32, from: Ipv4Addr, now: Millis) -> bool {
        if self.0.len() >= ROOM_FLOWS {
            return false;
        }
        self.0.push(Waiter {
            flow,
            from,
            seq,
            since: now,
        });
        true
    }

    pub(super) fn contains(&self, flow: &FlowKey) -> bool {
        self.0.iter().any(|w| w.flow == *flow)
    }

    /// The flow that is let in next.
    pub(super) fn newest(&mut self) -> Option<Waiter> {
        self.0.pop()
    }

    /// The next flow that has waited for too long.
    pub(super) fn overdue(&mut self, now: Millis) -> Option<Waiter> {
        let oldest = self.0.first()?;
        if now.since(oldest.since) < WAIT_LIMIT {
            return None;
        }
        Some(self.0.remove(0))
    }

    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Gives up all that wait, the oldest first.
    pub(super) fn any(&mut self) -> Option<Waiter> {
        (!self.0.is_empty()).then(|| self.0.remove(0))
    }
}
