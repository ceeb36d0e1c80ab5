//! What control and the traffic thread of an agent tell each other.

use std::sync::Arc;

use ramp_coordination::group_snapshot::GroupSnapshot;
use ramp_coordination::outgoing::Outgoing;
use ramp_coordination::pause::PauseId;
use ramp_protocol::message::Load;
use ramp_protocol::message::Message;
use ramp_state::key::InstanceId;
use ramp_state::key::Version;
use ramp_state::outcome::Record;

/// What control tells the traffic thread.
#[derive(Clone, Debug)]
pub enum Update {
    /// A new picture of the group.
    Snapshot(Arc<GroupSnapshot>),
    /// A control message about flows or idempotency keys.
    Message {
        /// Who sent it.
        from: InstanceId,
        /// What it says.
        message: Message,
    },
    /// The configuration was confirmed after this wake.
    Confirm(PauseId),
    /// The process was asked to end.
    Drain,
}

/// What the traffic thread tells control.
#[derive(Clone, Debug)]
pub enum Event {
    /// The thread was paused and holds traffic.
    Paused(PauseId),
    /// A control message to send.
    Send(Outgoing),
    /// A process sent a packet by an older configuration.
    StaleSender(InstanceId),
    /// A process sent a packet by a newer configuration.
    NewerConfig(Version),
    /// Load of the backend server.
    Load(Load),
    /// Something for the ledger.
    Record(Record),
    /// Number of records of requests that were lost.
    RecordsLost(u64),
    /// All work is done; the process can end.
    Drained,
}
