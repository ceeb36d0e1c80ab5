//! Results of the agent's decisions, which the driver carries out.

use std::net::Ipv4Addr;
use std::time::Duration;

use ramp_protocol::format::RequestId;
use ramp_protocol::frame::Refusal;
use ramp_state::key::FlowKey;

use crate::passthrough::mark::Mark;
use crate::passthrough::server_capacity::CompletedRequest;

/// How to handle a packet from a balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Inbound {
    /// Forward it to the server.
    Forward {
        /// Mark to set on the packet; it identifies the balancer if the packet
        /// bounces.
        mark: Mark,
        /// Whether to tell the balancer that the server has the flow.
        owned: bool,
    },
    /// Keep it until [`super::Agent::poll_queue`] returns its flow.
    Queue,
    /// Discard it: a copy of the packet is in the queue already.
    AlreadyQueued,
    /// Return it to the balancer.
    Refuse(Refusal),
}

/// How to handle a new flow that has left the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Dequeued {
    /// Forward its packet to the server with this mark.
    Forward(FlowKey, Mark),
    /// Return its packet to this balancer.
    Refuse(FlowKey, Ipv4Addr, Refusal),
    /// Discard its packet: the caller has an answer to another copy.
    Drop(FlowKey),
}

/// How to handle a packet that the server bounced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bounce {
    /// Return the packet to this balancer.
    Return(Ipv4Addr),
    /// Tell this balancer that the server does not have the flow, without the
    /// packet: other servers have copies.
    Deny(Ipv4Addr),
    /// Return the packet to this balancer: the server had the flow and has lost
    /// it, so no other server needs to be asked.
    Lost(Ipv4Addr),
    /// Ignore it: this process did not set its mark.
    UnknownMark,
}

/// Effects of a packet that the server sent to a caller.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Outbound {
    /// Balancer to tell that the server has the flow.
    pub notify: Option<Ipv4Addr>,
    /// Time from the request to this packet, if its answer begins here.
    pub response_time: Option<Duration>,
    /// Request whose response begins here, to be passed to
    /// [`super::Agent::record_response`].
    pub completed: Option<CompletedRequest>,
    /// Whether the server reset the flow.
    pub reset: bool,
    /// Whether the packet resets an earlier flow with the same key. The server does not
    /// have the caller's flow, so the packet must not reach the caller.
    pub resets_earlier_flow: bool,
    /// Balancers to tell that the server does not have the caller's flow, as the packet
    /// is of an earlier one with the same key.
    pub denied_to: [Option<Ipv4Addr>; 2],
}

/// An open flow whose server has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LostFlow {
    /// Flow whose caller is to be reset.
    pub flow: FlowKey,
    /// Sequence number that the caller expects next, for the reset.
    pub seq: u32,
}

/// A request that the server has not answered within the request timeout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnansweredRequest {
    /// Flow on which the request came.
    pub flow: FlowKey,
    /// Id of the request, if one of its packets carried it.
    pub request: Option<RequestId>,
}
