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
const PASSED_LIMIT: Duration = Duration::from_millis(600);

/// A flow that came through here.
#[derive(Clone, Copy, Debug)]
pub(super) struct Flow {
    pub(super) agent: Ipv4Addr,
    pub(super) service: ServiceId,
    /// Whether the agent has said that its server has the flow.
    pub(super) confirmed: bool,
    /// Whether the caller has sent more than its opening: a server has answered
    /// that, whoever it was.
    pub(super) opened: bool,
    /// Since when the agent has owed an answer.
    asked_since: Option<Millis>,
    /// Whether the agent has passed the packet on and waits for its server.
    passed_on: bool,
    /// Sequence number behind the newest data of the caller.
    next_seq: Option<u32>,
    /// Numbers of the last packet without data.
    last_ack: Option<(u32, u32)>,
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
            opened: false,
            asked_since: Some(now),
            passed_on: false,
            next_seq: None,
            last_ack: None,
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
            opened: false,
            asked_since: None,
            passed_on: false,
            next_seq: None,
            last_ack: None,
            seen_at: now,
            finished: false,
        }
    }

    /// Takes note of a packet of the caller. One that comes again was not
    /// answered, so the agent must say that its server has the flow.
    pub(super) fn note(&mut self, now: Millis, seg: &Segment) {
        self.seen_at = now;
        self.finished |= seg.fin || seg.rst;
        if seg.opens {
            return;
        }
        self.opened = true;
        if self.is_repeated(seg) {
            self.doubt(now);
        }
    }

    fn is_repeated(&mut self, seg: &Segment) -> bool {
        if seg.len == 0 && !seg.fin {
            let ack = Some((seg.seq, seg.ack));
            return std::mem::replace(&mut self.last_ack, ack) == ack;
        }
        let end = seg.seq.wrapping_add(seg.len);
        let end = end.wrapping_add(u32::from(seg.fin));
        let is_old = |next: u32| end.wrapping_sub(next) as i32 <= 0;
        let repeated = self.next_seq.is_some_and(is_old);
        if !repeated {
            self.next_seq = Some(end);
        }
        repeated
    }

    /// The agent owes an answer from now on.
    pub(super) fn doubt(&mut self, now: Millis) {
        self.asked_since.get_or_insert(now);
    }

    /// The agent has said that it has the flow.
    pub(super) fn confirm(&mut self) {
        self.confirmed = true;
        self.asked_since = None;
        self.passed_on = false;
    }

    /// The agent has passed the packet on: its answers are heard, so a bounce
    /// would be too.
    pub(super) fn pass_on(&mut self) {
        self.passed_on = true;
    }

    /// How long the agent has owed an answer; zero when it owes none.
    pub(super) fn waited(&self, now: Millis) -> Duration {
        self.asked_since.map_or(Duration::ZERO, |at| now.since(at))
    }

    /// Whether the agent has not answered in time.
    pub(super) fn is_unanswered(&self, now: Millis) -> bool {
        self.waited(now) >= self.answer_limit()
    }

    /// Time until the agent has not answered in time; none when it owes no answer.
    pub(super) fn answer_left(&self, now: Millis) -> Option<Duration> {
        self.asked_since?;
        Some(self.answer_limit().saturating_sub(self.waited(now)))
    }

    fn answer_limit(&self) -> Duration {
        if self.passed_on {
            PASSED_LIMIT
        } else {
            OWNER_REPLY_TIMEOUT
        }
    }

    /// What the agent is asked with the next packet.
    pub(super) fn inquiry(&self) -> Inquiry {
        match self.asked_since {
            Some(_) => Inquiry::Owner,
            None => Inquiry::None,
        }
    }

    /// Sends a packet to the agent.
    pub(super) fn carry(&self, inquiry: Inquiry) -> Action {
        Action::Forward {
            agent: self.agent,
            inquiry,
            service: self.service,
        }
    }
}
