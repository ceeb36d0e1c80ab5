//! Input and output of the flow router: how a packet arrived, what to do with it,
//! and the reasons for dropping it or resetting its caller.

use quick_error::quick_error;
use ramp_protocol::packet::Segment;
use ramp_state::key::InstanceId;

pub use crate::outgoing::Outgoing;

/// How a packet reached this agent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Arrival {
    /// Process that forwarded it; none when it came directly from the network.
    pub sender: Option<InstanceId>,
    /// Number of times it has been forwarded between balancers and agents.
    pub hops: u8,
    /// Whether the sender forwarded it to this agent as the owner, by placement
    /// or pointer.
    pub to_owner: bool,
}

/// What to do with a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Pass it to the flow's TCP endpoint.
    Deliver,
    /// Create a listening TCP endpoint, then pass the packet to it.
    Open,
    /// Forward it to another agent of the group.
    Forward {
        /// The other agent.
        to: InstanceId,
        /// Whether the other agent is expected to own the flow.
        to_owner: bool,
    },
    /// Drop it without a reply; TCP retransmits it if needed.
    Drop(DropReason),
    /// Drop it and send the caller a TCP reset.
    Reset(ResetReason),
}

quick_error! {
    /// Why a packet is dropped without a reply.
    #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
    pub enum DropReason {
        /// No snapshot of the group has been installed yet.
        NoSnapshot {
            display("the group is not known yet")
        }
        /// This agent's own data centre was taken out.
        DataCentreOut {
            display("the data centre was taken out")
        }
        /// It is for another service than this agent's.
        ForeignService {
            display("the packet is for another service")
        }
        /// Neither this agent nor any other can be its home.
        NoHome {
            display("no agent of the group can be the home")
        }
        /// It has been forwarded too many times.
        HopLimit {
            display("the packet has taken too many hops")
        }
        /// An owner query for the flow is pending, or the lost owner may be a
        /// member in a newer configuration that is known to exist.
        Asked {
            display("the group is being asked who owns the flow")
        }
        /// No owner query can be sent now, because of the query limits.
        QuestionLimited {
            display("too many owner queries were sent")
        }
        /// It was forwarded to this agent as the owner, which it is not.
        NotOwner {
            display("this agent does not own the flow")
        }
        /// It is a reset of a flow that is gone; a reset is never answered.
        ResetOfGone {
            display("a reset of a flow that is gone")
        }
    }
}

quick_error! {
    /// Why a caller is reset.
    #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
    pub enum ResetReason {
        /// The owner's data centre was taken out.
        GivenUp {
            display("the data centre was taken out")
        }
        /// The owner is gone: no longer a member of the group, or silent and
        /// no longer in the platform's list of instances.
        OwnerLost {
            display("the agent that owned the flow is gone")
        }
        /// No member of the group owns the flow, and no member is missing.
        Unowned {
            display("no agent knows the flow")
        }
        /// The flow ended normally a short time ago.
        Ended {
            display("the flow has ended")
        }
        /// The connection limit of the backend server is reached.
        Full {
            display("the backend server's connections are in use")
        }
    }
}

/// A reset to send outside of packet handling, when an owner query concludes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reset {
    /// Segment to answer with [`Segment::reset`].
    pub segment: Segment,
    /// Why the caller is reset.
    pub reason: ResetReason,
}

impl DropReason {
    /// Value of the metrics label.
    pub fn label(self) -> &'static str {
        match self {
            DropReason::NoSnapshot => "no_picture",
            DropReason::ForeignService => "foreign_service",
            DropReason::NoHome => "no_home",
            DropReason::HopLimit => "hop_limit",
            DropReason::Asked => "asked",
            DropReason::QuestionLimited => "question_limited",
            DropReason::NotOwner => "not_owner",
            DropReason::DataCentreOut => "data_centre_out",
            DropReason::ResetOfGone => "reset_of_gone",
        }
    }
}
