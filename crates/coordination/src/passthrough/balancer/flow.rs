//! What a balancer remembers of a flow that came through it.
//!
//! A remembered agent is a belief, never a certainty: its word may be old, or
//! it may never have answered. So whatever is asked of it has a time limit, and
//! a caller that sends the same data again casts doubt on what was confirmed.

use std::net::Ipv4Addr;
use std::time::Duration;

use ramp_protocol::hop::Inquiry;
use ramp_protocol::packet::Segment;
use ramp_state::key::ServiceId;
use ramp_state::time::Millis;

/// Time an agent has to say whether its server has a flow.
pub const CONFIRM_LIMIT: Duration = Duration::from_millis(70);

/// A flow that came through here.
#[derive(Clone, Copy, Debug)]
pub(super) struct Flow {
    pub(super) agent: Ipv4Addr,
    pub(super) service: ServiceId,
    /// Whether the agent has said that its server has the flow.
    pub(super) confirmed: bool,
    /// Since when the agent has owed an answer.
    asked_since: Option<Millis>,
    /// Sequence number behind the newest data of the caller.
    next_seq: Option<u32>,
    pub(super) seen_at: Millis,
    pub(super) finished: bool,
}

impl Flow {
    /// Flow of a packet that is sent to `agent` with a question.
    pub(super) fn asked(now: Millis, seg: &Segment, agent: Ipv4Addr, service: ServiceId) -> Flow {
        let mut flow = Flow {
            agent,
            service,
            confirmed: false,
            asked_since: Some(now),
            next_seq: None,
            seen_at: now,
            finished: false,
        };
        flow.note(now, seg);
        flow
    }

    /// Flow that `agent` says its server has.
    pub(super) fn confirmed(now: Millis, agent: Ipv4Addr, service: ServiceId) -> Flow {
        Flow {
            agent,
            service,
            confirmed: true,
            asked_since: None,
            next_seq: None,
            seen_at: now,
            finished: false,
        }
    }

    /// Takes note of a packet of the caller. Data that comes again was not
    /// acknowledged, so the agent must say that its server has the flow.
    pub(super) fn note(&mut self, now: Millis, seg: &Segment) {
        self.seen_at = now;
        self.finished |= seg.fin || seg.rst;
        if seg.opens || (seg.len == 0 && !seg.fin) {
            return;
        }
        let end = seg.seq.wrapping_add(seg.len);
        let end = end.wrapping_add(u32::from(seg.fin));
        let is_new = |next: u32| end.wrapping_sub(next) as i32 > 0;
        if self.next_seq.is_none_or(is_new) {
            self.next_seq = Some(end);
        } else {
            self.ask(now);
        }
    }

    /// The agent owes an answer from now on.
    pub(super) fn ask(&mut self, now: Millis) {
        self.asked_since.get_or_insert(now);
    }

    /// The agent has said that a new flow is in its hands.
    pub(super) fn confirm(&mut self) {
        self.confirmed = true;
        self.asked_since = None;
    }

    /// How long the agent has owed an answer; zero when it owes none.
    pub(super) fn waited(&self, now: Millis) -> Duration {
        self.asked_since.map_or(Duration::ZERO, |at| now.since(at))
    }

    /// Whether the agent has not answered in time.
    pub(super) fn is_unanswered(&self, now: Millis) -> bool {
        self.waited(now) >= CONFIRM_LIMIT
    }

    /// What the agent is asked with the next packet.
    pub(super) fn inquiry(&self) -> Inquiry {
        match self.asked_since {
            Some(_) => Inquiry::Owner,
            None => Inquiry::None,
        }
    }
}
