//! Messages between the control thread and the traffic thread of an agent.

use std::sync::Arc;

use ramp_coordination::group_snapshot::GroupSnapshot;
use ramp_coordination::outgoing::Outgoing;
use ramp_coordination::pause::PauseId;
use ramp_protocol::message::Load;
use ramp_protocol::message::Message;
use ramp_state::key::InstanceId;
use ramp_state::key::Version;
use ramp_state::outcome::Record;

/// Message from the control thread to the traffic thread.
#[derive(Clone, Debug)]
pub enum Update {
    /// The group has changed; this snapshot replaces the earlier one.
    Snapshot(Arc<GroupSnapshot>),
    /// A control message about flows or idempotency keys.
    Message {
        /// Instance that sent the message.
        from: InstanceId,
        /// The message without its envelope.
        message: Message,
    },
    /// The configuration was confirmed after this pause: traffic may resume.
    Confirm(PauseId),
    /// The process was asked to end: drain the requests in progress.
    Drain,
}

/// Message from the traffic thread to the control thread.
#[derive(Clone, Debug)]
pub enum Event {
    /// The thread was paused; it holds traffic until this pause is confirmed.
    Paused(PauseId),
    /// A control message to send.
    Send(Outgoing),
    /// An instance sent a packet that it routed by an older configuration.
    StaleSender(InstanceId),
    /// An instance sent a packet that it routed by this newer configuration.
    NewerConfig(Version),
    /// The load of the backend server has changed.
    Load(Load),
    /// An outcome to count in the ledger.
    Record(Record),
    /// Number of request records that were dropped and never reach the ledger.
    RecordsLost(u64),
    /// No request is in progress any more; the process can end.
    Drained,
}
