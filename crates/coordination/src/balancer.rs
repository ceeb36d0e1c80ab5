//! Routing of callers' packets at a balancer.
//!
//! A balancer keeps no state of flows. Where a packet goes is a pure function
//! of the packet and the view, so any balancer with the same view decides
//! alike.

use quick_error::quick_error;
use ramp_protocol::packet::PacketError;
use ramp_protocol::packet::Segment;
use ramp_state::routing_table::Member;
use ramp_state::routing_table::NoHome;
use ramp_state::routing_table::RoutingTable;

quick_error! {
    /// Why a balancer drops a packet.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum DropReason {
        /// It is not a TCP segment that can be routed.
        Malformed(err: PacketError) {
            display("{}", err)
            from()
        }
        /// No service has its destination.
        UnknownService {
            display("no service has this address")
        }
        /// No member of the service's group can be reached.
        NoMember {
            display("no agent of the service can be reached")
        }
    }
}

/// Picks the agent that gets `packet`: the home of its flow.
///
/// # Errors
///
/// [`DropReason`] when the packet goes nowhere.
pub fn route<'a>(view: &'a RoutingTable, packet: &[u8]) -> Result<&'a Member, DropReason> {
    let segment = Segment::parse(packet)?;
    match view.home(segment.key.service, segment.key.hash64()) {
        Some(Ok(member)) => Ok(member),
        Some(Err(NoHome)) => Err(DropReason::NoMember),
        None => Err(DropReason::UnknownService),
    }
}
