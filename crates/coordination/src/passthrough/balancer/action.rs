//! Results of a balancer's decisions: what to do with a packet and why, whom to
//! ask for the owner of a flow, and what a reply has changed.

use std::net::Ipv4Addr;
use std::time::Duration;

use ramp_protocol::frame::Inquiry;
use ramp_protocol::packet::Segment;
use ramp_state::key::FlowKey;
use ramp_state::key::ServiceId;

/// What to do with a packet or with the flow that a message is about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send the packet to one agent.
    Forward {
        /// Agent of the backend server that has or shall get the flow.
        agent: Ipv4Addr,
        /// Which reply is expected of the agent.
        inquiry: Inquiry,
        /// Service that the flow belongs to.
        service: ServiceId,
    },
    /// Ask several agents which of them has the flow, and buffer the packet until
    /// one replies.
    QueryOwner(OwnerQuery),
    /// Send a TCP reset to the caller.
    Reset(Reset),
    /// Discard the packet; the caller is expected to retransmit it where that
    /// matters.
    Drop(DropReason),
}

/// Agents to ask for the owner of a flow.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OwnerQuery {
    /// Agents that get a copy of the packet: only their servers can tell whether
    /// they have the flow, or they have not replied to a query by key.
    pub packet_copies: Vec<Ipv4Addr>,
    /// Agents that get only the flow key: they can reply without their servers, or
    /// a copy is not allowed now.
    pub by_key: Vec<Ipv4Addr>,
    /// Agent that asks the agents in place of `by_key`, if any.
    pub relay: Option<RelayRequest>,
    /// The earlier inquiry whose missing reply caused this query, if any.
    pub overdue: Option<OverdueReply>,
}

/// An owner query that goes to one agent, which asks the others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayRequest {
    /// Agent that asks the others.
    pub relay: Ipv4Addr,
    /// Holders that the relay's view may lack.
    pub named: Vec<Ipv4Addr>,
    /// Number of holders that would be asked by key without the relay.
    pub holder_count: usize,
}

/// A reply about a flow that did not arrive in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OverdueReply {
    /// Agent that has not replied.
    pub agent: Ipv4Addr,
    /// Whether it had confirmed earlier that its server has the flow.
    pub confirmed: bool,
    /// Time since the inquiry.
    pub waited: Duration,
}

impl OwnerQuery {
    /// Number of agents asked, by copy, by key or through a relay.
    pub fn agent_count(&self) -> usize {
        let relayed = self.relay.as_ref().map_or(0, |r| r.holder_count);
        self.packet_copies.len() + self.by_key.len() + relayed
    }

    /// Whether any agent is asked by key, directly or through a relay.
    pub fn asks_by_key(&self) -> bool {
        !self.by_key.is_empty() || self.relay.is_some()
    }
}

/// A TCP reset for a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reset {
    /// Flow to reset.
    pub flow: FlowKey,
    /// Sequence number that the caller expects, from its latest acknowledgement.
    pub seq: u32,
    /// Why no server gets the flow's packets.
    pub reason: ResetReason,
}

/// Why a caller was reset.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ResetReason {
    /// The configuration has no route for the address.
    NoRoute,
    /// No member accepts new flows at the moment.
    NoMember,
    /// The new flow was queued at a full server for the longest allowed time.
    Overloaded,
    /// All holders have denied the flow.
    Unowned,
    /// The server that had the flow has lost it.
    Lost,
}

/// Why a packet was dropped without a reset.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum DropReason {
    /// The holders have been asked for the owner and have not all replied.
    Asked,
    /// The view would require a reset, but it may be outdated or incomplete.
    Unsettled,
    /// A caller's reset of a flow without a known owner.
    AlreadyEnded,
    /// The search for the owner had ended when the reply arrived.
    OwnerFound,
    /// A member that has not replied may have the flow.
    Unanswered,
    /// The opening packet was returned late; the flow was placed elsewhere in the
    /// meantime.
    PlacedElsewhere,
    /// The packet was returned late: it is of an earlier flow with the same key.
    EarlierFlow,
    /// A SYN-ACK, which no caller sends.
    Forged,
}

/// What changes when an agent reports that its server has a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnershipUpdate {
    /// The agent confirms a flow that was forwarded to it.
    Confirmed {
        /// Time since the inquiry that this confirms.
        after: Duration,
    },
    /// A search for the owner ends with this agent.
    FoundBySearch,
    /// Neither: the flow was confirmed before, or this agent was not asked.
    Known,
    /// Nothing: the agent has refused a packet of the flow, so it means an earlier one
    /// with the same key.
    Outdated,
}

pub(super) fn reset_or_drop(seg: &Segment, reason: ResetReason) -> Action {
    // A reset is never answered with a reset.
    if seg.rst {
        return Action::Drop(DropReason::AlreadyEnded);
    }
    Action::Reset(Reset {
        flow: seg.key,
        seq: seg.ack,
        reason,
    })
}
