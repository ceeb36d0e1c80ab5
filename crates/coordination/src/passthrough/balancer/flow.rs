//! Flow table entry of a balancer: the agent that gets the flow's packets, and
//! whether it has confirmed that its server has the flow.
//!
//! The recorded agent may be wrong or may never have replied. So each inquiry has
//! a timeout, and when the caller retransmits, the agent must confirm the flow
//! again.

use std::net::Ipv4Addr;
use std::time::Duration;

use ramp_protocol::frame::Inquiry;
use ramp_protocol::packet::Segment;
use ramp_state::key::ServiceId;
use ramp_state::time::Millis;

use super::action::Action;
use crate::passthrough::flow_sequence::FlowSequence;
use crate::passthrough::flow_sequence::end_of;

/// Timeout for an agent's reply whether its server has a flow.
pub const OWNER_REPLY_TIMEOUT: Duration = Duration::from_millis(70);

/// Timeout for the reply once the agent has reported that it delivered the packet:
/// the server then has to answer or bounce it.
const SERVER_REPLY_TIMEOUT: Duration = Duration::from_millis(600);

/// State of one flow.
#[derive(Clone, Copy, Debug)]
pub(super) struct Flow {
    pub(super) agent: Ipv4Addr,
    pub(super) service: ServiceId,
    /// Sequence numbers of the caller's packets; none before the first one here.
    sequence: Option<FlowSequence>,
    /// Whether the agent has confirmed that its server has the flow.
    pub(super) confirmed: bool,
    /// Whether the caller has sent more than its opening packet, which shows that
    /// some server has answered the opening.
    pub(super) past_opening: bool,
    /// When the reply that is awaited was first asked for; none when no reply is
    /// awaited.
    awaiting_reply_since: Option<Millis>,
    /// Whether the agent has delivered the packet and waits for its server.
    delivered_to_server: bool,
    /// Whether the agent has replied that its server does not have the flow, so that
    /// no other reply of it is worth the wait.
    denied: bool,
    /// Sequence number after the caller's newest data.
    next_seq: Option<u32>,
    /// Sequence and acknowledgement number of the last packet without data.
    last_bare_ack: Option<(u32, u32)>,
    pub(super) seen_at: Millis,
    pub(super) finished: bool,
}

impl Flow {
    /// Flow whose packet `seg` is sent to `agent` with an inquiry.
    pub(super) fn awaiting_reply(
        now: Millis,
        seg: &Segment,
        agent: Ipv4Addr,
        service: ServiceId,
    ) -> Flow {
        let mut flow = Flow {
            agent,
            service,
            sequence: None,
            confirmed: false,
            past_opening: false,
            awaiting_reply_since: Some(now),
            delivered_to_server: false,
            denied: false,
            next_seq: None,
            last_bare_ack: None,
            seen_at: now,
            finished: false,
        };
        flow.record_packet(now, seg);
        flow
    }

    /// Flow that `agent` has confirmed; no reply is awaited.
    pub(super) fn confirmed(
        now: Millis,
        agent: Ipv4Addr,
        service: ServiceId,
        sequence: Option<FlowSequence>,
    ) -> Flow {
        Flow {
            agent,
            service,
            sequence,
            confirmed: true,
            past_opening: false,
            awaiting_reply_since: None,
            delivered_to_server: false,
            denied: false,
            next_seq: None,
            last_bare_ack: None,
            seen_at: now,
            finished: false,
        }
    }

    /// Records a packet of the caller. A retransmission shows that the packet was
    /// not answered, so the agent must confirm the flow again.
    pub(super) fn record_packet(&mut self, now: Millis, seg: &Segment) {
        self.seen_at = now;
        self.finished |= seg.fin || seg.rst;
        let sequence = self.sequence.get_or_insert_with(|| FlowSequence::of(seg));
        sequence.record(seg);
        if seg.opens {
            return;
        }
        self.past_opening = true;
        if self.is_retransmission(seg) {
            self.expect_reply(now);
        }
    }

    /// Sequence numbers of the caller's packets, if any was seen here.
    pub(super) fn sequence(&self) -> Option<FlowSequence> {
        self.sequence
    }

    /// Whether a caller's packet may belong to this flow, and not to an earlier or
    /// later one with the same key.
    pub(super) fn includes(&self, seg: &Segment) -> bool {
        self.sequence.is_none_or(|sequence| sequence.includes(seg))
    }

    fn is_retransmission(&mut self, seg: &Segment) -> bool {
        if seg.len == 0 && !seg.fin {
            let ack = Some((seg.seq, seg.ack));
            return std::mem::replace(&mut self.last_bare_ack, ack) == ack;
        }
        let end = end_of(seg);
        let is_old = |next: u32| end.wrapping_sub(next) as i32 <= 0;
        let retransmitted = self.next_seq.is_some_and(is_old);
        if !retransmitted {
            self.next_seq = Some(end);
        }
        retransmitted
    }

    /// Expects a reply of the agent from now on, unless one is awaited already.
    pub(super) fn expect_reply(&mut self, now: Millis) {
        self.awaiting_reply_since.get_or_insert(now);
    }

    /// The agent has confirmed the flow.
    pub(super) fn confirm(&mut self) {
        self.confirmed = true;
        self.denied = false;
        self.awaiting_reply_since = None;
        self.delivered_to_server = false;
    }

    /// The agent has reported that it delivered the packet. Its messages arrive
    /// here, so a bounce would arrive as well.
    pub(super) fn mark_delivered(&mut self) {
        self.delivered_to_server = true;
    }

    /// The agent has denied the flow. That counts where it was asked for the owner of an
    /// open flow; elsewhere the denial is of an earlier question.
    pub(super) fn mark_denied(&mut self) {
        let placed_here = self.sequence.is_none_or(|s| s.is_from_opening());
        self.denied = !self.confirmed && !placed_here;
    }

    /// Time since the awaited reply was asked for; zero when none is awaited.
    pub(super) fn waited(&self, now: Millis) -> Duration {
        self.awaiting_reply_since
            .map_or(Duration::ZERO, |at| now.since(at))
    }

    /// Whether an awaited reply has timed out. `link_delay` is the part of a reply's
    /// time that this instance's own link causes.
    pub(super) fn is_reply_overdue(&self, now: Millis, link_delay: Duration) -> bool {
        self.waited(now) >= self.reply_timeout() + link_delay
    }

    /// Time until the awaited reply times out; none when no reply is awaited.
    pub(super) fn reply_time_left(&self, now: Millis, link_delay: Duration) -> Option<Duration> {
        self.awaiting_reply_since?;
        let timeout = self.reply_timeout() + link_delay;
        Some(timeout.saturating_sub(self.waited(now)))
    }

    /// Whether a reply is awaited and none has come since it was asked for.
    pub(super) fn awaits_first_reply(&self) -> bool {
        self.awaiting_reply_since.is_some() && !self.delivered_to_server
    }

    fn reply_timeout(&self) -> Duration {
        if self.denied {
            Duration::ZERO
        } else if self.delivered_to_server {
            SERVER_REPLY_TIMEOUT
        } else {
            OWNER_REPLY_TIMEOUT
        }
    }

    /// Inquiry to send with the next packet.
    pub(super) fn inquiry(&self) -> Inquiry {
        match self.awaiting_reply_since {
            Some(_) => Inquiry::Owner,
            None => Inquiry::None,
        }
    }

    /// Forwards a packet to the agent.
    pub(super) fn forward(&self, inquiry: Inquiry) -> Action {
        Action::Forward {
            agent: self.agent,
            inquiry,
            service: self.service,
        }
    }
}
