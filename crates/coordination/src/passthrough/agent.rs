//! Decisions of an agent whose packets pass through.
//!
//! The agent has the last word on a new flow: it knows best whether its
//! server drains, is cold or silent, and which service it is. Packets of open
//! flows always go to the server, which alone knows what it has; what the
//! server bounces goes back to the balancer that sent it. The mark that
//! a packet carries to the server and back names that balancer.

use std::collections::VecDeque;
use std::net::Ipv4Addr;
use std::time::Duration;

use indexmap::IndexMap;
use ramp_protocol::format::RequestId;
use ramp_protocol::hop::Frame;
use ramp_protocol::hop::Inquiry;
use ramp_protocol::hop::Knowledge;
use ramp_protocol::hop::Refusal;
use ramp_protocol::packet::Segment;
use ramp_state::key::FlowKey;
use ramp_state::key::ServiceId;
use ramp_state::time::Millis;

use super::mark::Mark;
use super::mark::Senders;
use super::quota::Quota;
use super::sweep::Sweep;
use super::view::View;
use super::waiting::Waiting;

/// Time a server has to answer the opening of a flow.
const ANSWER_LIMIT: Duration = Duration::from_millis(150);

/// Time between two openings that try whether a silent server is back.
const RETRY_SILENT: Duration = Duration::from_millis(100);

/// Silence from which a server that answers again counts as restarted.
const RESTART_SILENCE: Duration = Duration::from_millis(400);

/// Silence after which a flow is forgotten here; its server may still have it.
const FLOW_KEPT: Duration = Duration::from_secs(30);

/// Silence after which a request no longer counts as in progress.
const REQUEST_LIMIT: Duration = Duration::from_secs(2);

/// Time that a request may take to come once its flow is given to the server;
/// a caller that has gone meanwhile must not hold a slot.
const REQUEST_DUE: Duration = Duration::from_millis(60);

/// How much earlier than its agent a server may have started while it still
/// can't have flows that the agent has not seen: a machine that comes back
/// starts both.
const STARTED_TOGETHER: Duration = Duration::from_millis(500);

/// Flows looked at for their age with each packet.
const SWEEP_FLOWS: usize = 2;

/// What to do with a packet from a balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Inbound {
    /// Give it to the server with this mark.
    Pass {
        /// The mark.
        mark: Mark,
        /// Tell the balancer that the server has the flow.
        owned: bool,
    },
    /// Keep it until [`Agent::release`] says what becomes of it.
    Wait,
    /// A copy of a packet that waits already: nothing.
    Waiting,
    /// Send it back.
    Refuse(Refusal),
}

/// What becomes of a new flow that has waited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Release {
    /// Give its packet to the server with this mark.
    Pass(FlowKey, Mark),
    /// Send its packet back to this balancer.
    Refuse(FlowKey, Ipv4Addr),
}

/// What to do with a packet that the server bounced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bounce {
    /// Send the packet back to this balancer.
    Return(Ipv4Addr),
    /// Tell this balancer only that the server does not have the flow.
    Deny(Ipv4Addr),
    /// Its mark is not of this process's making.
    Unknown,
}

/// What came of a packet that the server sent to a caller.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Outbound {
    /// Balancer that waits to hear that the server has the flow.
    pub tell: Option<Ipv4Addr>,
    /// Since the request came whose answer begins here.
    pub answered_after: Option<Duration>,
    /// Whether the server reset the flow.
    pub reset: bool,
}

/// A request that the server has not answered for long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unanswered {
    /// Its flow.
    pub flow: FlowKey,
    /// Its id, where a packet has shown it.
    pub request: Option<RequestId>,
}

/// A flow at the server.
#[derive(Clone, Copy, Debug)]
struct Flow {
    /// Balancer that waits to hear of its owner.
    asked_by: Option<Ipv4Addr>,
    /// Whether the server has sent something on it.
    open: bool,
    /// Since when a request is in progress, or about to come.
    busy_since: Option<Millis>,
    /// Whether the request has come; before, it is only expected.
    running: bool,
    /// The request in progress, where a packet has shown its id.
    request: Option<RequestId>,
    /// Sequence number behind the newest data of the caller.
    next_seq: u32,
    seen_at: Millis,
}

/// State of an agent; see the module's head.
#[derive(Debug)]
pub struct Agent {
    me: Ipv4Addr,
    service: ServiceId,
    /// Start of this process, Unix milliseconds and on the driver's clock.
    started_ms: u64,
    started_at: Millis,
    leaving: bool,
    flows: IndexMap<FlowKey, Flow>,
    busy: u16,
    /// Flows whose first request is expected, the oldest first.
    expected: VecDeque<(Millis, FlowKey)>,
    senders: Senders,
    quota: Quota,
    /// First opening that the server has not answered.
    unanswered_since: Option<Millis>,
    tried_at: Millis,
    cold_until: Millis,
    waiting: Waiting,
    swept: Sweep,
    unanswered: Vec<Unanswered>,
}

impl Flow {
    fn new(now: Millis, next_seq: u32) -> Flow {
        Flow {
            asked_by: None,
            open: false,
            busy_since: None,
            running: false,
            request: None,
            next_seq,
            seen_at: now,
        }
    }

    /// Whether a packet of the caller opens the flow or brings new data. The
    /// request of a flow that opens is counted at once: it follows soon, and
    /// openings that come together must not be taken for an idle server's.
    fn begins_request(&mut self, seg: &Segment) -> bool {
        if seg.opens {
            self.next_seq = seg.seq;
            return true;
        }
        let end = seg.seq.wrapping_add(seg.len);
        let new = seg.len > 0 && end.wrapping_sub(self.next_seq) as i32 > 0;
        if new {
            self.next_seq = end;
            self.running = true;
        }
        new
    }
}

impl Agent {
    /// Agent of the server at `me`, started now. `nonce` tells marks of this
    /// process from those of an earlier one, `started_ms` is its start in Unix
    /// milliseconds.
    pub fn new(me: Ipv4Addr, service: ServiceId, nonce: u8, started_ms: u64, now: Millis) -> Agent {
        Agent {
            me,
            service,
            started_ms,
            started_at: now,
            leaving: false,
            flows: IndexMap::new(),
            busy: 0,
            expected: VecDeque::new(),
            senders: Senders::new(nonce),
            quota: Quota::default(),
            unanswered_since: None,
            tried_at: Millis(0),
            cold_until: Millis(0),
            waiting: Waiting::default(),
            swept: Sweep::default(),
            unanswered: Vec::new(),
        }
    }

    /// Takes no new flows from now on.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Requests in progress.
    pub fn in_progress(&self) -> u16 {
        self.busy
    }

    /// Flows that the server is known to have.
    pub fn open_flows(&self) -> usize {
        self.flows.len()
    }

    /// Whether every flow of the server is known here. The only way to the
    /// server is this process, so that is so when it started no later than the
    /// server, or has seen every flow that is not idle for too long.
    pub fn is_complete(&self, view: Option<&View>, now: Millis) -> bool {
        let Some(view) = view else {
            return false;
        };
        if now.since(self.started_at) > view.idle_limit {
            return true;
        }
        let born_ms = view.member(self.me).map_or(0, |m| m.born_ms);
        born_ms + STARTED_TOGETHER.as_millis() as u64 >= self.started_ms
    }

    /// What is known of a flow, without asking the server.
    pub fn knowledge(&self, view: Option<&View>, now: Millis, flow: &FlowKey) -> Knowledge {
        if self.flows.get(flow).is_some_and(|f| f.open) {
            return Knowledge::Has;
        }
        if self.flows.contains_key(flow) || !self.is_complete(view, now) {
            return Knowledge::Unsure;
        }
        Knowledge::HasNot
    }

    /// A packet that the balancer `from` sent.
    pub fn inbound(
        &mut self,
        view: Option<&View>,
        now: Millis,
        from: Ipv4Addr,
        frame: &Frame,
        inquiry: Inquiry,
        seg: &Segment,
    ) -> Inbound {
        self.sweep(now);
        self.expire_expected(now);
        if seg.opens && self.waiting.contains(&seg.key) {
            return Inbound::Waiting;
        }
        if seg.opens && !self.flows.contains_key(&seg.key) {
            if let Err(refusal) = self.admit(view, now, frame, seg) {
                return Inbound::Refuse(refusal);
            }
            if let Some(step) = self.make_wait(view, now, from, inquiry, seg) {
                return step;
            }
            if let Err(refusal) = self.admit_cold(view, now) {
                return Inbound::Refuse(refusal);
            }
            self.note_opening(now);
        }
        let asked = inquiry != Inquiry::None;
        let flow = self
            .flows
            .entry(seg.key)
            .or_insert_with(|| Flow::new(now, seg.seq));
        flow.seen_at = now;
        let owned = asked && flow.open && !seg.opens;
        if asked && !owned {
            flow.asked_by = Some(from);
        }
        if flow.begins_request(seg) && flow.busy_since.is_none() {
            if seg.opens {
                self.expected.push_back((now, seg.key));
            }
            flow.busy_since = Some(now);
            self.busy = self.busy.saturating_add(1);
        }
        let mark = self.senders.mark(from, inquiry == Inquiry::OwnerOfCopy);
        Inbound::Pass { mark, owned }
    }

    /// Takes note of the id that a packet of a flow has shown.
    pub fn note_request(&mut self, flow: &FlowKey, request: RequestId) {
        if let Some(flow) = self.flows.get_mut(flow) {
            flow.request = Some(request);
        }
    }

    /// Id of the last request of a flow, where a packet has shown it.
    pub fn request_of(&self, flow: &FlowKey) -> Option<RequestId> {
        self.flows.get(flow)?.request
    }

    /// Requests that were found unanswered since the last call. To be called
    /// now and then, also when no packets come.
    pub fn take_unanswered(&mut self, now: Millis) -> Vec<Unanswered> {
        self.sweep(now);
        std::mem::take(&mut self.unanswered)
    }

    /// A packet that the server sent to a caller.
    pub fn outbound(&mut self, view: Option<&View>, now: Millis, seg: &Segment) -> Outbound {
        self.answered(view, now);
        if seg.rst {
            self.forget(&seg.key);
            return Outbound {
                reset: true,
                ..Outbound::default()
            };
        }
        let flow = self
            .flows
            .entry(seg.key)
            .or_insert_with(|| Flow::new(now, seg.ack));
        flow.seen_at = now;
        flow.open = true;
        let tell = flow.asked_by.take();
        if seg.len == 0 && !seg.fin {
            return Outbound {
                tell,
                ..Outbound::default()
            };
        }
        let since = flow.busy_since.take();
        flow.running = false;
        self.busy = self.busy.saturating_sub(u16::from(since.is_some()));
        Outbound {
            tell,
            answered_after: since.map(|at| now.since(at)),
            reset: false,
        }
    }

    /// A packet that the server does not take.
    pub fn bounced(
        &mut self,
        view: Option<&View>,
        now: Millis,
        mark: u32,
        seg: &Segment,
    ) -> Bounce {
        self.answered(view, now);
        self.forget(&seg.key);
        let Some((sender, copy)) = self.senders.of(Mark(mark)) else {
            return Bounce::Unknown;
        };
        if copy {
            Bounce::Deny(sender)
        } else {
            Bounce::Return(sender)
        }
    }

    fn admit(
        &mut self,
        view: Option<&View>,
        now: Millis,
        frame: &Frame,
        seg: &Segment,
    ) -> Result<(), Refusal> {
        if self.leaving {
            return Err(Refusal::Leaving);
        }
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
        let member = view.member(self.me);
        if member.is_some_and(|m| m.draining) {
            return Err(Refusal::Draining);
        }
        if member.is_some_and(|m| m.evacuated) {
            return Err(Refusal::Evacuated);
        }
        self.admit_silent(now)
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
        if !self.is_full(view) {
            return None;
        }
        // Another server may have room.
        if inquiry != Inquiry::OwnerThoughBusy {
            return Some(Inbound::Refuse(Refusal::Busy));
        }
        if self.waiting.add(seg.key, from, now) {
            Some(Inbound::Wait)
        } else {
            Some(Inbound::Refuse(Refusal::Overloaded))
        }
    }

    fn is_full(&self, view: Option<&View>) -> bool {
        let member = view.and_then(|v| v.member(self.me));
        member.is_some_and(|m| m.is_full(self.busy))
    }

    /// What becomes of new flows that wait: to be called after each packet of
    /// the server, and now and then.
    pub fn release(&mut self, view: Option<&View>, now: Millis) -> Option<Release> {
        self.expire_expected(now);
        if self.waiting.is_empty() {
            return None;
        }
        if let Some(waiter) = self.waiting.overdue(now) {
            return Some(Release::Refuse(waiter.flow, waiter.from));
        }
        let member = view.and_then(|v| v.member(self.me));
        if self.leaving || member.is_some_and(|m| !m.takes_new()) {
            let waiter = self.waiting.any()?;
            return Some(Release::Refuse(waiter.flow, waiter.from));
        }
        if self.is_full(view) || self.admit_silent(now).is_err() {
            return None;
        }
        let waiter = self.waiting.newest()?;
        if self.admit_cold(view, now).is_err() {
            return Some(Release::Refuse(waiter.flow, waiter.from));
        }
        self.note_opening(now);
        let mut flow = Flow::new(now, 0);
        flow.asked_by = Some(waiter.from);
        flow.busy_since = Some(now);
        self.busy = self.busy.saturating_add(1);
        self.expected.push_back((now, waiter.flow));
        self.forget(&waiter.flow);
        self.flows.insert(waiter.flow, flow);
        let mark = self.senders.mark(waiter.from, false);
        Some(Release::Pass(waiter.flow, mark))
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
        let member = view.member(self.me);
        // A server that is not listed yet has just started.
        let cold = member.is_none_or(|m| m.is_cold(now)) || now < self.cold_until;
        if !cold {
            self.quota.note(now);
            return Ok(());
        }
        if self.quota.take(now, rate.floor().max(1.0) as usize) {
            return Ok(());
        }
        Err(Refusal::Cold)
    }

    fn note_opening(&mut self, now: Millis) {
        self.tried_at = now;
        self.unanswered_since.get_or_insert(now);
    }

    /// The server answers; after a long silence it has most likely restarted.
    fn answered(&mut self, view: Option<&View>, now: Millis) {
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

    /// Frees the slots of requests that did not come.
    fn expire_expected(&mut self, now: Millis) {
        while let Some((since, key)) = self.expected.front() {
            if now.since(*since) < REQUEST_DUE {
                return;
            }
            if let Some(flow) = self.flows.get_mut(key)
                && !flow.running
                && flow.busy_since.take().is_some()
            {
                self.busy = self.busy.saturating_sub(1);
            }
            self.expected.pop_front();
        }
    }

    fn forget(&mut self, key: &FlowKey) {
        if let Some(flow) = self.flows.swap_remove(key) {
            self.busy = self
                .busy
                .saturating_sub(u16::from(flow.busy_since.is_some()));
        }
    }

    fn sweep(&mut self, now: Millis) {
        let (busy, unanswered) = (&mut self.busy, &mut self.unanswered);
        self.swept
            .forget(&mut self.flows, SWEEP_FLOWS, |key, flow| {
                let silence = now.since(flow.seen_at);
                if silence <= REQUEST_LIMIT {
                    return false;
                }
                if flow.busy_since.take().is_some() {
                    *busy = busy.saturating_sub(1);
                }
                if std::mem::take(&mut flow.running) {
                    unanswered.push(Unanswered {
                        flow: *key,
                        request: flow.request,
                    });
                }
                silence > FLOW_KEPT
            });
    }
}
