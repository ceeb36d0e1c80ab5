//! Control messages between instances: heartbeats, flow ownership,
//! configuration versions and idempotency keys.
//!
//! Each message is sent in an [`Envelope`] with the sender's incarnation and a
//! sequence number, by which the receiver detects late, duplicated and
//! reordered messages.

use ramp_state::key::FlowKey;
use ramp_state::key::Incarnation;
use ramp_state::key::InstanceId;
use ramp_state::key::ServiceId;
use ramp_state::key::Version;

/// Progress of a backend server from its cold start to full load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Warmth {
    /// Just started: gets new work only at a low rate.
    #[default]
    Cold,
    /// May get more work with each request that it finishes.
    Warming,
    /// May get its full load.
    Warm,
}

/// Load of one backend server, counted by its agent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Number of open flows.
    pub flows: u32,
    /// Number of requests that the server is working on.
    pub in_progress: u32,
    /// Number of requests that wait for a free slot.
    pub waiting: u32,
    /// Requests that the server may currently run at the same time.
    pub slots: u32,
    /// Progress from the cold start to full load.
    pub warmth: Warmth,
    /// Whether it is draining and gets no new work.
    pub leaving: bool,
}

/// Whether the sender of a [`Message::OwnerReply`] owns the flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ownership {
    /// The sender owns the flow.
    Owner,
    /// The sender does not have the flow.
    NotOwner,
}

/// One section of the fleet document, in canonical text form.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Section {
    /// Heading without the brackets.
    pub name: String,
    /// Lines below the heading.
    pub text: String,
}

/// Difference between two versions of the fleet document.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Delta {
    /// Version to which the delta applies.
    pub from: Version,
    /// Version that results from it.
    pub to: Version,
    /// Hash of the whole canonical document of version `to`.
    pub hash: u64,
    /// Sections that are new or changed.
    pub changed: Vec<Section>,
    /// Headings of the removed sections.
    pub removed: Vec<String>,
}

/// Hash of a service and an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ClaimKey(pub u128);

/// Status of an idempotency key, as far as one process knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyStatus {
    /// In a reply: the key was free, and the attempt that claimed it now holds
    /// it. In an outcome: the attempt did not run, and the key is free again.
    Granted,
    /// Another attempt holds the key.
    Running,
    /// An attempt has been served.
    Served,
    /// An attempt may have run; its outcome is unknown.
    MayHaveRun,
    /// The process can't tell, because it was not running when the key may have
    /// been claimed.
    Unknown,
}

/// Content of a control message.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// Sent regularly between the agents of a group.
    Heartbeat {
        /// Configuration version that the sender uses.
        config: Version,
        /// Load of the sender's backend server.
        load: Load,
    },
    /// State of one group, sent to the balancers.
    Digest {
        /// Service of the group.
        service: ServiceId,
        /// Configuration version that the sender uses.
        config: Version,
        /// Members that the group considers dead.
        dead: Vec<InstanceId>,
    },
    /// Asks the members of the group whether they own a flow.
    OwnerQuery {
        /// The flow.
        key: FlowKey,
        /// Acknowledgement number of the packet that caused the query.
        ack: u32,
    },
    /// Reply to [`Message::OwnerQuery`]; also sent unasked to a home whose
    /// pointer to the sender is out of date.
    OwnerReply {
        /// The flow.
        key: FlowKey,
        /// Whether the sender owns it.
        answer: Ownership,
    },
    /// Flows that the sender owns and whose home is the receiver.
    Register {
        /// The flows.
        flows: Vec<FlowKey>,
    },
    /// Flows of the sender that have ended.
    Release {
        /// The flows.
        flows: Vec<FlowKey>,
    },
    /// Asks for the configuration version that the receiver uses.
    VersionRequest,
    /// States which configuration version the sender uses: on request, after a
    /// change, or to a receiver that uses an older one.
    Announce {
        /// That version.
        config: Version,
    },
    /// Asks for the delta since a version.
    DeltaRequest {
        /// Version that the sender has; zero if it has none.
        have: Version,
    },
    /// Reply to [`Message::DeltaRequest`].
    Delta(Delta),
    /// Asks for the right to run the request with this idempotency key.
    Claim {
        /// The key.
        key: ClaimKey,
        /// Number of the attempt, unique within the sender's incarnation.
        attempt: u64,
    },
    /// Reply to [`Message::Claim`].
    ClaimReply {
        /// The key.
        key: ClaimKey,
        /// Attempt to which the reply belongs.
        attempt: u64,
        /// Status of the key at the sender.
        status: KeyStatus,
    },
    /// States how the attempt that held the key has ended.
    ClaimOutcome {
        /// The key.
        key: ClaimKey,
        /// The attempt that has ended.
        attempt: u64,
        /// Status of the key from now on.
        status: KeyStatus,
    },
}

/// A control message with its sender and sequence number.
#[derive(Clone, Debug, PartialEq)]
pub struct Envelope {
    /// Instance that sent it.
    pub sender: InstanceId,
    /// Start of that instance, to tell its messages from those before a restart.
    pub incarnation: Incarnation,
    /// Number of the message within the incarnation, counted from 1.
    pub sequence: u64,
    /// Content.
    pub message: Message,
}
