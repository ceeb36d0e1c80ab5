//! What goes into the router with a packet, and what comes out.

use quick_error::quick_error;
use ramp_protocol::packet::Segment;
use ramp_state::key::InstanceId;

pub use crate::outgoing::Outgoing;

/// How a packet came to this agent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Arrival {
    /// Process that sent it on; none when it came straight from the fabric.
    pub sender: Option<InstanceId>,
    /// Hops between our processes so far.
    pub hops: u8,
    /// Sent on by a home to the owner, by placement or pointer.
    pub to_owner: bool,
}

/// What to do with a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Hand it to the flow's TCP endpoint.
    Deliver,
    /// Create a TCP endpoint that listens, then hand it the packet.
    Open,
    /// Send it on to another agent of the group.
    Forward {
        /// The other agent.
        to: InstanceId,
        /// Whether the other agent is meant to own the flow.
        to_owner: bool,
    },
    /// Drop it without a word; TCP sends it again if it matters.
    Drop(DropReason),
    /// Drop it and answer the caller with a reset.
    Reset(ResetReason),
}

quick_error! {
    /// Why a packet is dropped without a word.
    #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
    pub enum DropReason {
        /// No picture of the group has been installed yet.
        NoPicture {
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
        /// It has been sent on too often.
        HopLimit {
            display("the packet has taken too many hops")
        }
        /// The group has been asked who owns the flow.
        Asked {
            display("the group is being asked who owns the flow")
        }
        /// The group can't be asked now, because too many questions went out.
        QuestionLimited {
            display("too many questions were asked")
        }
        /// Its sender was told that this agent does not own the flow.
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
    /// Why a caller is told that its flow is gone.
    #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
    pub enum ResetReason {
        /// The owner's data centre was taken out.
        GivenUp {
            display("the data centre was taken out")
        }
        /// The owner is gone.
        OwnerLost {
            display("the agent that owned the flow is gone")
        }
        /// No member of the group knows the flow, and none is missing.
        Unowned {
            display("no agent knows the flow")
        }
        /// It ended in the ordinary way a short time ago.
        Ended {
            display("the flow has ended")
        }
        /// Every connection that the backend server may hold is in use.
        Full {
            display("the backend server's connections are in use")
        }
    }
}

/// A reset that is due without a packet: the last answer has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reset {
    /// Segment that [`Segment::reset`] answers.
    pub segment: Segment,
    /// Why the flow is gone.
    pub reason: ResetReason,
}

impl DropReason {
    /// Short name, for metrics.
    pub fn label(self) -> &'static str {
        match self {
            DropReason::NoPicture => "no_picture",
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
