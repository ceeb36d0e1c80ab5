//! What a balancer decides.

use std::net::Ipv4Addr;
use std::time::Duration;

use ramp_protocol::hop::Inquiry;
use ramp_protocol::packet::Segment;
use ramp_state::key::FlowKey;
use ramp_state::key::ServiceId;

/// What to do with a packet or with the flow that a message is about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send the packet to this agent.
    Forward {
        /// The agent.
        agent: Ipv4Addr,
        /// What it is asked.
        inquiry: Inquiry,
        /// Service that it is meant for.
        service: ServiceId,
    },
    /// Ask these agents for the owner, and keep the packet for it.
    QueryOwner(OwnerQuery),
    /// Reset the caller's flow.
    Reset(Reset),
    /// Do nothing.
    Drop(DropReason),
}

/// Whom to ask for the owner of a flow.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OwnerQuery {
    /// Agents whose servers must be asked: each gets a copy of the packet.
    pub packet_copies: Vec<Ipv4Addr>,
    /// Agents that know by themselves: the name of the flow is enough.
    pub by_key: Vec<Ipv4Addr>,
    /// The agent that was asked before and has not answered in time, if any.
    pub overdue: Option<OverdueReply>,
}

/// An answer about a flow that did not come in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OverdueReply {
    /// The agent.
    pub agent: Ipv4Addr,
    /// Whether it had said before that its server has the flow.
    pub confirmed: bool,
    /// How long it has owed the answer.
    pub waited: Duration,
}

impl OwnerQuery {
    /// Agents that are asked.
    pub fn agent_count(&self) -> usize {
        self.packet_copies.len() + self.by_key.len()
    }
}

/// A reset to a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reset {
    /// The flow.
    pub flow: FlowKey,
    /// Sequence number that the caller expects.
    pub seq: u32,
    /// Why.
    pub reason: ResetReason,
}

/// Why a caller was reset.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ResetReason {
    /// The configuration has no such route.
    NoRoute,
    /// No member takes new flows now.
    NoMember,
    /// It waited at a full server for as long as it may.
    Overloaded,
    /// All holders have denied the flow.
    Unowned,
    /// Its server has lost it.
    Lost,
}

/// Why a packet was dropped without a word.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum DropReason {
    /// The holders have been asked; the caller sends again.
    Asked,
    /// By this view the caller must be reset, but the view may be incomplete.
    Unsettled,
    /// A caller's end of a flow that nobody has.
    AlreadyEnded,
    /// A copy that came back after the owner was found.
    OwnerFound,
    /// A member that has not answered may have the flow.
    Unanswered,
    /// A new flow came back late: it was placed elsewhere meanwhile.
    PlacedElsewhere,
    /// Such a packet never comes from a caller.
    Forged,
}

/// What an agent's word that its server has a flow has brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnershipUpdate {
    /// A new flow is open, so long after it was placed.
    Opened {
        /// Since it was placed.
        after: Duration,
    },
    /// The owner of a flow that was asked for.
    FoundBySearch,
    /// Nothing new.
    Unchanged,
}

pub(super) fn reset_or_drop(seg: &Segment, reason: ResetReason) -> Action {
    // A reset is never answered by a reset.
    if seg.rst {
        return Action::Drop(DropReason::AlreadyEnded);
    }
    Action::Reset(Reset {
        flow: seg.key,
        seq: seg.ack,
        reason,
    })
}
