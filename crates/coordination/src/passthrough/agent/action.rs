//! What an agent decides.

use std::net::Ipv4Addr;
use std::time::Duration;

use ramp_protocol::format::RequestId;
use ramp_protocol::hop::Refusal;
use ramp_state::key::FlowKey;

use crate::passthrough::mark::Mark;

/// What to do with a packet from a balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Inbound {
    /// Give it to the server with this mark.
    Forward {
        /// The mark.
        mark: Mark,
        /// Tell the balancer that the server has the flow.
        owned: bool,
    },
    /// Keep it until [`Agent::poll_queue`] says what becomes of it.
    Queue,
    /// A copy of a packet that waits already: nothing.
    AlreadyQueued,
    /// Send it back.
    Refuse(Refusal),
}

/// What becomes of a new flow that has waited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Dequeued {
    /// Give its packet to the server with this mark.
    Forward(FlowKey, Mark),
    /// Send its packet back to this balancer.
    Refuse(FlowKey, Ipv4Addr, Refusal),
    /// Forget its packet: the caller has an answer to another copy.
    Drop(FlowKey),
}

/// What to do with a packet that the server bounced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bounce {
    /// Send the packet back to this balancer.
    Return(Ipv4Addr),
    /// Tell this balancer only that the server does not have the flow.
    Deny(Ipv4Addr),
    /// The server had the flow and has lost it: send the packet back to this
    /// balancer, which need not ask anybody else.
    Lost(Ipv4Addr),
    /// Its mark is not of this process's making.
    UnknownMark,
}

/// What came of a packet that the server sent to a caller.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Outbound {
    /// Balancer that waits to hear that the server has the flow.
    pub notify: Option<Ipv4Addr>,
    /// Since the request came whose answer begins here.
    pub response_time: Option<Duration>,
    /// Whether the server reset the flow.
    pub reset: bool,
}

/// A flow that ended with its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LostFlow {
    /// The flow.
    pub flow: FlowKey,
    /// Sequence number that its caller expects.
    pub seq: u32,
}

/// A request that the server has not answered for long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnansweredRequest {
    /// Its flow.
    pub flow: FlowKey,
    /// Its id, where a packet has shown it.
    pub request: Option<RequestId>,
}
