//! Frames between a balancer and an agent where packets pass through.
//!
//! Each datagram is one fixed header, followed by a caller's packet in the
//! kinds that carry one. The header names the flow, so that a reader needs no
//! knowledge of the packet's own layout.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::time::Duration;

use quick_error::quick_error;
use zerocopy::FromBytes;
use zerocopy::Immutable;
use zerocopy::IntoBytes;
use zerocopy::KnownLayout;
use zerocopy::Unaligned;
use zerocopy::byteorder::network_endian::U16;
use zerocopy::byteorder::network_endian::U32;
use zerocopy::byteorder::network_endian::U64;

use ramp_state::key::FlowKey;
use ramp_state::key::ServiceId;
use ramp_state::key::Version;

/// Stands for no flow in frames that are about none.
pub const NO_FLOW: FlowKey = FlowKey {
    caller: SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0),
    service: SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0),
};

/// First byte of a frame.
const MAGIC: u8 = 0xb7;

/// Length of the header, in bytes.
pub const FRAME_LEN_BYTES: usize = size_of::<RawFrame>();

quick_error! {
    /// Why a datagram is not a frame.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum FrameError {
        /// Too short, or not ours.
        NotAFrame {
            display("not a frame of the system")
        }
        /// Its kind is not known.
        UnknownKind(kind: u8) {
            display("unknown kind of frame {}", kind)
        }
    }
}

/// What a frame is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameKind {
    /// Balancer to agent: a packet for its server.
    Forward(Inquiry),
    /// Agent to balancer: the packet was not taken; it comes back whole.
    Returned(Refusal),
    /// Agent to balancer: its server does not have the flow; no packet.
    Denied,
    /// Agent to balancer: its server has the flow; no packet.
    Owned,
    /// Agent to balancer: the new flow waits until its server has a free slot.
    Queued,
    /// Balancer to agent: asks which of the flows listed behind the header its
    /// server has.
    OwnerQuery,
    /// Agent to balancer: what it knows of the flows listed.
    OwnerReply,
    /// Balancer to agent: asks for a sign of life; no packet, any flow.
    Probe,
    /// Agent to balancer: the sign of life; with a flow, that its packet has been
    /// passed on to the server, which has not answered yet.
    Heartbeat,
    /// Agent to balancer: it ends, and no server is left beside it.
    Shutdown,
}

/// What the balancer wants to hear about a packet that it carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Inquiry {
    /// Nothing: the owner is known.
    None,
    /// Whether the server has the flow; the packet back if it has not.
    Owner,
    /// As [`Inquiry::Owner`], and no other server is less busy.
    OwnerEvenIfBusy,
    /// Whether the server has the flow; other copies are on their way.
    OwnerOfCopy,
}

/// Why an agent did not take a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// The server does not have the flow, or can't accept it.
    Bounced,
    /// The server is draining.
    Draining,
    /// The data centre is evacuated.
    Evacuated,
    /// The server is in cold start and takes no more for now.
    Cold,
    /// The configuration sends this flow to another service.
    OtherService,
    /// The agent is shutting down.
    Leaving,
    /// The server does not answer its agent.
    Silent,
    /// All slots of the server are in use.
    Busy,
    /// It has waited for a slot for as long as it may.
    Overloaded,
    /// The server had the flow and has lost it: nobody else has it.
    Lost,
}

/// Header of a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Frame {
    /// What it is for.
    pub kind: FrameKind,
    /// The flow.
    pub flow: FlowKey,
    /// Service that the balancer chose; echoed by the agent.
    pub service: ServiceId,
    /// Configuration version that the sender has in force.
    pub version: Version,
    /// Newest revision of the platform's records that the sender knows.
    pub revision: u64,
    /// Requests in progress at the agent's server; zero from a balancer.
    pub in_progress: u16,
    /// Whether the agent knows every flow of its server; false from a balancer.
    pub knows_all_flows: bool,
    /// Whether living servers may be missing from the platform's listing, as
    /// far as the sender knows: it was away a moment ago.
    pub misses_servers: bool,
    /// How long the agent has run, to a tenth of a second; zero from a balancer.
    pub uptime: Duration,
}

/// What an agent knows of a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Knowledge {
    /// Its server has it.
    Has,
    /// Its server does not have it.
    HasNot,
    /// Only the server can tell.
    Unsure,
    /// Nothing was seen of it since the agent started; only the server can tell
    /// of flows that are older.
    Unseen,
}

/// One flow of a list, with what is known of it; in a question nothing is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FlowEntry {
    /// The flow.
    pub flow: FlowKey,
    /// What the agent knows.
    pub knowledge: Knowledge,
}

/// Most flows in one list.
pub const LIST_LIMIT_FLOWS: usize = 64;

#[derive(FromBytes, IntoBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
struct RawFlowEntry {
    caller_ip: U32,
    service_ip: U32,
    caller_port: U16,
    service_port: U16,
    knowledge: u8,
}

const KNOWLEDGE: [Knowledge; 4] = [
    Knowledge::Unsure,
    Knowledge::Has,
    Knowledge::HasNot,
    Knowledge::Unseen,
];

/// Writes a list of flows into `buf`, which is emptied first.
pub fn write_list(list: &[FlowEntry], buf: &mut Vec<u8>) {
    buf.clear();
    for listed in list {
        let flow = &listed.flow;
        let raw = RawFlowEntry {
            caller_ip: U32::new((*flow.caller.ip()).into()),
            service_ip: U32::new((*flow.service.ip()).into()),
            caller_port: U16::new(flow.caller.port()),
            service_port: U16::new(flow.service.port()),
            knowledge: index_of(&KNOWLEDGE, listed.knowledge),
        };
        buf.extend_from_slice(raw.as_bytes());
    }
}

/// Reads a list of flows; what is cut off at its end is left out.
pub fn read_list(buf: &[u8]) -> impl Iterator<Item = FlowEntry> {
    let whole = buf.chunks_exact(size_of::<RawFlowEntry>());
    whole.take(LIST_LIMIT_FLOWS).filter_map(|chunk| {
        let raw = RawFlowEntry::ref_from_bytes(chunk).ok()?;
        Some(FlowEntry {
            flow: FlowKey {
                caller: socket_addr(raw.caller_ip, raw.caller_port),
                service: socket_addr(raw.service_ip, raw.service_port),
            },
            knowledge: *KNOWLEDGE.get(usize::from(raw.knowledge))?,
        })
    })
}

fn socket_addr(ip: U32, port: U16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::from(ip.get()), port.get())
}

#[derive(FromBytes, IntoBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
struct RawFrame {
    magic: u8,
    kind: u8,
    detail: u8,
    flags: u8,
    caller_ip: U32,
    service_ip: U32,
    caller_port: U16,
    service_port: U16,
    service: U64,
    version: U64,
    revision: U64,
    in_progress: U16,
    uptime_ds: U16,
}

const KIND_FORWARD: u8 = 1;
const KIND_RETURNED: u8 = 2;
const KIND_DENIED: u8 = 3;
const KIND_OWNED: u8 = 4;
const KIND_PROBE: u8 = 5;
const KIND_HEARTBEAT: u8 = 6;
const KIND_OWNER_QUERY: u8 = 7;
const KIND_OWNER_REPLY: u8 = 8;
const KIND_QUEUED: u8 = 9;
const KIND_SHUTDOWN: u8 = 10;

const FLAG_KNOWS_ALL_FLOWS: u8 = 1;
const FLAG_MISSES_SERVERS: u8 = 2;

const INQUIRIES: [Inquiry; 4] = [
    Inquiry::None,
    Inquiry::Owner,
    Inquiry::OwnerEvenIfBusy,
    Inquiry::OwnerOfCopy,
];

const REFUSALS: [Refusal; 10] = [
    Refusal::Bounced,
    Refusal::Draining,
    Refusal::Evacuated,
    Refusal::Cold,
    Refusal::OtherService,
    Refusal::Leaving,
    Refusal::Silent,
    Refusal::Busy,
    Refusal::Overloaded,
    Refusal::Lost,
];

impl Frame {
    /// Writes the header and then `packet` into `buf`, which is emptied first.
    pub fn write(&self, packet: &[u8], buf: &mut Vec<u8>) {
        let (kind, detail) = self.kind.code();
        let raw = RawFrame {
            magic: MAGIC,
            kind,
            detail,
            flags: self.flags(),
            caller_ip: U32::new((*self.flow.caller.ip()).into()),
            service_ip: U32::new((*self.flow.service.ip()).into()),
            caller_port: U16::new(self.flow.caller.port()),
            service_port: U16::new(self.flow.service.port()),
            service: U64::new(self.service.0),
            version: U64::new(self.version.0),
            revision: U64::new(self.revision),
            in_progress: U16::new(self.in_progress),
            uptime_ds: U16::new(self.uptime_ds()),
        };
        buf.clear();
        buf.extend_from_slice(raw.as_bytes());
        buf.extend_from_slice(packet);
    }

    /// Tenths of a second that the sender has run.
    fn uptime_ds(&self) -> u16 {
        let tenths = self.uptime.as_millis() / 100;
        u16::try_from(tenths).unwrap_or(u16::MAX)
    }

    fn flags(&self) -> u8 {
        let flag = |set: bool, bit: u8| if set { bit } else { 0 };
        flag(self.knows_all_flows, FLAG_KNOWS_ALL_FLOWS)
            | flag(self.misses_servers, FLAG_MISSES_SERVERS)
    }

    /// Reads the header; what stands behind it is the packet, if any.
    ///
    /// # Errors
    ///
    /// [`FrameError`] when `buf` does not begin with a frame.
    pub fn read(buf: &[u8]) -> Result<Frame, FrameError> {
        let Ok((raw, _)) = RawFrame::ref_from_prefix(buf) else {
            return Err(FrameError::NotAFrame);
        };
        if raw.magic != MAGIC {
            return Err(FrameError::NotAFrame);
        }
        let Some(kind) = FrameKind::from_code(raw.kind, raw.detail) else {
            return Err(FrameError::UnknownKind(raw.kind));
        };
        Ok(Frame {
            kind,
            flow: FlowKey {
                caller: socket_addr(raw.caller_ip, raw.caller_port),
                service: socket_addr(raw.service_ip, raw.service_port),
            },
            service: ServiceId(raw.service.get()),
            version: Version(raw.version.get()),
            revision: raw.revision.get(),
            in_progress: raw.in_progress.get(),
            knows_all_flows: raw.flags & FLAG_KNOWS_ALL_FLOWS != 0,
            misses_servers: raw.flags & FLAG_MISSES_SERVERS != 0,
            uptime: Duration::from_millis(u64::from(raw.uptime_ds.get()) * 100),
        })
    }
}

impl FrameKind {
    fn code(self) -> (u8, u8) {
        match self {
            FrameKind::Forward(inquiry) => (KIND_FORWARD, index_of(&INQUIRIES, inquiry)),
            FrameKind::Returned(refusal) => (KIND_RETURNED, index_of(&REFUSALS, refusal)),
            FrameKind::Denied => (KIND_DENIED, 0),
            FrameKind::Owned => (KIND_OWNED, 0),
            FrameKind::Queued => (KIND_QUEUED, 0),
            FrameKind::OwnerQuery => (KIND_OWNER_QUERY, 0),
            FrameKind::OwnerReply => (KIND_OWNER_REPLY, 0),
            FrameKind::Probe => (KIND_PROBE, 0),
            FrameKind::Heartbeat => (KIND_HEARTBEAT, 0),
            FrameKind::Shutdown => (KIND_SHUTDOWN, 0),
        }
    }

    fn from_code(kind: u8, detail: u8) -> Option<FrameKind> {
        let detail = usize::from(detail);
        Some(match kind {
            KIND_FORWARD => FrameKind::Forward(*INQUIRIES.get(detail)?),
            KIND_RETURNED => FrameKind::Returned(*REFUSALS.get(detail)?),
            KIND_DENIED => FrameKind::Denied,
            KIND_OWNED => FrameKind::Owned,
            KIND_QUEUED => FrameKind::Queued,
            KIND_OWNER_QUERY => FrameKind::OwnerQuery,
            KIND_OWNER_REPLY => FrameKind::OwnerReply,
            KIND_PROBE => FrameKind::Probe,
            KIND_HEARTBEAT => FrameKind::Heartbeat,
            KIND_SHUTDOWN => FrameKind::Shutdown,
            _ => return None,
        })
    }
}

fn index_of<T: PartialEq>(all: &[T], one: T) -> u8 {
    all.iter().position(|x| *x == one).unwrap_or_default() as u8
}
