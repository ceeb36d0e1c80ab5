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
use crate::passthrough::priority_turns::Rank;
use crate::passthrough::rate_limit::RateLimiter;
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

/// Limit on new flows of a cold server.
///
/// Those with a priority are spread evenly over the second. Otherwise the first ones
/// after a start use up its permits at once, and as the limit holds for each second,
/// none is left for most of every later second either.
#[derive(Clone, Copy, Debug)]
struct ColdLimit {
    per_s: u32,
    /// End of the cold start; none while the server is not listed.
    ends_at: Option<Millis>,
}

impl ColdLimit {
    /// Time between two new flows that are spread evenly.
    fn interval(&self) -> Duration {
        Duration::from_secs(1) / self.per_s
    }

    /// Time until the server may get the `turn`th new flow from now on.
    fn time_to_permit(&self, limiter: &RateLimiter, now: Millis, turn: usize) -> Duration {
        let interval = self.interval();
        let first = limiter.last().map_or(now, |at| now.max(at + interval));
        let spread = first + interval * turn.saturating_sub(1) as u32;
        let wait = limiter.time_until(now, self.per_s as usize, turn);
        let wait = wait.max(spread.since(now));
        self.ends_at.map_or(wait, |end| wait.min(end.since(now)))
    }
}

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

    /// Refuses or queues a new flow while the rate of the cold server is used up. It
    /// waits only if it has a priority, most other servers are cold too, and its turn
    /// comes in time; otherwise the balancer tries another server.
    fn queue_while_cold(
        &mut self,
        view: Option<&View>,
        now: Millis,
        from: Ipv4Addr,
        inquiry: Inquiry,
        seg: &Segment,
    ) -> Inbound {
        let refused = Inbound::Refuse(Refusal::Cold);
        let terms = RouteTerms::of(view, seg);
        let Some(limit) = self.cold_limit(view, now) else {
            return refused;
        };
        let may_wait = inquiry == Inquiry::OwnerEvenIfBusy && terms.rank.has_priority();
        if !may_wait || self.are_most_others_warm(view, now) {
            return refused;
        }
        let pace = self.pace(view, now);
        let (deadline, turn) = self.queue.prospect(seg, terms, pace, now);
        let in_time = now + self.time_to_permit(limit, now, turn) < deadline;
        if in_time && self.queue.add(seg, from, terms, pace, now) {
            return Inbound::Queue;
        }
        refused
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

    fn pace(&self, view: Option<&View>, now: Millis) -> Pace {
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

    /// Whether more than half of the service's other servers that take new flows are
    /// warm. Not whether any is: after a restart of all machines, a record that has not
    /// lapsed yet may show a server as warm that has gone.
    fn are_most_others_warm(&self, view: Option<&View>, now: Millis) -> bool {
        let is_other = |m: &&Member| m.address != self.server_ip && m.accepts_new_flows();
        let servers = view.iter().flat_map(|v| v.servers_of(self.service, now));
        let (cold, warm): (Vec<&Member>, Vec<&Member>) =
            servers.filter(is_other).partition(|m| m.is_cold(now));
        warm.len() > cold.len()
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
        if !self.note_later_opening(&queued.flow, opening) {
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

    /// Takes a flow out of the queue that can't get a permit of the cold server before
    /// its wait is over.
    fn pop_without_permit(&mut self, limit: ColdLimit, now: Millis) -> Option<QueuedOpening> {
        let limiter = &self.cold_start_limiter;
        let time_to_turn = |turn| limit.time_to_permit(limiter, now, turn);
        self.queue.pop_hopeless(now, time_to_turn)
    }

    /// Whether the next flow of the queue has to wait for a permit of the cold server.
    /// One without a priority does not wait for it but is refused.
    fn next_awaits_permit(&mut self, limit: ColdLimit, now: Millis) -> bool {
        let wait = self.time_to_permit(limit, now, 1);
        let waits = !wait.is_zero() && self.queue.peek_rank(now).is_some_and(Rank::has_priority);
        self.permit_at = waits.then(|| now + wait);
        waits
    }

    fn time_to_permit(&self, limit: ColdLimit, now: Millis, turn: usize) -> Duration {
        limit.time_to_permit(&self.cold_start_limiter, now, turn)
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

    fn admit_cold(&mut self, view: Option<&View>, now: Millis, rank: Rank) -> Result<(), Refusal> {
        let Some(limit) = self.cold_limit(view, now) else {
            // The server may turn out to be cold within the next second.
            self.cold_start_limiter.record(now);
            return Ok(());
        };
        let too_early = rank.has_priority() && !self.time_to_permit(limit, now, 1).is_zero();
        if !too_early
            && self
                .cold_start_limiter
                .try_acquire(now, limit.per_s as usize)
        {
            return Ok(());
        }
        Err(Refusal::Cold)
    }

    /// Limit on new flows while the server is cold; `None` while it is not.
    fn cold_limit(&self, view: Option<&View>, now: Millis) -> Option<ColdLimit> {
        let view = view?;
        let rate = view.cold_rate_per_s(self.service)?;
        let member = view.member_or_lapsed(self.server_ip, now);
        // A server that is not listed yet has just started, so it is cold.
        let cold = member.is_none_or(|m| m.is_cold(now)) || now < self.cold_until;
        cold.then(|| ColdLimit {
            per_s: rate.floor().clamp(1.0, f64::from(u32::MAX)) as u32,
            ends_at: member.map(|m| m.cold_until.max(self.cold_until)),
        })
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
