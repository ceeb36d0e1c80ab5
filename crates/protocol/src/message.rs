//! Typed control messages between processes of the system.
//!
//! Each message travels in an [`Envelope`] with the sender's incarnation and
//! a sequence number, so that late, repeated and reordered ones can be told.

use ramp_state::key::FlowKey;
use ramp_state::key::Incarnation;
use ramp_state::key::InstanceId;
use ramp_state::key::ServiceId;
use ramp_state::key::Version;

/// Where a backend server stands between cold start and full load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Warmth {
    /// Takes a trickle only.
    #[default]
    Cold,
    /// Takes more with each finished request.
    Warming,
    /// Takes its full load.
    Warm,
}

/// Load of one backend server as its own agent counts it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Open flows.
    pub flows: u32,
    /// Requests in progress.
    pub in_progress: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Requests that it can run at once at this moment.
    pub slots: u32,
    /// Where it stands between cold start and full load.
    pub warmth: Warmth,
    /// Whether it takes no new work because it is leaving.
    pub leaving: bool,
}

/// Answer to the question who owns a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ownership {
    /// The sender owns the flow.
    Owner,
    /// The sender does not know the flow.
    NotOwner,
}

/// One section of the fleet document in its canonical text form.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Section {
    /// Heading, without brackets.
    pub name: String,
    /// Lines below the heading.
    pub text: String,
}

/// The change between two versions of the fleet document.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Delta {
    /// Version that it applies to.
    pub from: Version,
    /// Version that it leads to.
    pub to: Version,
    /// Hash of the whole canonical document after it.
    pub hash: u64,
    /// Sections that are new or changed.
    pub changed: Vec<Section>,
    /// Headings of sections that are gone.
    pub removed: Vec<String>,
}

/// Hash of a service and an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ClaimKey(pub u128);

/// What a process knows of an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyStatus {
    /// Nothing was known; the attempt that asks now holds the key. As an
    /// outcome: the attempt did not run and the key is free again.
    Granted,
    /// Another attempt holds the key.
    Running,
    /// An attempt was served.
    Served,
    /// An attempt may have run; its outcome is not known.
    MayHaveRun,
    /// The process can't know, because it started too late.
    Unknown,
}

/// A control message.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// Regular sign of life inside a group.
    Heartbeat {
        /// Configuration version in force at the sender.
        config: Version,
        /// Load of the sender's backend server.
        load: Load,
    },
    /// State of one group, to a balancer.
    Digest {
        /// The group's service.
        service: ServiceId,
        /// Configuration version in force at the sender.
        config: Version,
        /// Members that the group does not believe alive.
        dead: Vec<InstanceId>,
    },
    /// Question to the group: who owns this flow?
    OwnerQuery {
        /// The flow.
        key: FlowKey,
        /// Acknowledgement number of the packet that raised the question.
        ack: u32,
    },
    /// Answer to [`Message::OwnerQuery`], or news that a pointer is out of date.
    OwnerReply {
        /// The flow.
        key: FlowKey,
        /// What the sender knows.
        answer: Ownership,
    },
    /// Flows that the sender owns and the receiver is home of.
    Register {
        /// The flows.
        flows: Vec<FlowKey>,
    },
    /// Flows that the sender owned and that have ended.
    Release {
        /// The flows.
        flows: Vec<FlowKey>,
    },
    /// Question for the configuration version in force.
    VersionRequest,
    /// Configuration version in force at the sender.
    Announce {
        /// The version.
        config: Version,
    },
    /// Request for the change since a version.
    DeltaRequest {
        /// Version in force at the sender; zero for none.
        have: Version,
    },
    /// Answer to [`Message::DeltaRequest`].
    Delta(Delta),
    /// Wish to run the request with this idempotency key.
    Claim {
        /// The key.
        key: ClaimKey,
        /// Number of the attempt, unique at the sender's incarnation.
        attempt: u64,
    },
    /// Answer to [`Message::Claim`].
    ClaimReply {
        /// The key.
        key: ClaimKey,
        /// Attempt that is answered.
        attempt: u64,
        /// What the sender knows.
        status: KeyStatus,
    },
    /// How the attempt that held the key ended.
    ClaimOutcome {
        /// The key.
        key: ClaimKey,
        /// Attempt that ended.
        attempt: u64,
        /// What is known of the key from now on.
        status: KeyStatus,
    },
}

/// A control message with its sender.
#[derive(Clone, Debug, PartialEq)]
pub struct Envelope {
    /// Who sent it.
    pub sender: InstanceId,
    /// Which start of the sender sent it.
    pub incarnation: Incarnation,
    /// Number of the message within that start, from 1.
    pub sequence: u64,
    /// What it says.
    pub message: Message,
}
