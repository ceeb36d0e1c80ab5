//! Types that [`super::Configuration`] shares with its driver: the outputs that
//! the driver carries out, and counters for metrics.

use std::net::SocketAddrV4;
use std::sync::Arc;

use ramp_protocol::message::Message;
use ramp_state::fleet::Fleet;
use ramp_state::key::InstanceId;
use ramp_state::key::Version;
use ramp_state::validation::ValidationErrors;

use crate::configuration::platform_calls::PlatformCall;

/// A live member of the own group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Instance that the member runs as.
    pub id: InstanceId,
    /// Address at which it receives control messages.
    pub control: SocketAddrV4,
}

/// Action for the driver to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Call the platform, and cancel a call still in progress. The result goes
    /// to [`super::Configuration::on_platform_reply`].
    CallPlatform(PlatformCall),
    /// Send a control message.
    Send {
        /// Control address of the receiver.
        to: SocketAddrV4,
        /// Message to send, without its envelope.
        message: Message,
    },
    /// Fetch the whole document of a peer over TCP from its control address.
    /// The result goes to [`super::Configuration::on_document`]. A driver that
    /// can't fetch passes a failure, after which the platform is called.
    FetchDocument {
        /// Control address of the peer.
        from: SocketAddrV4,
    },
    /// Put a fleet in force. With the first one the process starts to serve.
    Install(Arc<Fleet>),
    /// Log and count a document that was refused because of its faults.
    DocumentRefused {
        /// Version of the refused document.
        version: Version,
        /// All faults found in the document.
        faults: ValidationErrors,
    },
    /// Hold traffic: the version in force is not confirmed after a pause.
    HoldTraffic,
    /// Let held traffic go on.
    ResumeTraffic(HoldOutcome),
}

/// How a hold ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldOutcome {
    /// A peer or the platform confirmed the version in force.
    Confirmed,
    /// Nothing confirmed it within [`super::hold::HOLD_TIMEOUT`].
    TimedOut,
}

/// Counters since the start of the process, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Calls made to the platform.
    pub platform_calls: u64,
    /// Calls to the platform that failed.
    pub platform_failures: u64,
    /// Answers of replicas that were behind the version in force, or behind a
    /// newer one that peers have.
    pub stale_answers: u64,
    /// Versions put in force.
    pub installed: u64,
    /// Documents refused because of faults.
    pub refused: u64,
    /// Deltas requested from peers.
    pub deltas_requested: u64,
    /// Whole documents fetched from peers.
    pub documents_fetched: u64,
    /// Traffic holds after pauses of this process.
    pub holds: u64,
}
