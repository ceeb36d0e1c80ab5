//! Group membership and failure detection: which members a group has, which of
//! them are alive, and how balancers learn of it.
//!
//! The agents of a service exchange heartbeats. A member whose heartbeats stop
//! is *suspected*: it is not the home of any flow until a message of it arrives
//! again, but may still own flows. It is *gone* only when its data centre was
//! taken out, or when it is silent and no longer in the platform's list of
//! instances. A stale list therefore can't remove a member that sends messages.
//!
//! Each balancer receives digests of a group from one of the group's agents,
//! chosen by rendezvous hashing among those alive, so that another agent takes
//! over when that one fails. A balancer that receives no digests of a group
//! falls back to the platform's list.
//!
//! In a network partition each side suspects the other and serves what it can
//! reach. Flows owned on the other side are not reset, since their owner is
//! not gone.

mod agent;
mod balancer;
mod digests;
mod liveness;
mod replay_filter;
mod tick_gap;

use std::net::SocketAddrV4;
use std::sync::Arc;

use ramp_protocol::message::Message;
use ramp_state::fleet::DataCentreState;
use ramp_state::fleet::Fleet;

use crate::group_snapshot::GroupSnapshot;

pub use self::agent::AgentMembership;
pub use self::agent::HEARTBEAT_PERIOD;
pub use self::balancer::BalancerMembership;
pub use self::liveness::SUSPECT_AFTER;
pub use self::replay_filter::ReplayFilter;

/// An action that an agent's membership asks its driver to perform.
#[derive(Clone, Debug)]
pub enum Output {
    /// Send a control message.
    Send {
        /// Control address of the receiver.
        to: SocketAddrV4,
        /// The message; the driver wraps it into an envelope.
        message: Message,
    },
    /// Hand a new snapshot of the group to the traffic thread.
    Snapshot(Arc<GroupSnapshot>),
}

/// Whether the data centre is in service, so that packets may be sent to it.
fn takes_traffic(fleet: &Fleet, data_centre: &str) -> bool {
    fleet
        .data_centres
        .get(data_centre)
        .is_some_and(|dc| dc.state == DataCentreState::In)
}
