//! New flows that wait beside a full server: the pattern after a loss of
//! power, when everybody comes back at the same moment.
//!
//! The one whose caller began last goes first. Those that began before are late
//! already and lose little by waiting longer; served in their order, they would
//! make all later ones late too. After an outage the first packet that arrives
//! is often a late copy, so its age counts, not its arrival. Nobody waits for
//! long: who is given up on is told at once.

use std::net::Ipv4Addr;
use std::time::Duration;

use ramp_protocol::packet::Segment;
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
    /// When its caller first sent the opening.
    begun_at: Millis,
    /// Since when it waits here.
    since: Millis,
}

/// New flows that wait, the one that began first at the front.
#[derive(Clone, Debug, Default)]
pub(super) struct Waiting(Vec<Waiter>);

impl Waiting {
    /// Lets the flow of an opening packet wait; false when there is no room.
    pub(super) fn add(&mut self, seg: &Segment, from: Ipv4Addr, now: Millis) -> bool {
        if self.0.len() >= ROOM_FLOWS {
            return false;
        }
        let begun_at = now - seg.opening_age;
        let at = self.0.partition_point(|w| w.begun_at <= begun_at);
        let waiter = Waiter {
            flow: seg.key,
            from,
            seq: seg.seq,
            begun_at,
            since: now,
        };
        self.0.insert(at, waiter);
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
        let late = |w: &Waiter| now.since(w.since) >= WAIT_LIMIT;
        let at = self.0.iter().position(late)?;
        Some(self.0.remove(at))
    }

    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Gives up all that wait, the oldest first.
    pub(super) fn any(&mut self) -> Option<Waiter> {
        (!self.0.is_empty()).then(|| self.0.remove(0))
    }
}
