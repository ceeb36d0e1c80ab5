//! Whether and when a new flow is given to the server.

use std::net::Ipv4Addr;
use std::time::Duration;

use ramp_protocol::hop::Frame;
use ramp_protocol::hop::Inquiry;
use ramp_protocol::hop::Refusal;
use ramp_protocol::packet::Segment;
use ramp_state::key::FlowKey;
use ramp_state::time::Millis;

use super::Agent;
use super::action::Dequeued;
use super::action::Inbound;
use super::flow::Asker;
use super::flow::Flow;
use crate::passthrough::opening_queue::QueuedOpening;
use crate::passthrough::view::View;

/// Time a server has to answer the opening of a flow.
const ANSWER_LIMIT: Duration = Duration::from_millis(150);

/// Time between two openings that try whether a silent server is back.
const RETRY_SILENT: Duration = Duration::from_millis(100);

/// Silence from which a server that answers again counts as restarted.
const RESTART_SILENCE: Duration = Duration::from_millis(400);

impl Agent {
    /// What becomes of a new flow that the server does not get now; none: it
    /// gets it.
    pub(super) fn hold_back(
        &mut self,
        view: Option<&View>,
        now: Millis,
        from: Ipv4Addr,
        frame: &Frame,
        inquiry: Inquiry,
        seg: &Segment,
    ) -> Option<Inbound> {
        if self.waiting.contains(&seg.key) {
            return Some(Inbound::AlreadyQueued);
        }
        if let Err(refusal) = self.admit(view, now, frame, seg) {
            return Some(Inbound::Refuse(refusal));
        }
        if let Some(step) = self.make_wait(view, now, from, inquiry, seg) {
            return Some(step);
        }
        if let Err(refusal) = self.admit_cold(view, now) {
            return Some(Inbound::Refuse(refusal));
        }
        self.note_opening(now);
        None
    }

    fn admit(
        &mut self,
        view: Option<&View>,
        now: Millis,
        frame: &Frame,
        seg: &Segment,
    ) -> Result<(), Refusal> {
        self.admit_at_all(view, now)?;
        if frame.service != self.service {
            return Err(Refusal::OtherService);
        }
        let Some(view) = view else {
            // The balancer's view is all there is.
            return Ok(());
        };
        if view.version >= frame.version && !view.sends_to(seg.key.service, self.service) {
            return Err(Refusal::OtherService);
        }
        self.admit_silent(now)
    }

    /// Whether the server gets any new flows.
    fn admit_at_all(&self, view: Option<&View>, now: Millis) -> Result<(), Refusal> {
        if self.leaving {
            return Err(Refusal::Leaving);
        }
        if self.liveness.is_absent() {
            return Err(Refusal::Silent);
        }
        let member = view.and_then(|v| v.member_or_lapsed(self.me, now));
        match member {
            Some(member) if member.draining => Err(Refusal::Draining),
            Some(member) if member.evacuated => Err(Refusal::Evacuated),
            _ => Ok(()),
        }
    }

    /// What becomes of a new flow while the server is full; none: it may go on.
    fn make_wait(
        &mut self,
        view: Option<&View>,
        now: Millis,
        from: Ipv4Addr,
        inquiry: Inquiry,
        seg: &Segment,
    ) -> Option<Inbound> {
        if !self.is_full(view, now) {
            return None;
        }
        // Another server may have room.
        if inquiry != Inquiry::OwnerThoughBusy {
            return Some(Inbound::Refuse(Refusal::Busy));
        }
        if self.waiting.add(seg, from, now) {
            Some(Inbound::Queue)
        } else {
            Some(Inbound::Refuse(Refusal::Overloaded))
        }
    }

    fn is_full(&self, view: Option<&View>, now: Millis) -> bool {
        let member = view.and_then(|v| v.member_or_lapsed(self.me, now));
        member.is_some_and(|m| m.is_full(self.busy))
    }

    /// What becomes of new flows that wait: to be called after each packet of
    /// the server, and now and then.
    pub fn poll_queue(&mut self, view: Option<&View>, now: Millis) -> Option<Dequeued> {
        self.expire_expected(now);
        if self.waiting.is_empty() {
            return None;
        }
        if let Some(waiter) = self.waiting.pop_overdue(now) {
            return Some(self.give_up(waiter, Refusal::Overloaded));
        }
        if let Err(refusal) = self.admit_at_all(view, now) {
            let waiter = self.waiting.pop_oldest()?;
            return Some(self.give_up(waiter, refusal));
        }
        if self.is_full(view, now) || self.admit_silent(now).is_err() {
            return None;
        }
        let waiter = self.waiting.pop_newest()?;
        if self.superseded.contains(&waiter.flow) || self.admit_cold(view, now).is_err() {
            return Some(self.give_up(waiter, Refusal::Overloaded));
        }
        self.note_opening(now);
        let mut flow = Flow::new(now, waiter.seq);
        flow.ask(Asker {
            balancer: waiter.from,
            opening: true,
        });
        flow.busy_since = Some(now);
        self.busy = self.busy.saturating_add(1);
        self.expected.push_back((now, waiter.flow));
        self.forget(&waiter.flow);
        self.flows.insert(waiter.flow, flow);
        let mark = self.senders.mark(waiter.from, false);
        Some(Dequeued::Forward(waiter.flow, mark))
    }

    /// Time until a new flow has waited for too long; none when none waits.
    pub fn time_to_queue_timeout(&self, now: Millis) -> Option<Duration> {
        self.waiting.time_left(now)
    }

    /// What becomes of a new flow that has waited in vain.
    fn give_up(&mut self, waiter: QueuedOpening, refusal: Refusal) -> Dequeued {
        if self.superseded.swap_remove(&waiter.flow) {
            return Dequeued::Drop(waiter.flow);
        }
        Dequeued::Refuse(waiter.flow, waiter.from, refusal)
    }

    /// Takes note that the caller of a flow has an answer to its opening.
    pub(super) fn supersede(&mut self, flow: &FlowKey) {
        if self.waiting.contains(flow) {
            self.superseded.insert(*flow);
        }
    }

    /// Lets only a few openings through while the server does not answer.
    fn admit_silent(&self, now: Millis) -> Result<(), Refusal> {
        let Some(since) = self.unanswered_since else {
            return Ok(());
        };
        if now.since(since) < ANSWER_LIMIT || now.since(self.tried_at) >= RETRY_SILENT {
            return Ok(());
        }
        Err(Refusal::Silent)
    }

    fn admit_cold(&mut self, view: Option<&View>, now: Millis) -> Result<(), Refusal> {
        let Some(view) = view else {
            return Ok(());
        };
        let Some(rate) = view.cold_rate_per_s(self.service) else {
            return Ok(());
        };
        let member = view.member_or_lapsed(self.me, now);
        // A server that is not listed yet has just started.
        let cold = member.is_none_or(|m| m.is_cold(now)) || now < self.cold_until;
        if !cold {
            self.quota.record(now);
            return Ok(());
        }
        if self.quota.try_acquire(now, rate.floor().max(1.0) as usize) {
            return Ok(());
        }
        Err(Refusal::Cold)
    }

    fn note_opening(&mut self, now: Millis) {
        self.tried_at = now;
        self.unanswered_since.get_or_insert(now);
    }

    /// The server answers; after a long silence it has most likely restarted.
    pub(super) fn answered(&mut self, view: Option<&View>, now: Millis) {
        let Some(since) = self.unanswered_since.take() else {
            return;
        };
        if now.since(since) < RESTART_SILENCE {
            return;
        }
        // Bounces will tell which flows are lost; none is being served.
        for flow in self.flows.values_mut() {
            flow.busy_since = None;
            flow.running = false;
        }
        self.busy = 0;
        let cold_start = view.and_then(|v| v.cold_start(self.service));
        self.cold_until = now + cold_start.unwrap_or_default();
    }
}
