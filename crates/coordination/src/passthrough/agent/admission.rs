//! Admission of new flows to the backend server.
//!
//! A new flow is forwarded, queued or refused. It is refused while the server
//! takes no new flows (draining, evacuated, ended), does not respond, or gets
//! more new flows than its limit in cold start. While the server is full
//! ([`Member::is_full`]), the flow is refused so that the balancer tries another
//! server; if no other server is less busy, it waits in the queue. A flow with a
//! priority also waits for its turn at a cold server if most servers are cold.
//! It is also sent back to the balancer while the server is beyond its learned limit,
//! but never queued for that.
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
use super::flow::Opening;
use super::flow::OwnerSubscriber;
use crate::passthrough::flow_sequence::FlowSequence;
use crate::passthrough::opening_queue::Pace;
use crate::passthrough::opening_queue::QueuedOpening;
use crate::passthrough::opening_queue::RouteTerms;
use crate::passthrough::view::Member;
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
        if let Some(waiting) = self.queue.find(&seg.key) {
            if waiting.seq == seg.seq {
                return Some(Inbound::AlreadyQueued);
            }
            // The caller has given that opening up.
            self.queue.remove(&seg.key);
            self.superseded.swap_remove(&seg.key);
        }
        if let Err(refusal) = self.admit(view, now, frame, seg) {
            return Some(Inbound::Refuse(refusal));
        }
        let terms = RouteTerms::of(view, seg);
        let yields = self.yields_to_queue(view, now, terms);
        let cold = self.cold_limit(view, now).is_some();
        if self.is_full(view, now) || (yields && !cold) {
            return Some(self.queue_while_full(view, now, from, inquiry, seg));
        }
        if self.exceeds_learned_limit(view, now, inquiry) {
            return Some(Inbound::Refuse(Refusal::Busy));
        }
        if yields || self.admit_cold(view, now, terms.rank).is_err() {
            return Some(self.queue_while_cold(view, now, from, inquiry, seg));
        }
        self.queue.note_admitted(terms.rank);
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
        if self.shutdown_since.is_some() {
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

    /// Refuses or queues a new flow while the server is full.
    fn queue_while_full(
        &mut self,
        view: Option<&View>,
        now: Millis,
        from: Ipv4Addr,
        inquiry: Inquiry,
        seg: &Segment,
    ) -> Inbound {
        // The balancer may find a less busy server.
        if inquiry != Inquiry::OwnerEvenIfBusy {
            return Inbound::Refuse(Refusal::Busy);
        }
        let terms = RouteTerms::of(view, seg);
        let pace = self.pace(view, now);
        if self.queue.add(seg, from, terms, pace, now) {
            Inbound::Queue
        } else {
            Inbound::Refuse(Refusal::Overloaded)
        }
    }

    /// Whether openings that wait get the free places, or the next permit of a cold
    /// server, before a new one.
    fn yields_to_queue(&mut self, view: Option<&View>, now: Millis, terms: RouteTerms) -> bool {
        if self.queue.goes_first(terms.rank, now) {
            return false;
        }
        let cold = self.cold_limit(view, now).is_some();
        cold || usize::from(self.free_places(view, now)) <= self.queue.len()
    }

    fn free_places(&self, view: Option<&View>, now: Millis) -> u16 {
        let member = view.and_then(|v| v.member_or_lapsed(self.server_ip, now));
        let places = member.map_or(0, Member::places);
        match places {
            0 => u16::MAX,
            places => places.saturating_sub(self.in_progress),
        }
    }

    pub(super) fn pace(&self, view: Option<&View>, now: Millis) -> Pace {
        let member = view.and_then(|v| v.member_or_lapsed(self.server_ip, now));
        let places = u32::from(member.map_or(0, Member::places));
        let request_time = self.request_time.get();
        let turn = request_time.checked_div(places).unwrap_or_default();
        let cold = self.cold_limit(view, now);
        Pace {
            request_time,
            turn: cold.map_or(turn, |limit| turn.max(limit.interval())),
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
        self.permit_at = None;
        if self.queue.is_empty() {
            return None;
        }
        if let Some(queued) = self.queue.pop_overdue(now) {
            return Some(self.refuse_queued(queued, Refusal::Overloaded));
        }
        if let Err(refusal) = self.admit_by_state(view, now) {
            let queued = self.queue.pop_lowest()?;
            return Some(self.refuse_queued(queued, refusal));
        }
        let cold = self.cold_limit(view, now);
        if let Some(limit) = cold
            && let Some(queued) = self.pop_without_permit(limit, now)
        {
            return Some(self.refuse_queued(queued, Refusal::Cold));
        }
        if self.is_full(view, now) || self.admit_while_silent(now).is_err() {
            return None;
        }
        if let Some(limit) = cold
            && self.next_awaits_permit(limit, now)
        {
            return None;
        }
        let queued = self.queue.pop_next(now)?;
        if self.superseded.contains(&queued.flow)
            || self.admit_cold(view, now, queued.rank).is_err()
        {
            return Some(self.refuse_queued(queued, Refusal::Overloaded));
        }
        self.queue.note_admitted(queued.rank);
        self.note_opening(now);
        let opening = Opening {
            seq: queued.seq,
            subscriber: Some(OwnerSubscriber {
                balancer: queued.from,
                opening: true,
            }),
        };
        if !self.takes_later_opening(&queued.flow, opening) {
            self.begin_flow(now, queued.flow, opening);
        }
        let mark = self.senders.mark(queued.from, false);
        Some(Dequeued::Forward(queued.flow, mark))
    }

    /// Time until the next queued flow times out, or gets a permit of the cold server;
    /// `None` if the queue is empty.
    pub fn time_to_queue_timeout(&self, now: Millis) -> Option<Duration> {
        let left = self.queue.time_left(now)?;
        let permit = self.permit_at.map(|at| at.since(now));
        Some(permit.map_or(left, |permit| left.min(permit)))
    }

    /// Number of new flows in the queue.
    pub fn queue_len(&self) -> usize {
        self.queue.len()
    }

    /// Whether new flows have had to be queued for longer than a burst lasts.
    pub fn is_overloaded(&self, now: Millis) -> bool {
        self.queue.is_overloaded(now)
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
    /// the opening packet, if the packet of `flow` is of that flow.
    pub(super) fn mark_superseded(
        &mut self,
        flow: &FlowKey,
        is_of: impl FnOnce(FlowSequence) -> bool,
    ) {
        let waiting = self.queue.find(flow);
        if waiting.is_some_and(|opening| is_of(FlowSequence::opened_at(opening.seq))) {
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
