//! Decisions of a passthrough agent, which runs beside one backend server.
//!
//! Balancers forward callers' packets to the agent. The agent makes the final
//! decision on a new flow, because it knows best whether its server is
//! draining, in cold start or not responding, and which service it runs: the
//! flow goes to the server, waits in a queue or is refused.
//!
//! Packets of open flows always go to the server, because only the server knows
//! for certain which flows it has. A packet of an unknown flow is bounced by the
//! server, and the agent returns it to the balancer that sent it. The mark on
//! the packet, which the server sends back, identifies that balancer.

mod action;
mod admission;
mod capacity;
mod closing;
mod cold_start;
mod flow;
mod flow_table;
mod knowledge;
mod port_reuse;
mod server_liveness;
mod shutdown;

use std::collections::VecDeque;
use std::net::Ipv4Addr;

use indexmap::IndexMap;
use indexmap::IndexSet;
use ramp_protocol::frame::Frame;
use ramp_protocol::frame::Inquiry;
use ramp_protocol::frame::Refusal;
use ramp_protocol::packet::Segment;
use ramp_state::key::FlowKey;
use ramp_state::key::ServiceId;
use ramp_state::time::Millis;

use self::flow::Flow;
use self::port_reuse::Fit;
use self::server_liveness::ServerLiveness;
use super::flow_sequence::FlowSequence;
use super::mark::Mark;
use super::mark::Senders;
use super::mean_time::MeanTime;
use super::opening_queue::OpeningQueue;
use super::published::Revision;
use super::rate_limit::RateLimiter;
use super::server_capacity::ServerCapacity;
use super::sweep::Sweep;
use super::view::View;

pub use self::action::Bounce;
pub use self::action::Dequeued;
pub use self::action::Inbound;
pub use self::action::LostFlow;
pub use self::action::Outbound;
pub use self::action::UnansweredRequest;
pub use self::server_liveness::ConnectResult;

/// Flows, queue and liveness of one backend server, as its agent tracks them.
#[derive(Debug)]
pub struct Agent {
    server_ip: Ipv4Addr,
    service: ServiceId,
    /// Start of this process, in Unix milliseconds; `started_at` is the same
    /// moment on the driver's clock.
    started_ms: u64,
    started_at: Millis,
    /// Since when this process has seen all packets of the server's flows.
    watching_since: Millis,
    last_tick_at: Millis,
    /// Whether `started_ms` is too early, because the system clock was behind.
    clock_behind: bool,
    /// Whether the server is older than this process, whatever the start time in
    /// its record says: it sent data on a flow that was open before.
    server_predates_agent: bool,
    /// When this process was asked to exit.
    shutdown_since: Option<Millis>,
    flows: IndexMap<FlowKey, Flow>,
    in_progress: u16,
    /// Flows whose first request is expected, oldest first, with the time at which
    /// they were given to the server.
    expected_requests: VecDeque<(Millis, FlowKey)>,
    senders: Senders,
    cold_start_limiter: RateLimiter,
    /// When the first opening packet was sent that the server has not answered.
    unanswered_opening_since: Option<Millis>,
    last_opening_at: Millis,
    cold_until: Millis,
    queue: OpeningQueue,
    /// When the next queued flow gets a permit of the cold server, if it waits for one.
    permit_at: Option<Millis>,
    /// Mean time of a request at the server.
    request_time: MeanTime,
    /// Queued flows whose callers already have an answer to another copy of the
    /// opening packet.
    superseded: IndexSet<FlowKey>,
    flow_sweep: Sweep,
    unanswered_requests: Vec<UnansweredRequest>,
    /// Whether this process has received its first view.
    has_view: bool,
    /// When the server was last seen missing from the platform's listing.
    last_unlisted_at: Option<Millis>,
    last_heartbeats_at: Millis,
    /// Newest revision of the platform's records that a balancer or another agent has.
    newest_heard: Revision,
    liveness: ServerLiveness,
    capacity: ServerCapacity,
}

impl Agent {
    /// Creates the agent of the server at `server_ip`. `nonce` distinguishes the
    /// marks of this process from those of an earlier one; `now` and `started_ms`
    /// (Unix milliseconds) both state when this process started.
    pub fn new(
        server_ip: Ipv4Addr,
        service: ServiceId,
        nonce: u8,
        started_ms: u64,
        now: Millis,
    ) -> Agent {
        Agent {
            server_ip,
            service,
            started_ms,
            started_at: now,
            watching_since: now,
            last_tick_at: now,
            clock_behind: false,
            server_predates_agent: false,
            shutdown_since: None,
            flows: IndexMap::new(),
            in_progress: 0,
            expected_requests: VecDeque::new(),
            senders: Senders::new(nonce),
            cold_start_limiter: RateLimiter::default(),
            unanswered_opening_since: None,
            last_opening_at: Millis(0),
            cold_until: Millis(0),
            queue: OpeningQueue::default(),
            permit_at: None,
            request_time: MeanTime::default(),
            superseded: IndexSet::new(),
            flow_sweep: Sweep::default(),
            unanswered_requests: Vec::new(),
            has_view: false,
            last_unlisted_at: None,
            last_heartbeats_at: Millis(0),
            newest_heard: Revision(0),
            liveness: ServerLiveness::default(),
            capacity: ServerCapacity::default(),
        }
    }

    /// Number of requests that occupy a slot of the server, or soon will.
    pub fn in_progress(&self) -> u16 {
        self.in_progress
    }

    /// Decides what happens to a packet that the balancer `from` sent.
    pub fn on_balancer_packet(
        &mut self,
        view: Option<&View>,
        now: Millis,
        from: Ipv4Addr,
        frame: &Frame,
        inquiry: Inquiry,
        seg: &Segment,
    ) -> Inbound {
        self.sweep_flows(view, now);
        self.expire_expected_requests(now);
        if self.liveness.is_absent() {
            return Inbound::Refuse(refusal_without_server(seg));
        }
        if seg.opens
            && !self.has_admitted(seg)
            && let Some(inbound) = self.refuse_or_queue(view, now, from, frame, inquiry, seg)
        {
            return inbound;
        }
        if !seg.opens {
            match self.fit_of(seg) {
                Fit::Same => {}
                Fit::Elsewhere => return Inbound::Refuse(Refusal::Bounced),
                Fit::Unknown => self.remove_flow(&seg.key),
            }
            self.mark_superseded(&seg.key, |queued| queued.includes(seg));
        }
        let owned = self.record_caller_packet(now, from, inquiry, seg);
        self.liveness.on_packet_forwarded(now, seg);
        let mark = self.senders.mark(from, inquiry == Inquiry::OwnerOfCopy);
        Inbound::Forward { mark, owned }
    }

    /// Records a packet that the server sent to a caller.
    pub fn on_server_packet(
        &mut self,
        view: Option<&View>,
        now: Millis,
        seg: &Segment,
    ) -> Outbound {
        self.liveness.on_server_packet(now);
        self.on_server_reply(view, now);
        self.mark_superseded(&seg.key, |queued| queued.includes_reply(seg));
        if let Some(denied_to) = self.deny_for_earlier_flow(seg) {
            return Outbound {
                resets_earlier_flow: seg.rst,
                denied_to,
                ..Outbound::default()
            };
        }
        if seg.rst {
            if self.capacity.on_response(now, &seg.key).is_some() {
                self.capacity
                    .on_refusal(now, self.capacity.in_progress() + 1);
            }
            self.remove_flow(&seg.key);
            return Outbound {
                reset: true,
                ..Outbound::default()
            };
        }
        self.accept_later_opening(now, seg);
        let flow = self
            .flows
            .entry(seg.key)
            .or_insert_with(|| Flow::new(now, FlowSequence::acknowledged_to(seg.ack)));
        if !seg.syn && !flow.sequence.includes_reply(seg) {
            // It is of an earlier flow with the same key.
            return Outbound::default();
        }
        flow.last_packet_at = now;
        flow.note_server_packet(seg);
        self.server_predates_agent |= flow.shows_older_flow(seg);
        let notify = flow.take_notifiable();
        if seg.len == 0 && !seg.fin {
            return Outbound {
                notify,
                ..Outbound::default()
            };
        }
        let completed = self.capacity.on_response(now, &seg.key);
        let completed = completed.filter(|_| seg.len > 0);
        let since = flow.request_since.take();
        flow.request_received = false;
        self.in_progress = self.in_progress.saturating_sub(u16::from(since.is_some()));
        let response_time = since.map(|at| now.since(at));
        if let Some(time) = response_time {
            self.request_time.record(time);
        }
        Outbound {
            notify,
            response_time,
            completed,
            ..Outbound::default()
        }
    }

    /// Decides what happens to a packet that the server bounced.
    pub fn on_bounce(
        &mut self,
        view: Option<&View>,
        now: Millis,
        mark: u32,
        seg: &Segment,
    ) -> Bounce {
        self.liveness.on_bounce();
        self.on_server_reply(view, now);
        let held = self.flows.get_mut(&seg.key);
        if let Some(flow) = held.filter(|_| seg.opens) {
            flow.later_opening.take_if(|opening| opening.seq == seg.seq);
        }
        let held = self.flows.get(&seg.key).filter(|f| f.includes(seg));
        // The server may bounce a copy of the opening packet of a flow that it has.
        let open = held.is_some_and(|f| f.open);
        let lost = held.is_some_and(|f| f.owned && !f.has_ended() && !seg.opens);
        if held.is_some() && !(seg.opens && open) {
            self.remove_flow(&seg.key);
        }
        let Some((sender, copy)) = self.senders.sender_of(Mark(mark)) else {
            return Bounce::UnknownMark;
        };
        if seg.opens && !open && !copy {
            self.capacity.on_refusal(now, self.capacity.in_progress());
        }
        if lost {
            Bounce::Lost(sender)
        } else if copy {
            Bounce::Deny(sender)
        } else {
            Bounce::Return(sender)
        }
    }
}

/// Reason that the balancer gets for a packet while no server is running.
fn refusal_without_server(seg: &Segment) -> Refusal {
    if seg.opens {
        Refusal::Silent
    } else {
        Refusal::Bounced
    }
}
