//! What a balancer remembers of a flow that came through it.
//!
//! A remembered agent may be wrong, or may never have answered. So whatever is
//! asked of it has a time limit, and a caller that sends the same data again
//! casts doubt on what was confirmed.

use std::net::Ipv4Addr;
use std::time::Duration;

use ramp_protocol::hop::Inquiry;
use ramp_protocol::packet::Segment;
use ramp_state::key::ServiceId;
use ramp_state::time::Millis;

use super::action::Action;

/// Time an agent has to say whether its server has a flow.
pub const OWNER_REPLY_TIMEOUT: Duration = Duration::from_millis(70);

/// Time that a server has to answer or bounce a packet, once its agent has said
/// that it passed the packet on.
const SERVER_REPLY_TIMEOUT: Duration = Duration::from_millis(600);

/// A flow that came through here.
#[derive(Clone, Copy, Debug)]
pub(super) struct Flow {
    pub(super) agent: Ipv4Addr,
    pub(super) service: ServiceId,
    /// Whether the agent has said that its server has the flow.
    pub(super) confirmed: bool,
    /// Whether the caller has sent more than its opening: a server has answered
    /// that, whoever it was.
    pub(super) past_opening: bool,
    /// Since when the agent has owed an answer.
    awaiting_reply_since: Option<Millis>,
    /// Whether the agent has passed the packet on and waits for its server.
    delivered_to_server: bool,
    /// Sequence number behind the newest data of the caller.
    next_seq: Option<u32>,
    /// Numbers of the last packet without data.
    last_bare_ack: Option<(u32, u32)>,
    pub(super) seen_at: Millis,
    pub(super) finished: bool,
}

impl Flow {
    /// Flow of a packet that is sent to `agent` with a question.
    pub(super) fn awaiting_reply(
        now: Millis,
        seg: &Segment,
        agent: Ipv4Addr,
        service: ServiceId,
    ) -> Flow {
        let mut flow = Flow {
            agent,
            service,
            confirmed: false,
            past_opening: false,
            awaiting_reply_since: Some(now),
            delivered_to_server: false,
            next_seq: None,
            last_bare_ack: None,
            seen_at: now,
            finished: false,
        };
        flow.record_packet(now, seg);
        flow
    }

    /// Flow that `agent` says its server has.
    pub(super) fn confirmed(now: Millis, agent: Ipv4Addr, service: ServiceId) -> Flow {
        Flow {
            agent,
            service,
            confirmed: true,
            past_opening: false,
            awaiting_reply_since: None,
            delivered_to_server: false,
            next_seq: None,
            last_bare_ack: None,
            seen_at: now,
            finished: false,
        }
    }

    /// Takes note of a packet of the caller. One that comes again was not
    /// answered, so the agent must say that its server has the flow.
    pub(super) fn record_packet(&mut self, now: Millis, seg: &Segment) {
        self.seen_at = now;
        self.finished |= seg.fin || seg.rst;
        if seg.opens {
            return;
        }
        self.past_opening = true;
        if self.is_retransmission(seg) {
            self.expect_reply(now);
        }
    }

    fn is_retransmission(&mut self, seg: &Segment) -> bool {
        if seg.len == 0 && !seg.fin {
            let ack = Some((seg.seq, seg.ack));
            return std::mem::replace(&mut self.last_bare_ack, ack) == ack;
        }
        let end = seg.seq.wrapping_add(seg.len);
        let end = end.wrapping_add(u32::from(seg.fin));
        let is_old = |next: u32| end.wrapping_sub(next) as i32 <= 0;
        let retransmitted = self.next_seq.is_some_and(is_old);
        if !retransmitted {
            self.next_seq = Some(end);
        }
        retransmitted
    }

    /// The agent owes an answer from now on.
    pub(super) fn expect_reply(&mut self, now: Millis) {
        self.awaiting_reply_since.get_or_insert(now);
    }

    /// The agent has said that it has the flow.
    pub(super) fn confirm(&mut self) {
        self.confirmed = true;
        self.awaiting_reply_since = None;
        self.delivered_to_server = false;
    }

    /// The agent has passed the packet on: its answers are heard, so a bounce
    /// would be too.
    pub(super) fn mark_delivered(&mut self) {
        self.delivered_to_server = true;
    }

    /// How long the agent has owed an answer; zero when it owes none.
    pub(super) fn waited(&self, now: Millis) -> Duration {
        self.awaiting_reply_since
            .map_or(Duration::ZERO, |at| now.since(at))
    }

    /// Whether the agent has not answered in time.
    pub(super) fn is_reply_overdue(&self, now: Millis) -> bool {
        self.waited(now) >= self.reply_timeout()
    }

    /// Time until the agent has not answered in time; none when it owes no answer.
    pub(super) fn reply_time_left(&self, now: Millis) -> Option<Duration> {
        self.awaiting_reply_since?;
        Some(self.reply_timeout().saturating_sub(self.waited(now)))
    }

    fn reply_timeout(&self) -> Duration {
        if self.delivered_to_server {
            SERVER_REPLY_TIMEOUT
        } else {
            OWNER_REPLY_TIMEOUT
        }
    }

    /// What the agent is asked with the next packet.
    pub(super) fn inquiry(&self) -> Inquiry {
        match self.awaiting_reply_since {
            Some(_) => Inquiry::Owner,
            None => Inquiry::None,
        }
    }

    /// Sends a packet to the agent.
    pub(super) fn forward(&self, inquiry: Inquiry) -> Action {
        Action::Forward {
            agent: self.agent,
            inquiry,
            service: self.service,
        }
    }
}
