//! Who is in a group, who is alive, and how balancers learn of it.
//!
//! The agents of a service send each other heartbeats. A member that falls
//! silent is *suspected*: it is no home of flows until it is heard again, but
//! it may still own flows. It is *gone* only when its data centre was taken
//! out, or when it is silent and the platform no longer lists it; a list that
//! lags can't end a member that is heard.
//!
//! Each balancer hears of a group by a digest from one of its agents, picked
//! by rendezvous hashing among those alive, so that another takes over when
//! that one falls silent. A balancer that hears digests of a group from no one
//! goes by the platform's list.
//!
//! In a partition each side suspects the other and serves what it reaches.
//! Flows whose owner is on the other side are not reset, since it isn't gone.

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

use crate::picture::GroupPicture;

pub use self::agent::AgentMembership;
pub use self::agent::HEARTBEAT_PERIOD;
pub use self::balancer::BalancerMembership;
pub use self::liveness::SUSPECT_AFTER;
pub use self::replay_filter::ReplayFilter;

/// What an agent's membership wants done.
#[derive(Clone, Debug)]
pub enum Output {
    /// Send a control message.
    Send {
        /// Control address of the receiver.
        to: SocketAddrV4,
        /// What to say.
        message: Message,
    },
    /// A new picture of the group for the traffic thread.
    Picture(Arc<GroupPicture>),
}

/// Whether packets may go to this data centre.
fn takes_traffic(fleet: &Fleet, data_centre: &str) -> bool {
    fleet
        .data_centres
        .get(data_centre)
        .is_some_and(|dc| dc.state == DataCentreState::In)
}
