//! A message that a state machine wants sent to another agent.

use ramp_protocol::message::Message;
use ramp_state::key::InstanceId;

/// A message with its receiver.
#[derive(Clone, Debug, PartialEq)]
pub struct Outgoing {
    /// Who gets it.
    pub to: InstanceId,
    /// What it says.
    pub message: Message,
}
