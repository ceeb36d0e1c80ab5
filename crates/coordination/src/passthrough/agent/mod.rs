//! Decisions of an agent whose packets pass through.
//!
//! The agent has the last word on a new flow: it knows best whether its
//! server drains, is cold or silent, and which service it is. Packets of open
//! flows always go to the server, which alone knows what it has; what the
//! server bounces goes back to the balancer that sent it. The mark that
//! a packet carries to the server and back names that balancer.

mod action;
mod admission;
mod flow;
mod knowledge;
mod server_liveness;

use std::collections::VecDeque;
use std::net::Ipv4Addr;

use indexmap::IndexMap;
use indexmap::IndexSet;
use ramp_protocol::hop::Frame;
use ramp_protocol::hop::Inquiry;
use ramp_protocol::hop::Refusal;
use ramp_protocol::packet::Segment;
use ramp_state::key::FlowKey;
use ramp_state::key::ServiceId;
use ramp_state::time::Millis;

use self::flow::Asker;
use self::flow::Flow;
use self::server_liveness::ServerLiveness;
use super::mark::Mark;
use super::mark::Senders;
use super::opening_queue::OpeningQueue;
use super::rate_limit::RateLimiter;
use super::sweep::Sweep;
use super::view::View;

pub use self::action::Bounce;
pub use self::action::Dequeued;
pub use self::action::Inbound;
pub use self::action::LostFlow;
pub use self::action::Outbound;
pub use self::action::UnansweredRequest;
pub use self::server_liveness::ConnectResult;

/// State of an agent; see the module's head.
#[derive(Debug)]
pub struct Agent {
    me: Ipv4Addr,
    service: ServiceId,
    /// Start of this process, Unix milliseconds and on the driver's clock.
    started_ms: u64,
    started_at: Millis,
    /// Since when no packet of the server's flows was missed.
    watching_since: Millis,
    ticked_at: Millis,
    /// Whether `started_ms` is too early: the time of day was set back.
    clock_behind: bool,
    /// Whether the server was there before this process, whatever its birth.
    server_older: bool,
    leaving: bool,
    flows: IndexMap<FlowKey, Flow>,
    busy: u16,
    /// Flows whose first request is expected, the oldest first.
    expected: VecDeque<(Millis, FlowKey)>,
    senders: Senders,
    quota: RateLimiter,
    /// First opening that the server has not answered.
    unanswered_since: Option<Millis>,
    tried_at: Millis,
    cold_until: Millis,
    waiting: OpeningQueue,
    /// Flows that wait although their callers have an answer to another copy of
    /// the opening.
    superseded: IndexSet<FlowKey>,
    swept: Sweep,
    unanswered: Vec<UnansweredRequest>,
    /// Whether this process has had any view.
    has_view: bool,
    /// When the server was last not listed.
    unlisted_at: Option<Millis>,
    announced_at: Millis,
    liveness: ServerLiveness,
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
            watching_since: now,
            ticked_at: now,
            clock_behind: false,
            server_older: false,
            leaving: false,
            flows: IndexMap::new(),
            busy: 0,
            expected: VecDeque::new(),
            senders: Senders::new(nonce),
            quota: RateLimiter::default(),
            unanswered_since: None,
            tried_at: Millis(0),
            cold_until: Millis(0),
            waiting: OpeningQueue::default(),
            superseded: IndexSet::new(),
            swept: Sweep::default(),
            unanswered: Vec::new(),
            has_view: false,
            unlisted_at: None,
            announced_at: Millis(0),
            liveness: ServerLiveness::default(),
        }
    }

    /// Takes no new flows from now on.
    pub fn begin_shutdown(&mut self) {
        self.leaving = true;
    }

    /// Requests in progress.
    pub fn in_progress(&self) -> u16 {
        self.busy
    }

    /// A packet that the balancer `from` sent.
    pub fn on_balancer_packet(
        &mut self,
        view: Option<&View>,
        now: Millis,
        from: Ipv4Addr,
        frame: &Frame,
        inquiry: Inquiry,
        seg: &Segment,
    ) -> Inbound {
        self.sweep(view, now);
        self.expire_expected(now);
        if self.liveness.is_absent() {
            return Inbound::Refuse(refusal_of_absent(seg));
        }
        if seg.opens
            && !self.flows.contains_key(&seg.key)
            && let Some(step) = self.hold_back(view, now, from, frame, inquiry, seg)
        {
            return step;
        }
        if !seg.opens {
            self.supersede(&seg.key);
        }
        let asked = inquiry != Inquiry::None;
        let flow = self
            .flows
            .entry(seg.key)
            .or_insert_with(|| Flow::new(now, seg.seq));
        flow.seen_at = now;
        flow.caller_sent(seg);
        let owned = asked && flow.owned && !seg.opens;
        if asked && !owned {
            flow.ask(Asker {
                balancer: from,
                opening: seg.opens,
            });
        }
        if flow.begins_request(seg) && flow.busy_since.is_none() {
            if seg.opens {
                self.expected.push_back((now, seg.key));
            }
            flow.busy_since = Some(now);
            self.busy = self.busy.saturating_add(1);
        }
        self.liveness.passed(now, seg);
        let mark = self.senders.mark(from, inquiry == Inquiry::OwnerOfCopy);
        Inbound::Forward { mark, owned }
    }

    /// A packet that the server sent to a caller.
    pub fn on_server_packet(
        &mut self,
        view: Option<&View>,
        now: Millis,
        seg: &Segment,
    ) -> Outbound {
        self.liveness.sent(now);
        self.answered(view, now);
        self.supersede(&seg.key);
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
        flow.server_sent(seg);
        self.server_older |= flow.is_older(seg);
        let notify = flow.take_told();
        if seg.len == 0 && !seg.fin {
            return Outbound {
                notify,
                ..Outbound::default()
            };
        }
        let since = flow.busy_since.take();
        flow.running = false;
        self.busy = self.busy.saturating_sub(u16::from(since.is_some()));
        Outbound {
            notify,
            response_time: since.map(|at| now.since(at)),
            reset: false,
        }
    }

    /// A packet that the server does not take.
    pub fn on_bounce(
        &mut self,
        view: Option<&View>,
        now: Millis,
        mark: u32,
        seg: &Segment,
    ) -> Bounce {
        self.liveness.bounced();
        self.answered(view, now);
        // The server may not take a copy of the opening and still have the flow.
        let held = self.flows.get(&seg.key);
        let open = held.is_some_and(|f| f.open);
        let owned = held.is_some_and(|f| f.owned);
        if !seg.opens || !open {
            self.forget(&seg.key);
        }
        let Some((sender, copy)) = self.senders.sender_of(Mark(mark)) else {
            return Bounce::UnknownMark;
        };
        if owned && !seg.opens {
            Bounce::Lost(sender)
        } else if copy {
            Bounce::Deny(sender)
        } else {
            Bounce::Return(sender)
        }
    }
}

/// What a balancer is told of a packet while no server is there.
fn refusal_of_absent(seg: &Segment) -> Refusal {
    if seg.opens {
        Refusal::Silent
    } else {
        Refusal::Bounced
    }
}
