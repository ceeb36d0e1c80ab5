//! Decisions of a balancer whose packets pass through.
//!
//! A new flow goes to the member that ranks first for it among those that
//! take new flows; the agent there has the last word and may send the packet
//! back. A packet of a flow that is not remembered goes to the member that
//! ranks first; when its server does not have the flow, or nothing is heard of
//! it in time, every other holder is asked, and the one that has it says so.
//! Only when all holders have denied the flow, or are gone, is the caller reset,
//! and then at once.
//!
//! Messages may be lost one way only, so no step waits for one answer. After its
//! time limit all who may have the flow are asked, by name first, then with the
//! packet itself.

mod action;
mod flow;
mod owner;
mod placement;
mod search;
mod stalled_search;

use std::net::Ipv4Addr;
use std::time::Duration;

use indexmap::IndexMap;
use ramp_protocol::hop::Frame;
use ramp_protocol::hop::Inquiry;
use ramp_protocol::hop::Refusal;
use ramp_protocol::packet::Segment;
use ramp_state::key::FlowKey;
use ramp_state::key::ServiceId;
use ramp_state::time::Millis;

use self::action::reset_or_drop;
use self::flow::Flow;
use self::placement::Placing;
use self::search::Search;
use super::choice::Loads;
use super::published::Revision;
use super::rate_limit::RateLimiter;
use super::suspects::Suspects;
use super::sweep::Sweep;
use super::view::View;

pub use self::action::Action;
pub use self::action::DropReason;
pub use self::action::OverdueReply;
pub use self::action::OwnerQuery;
pub use self::action::OwnershipUpdate;
pub use self::action::Reset;
pub use self::action::ResetReason;
pub use self::flow::OWNER_REPLY_TIMEOUT;
pub use self::search::OWNER_QUERY_INTERVAL;
pub use self::stalled_search::PendingHolder;
pub use self::stalled_search::PendingReason;
pub use self::stalled_search::StalledSearch;
pub use self::stalled_search::ViewUncertainty;

/// Flows looked at for their age with each packet.
const SWEEP_FLOWS: usize = 4;

/// Time in which the processes of a fleet start that is restarted as a whole.
const FLEET_START: Duration = Duration::from_secs(2);

/// Silence after which a finished flow is forgotten.
const FINISHED_KEPT: Duration = Duration::from_secs(3);

/// Silence after which a search is forgotten.
const SEARCH_KEPT: Duration = Duration::from_secs(10);

/// State of a balancer; see the module's head.
#[derive(Debug, Default)]
pub struct Balancer {
    flows: IndexMap<FlowKey, Flow>,
    placings: IndexMap<FlowKey, Placing>,
    searches: IndexMap<FlowKey, Search>,
    suspects: Suspects,
    loads: Loads,
    /// Copies of packets to silent agents.
    copies: RateLimiter,
    swept_flows: Sweep,
    swept_placings: Sweep,
    swept_searches: Sweep,
    newest_heard: Revision,
    /// When this process first handled anything.
    started_at: Option<Millis>,
    /// Whether an agent started long before this process.
    fleet_is_older: bool,
}

impl Balancer {
    /// Knows no flow.
    pub fn new() -> Balancer {
        Balancer::default()
    }

    /// Flows remembered.
    pub fn flow_count(&self) -> usize {
        self.flows.len()
    }

    /// Newest position in the platform's history that an agent has told.
    pub fn newest_agent_revision(&self) -> Revision {
        self.newest_heard
    }

    /// A packet of a caller.
    pub fn on_packet(&mut self, view: &View, now: Millis, seg: &Segment) -> Action {
        self.started_at.get_or_insert(now);
        self.sweep(view, now);
        if seg.syn && seg.has_ack {
            return Action::Drop(DropReason::Forged);
        }
        if view.route(seg.key.service).is_none() {
            self.flows.swap_remove(&seg.key);
            return self.no_route(view, now, seg);
        }
        if seg.opens {
            return self.opening(view, now, seg);
        }
        self.open_flow(view, now, seg)
    }

    /// A packet that an agent sent back.
    pub fn on_returned(
        &mut self,
        view: &View,
        now: Millis,
        from: Ipv4Addr,
        refusal: Refusal,
        frame: &Frame,
        seg: &Segment,
    ) -> Action {
        self.hear(now, from, frame);
        if refusal == Refusal::Silent {
            self.suspects.add(from, now);
        }
        if refusal == Refusal::Lost {
            return self.lost(seg);
        }
        if seg.opens {
            return self.returned_opening(view, now, from, refusal, seg);
        }
        let flow = self.flows.get(&seg.key).copied();
        if let Some(flow) = flow.filter(|f| f.agent != from && f.confirmed) {
            return flow.carry(Inquiry::None);
        }
        self.flows.swap_remove(&seg.key);
        if seg.rst {
            return Action::Drop(DropReason::AlreadyEnded);
        }
        self.note_denial(now, seg, from);
        self.ask(view, now, seg)
    }

    /// The flow's own server has lost it, so nobody has it.
    fn lost(&mut self, seg: &Segment) -> Action {
        self.flows.swap_remove(&seg.key);
        self.searches.swap_remove(&seg.key);
        reset_or_drop(seg, ResetReason::Lost)
    }

    /// An agent has ended, and no server is left beside it.
    pub fn on_agent_gone(&mut self, now: Millis, from: Ipv4Addr, frame: &Frame) {
        self.hear(now, from, frame);
    }

    /// An agent's server has the flow.
    pub fn on_owned(&mut self, now: Millis, from: Ipv4Addr, frame: &Frame) -> OwnershipUpdate {
        self.hear(now, from, frame);
        let searched = self.searches.swap_remove(&frame.flow).is_some();
        let before = self.flows.get(&frame.flow).copied();
        if let Some(flow) = before.filter(|f| f.confirmed && !searched) {
            return self.owned_again(from, flow, frame);
        }
        self.placings.swap_remove(&frame.flow);
        let flow = Flow::confirmed(now, from, frame.service);
        self.flows.insert(frame.flow, flow);
        match before {
            _ if searched => OwnershipUpdate::FoundBySearch,
            Some(flow) if flow.agent == from => OwnershipUpdate::Opened {
                after: flow.waited(now),
            },
            _ => OwnershipUpdate::Unchanged,
        }
    }

    /// A confirmation of a flow that is confirmed already. One from another
    /// agent is late: the flow was placed elsewhere meanwhile.
    fn owned_again(&mut self, from: Ipv4Addr, flow: Flow, frame: &Frame) -> OwnershipUpdate {
        if flow.agent == from
            && let Some(flow) = self.flows.get_mut(&frame.flow)
        {
            flow.confirm();
        }
        OwnershipUpdate::Unchanged
    }

    /// A packet was sent with a question [`OWNER_REPLY_TIMEOUT`] ago; gives what to do
    /// with it if that is unanswered.
    pub fn on_reply_timeout(&mut self, view: &View, now: Millis, seg: &Segment) -> Option<Action> {
        if seg.opens {
            return self.overdue_opening(view, now, seg);
        }
        self.overdue_answer(view, now, seg)
    }

    /// Time until the answer for a packet that is not overdue yet will be, without
    /// another packet: its agent has passed it on, and may have ended since.
    pub fn reply_time_left(&self, now: Millis, seg: &Segment) -> Option<Duration> {
        let flow = self.flows.get(&seg.key).filter(|_| !seg.opens)?;
        flow.answer_left(now).filter(|left| !left.is_zero())
    }

    /// An agent has given a sign of life; about a flow: it has passed the packet
    /// on to its server, which alone can tell.
    pub fn on_heartbeat(&mut self, now: Millis, from: Ipv4Addr, frame: &Frame) {
        self.hear(now, from, frame);
        let flow = self.flows.get_mut(&frame.flow);
        if let Some(flow) = flow.filter(|f| f.agent == from) {
            flow.pass_on();
        }
    }

    /// Resets the caller of an address without a route, unless there may be one
    /// that this view does not have yet: an open flow has been routed before.
    fn no_route(&self, view: &View, now: Millis, seg: &Segment) -> Action {
        let dropped = seg.opens || view.has_dropped_route(seg.key.service);
        let certain = dropped && view.is_settled(now);
        if !certain && !seg.rst {
            return Action::Drop(DropReason::Unsettled);
        }
        self.reset_unless_behind(view, seg, ResetReason::NoRoute)
    }

    /// Resets the caller, unless an agent has shown that this view is old: a
    /// newer one may say otherwise by the time the caller sends again.
    fn reset_unless_behind(&self, view: &View, seg: &Segment, reason: ResetReason) -> Action {
        if self.newest_heard > view.cursor {
            return Action::Drop(DropReason::Unsettled);
        }
        reset_or_drop(seg, reason)
    }

    /// What every message of an agent tells.
    fn hear(&mut self, now: Millis, from: Ipv4Addr, frame: &Frame) {
        self.suspects.clear(from);
        self.loads.update(from, frame, now);
        self.newest_heard = self.newest_heard.max(Revision(frame.revision));
        let started_at = *self.started_at.get_or_insert(now);
        self.fleet_is_older |= frame.running_for > now.since(started_at) + FLEET_START;
    }

    fn remember(&mut self, now: Millis, seg: &Segment, agent: Ipv4Addr, service: ServiceId) {
        let flow = Flow::asked(now, seg, agent, service);
        self.flows.insert(seg.key, flow);
    }

    /// Forgets a few old flows and searches.
    fn sweep(&mut self, view: &View, now: Millis) {
        self.swept_flows
            .evict(&mut self.flows, SWEEP_FLOWS, |_, flow| {
                let kept = if flow.finished {
                    FINISHED_KEPT
                } else {
                    view.idle_limit
                };
                now.since(flow.seen_at) > kept
            });
        self.swept_searches
            .evict(&mut self.searches, SWEEP_FLOWS, |_, search| {
                now.since(search.seen_at) > SEARCH_KEPT
            });
        self.swept_placings
            .evict(&mut self.placings, SWEEP_FLOWS, |_, placing| {
                now.since(placing.seen_at) > SEARCH_KEPT
            });
    }
}
