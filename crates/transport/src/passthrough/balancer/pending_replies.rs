//! Packets whose questions may stay unanswered.

use std::collections::VecDeque;
use std::time::Duration;

use ramp_coordination::passthrough::balancer::Action;
use ramp_coordination::passthrough::balancer::OWNER_QUERY_INTERVAL;
use ramp_coordination::passthrough::balancer::OWNER_REPLY_TIMEOUT;
use ramp_protocol::frame::Inquiry;
use ramp_protocol::packet::Segment;
use ramp_state::time::Millis;

/// Packets of open flows that are kept for the case of no answer; callers send
/// beyond that again themselves.
const PENDING_PACKETS: usize = 256;

/// How often a question is repeated without another packet of the caller, after
/// pauses that double: for about as long as its own longest pause.
const REPEATS: u32 = 3;

/// A packet that was sent with a question.
pub(super) struct PendingPacket {
    due: Millis,
    pub(super) packet: Vec<u8>,
    /// How often its question was repeated.
    pub(super) repeats: u32,
}

/// Packets in the order in which their answers are due.
#[derive(Default)]
pub(super) struct PendingReplies(VecDeque<PendingPacket>);

impl PendingReplies {
    /// Keeps a packet if an answer is due for it.
    pub(super) fn add(
        &mut self,
        now: Millis,
        seg: &Segment,
        step: &Action,
        packet: &[u8],
        repeats: u32,
    ) {
        let limit = match step {
            Action::Forward { inquiry, .. } if *inquiry != Inquiry::None => OWNER_REPLY_TIMEOUT,
            Action::QueryOwner(_) => OWNER_QUERY_INTERVAL * (1 << repeats.min(REPEATS)),
            _ => return,
        };
        let full = self.0.len() >= PENDING_PACKETS || repeats > REPEATS;
        if full && !seg.opens {
            return;
        }
        let pending = PendingPacket {
            due: now + limit,
            packet: packet.to_vec(),
            repeats,
        };
        self.insert(pending);
    }

    /// Keeps a packet on whose answer more time was given.
    pub(super) fn add_again(&mut self, due: Millis, pending: PendingPacket) {
        self.insert(PendingPacket { due, ..pending });
    }

    fn insert(&mut self, pending: PendingPacket) {
        let at = self.0.partition_point(|p| p.due <= pending.due);
        self.0.insert(at, pending);
    }

    /// A packet whose answer is overdue.
    pub(super) fn overdue(&mut self, now: Millis) -> Option<PendingPacket> {
        self.0.pop_front_if(|p| now >= p.due)
    }

    /// Time until the next answer is due; none when none is.
    pub(super) fn time_left(&self, now: Millis) -> Option<Duration> {
        self.0.front().map(|p| p.due.since(now))
    }
}
