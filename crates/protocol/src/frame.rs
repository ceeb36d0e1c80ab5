//! Datagrams between balancers and agents in passthrough mode.
//!
//! Each datagram is a header of fixed length. What follows it depends on the
//! kind of frame: a caller's packet, a list of flows, or nothing. The header
//! contains the flow's addresses, so that the receiver can find the flow without
//! knowing the layout of the packet.

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

/// Placeholder in the header of frames that do not concern a single flow.
pub const NO_FLOW: FlowKey = FlowKey {
    caller: SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0),
    service: SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0),
};

/// First byte of each frame.
const MAGIC: u8 = 0xb7;

/// Length of a frame's header, in bytes.
pub const FRAME_LEN_BYTES: usize = size_of::<RawFrame>();

quick_error! {
    /// Why a datagram is not a frame.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum FrameError {
        /// Too short for a header, or its first byte is not that of a frame.
        NotAFrame {
            display("not a frame of a balancer or an agent")
        }
        /// The kind of frame is unknown.
        UnknownKind(kind: u8) {
            display("unknown frame kind {}", kind)
        }
    }
}

/// Purpose of a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameKind {
    /// Balancer to agent: a packet for the agent's server.
    Forward(Inquiry),
    /// Agent to balancer: the packet was refused and is returned unchanged.
    Returned(Refusal),
    /// Agent to balancer: the server does not have the flow. The header of the packet that
    /// the agent was asked with may follow.
    Denied,
    /// Agent to balancer: the server has the flow. Contains no packet.
    Owned,
    /// Agent to balancer: the new flow is queued until the server has a free slot.
    Queued,
    /// Balancer to agent: asks which flows of the list after the header the
    /// server has.
    OwnerQuery,
    /// Agent to balancer: reply to [`FrameKind::OwnerQuery`], with the same list.
    OwnerReply,
    /// Balancer to agent: asks for a heartbeat. Contains no packet; the flow has
    /// no meaning.
    Probe,
    /// Agent to balancer: heartbeat. With a flow, it also says that the flow's
    /// packet has been forwarded to the server, which has not answered yet.
    Heartbeat,
    /// Agent to balancer: the agent stops, and its server is gone.
    Shutdown,
    /// Balancer to agent: asks the agent to collect, from all agents that it knows
    /// and those named after the header, which of them has the flows of the list.
    /// The flow field is a [`ListTag`].
    RelayQuery,
    /// Agent to balancer: what each of the agents named after the header knows of
    /// each flow of the list. Revision, `misses_servers` and uptime are the
    /// highest of all agents that have answered. The flow field is a [`ListTag`].
    RelayReply(Knowledge),
    /// Agent to agent: asks which flows of the list after the header the server
    /// has. The flow field is a [`ListTag`].
    PeerQuery,
    /// Agent to agent: reply to [`FrameKind::PeerQuery`], with the same list.
    PeerReply,
}

/// Reply that the balancer expects for a forwarded packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Inquiry {
    /// None: the balancer knows that the server has the flow.
    None,
    /// Whether the server has the flow. If not, the packet is returned.
    Owner,
    /// The same as [`Inquiry::Owner`], but for a new flow that the agent queues if
    /// its server is busy, as no other server is less busy.
    OwnerEvenIfBusy,
    /// Whether the server has the flow. Copies of the packet were sent to other
    /// agents too; one that is refused is answered with [`FrameKind::Denied`].
    OwnerOfCopy,
}

/// Why an agent refused a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// The server bounced the packet: it does not have the flow or can't accept it.
    Bounced,
    /// The server is draining.
    Draining,
    /// The server's data centre is evacuated.
    Evacuated,
    /// The server is in cold start and its rate of new flows is used up.
    Cold,
    /// By the agent's configuration, the flow belongs to another service.
    OtherService,
    /// The agent is shutting down.
    Leaving,
    /// The server is not running or does not respond to its agent.
    Silent,
    /// All slots of the server are in use.
    Busy,
    /// The flow has waited for a slot for the maximum time.
    Overloaded,
    /// The server had the flow and has lost it, so no other server has it.
    Lost,
}

/// Header of a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Frame {
    /// Purpose of the frame.
    pub kind: FrameKind,
    /// Flow that the frame concerns, or [`NO_FLOW`].
    pub flow: FlowKey,
    /// Service of the flow, chosen by the balancer and repeated by the agent.
    pub service: ServiceId,
    /// Configuration version that the sender uses.
    pub version: Version,
    /// Newest revision of the platform's records that the sender has.
    pub revision: u64,
    /// Number of requests in progress at the agent's server; zero from a balancer.
    pub in_progress: u16,
    /// Whether the agent has seen every flow of its server, so that it can deny
    /// others itself; false from a balancer.
    pub knows_all_flows: bool,
    /// Whether, as far as the sender knows, running servers may be missing from
    /// the platform's listing, for example because the platform failed a moment
    /// ago.
    pub misses_servers: bool,
    /// Time since the agent started, in steps of 100 ms; zero from a balancer.
    pub uptime: Duration,
}

/// What an agent knows about a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Knowledge {
    /// The server has the flow.
    Has,
    /// The server does not have the flow.
    HasNot,
    /// The agent does not know; it needs a packet of the flow to ask the server.
    Unsure,
    /// The agent has seen no packet of the flow since it started. The flow may
    /// be older, which only the server can tell.
    Unseen,
}

/// Entry in the flow list of an owner query or reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FlowEntry {
    /// Flow that is asked for.
    pub flow: FlowKey,
    /// What the agent knows; [`Knowledge::Unsure`] in a query.
    pub knowledge: Knowledge,
}

/// Maximum number of flows in one list.
pub const LIST_LIMIT_FLOWS: usize = 64;

/// Maximum number of agents that precede a list.
pub const LIST_LIMIT_AGENTS: usize = 256;

/// Content of the flow field in the frames of a relayed query, which concern no
/// single flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListTag {
    /// Number of the query, chosen by its sender and repeated in the replies.
    pub number: u32,
    /// Balancer that searches for the flows.
    pub balancer: Ipv4Addr,
    /// In a [`FrameKind::RelayReply`], the shortest time since one of the agents
    /// named in it started, in steps of 100 ms; zero in other frames.
    pub shortest_uptime: Duration,
}

impl ListTag {
    /// The tag as the flow field of a frame.
    pub fn to_flow(self) -> FlowKey {
        let uptime_ds = tenths_of_second(self.shortest_uptime);
        FlowKey {
            caller: SocketAddrV4::new(Ipv4Addr::from(self.number), uptime_ds),
            service: SocketAddrV4::new(self.balancer, 0),
        }
    }

    /// Reads the tag from the flow field of a frame.
    pub fn of(flow: &FlowKey) -> ListTag {
        ListTag {
            number: u32::from(*flow.caller.ip()),
            balancer: *flow.service.ip(),
            shortest_uptime: duration_of_tenths(flow.caller.port()),
        }
    }
}

#[derive(FromBytes, IntoBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
struct RawFlowEntry {
    caller_ip: U32,
    service_ip: U32,
    caller_port: U16,
    service_port: U16,
    knowledge: u8,
}

/// Values by their code on the wire, which is the index.
const KNOWLEDGE: [Knowledge; 4] = [
    Knowledge::Unsure,
    Knowledge::Has,
    Knowledge::HasNot,
    Knowledge::Unseen,
];

/// Writes a list of flows into `buf`, which is cleared first.
pub fn write_list(list: &[FlowEntry], buf: &mut Vec<u8>) {
    buf.clear();
    for entry in list {
        let flow = &entry.flow;
        let raw = RawFlowEntry {
            caller_ip: U32::new((*flow.caller.ip()).into()),
            service_ip: U32::new((*flow.service.ip()).into()),
            caller_port: U16::new(flow.caller.port()),
            service_port: U16::new(flow.service.port()),
            knowledge: index_of(&KNOWLEDGE, entry.knowledge),
        };
        buf.extend_from_slice(raw.as_bytes());
    }
}

/// Writes the number of agents, their addresses and a list of flows into `buf`,
/// which is cleared first. Agents beyond [`LIST_LIMIT_AGENTS`] are left out.
pub fn write_agents_and_list(agents: &[Ipv4Addr], list: &[FlowEntry], buf: &mut Vec<u8>) {
    let agents = &agents[..agents.len().min(LIST_LIMIT_AGENTS)];
    write_list(list, buf);
    let count = U16::new(agents.len() as u16);
    let octets = agents.iter().flat_map(|agent| agent.octets());
    let head = count.as_bytes().iter().copied().chain(octets);
    buf.splice(..0, head);
}

/// Reads addresses of agents and the list of flows after them; none if the
/// addresses are truncated or more than [`LIST_LIMIT_AGENTS`].
pub fn read_agents_and_list(
    buf: &[u8],
) -> Option<(Vec<Ipv4Addr>, impl Iterator<Item = FlowEntry>)> {
    let (count, rest) = U16::ref_from_prefix(buf).ok()?;
    let count = usize::from(count.get());
    if count > LIST_LIMIT_AGENTS {
        return None;
    }
    let (addresses, list) = rest.split_at_checked(count * size_of::<U32>())?;
    let addresses = addresses.chunks_exact(size_of::<U32>());
    let agents = addresses.filter_map(|chunk| U32::read_from_bytes(chunk).ok());
    let agents = agents.map(|address| Ipv4Addr::from(address.get()));
    Some((agents.collect(), read_list(list)))
}

/// Reads a list of flows. Skips malformed entries and a truncated last one.
pub fn read_list(buf: &[u8]) -> impl Iterator<Item = FlowEntry> {
    let entries = buf.chunks_exact(size_of::<RawFlowEntry>());
    entries.take(LIST_LIMIT_FLOWS).filter_map(|chunk| {
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
const KIND_RELAY_QUERY: u8 = 11;
const KIND_RELAY_REPLY: u8 = 12;
const KIND_PEER_QUERY: u8 = 13;
const KIND_PEER_REPLY: u8 = 14;

const FLAG_KNOWS_ALL_FLOWS: u8 = 1;
const FLAG_MISSES_SERVERS: u8 = 2;

/// Values by their code on the wire, which is the index.
const INQUIRIES: [Inquiry; 4] = [
    Inquiry::None,
    Inquiry::Owner,
    Inquiry::OwnerEvenIfBusy,
    Inquiry::OwnerOfCopy,
];

/// Values by their code on the wire, which is the index.
const RELAYED: [Knowledge; 4] = [
    Knowledge::HasNot,
    Knowledge::Has,
    Knowledge::Unsure,
    Knowledge::Unseen,
];

/// Values by their code on the wire, which is the index.
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
    /// Writes the header, followed by `packet`, into `buf`, which is cleared first.
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
            uptime_ds: U16::new(tenths_of_second(self.uptime)),
        };
        buf.clear();
        buf.extend_from_slice(raw.as_bytes());
        buf.extend_from_slice(packet);
    }

    fn flags(&self) -> u8 {
        let flag = |set: bool, bit: u8| if set { bit } else { 0 };
        flag(self.knows_all_flows, FLAG_KNOWS_ALL_FLOWS)
            | flag(self.misses_servers, FLAG_MISSES_SERVERS)
    }

    /// Reads the header. The packet, if any, starts at [`FRAME_LEN_BYTES`].
    ///
    /// # Errors
    ///
    /// [`FrameError`] if `buf` does not begin with a valid header.
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
            uptime: duration_of_tenths(raw.uptime_ds.get()),
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
            FrameKind::RelayQuery => (KIND_RELAY_QUERY, 0),
            FrameKind::RelayReply(knowledge) => (KIND_RELAY_REPLY, index_of(&RELAYED, knowledge)),
            FrameKind::PeerQuery => (KIND_PEER_QUERY, 0),
            FrameKind::PeerReply => (KIND_PEER_REPLY, 0),
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
            KIND_RELAY_QUERY => FrameKind::RelayQuery,
            KIND_RELAY_REPLY => FrameKind::RelayReply(*RELAYED.get(detail)?),
            KIND_PEER_QUERY => FrameKind::PeerQuery,
            KIND_PEER_REPLY => FrameKind::PeerReply,
            _ => return None,
        })
    }
}

/// Duration in tenths of a second, limited to what a field can hold.
fn tenths_of_second(duration: Duration) -> u16 {
    let tenths = duration.as_millis() / 100;
    u16::try_from(tenths).unwrap_or(u16::MAX)
}

fn duration_of_tenths(tenths: u16) -> Duration {
    Duration::from_millis(u64::from(tenths) * 100)
}

fn index_of<T: PartialEq>(table: &[T], value: T) -> u8 {
    table.iter().position(|x| *x == value).unwrap_or_default() as u8
}
