//! Messages between the control thread and the traffic thread of a process.

use std::sync::Arc;

use ramp_coordination::passthrough::agent::ConnectResult;
use ramp_coordination::passthrough::published::Revision;
use ramp_coordination::passthrough::view::View;

/// Message from the control thread to the traffic thread.
#[derive(Clone, Debug)]
pub enum Update {
    /// A new view, to be used from now on.
    View(Arc<View>),
    /// Result of connecting to the backend server on the agent's machine.
    ConnectChecked(ConnectResult),
    /// The process was asked to terminate.
    Shutdown,
}

/// Message from the traffic thread to the control thread.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// Another instance has read the platform up to this revision, which this
    /// process has not.
    PeerRevision(Revision),
    /// The agents have become reachable (true) or unreachable (false).
    PeersReachable(bool),
    /// The traffic thread has finished its work, and the process can exit.
    Finished,
}
