//! What the configuration of a process asks its driver to do, and counts.

use std::net::SocketAddrV4;
use std::sync::Arc;

use ramp_protocol::message::Message;
use ramp_state::fault::Faults;
use ramp_state::fleet::Fleet;
use ramp_state::key::InstanceId;
use ramp_state::key::Version;

use crate::configuration::platform_calls::PlatformCall;

/// A live member of the own group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its identity.
    pub id: InstanceId,
    /// Where it takes control messages.
    pub control: SocketAddrV4,
}

/// What the driver must do.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Call the platform, and drop a call still in progress; the result goes
    /// to [`super::Configuration::on_platform_reply`].
    CallPlatform(PlatformCall),
    /// Send a control message.
    Send {
        /// Control address of the receiver.
        to: SocketAddrV4,
        /// The message.
        message: Message,
    },
    /// Fetch the whole document of a peer over its control address (TCP); the
    /// result goes to [`super::Configuration::on_document`]. A driver that can't answers
    /// with a failure, which leads to a read of the platform.
    FetchDocument {
        /// Control address of the peer.
        from: SocketAddrV4,
    },
    /// Put a fleet in force. The first one lets the process serve.
    Install(Arc<Fleet>),
    /// Log and count a document that was refused.
    DocumentRefused {
        /// Its version.
        version: Version,
        /// All its faults.
        faults: Faults,
    },
    /// Hold traffic.
    HoldTraffic,
    /// Let traffic go on.
    ResumeTraffic(HoldOutcome),
}

/// How a hold ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldOutcome {
    /// A peer or the platform confirmed the version in force.
    Confirmed,
    /// Nobody did within [`super::hold::HOLD_TIMEOUT`].
    TimedOut,
}

/// What happened so far, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Calls of the platform.
    pub platform_calls: u64,
    /// Calls that failed.
    pub platform_failures: u64,
    /// Answers of replicas that were behind the version in force.
    pub stale_answers: u64,
    /// Versions put in force.
    pub installed: u64,
    /// Documents refused.
    pub refused: u64,
    /// Deltas asked for.
    pub deltas_requested: u64,
    /// Whole documents fetched from peers.
    pub documents_fetched: u64,
    /// Holds after waking late.
    pub holds: u64,
}
