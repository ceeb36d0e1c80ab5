//! Routes callers' packets at a balancer.
//!
//! A balancer keeps no state per flow. The agent that gets a packet is a pure
//! function of the packet's flow and the routing table, so all balancers with
//! the same table choose the same agent.

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
        /// The packet is not a valid TCP segment.
        Malformed(err: PacketError) {
            display("{}", err)
            from()
        }
        /// Its destination is not the address of a service.
        UnknownService {
            display("no service has this address")
        }
        /// No agent of the service is reachable.
        NoMember {
            display("no agent of the service can be reached")
        }
    }
}

/// Returns the agent to forward `packet` to: the home of its flow, which is
/// chosen by the hash of the flow's key.
///
/// # Errors
///
/// [`DropReason`] if the packet has to be dropped.
pub fn route<'a>(table: &'a RoutingTable, packet: &[u8]) -> Result<&'a Member, DropReason> {
    let segment = Segment::parse(packet)?;
    match table.home(segment.key.service, segment.key.hash64()) {
        Some(Ok(member)) => Ok(member),
        Some(Err(NoHome)) => Err(DropReason::NoMember),
        None => Err(DropReason::UnknownService),
    }
}
