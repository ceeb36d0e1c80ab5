//! A flow at an agent's server, as far as the packets that the agent forwards have shown:
//! whether the server owns it, which packets are of it, and whether it has ended.

use std::net::Ipv4Addr;

use ramp_protocol::format::RequestId;
use ramp_protocol::packet::Segment;
use ramp_state::time::Millis;

use super::closing::Closing;
use crate::passthrough::flow_sequence::FlowSequence;
use crate::passthrough::flow_sequence::SequenceRange;
use crate::passthrough::flow_sequence::end_of;

/// How far a caller's acknowledgement may be past the sequence number of the
/// server's SYN-ACK and still count as an acknowledgement of it.
const SYN_ACK_WINDOW_BYTES: u32 = 1 << 17;

/// A balancer to tell once it is known that the server owns the flow.
#[derive(Clone, Copy, Debug)]
pub(super) struct OwnerSubscriber {
    pub(super) balancer: Ipv4Addr,
    /// Whether it sent the opening packet; then any packet of the server on the
    /// flow is proof enough.
    pub(super) opening: bool,
}

/// An opening packet that goes to the server.
#[derive(Clone, Copy, Debug)]
pub(super) struct Opening {
    /// Sequence number of the packet.
    pub(super) seq: u32,
    /// Balancer to tell once the server has answered, if it asked.
    pub(super) subscriber: Option<OwnerSubscriber>,
}

/// A flow at the server.
#[derive(Clone, Copy, Debug)]
pub(super) struct Flow {
    /// Balancers that wait for a report of the flow's owner. There may be two, because
    /// the routers may have moved the flow to another balancer meanwhile.
    subscribers: [Option<OwnerSubscriber>; 2],
    /// Whether the server has sent a packet on the flow.
    pub(super) open: bool,
    /// Sequence numbers of the caller's packets.
    pub(super) sequence: FlowSequence,
    /// Sequence numbers of the server's packets from its SYN-ACK on, if this process
    /// has seen that. Another server may have answered a copy of the opening packet as
    /// well.
    replies: Option<SequenceRange>,
    closing: Closing,
    /// Opening of a later flow with the same key that the server has not answered.
    pub(super) later_opening: Option<Opening>,
    /// Whether the caller has accepted the SYN-ACK of this server.
    pub(super) owned: bool,
    /// Acknowledgement number of the caller's last packet.
    pub(super) last_caller_ack: Option<u32>,
    /// Since when a request is in progress or expected; the flow then counts in
    /// the agent's `in_progress`.
    pub(super) request_since: Option<Millis>,
    /// Whether that request has arrived; until then it is only expected.
    pub(super) request_received: bool,
    /// Id of the last request, if one of its packets carried it.
    pub(super) request_id: Option<RequestId>,
    /// Sequence number after the newest data of the caller, which tells new data
    /// from a retransmission.
    pub(super) next_seq: u32,
    pub(super) last_packet_at: Millis,
}

impl Flow {
    pub(super) fn new(now: Millis, sequence: FlowSequence) -> Flow {
        Flow {
            subscribers: [None; 2],
            open: false,
            sequence,
            replies: None,
            closing: Closing::default(),
            later_opening: None,
            owned: false,
            last_caller_ack: None,
            request_since: None,
            request_received: false,
            request_id: None,
            next_seq: sequence.first(),
            last_packet_at: now,
        }
    }

    /// Records a packet of the caller. If it acknowledges this server's SYN-ACK,
    /// the server owns the flow.
    pub(super) fn note_caller_packet(&mut self, seg: &Segment) {
        self.sequence.record(seg);
        self.closing.on_caller_packet(seg);
        if seg.opens || !seg.has_ack {
            return;
        }
        self.last_caller_ack = Some(seg.ack);
        let acked = self.replies.map(|r| seg.ack.wrapping_sub(r.first()));
        self.owned |= acked.is_some_and(|bytes| bytes <= SYN_ACK_WINDOW_BYTES);
    }

    /// Records a packet of the server. Any packet but a SYN-ACK shows that it owns
    /// the flow: if the caller has accepted another server's SYN-ACK, this one
    /// sends nothing else.
    pub(super) fn note_server_packet(&mut self, seg: &Segment) {
        self.open = true;
        self.closing.on_server_packet(seg);
        if !seg.syn {
            self.owned = true;
            if let Some(replies) = &mut self.replies {
                replies.extend_to(end_of(seg));
            }
            return;
        }
        if self.replies.is_none_or(|held| held.first() != seg.seq) {
            // If there was another SYN-ACK, the server has opened the flow anew.
            self.owned = false;
            self.replies = Some(SequenceRange::starting_at(seg.seq));
        }
    }

    /// Whether a caller's packet may belong to this flow, and not to an earlier or
    /// later one with the same key.
    pub(super) fn includes(&self, seg: &Segment) -> bool {
        let acknowledges = seg.has_ack && !seg.opens && !seg.rst;
        let replies = self.replies.filter(|_| acknowledges);
        self.sequence.includes(seg) && replies.is_none_or(|r| r.reaches(seg.ack))
    }

    /// Whether the server has accepted the opening of this flow from this process. All
    /// openings pass here, so the server then has no other flow with this key.
    pub(super) fn was_accepted_here(&self) -> bool {
        self.replies.is_some()
    }

    /// Whether both ends have closed the flow.
    pub(super) fn has_ended(&self) -> bool {
        self.closing.is_complete()
    }

    /// Whether the flow is certainly open at the server.
    pub(super) fn is_certainly_open(&self) -> bool {
        self.owned && !self.has_ended() && self.later_opening.is_none()
    }

    /// Whether a packet of the server shows that the flow was open before this
    /// process started. An acknowledgement without data does not: the server sends
    /// it on an ended flow too.
    pub(super) fn shows_older_flow(&self, seg: &Segment) -> bool {
        seg.len > 0 && self.replies.is_none()
    }

    /// Adds a balancer to tell about the owner; keeps the last two.
    pub(super) fn subscribe(&mut self, subscriber: OwnerSubscriber) {
        let is_other = |held: &OwnerSubscriber| held.balancer != subscriber.balancer;
        let [older, newer] = &mut self.subscribers;
        if newer.as_ref().is_some_and(is_other) {
            *older = *newer;
        }
        *older = older.filter(is_other);
        *newer = Some(subscriber);
    }

    /// Takes out one balancer that can be told, now that the server has sent a
    /// packet, that it has the flow.
    pub(super) fn take_notifiable(&mut self) -> Option<Ipv4Addr> {
        let owned = self.owned;
        let mut subscribers = self.subscribers.iter_mut();
        let subscriber = subscribers.find_map(|held| held.take_if(|a| a.opening || owned))?;
        Some(subscriber.balancer)
    }

    /// Takes out all balancers that wait for a report of the flow's owner.
    pub(super) fn take_subscribers(&mut self) -> [Option<Ipv4Addr>; 2] {
        let subscribers = std::mem::take(&mut self.subscribers);
        subscribers.map(|subscriber| subscriber.map(|s| s.balancer))
    }

    /// Whether data is missing before that of a caller's packet. The opening packet
    /// counts as one byte.
    pub(super) fn has_gap_before(&self, seg: &Segment) -> bool {
        seg.seq.wrapping_sub(self.next_seq) as i32 > 1
    }

    /// Whether a packet of the caller opens the flow or brings new data.
    ///
    /// The first request counts from the opening packet on: it follows soon, and
    /// with many openings at once the server must not look idle until then. Data
    /// on a flow that the server may not have does not count.
    pub(super) fn starts_request(&mut self, seg: &Segment) -> bool {
        if seg.opens {
            self.next_seq = seg.seq;
            return true;
        }
        let end = seg.seq.wrapping_add(seg.len);
        let new = self.open && seg.len > 0 && end.wrapping_sub(self.next_seq) as i32 > 0;
        if new {
            self.next_seq = end;
            self.request_received = true;
        }
        new
    }
}
