//! Immutable snapshot of an agent's group, for the agent's traffic thread.
//!
//! The control state builds a new snapshot on each change and replaces the old
//! one as a whole, so the traffic thread never sees a half-updated group.

use std::collections::HashSet;
use std::sync::Arc;

use indexmap::IndexMap;
use ramp_protocol::message::Load;
use ramp_state::key::InstanceId;
use ramp_state::key::Version;
use ramp_state::routing_table::Group;

/// State of an agent's group at one moment.
#[derive(Clone, Debug)]
pub struct GroupSnapshot {
    /// Configuration version that the snapshot was built from.
    pub version: Version,
    /// Highest configuration version that any member has announced. While it
    /// is above `version`, the group may have members not listed here.
    pub latest: Version,
    /// Members, each with whether it is alive, leaving, or in a data centre
    /// that takes no traffic.
    pub group: Arc<Group>,
    /// Load that each member last reported.
    pub loads: IndexMap<InstanceId, Load>,
    /// Members that own no flows: silent and no longer in the platform's list
    /// of instances, or in a data centre that takes no traffic.
    pub gone: HashSet<InstanceId>,
}
