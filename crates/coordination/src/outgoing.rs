//! Message that a state machine asks its driver to send to another agent.

use ramp_protocol::message::Message;
use ramp_state::key::InstanceId;

/// A message and the agent to send it to.
#[derive(Clone, Debug, PartialEq)]
pub struct Outgoing {
    /// Receiving agent.
    pub to: InstanceId,
    /// Body; the sender's envelope is added when it is sent.
    pub message: Message,
}
