//! What an agent's traffic thread knows of its group: an immutable picture
//! that control state replaces as a whole.

use std::collections::HashSet;
use std::sync::Arc;

use indexmap::IndexMap;
use ramp_protocol::message::Load;
use ramp_state::key::InstanceId;
use ramp_state::key::Version;
use ramp_state::routing_table::Group;

/// Group of an agent at one moment.
#[derive(Clone, Debug)]
pub struct GroupSnapshot {
    /// Configuration version that the picture was made from.
    pub version: Version,
    /// Highest configuration version heard of in the group. While it is above
    /// `version`, there may be members that are not known here yet.
    pub latest: Version,
    /// The group, with who is alive, leaving or in a data centre taken out.
    pub group: Arc<Group>,
    /// Last known load of each member.
    pub loads: IndexMap<InstanceId, Load>,
    /// Members that surely own nothing: gone from the platform's list of
    /// instances, or in a data centre taken out.
    pub gone: HashSet<InstanceId>,
}
