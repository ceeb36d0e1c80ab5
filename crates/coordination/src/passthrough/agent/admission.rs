//! Admission of new flows to the backend server.
//!
//! A new flow is forwarded, queued or refused. It is refused while the server
//! takes no new flows (draining, evacuated, ended), does not respond, or gets
//! more new flows than its limit in cold start. While the server is full
//! ([`Member::is_full`]), the flow is refused so that the balancer tries another
//! server; if no other server is less busy, it waits in the queue. It is also sent
//! back to the balancer while the server is beyond its learned limit, but never
//! queued for that.
//!
//! [`Member::is_full`]: crate::passthrough::view::Member::is_full

use std::net::Ipv4Addr;
use std::time::Duration;

use ramp_protocol::frame::Frame;
use ramp_protocol::frame::Inquiry;
use ramp_protocol::frame::Refusal;
use ramp_protocol::packet::Segment;
use ramp_state::key::FlowKey;
use ramp_state::time::Millis;

use super::Agent;
use super::action::Dequeued;
use super::action::Inbound;
use super::flow::Flow;
use super::flow::OwnerSubscriber;
use crate::passthrough::opening_queue::QueuedOpening;
use crate::passthrough::view::View;

/// Time that a server has to answer an opening packet before it counts as silent.
const SYN_ACK_TIMEOUT: Duration = Duration::from_millis(150);

/// Time between two opening packets that test whether a silent server responds
/// again.
const SILENT_SERVER_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Minimum time without an answer after which a server that answers again counts
/// as restarted, and is in cold start.
const MIN_RESTART_SILENCE: Duration = Duration::from_millis(400);

impl Agent {
    /// Refuses or queues a new flow that the server must not get now. `None`
    /// admits the flow.
    pub(super) fn refuse_or_queue(
        &mut self,
        view: Option<&View>,
        now: Millis,
        from: Ipv4Addr,
        frame: &Frame,
        inquiry: Inquiry,
        seg: &Segment,
    ) -> Option<Inbound> {
        if self.queue.contains(&seg.key) {
            return Some(Inbound::AlreadyQueued);
        }
        if let Err(refusal) = self.admit(view, now, frame, seg) {
            return Some(Inbound::Refuse(refusal));
        }
        if let Some(inbound) = self.queue_if_full(view, now, from, inquiry, seg) {
            return Some(inbound);
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
        self.admit_by_state(view, now)?;
        if frame.service != self.service {
            return Err(Refusal::OtherService);
        }
        let Some(view) = view else {
            // Without an own view, the agent relies on the balancer's.
            return Ok(());
        };
        if view.version >= frame.version && !view.sends_to(seg.key.service, self.service) {
            return Err(Refusal::OtherService);
        }
        self.admit_while_silent(now)
    }

    /// Refuses new flows while the server takes none: its agent is shutting down,
    /// the server has ended or drains, or its data centre is evacuated.
    fn admit_by_state(&self, view: Option<&View>, now: Millis) -> Result<(), Refusal> {
        if self.shutting_down {
            return Err(Refusal::Leaving);
        }
        if self.liveness.is_absent() {
            return Err(Refusal::Silent);
        }
        let member = view.and_then(|v| v.member_or_lapsed(self.server_ip, now));
        match member {
            Some(member) if member.draining => Err(Refusal::Draining),
            Some(member) if member.evacuated => Err(Refusal::Evacuated),
            _ => Ok(()),
        }
    }

    /// Refuses or queues a new flow while the server is full; `None` otherwise.
    fn queue_if_full(
        &mut self,
        view: Option<&View>,
        now: Millis,
        from: Ipv4Addr,
        inquiry: Inquiry,
        seg: &Segment,
    ) -> Option<Inbound> {
        if !self.is_full(view, now) {
            let exceeds = self.exceeds_learned_limit(view, now, inquiry);
            return exceeds.then_some(Inbound::Refuse(Refusal::Busy));
        }
        // The balancer may find a less busy server.
        if inquiry != Inquiry::OwnerEvenIfBusy {
            return Some(Inbound::Refuse(Refusal::Busy));
        }
        if self.queue.add(seg, from, now) {
            Some(Inbound::Queue)
        } else {
            Some(Inbound::Refuse(Refusal::Overloaded))
        }
    }

    fn is_full(&self, view: Option<&View>, now: Millis) -> bool {
        let member = view.and_then(|v| v.member_or_lapsed(self.server_ip, now));
        member.is_some_and(|m| m.is_full(self.in_progress))
    }

    /// Takes the next flow out of the queue that can be forwarded now, or whose
    /// wait is over. To be called after each packet of the server, and regularly,
    /// until it returns `None`.
    pub fn poll_queue(&mut self, view: Option<&View>, now: Millis) -> Option<Dequeued> {
        self.expire_expected_requests(now);
        if self.queue.is_empty() {
            return None;
        }
        if let Some(queued) = self.queue.pop_overdue(now) {
            return Some(self.refuse_queued(queued, Refusal::Overloaded));
        }
        if let Err(refusal) = self.admit_by_state(view, now) {
            let queued = self.queue.pop_oldest()?;
            return Some(self.refuse_queued(queued, refusal));
        }
        if self.is_full(view, now) || self.admit_while_silent(now).is_err() {
            return None;
        }
        let queued = self.queue.pop_newest()?;
        if self.superseded.contains(&queued.flow) || self.admit_cold(view, now).is_err() {
            return Some(self.refuse_queued(queued, Refusal::Overloaded));
        }
        self.note_opening(now);
        let mut flow = Flow::new(now, queued.seq);
        flow.subscribe(OwnerSubscriber {
            balancer: queued.from,
            opening: true,
        });
        flow.request_since = Some(now);
        self.in_progress = self.in_progress.saturating_add(1);
        self.expected_requests.push_back((now, queued.flow));
        self.remove_flow(&queued.flow);
        self.flows.insert(queued.flow, flow);
        let mark = self.senders.mark(queued.from, false);
        Some(Dequeued::Forward(queued.flow, mark))
    }

    /// Time until the next queued flow times out; `None` if the queue is empty.
    pub fn time_to_queue_timeout(&self, now: Millis) -> Option<Duration> {
        self.queue.time_left(now)
    }

    /// Refuses a flow from the queue; drops it if its caller already has an answer
    /// to another copy of the opening packet, as a refusal would reset the flow.
    fn refuse_queued(&mut self, queued: QueuedOpening, refusal: Refusal) -> Dequeued {
        if self.superseded.swap_remove(&queued.flow) {
            return Dequeued::Drop(queued.flow);
        }
        Dequeued::Refuse(queued.flow, queued.from, refusal)
    }

    /// Records that the caller of a queued flow has an answer to another copy of
    /// the opening packet.
    pub(super) fn mark_superseded(&mut self, flow: &FlowKey) {
        if self.queue.contains(flow) {
            self.superseded.insert(*flow);
        }
    }

    /// While the server does not answer, admits only one opening packet per
    /// `SILENT_SERVER_RETRY_INTERVAL`.
    fn admit_while_silent(&self, now: Millis) -> Result<(), Refusal> {
        let Some(since) = self.unanswered_opening_since else {
            return Ok(());
        };
        if now.since(since) < SYN_ACK_TIMEOUT
            || now.since(self.last_opening_at) >= SILENT_SERVER_RETRY_INTERVAL
        {
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
        let member = view.member_or_lapsed(self.server_ip, now);
        // A server that is not listed yet has just started, so it is cold.
        let cold = member.is_none_or(|m| m.is_cold(now)) || now < self.cold_until;
        if !cold {
            self.cold_start_limiter.record(now);
            return Ok(());
        }
        if self
            .cold_start_limiter
            .try_acquire(now, rate.floor().max(1.0) as usize)
        {
            return Ok(());
        }
        Err(Refusal::Cold)
    }

    fn note_opening(&mut self, now: Millis) {
        self.last_opening_at = now;
        self.unanswered_opening_since.get_or_insert(now);
    }

    /// Records that the server replied. After a long silence it has most likely
    /// restarted: no request is in progress then, and it is in cold start.
    pub(super) fn on_server_reply(&mut self, view: Option<&View>, now: Millis) {
        let Some(since) = self.unanswered_opening_since.take() else {
            return;
        };
        if now.since(since) < MIN_RESTART_SILENCE {
            return;
        }
        // No request is being served. Which flows are lost will show as the server
        // bounces their packets.
        for flow in self.flows.values_mut() {
            flow.request_since = None;
            flow.request_received = false;
        }
        self.in_progress = 0;
        self.capacity.reset();
        let cold_start = view.and_then(|v| v.cold_start(self.service));
        self.cold_until = now + cold_start.unwrap_or_default();
    }
}
