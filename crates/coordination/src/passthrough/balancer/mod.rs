//! Routing decisions of a balancer in passthrough mode, without I/O.
//!
//! [`Balancer`] takes packets, messages of agents and timeouts, and returns an
//! [`Action`]: forward the packet, ask for the flow's owner, reset the caller or
//! drop the packet. A *member* is a listed backend server with its agent, a
//! *holder* any agent whose server may have the flow, listed or not, and the
//! *owner* the one whose server has it.
//!
//! - A new flow goes to the member that ranks first for it, or to a less busy one.
//!   The agent there decides and may return the packet; another member is then
//!   tried.
//! - A packet of an unknown flow goes to the member that ranks first. If the
//!   server there does not have the flow, or the agent does not reply in time,
//!   all other holders are asked for the owner.
//! - The caller of an open flow whose route exists is reset only when all holders
//!   have denied the flow or count as gone, or when its server reports the flow as
//!   lost, and then at once. A new flow is refused with a reset when no member
//!   accepts it.
//!
//! The network may lose messages in one direction only, so nothing depends on a
//! single reply: after a timeout all holders are asked, first by flow key, then
//! with a copy of the packet.

mod action;
mod flow;
mod owner;
mod placement;
mod relayed;
mod search;
mod stalled_search;

use std::net::Ipv4Addr;
use std::time::Duration;

use indexmap::IndexMap;
use ramp_protocol::capacity_report::CapacityReport;
use ramp_protocol::frame::Frame;
use ramp_protocol::frame::Inquiry;
use ramp_protocol::frame::Refusal;
use ramp_protocol::packet::Segment;
use ramp_state::key::FlowKey;
use ramp_state::key::ServiceId;
use ramp_state::time::Millis;

use self::action::reset_or_drop;
use self::flow::Flow;
use self::placement::PlacementAttempt;
use self::relayed::RelayClient;
use self::search::Search;
use super::choice::AgentReports;
use super::link_load::LinkLoad;
use super::link_rate::LinkRate;
use super::published::Revision;
use super::rate_limit::RateLimiter;
use super::suspects::Suspects;
use super::sweep::Sweep;
use super::unanswered::UnansweredQueries;
use super::view::View;

pub use self::action::Action;
pub use self::action::DropReason;
pub use self::action::OverdueReply;
pub use self::action::OwnerQuery;
pub use self::action::OwnershipUpdate;
pub use self::action::RelayRequest;
pub use self::action::Reset;
pub use self::action::ResetReason;
pub use self::flow::OWNER_REPLY_TIMEOUT;
pub use self::relayed::RelayedAnswer;
pub use self::relayed::RelayedOutcome;
pub use self::search::OWNER_QUERY_INTERVAL;
pub use self::stalled_search::PendingHolder;
pub use self::stalled_search::PendingReason;
pub use self::stalled_search::StalledSearch;
pub use self::stalled_search::ViewUncertainty;

pub(super) use self::owner::OPENING_RETRY_TIME;

/// Entries of each table that are checked for expiry with each packet.
const SWEEP_ENTRIES_PER_PACKET: usize = 4;

/// Longest time between the starts of two processes when the whole fleet is
/// restarted.
const FLEET_RESTART_SPREAD: Duration = Duration::from_secs(2);

/// Idle time after which a flow is removed whose caller has sent a FIN or RST.
const FINISHED_FLOW_TTL: Duration = Duration::from_secs(3);

/// Idle time after which a search or a placement attempt is removed.
const SEARCH_TTL: Duration = Duration::from_secs(10);

/// Flows, placement attempts and owner searches of one balancer process.
#[derive(Debug, Default)]
pub struct Balancer {
    flows: IndexMap<FlowKey, Flow>,
    placement_attempts: IndexMap<FlowKey, PlacementAttempt>,
    searches: IndexMap<FlowKey, Search>,
    suspects: Suspects,
    loads: AgentReports,
    unanswered: UnansweredQueries,
    /// Bounds the packet copies to agents that do not reply.
    silent_copy_limiter: RateLimiter,
    flow_sweep: Sweep,
    attempt_sweep: Sweep,
    search_sweep: Sweep,
    newest_agent_revision: Revision,
    /// When this process started; its first packet or message if that is not known.
    started_at: Option<Millis>,
    /// Whether an agent has been running for longer than this process, by more
    /// than [`FLEET_RESTART_SPREAD`].
    fleet_is_older: bool,
    /// Load of this instance's link, if it is narrow.
    narrow_link: Option<LinkLoad>,
    /// Identity in queries to relays; none: no relay is used.
    relay_client: Option<RelayClient>,
}

impl Balancer {
    /// A balancer without any flows.
    pub fn new() -> Balancer {
        Balancer::default()
    }

    /// The same balancer on a machine whose link has this rate. A wide link, or one of
    /// unknown rate, changes nothing.
    pub fn with_link_rate(self, rate: Option<LinkRate>) -> Balancer {
        Balancer {
            narrow_link: rate.filter(|rate| rate.is_narrow()).map(LinkLoad::new),
            ..self
        }
    }

    /// The same balancer in a process that started at this moment. Without it, the first
    /// packet or message counts as the start; a process handles none before its first view.
    pub fn with_start(self, started_at: Millis) -> Balancer {
        Balancer {
            started_at: Some(started_at),
            ..self
        }
    }

    /// Number of flows in the table.
    pub fn flow_count(&self) -> usize {
        self.flows.len()
    }

    /// Newest platform revision that an agent has reported; it may be newer than
    /// the current view.
    pub fn newest_agent_revision(&self) -> Revision {
        self.newest_agent_revision
    }

    /// Records the time that this instance's link needs for the datagrams that wait
    /// for it.
    pub fn set_link_backlog(&mut self, now: Millis, backlog: Duration) {
        if let Some(link) = &mut self.narrow_link {
            link.set_backlog(now, backlog);
        }
    }

    /// Records a datagram that was sent for a search.
    pub fn note_search_sent(&mut self, now: Millis, payload_bytes: usize) {
        if let Some(link) = &mut self.narrow_link {
            link.note_search_sent(now, payload_bytes);
        }
    }

    /// Part of agents' reply times that this instance's own link causes; zero where
    /// it is not narrow. All timeouts of replies grow by it.
    pub fn link_delay(&self, now: Millis) -> Duration {
        let link = self.narrow_link.as_ref();
        link.map_or(Duration::ZERO, |link| link.delay(now))
    }

    /// Handles a packet of a caller.
    pub fn on_packet(&mut self, view: &View, now: Millis, seg: &Segment) -> Action {
        self.started_at.get_or_insert(now);
        self.evict_old_entries(view, now);
        if seg.syn && seg.has_ack {
            return Action::Drop(DropReason::Forged);
        }
        if view.route(seg.key.service).is_none() {
            self.flows.swap_remove(&seg.key);
            return self.handle_missing_route(view, now, seg);
        }
        self.forget_other_flow(seg);
        if seg.opens {
            return self.route_opening(view, now, seg);
        }
        self.route_open_flow(view, now, seg)
    }

    /// Forgets an earlier flow with the packet's key. The caller has used its port again,
    /// and its new flow may be, or must go, elsewhere; what is known of the earlier one
    /// says nothing of it.
    fn forget_other_flow(&mut self, seg: &Segment) {
        if self.is_of_other_flow(seg) {
            self.flows.swap_remove(&seg.key);
            self.searches.swap_remove(&seg.key);
            self.placement_attempts.swap_remove(&seg.key);
        }
    }

    /// Whether the tables have another flow with the packet's key: the caller has used
    /// its port again. All three hold the same flow.
    pub fn is_of_other_flow(&self, seg: &Segment) -> bool {
        if let Some(flow) = self.flows.get(&seg.key) {
            return !flow.includes(seg);
        }
        let search = self.searches.get(&seg.key);
        let attempt = self.placement_attempts.get(&seg.key);
        search.is_some_and(|s| !s.sequence.includes(seg))
            || attempt.is_some_and(|a| !a.includes(seg))
    }

    /// Handles a packet that the agent `from` returned.
    pub fn on_returned(
        &mut self,
        view: &View,
        now: Millis,
        from: Ipv4Addr,
        refusal: Refusal,
        frame: &Frame,
        seg: &Segment,
    ) -> Action {
        self.record_agent_frame(now, from, frame);
        if refusal == Refusal::Silent {
            self.suspects.add(from, now);
        }
        if self.is_of_other_flow(seg) {
            return Action::Drop(DropReason::EarlierFlow);
        }
        if refusal == Refusal::Lost {
            return self.on_flow_lost(seg);
        }
        if seg.opens {
            return self.on_returned_opening(view, now, from, refusal, seg);
        }
        let flow = self.flows.get(&seg.key).copied();
        if let Some(flow) = flow.filter(|f| f.agent != from && f.confirmed) {
            return flow.forward(Inquiry::None);
        }
        self.flows.swap_remove(&seg.key);
        if seg.rst {
            return Action::Drop(DropReason::AlreadyEnded);
        }
        self.record_refusal(now, seg, from);
        self.query_owner(view, now, seg)
    }

    /// The server that had the flow has lost it, so no other server has it.
    fn on_flow_lost(&mut self, seg: &Segment) -> Action {
        self.flows.swap_remove(&seg.key);
        self.searches.swap_remove(&seg.key);
        reset_or_drop(seg, ResetReason::Lost)
    }

    /// An agent shuts down, and no server is left beside it.
    pub fn on_agent_gone(&mut self, now: Millis, from: Ipv4Addr, frame: &Frame) {
        self.record_agent_frame(now, from, frame);
    }

    /// An agent reports that its server has the flow.
    pub fn on_owned(&mut self, now: Millis, from: Ipv4Addr, frame: &Frame) -> OwnershipUpdate {
        self.record_agent_frame(now, from, frame);
        self.note_reply_time(now, from, &frame.flow);
        self.apply_owned(now, from, frame)
    }

    /// As [`Balancer::on_owned`], without what the frame says of the agent itself.
    fn apply_owned(&mut self, now: Millis, from: Ipv4Addr, frame: &Frame) -> OwnershipUpdate {
        let search = self.searches.get(&frame.flow);
        if search.is_some_and(|s| s.is_refused_by(from)) {
            return OwnershipUpdate::Outdated;
        }
        let search = self.searches.swap_remove(&frame.flow);
        let searched = search.is_some();
        let before = self.flows.get(&frame.flow).copied();
        if let Some(flow) = before.filter(|f| f.confirmed && !searched) {
            return self.on_repeated_confirmation(from, flow, frame);
        }
        self.placement_attempts.swap_remove(&frame.flow);
        let sequence = before.and_then(|f| f.sequence());
        let sequence = sequence.or(search.map(|s| s.sequence));
        let flow = Flow::confirmed(now, from, frame.service, sequence);
        self.flows.insert(frame.flow, flow);
        match before {
            _ if searched => OwnershipUpdate::FoundBySearch,
            Some(flow) if flow.agent == from => OwnershipUpdate::Confirmed {
                after: flow.waited(now),
            },
            _ => OwnershipUpdate::Known,
        }
    }

    /// The owner of a confirmed flow is reported again. A report of another agent
    /// is ignored as late: the flow was placed elsewhere in the meantime.
    fn on_repeated_confirmation(
        &mut self,
        from: Ipv4Addr,
        flow: Flow,
        frame: &Frame,
    ) -> OwnershipUpdate {
        if flow.agent == from
            && let Some(flow) = self.flows.get_mut(&frame.flow)
        {
            flow.confirm();
        }
        OwnershipUpdate::Known
    }

    /// To be called [`OWNER_REPLY_TIMEOUT`] after a packet was sent with an inquiry,
    /// and [`OWNER_QUERY_INTERVAL`] or later after a query. Returns what to do with
    /// the packet if the reply is still missing.
    pub fn on_reply_timeout(&mut self, view: &View, now: Millis, seg: &Segment) -> Option<Action> {
        if self.is_of_other_flow(seg) {
            return None;
        }
        if seg.opens {
            return self.on_opening_reply_timeout(view, now, seg);
        }
        self.on_open_flow_reply_timeout(view, now, seg)
    }

    /// Time after which [`Balancer::on_reply_timeout`] has to be called again for a
    /// packet, even if no other packet arrives; none if no reply is awaited or it is
    /// overdue already. An agent that has delivered the packet to its server may shut
    /// down before the server answers, so the reply may never come.
    pub fn reply_time_left(&self, now: Millis, seg: &Segment) -> Option<Duration> {
        let flow = self.flows.get(&seg.key);
        let flow = flow.filter(|f| !seg.opens && f.includes(seg))?;
        flow.reply_time_left(now, self.link_delay(now))
            .filter(|remaining| !remaining.is_zero())
    }

    /// Handles a heartbeat of an agent. If it names a flow, the agent has delivered
    /// the flow's packet to its server and waits for the server to answer or
    /// bounce it.
    pub fn on_heartbeat(&mut self, now: Millis, from: Ipv4Addr, frame: &Frame) {
        self.record_agent_frame(now, from, frame);
        self.note_reply_time(now, from, &frame.flow);
        let flow = self.flows.get_mut(&frame.flow);
        if let Some(flow) = flow.filter(|f| f.agent == from) {
            flow.mark_delivered();
        }
    }

    /// Handles what an `Owned`, `Queued` or `Heartbeat` frame says about the capacity
    /// of the agent's server. To be called after the frame itself was handled.
    pub fn on_capacity_report(
        &mut self,
        now: Millis,
        from: Ipv4Addr,
        report: Option<CapacityReport>,
    ) {
        self.loads.update_capacity(from, report, now);
    }

    /// Resets the caller of an address without a route, unless the view may lack a
    /// newer route. A packet of an open flow shows that a route existed, so the
    /// caller is reset only if this process saw that route dropped.
    fn handle_missing_route(&self, view: &View, now: Millis, seg: &Segment) -> Action {
        let dropped = seg.opens || view.has_dropped_route(seg.key.service);
        let certain = dropped && view.is_settled(now);
        if !certain && !seg.rst {
            return Action::Drop(DropReason::Unsettled);
        }
        self.reset_unless_view_outdated(view, seg, ResetReason::NoRoute)
    }

    /// Resets the caller, unless an agent has reported a newer revision than the
    /// view's: the next view may lead to another decision, and the caller will
    /// retransmit.
    fn reset_unless_view_outdated(
        &self,
        view: &View,
        seg: &Segment,
        reason: ResetReason,
    ) -> Action {
        if self.newest_agent_revision > view.cursor {
            return Action::Drop(DropReason::Unsettled);
        }
        reset_or_drop(seg, reason)
    }

    /// Records what every message of an agent carries: that the agent responds, its
    /// load, its platform revision and how long it has been running.
    fn record_agent_frame(&mut self, now: Millis, from: Ipv4Addr, frame: &Frame) {
        self.suspects.clear(from);
        self.unanswered.clear(from);
        self.loads.update(from, frame, now);
        self.newest_agent_revision = self.newest_agent_revision.max(Revision(frame.revision));
        let started_at = *self.started_at.get_or_insert(now);
        self.fleet_is_older |= frame.uptime > now.since(started_at) + FLEET_RESTART_SPREAD;
    }

    /// Records how long the agent of a flow took to reply.
    fn note_reply_time(&mut self, now: Millis, from: Ipv4Addr, flow: &FlowKey) {
        let flow = self.flows.get(flow).filter(|f| f.agent == from);
        let awaited = flow.filter(|f| f.awaits_first_reply());
        if let (Some(link), Some(flow)) = (&mut self.narrow_link, awaited) {
            link.note_reply(now, from, flow.waited(now));
        }
    }

    fn remember_flow(&mut self, now: Millis, seg: &Segment, agent: Ipv4Addr, service: ServiceId) {
        let flow = Flow::awaiting_reply(now, seg, agent, service);
        self.flows.insert(seg.key, flow);
    }

    /// Removes a few expired flows, searches and placement attempts.
    fn evict_old_entries(&mut self, view: &View, now: Millis) {
        self.flow_sweep
            .evict(&mut self.flows, SWEEP_ENTRIES_PER_PACKET, |_, flow| {
                let kept = if flow.finished {
                    FINISHED_FLOW_TTL
                } else {
                    view.idle_limit
                };
                now.since(flow.seen_at) > kept
            });
        self.search_sweep
            .evict(&mut self.searches, SWEEP_ENTRIES_PER_PACKET, |_, search| {
                now.since(search.seen_at) > SEARCH_TTL
            });
        self.attempt_sweep.evict(
            &mut self.placement_attempts,
            SWEEP_ENTRIES_PER_PACKET,
            |_, attempt| now.since(attempt.seen_at) > SEARCH_TTL,
        );
    }
}
