//! Packets for which an agent's reply is due. A packet is handled again if its
//! reply is overdue.

use std::collections::VecDeque;
use std::time::Duration;

use ramp_coordination::passthrough::balancer::Action;
use ramp_coordination::passthrough::balancer::OWNER_QUERY_INTERVAL;
use ramp_coordination::passthrough::balancer::OWNER_REPLY_TIMEOUT;
use ramp_protocol::frame::Inquiry;
use ramp_protocol::packet::Segment;
use ramp_state::time::Millis;

/// Maximum number of packets of open flows that are kept. Callers have to
/// retransmit any further ones.
const MAX_PENDING_PACKETS: usize = 256;

/// Maximum number of repeats of an owner query without another packet of the
/// caller. The interval doubles each time, so that together they last about as
/// long as the caller's longest retransmission interval.
const MAX_REPEATS: u32 = 3;

/// A packet that was sent to agents and needs a reply.
pub(super) struct PendingPacket {
    due: Millis,
    pub(super) packet: Vec<u8>,
    /// Number of repeats of its owner query so far.
    pub(super) repeats: u32,
}

/// Packets in the order in which their replies are due.
#[derive(Default)]
pub(super) struct PendingReplies(VecDeque<PendingPacket>);

impl PendingReplies {
    /// Keeps a packet if `action` expects a reply. `link_delay` is the part of the
    /// reply's time that this instance's own link causes.
    pub(super) fn add(
        &mut self,
        now: Millis,
        seg: &Segment,
        action: &Action,
        packet: &[u8],
        repeats: u32,
        link_delay: Duration,
    ) {
        let reply_timeout = match action {
            Action::Forward { inquiry, .. } if *inquiry != Inquiry::None => OWNER_REPLY_TIMEOUT,
            Action::QueryOwner(_) => OWNER_QUERY_INTERVAL * (1 << repeats.min(MAX_REPEATS)),
            _ => return,
        };
        let limit_reached = self.0.len() >= MAX_PENDING_PACKETS || repeats > MAX_REPEATS;
        if limit_reached && !seg.opens {
            return;
        }
        let pending = PendingPacket {
            due: now + reply_timeout + link_delay,
            packet: packet.to_vec(),
            repeats,
        };
        self.insert(pending);
    }

    /// Keeps a packet whose reply is due at a later time than before.
    pub(super) fn reschedule(&mut self, due: Millis, pending: PendingPacket) {
        self.insert(PendingPacket { due, ..pending });
    }

    fn insert(&mut self, pending: PendingPacket) {
        let at = self.0.partition_point(|p| p.due <= pending.due);
        self.0.insert(at, pending);
    }

    /// Removes and returns a packet whose reply is overdue.
    pub(super) fn pop_overdue(&mut self, now: Millis) -> Option<PendingPacket> {
        self.0.pop_front_if(|p| now >= p.due)
    }

    /// Time until the next reply is due; none if no reply is expected.
    pub(super) fn time_to_next(&self, now: Millis) -> Option<Duration> {
        self.0.front().map(|p| p.due.since(now))
    }
}
