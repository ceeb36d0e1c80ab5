//! What control and the traffic thread tell each other.

use std::sync::Arc;

use ramp_coordination::passthrough::agent::ConnectResult;
use ramp_coordination::passthrough::published::Revision;
use ramp_coordination::passthrough::view::View;

/// News from control to the traffic thread.
#[derive(Clone, Debug)]
pub enum Update {
    /// A new view is in force.
    View(Arc<View>),
    /// What a try to connect to the server beside an agent has shown.
    ConnectChecked(ConnectResult),
    /// The process was asked to end.
    Shutdown,
}

/// News from the traffic thread to control.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A peer has read the platform up to here.
    PeerRevision(Revision),
    /// Whether the process reaches those that it works with has changed.
    PeersReachable(bool),
    /// Everything that can be finished is finished.
    Finished,
}
