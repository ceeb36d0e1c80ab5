//! Header in front of a caller's packet that a balancer or an agent forwards to
//! an agent.
//!
//! From the network to a balancer, the UDP payload is the bare IP packet (GUE
//! variant 1). From there on, this header precedes the packet. No IPv4 packet
//! begins with its first byte, so a receiver can distinguish the two. The tag
//! authenticates the header and the first bytes of the packet, which contain
//! the addresses and the TCP header.

use quick_error::quick_error;
use zerocopy::FromBytes;
use zerocopy::Immutable;
use zerocopy::IntoBytes;
use zerocopy::KnownLayout;
use zerocopy::Unaligned;
use zerocopy::byteorder::network_endian::U64;

use ramp_state::key::InstanceId;
use ramp_state::key::Version;

use crate::auth::FleetKey;

/// First byte of the header. The first byte of an IPv4 packet is 0x4x.
const MAGIC: u8 = 0xb5;

/// Number of bytes of the packet that the tag covers.
const COVERED_LEN_BYTES: usize = 40;

/// Maximum number of times that a packet may be forwarded between instances.
pub const HOP_LIMIT: u8 = 4;

/// Length of the header, in bytes.
pub const HEADER_LEN_BYTES: usize = size_of::<RawHeader>();

quick_error! {
    /// Why a datagram is not a packet that another instance forwarded.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum HeaderError {
        /// Too short for a header, or its first byte is not that of one.
        NotAHeader {
            display("not a packet forwarded by another instance")
        }
        /// The tag does not match the contents.
        Forged {
            display("the tag does not match")
        }
    }
}

/// Header of a forwarded packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    /// Instance that forwarded the packet last.
    pub sender: InstanceId,
    /// Configuration version that this instance used.
    pub config: Version,
    /// How often the packet has been forwarded so far.
    pub hops: u8,
    /// Whether the home of the flow forwarded it to the flow's owner, which the
    /// home has just assigned or knows from a pointer.
    pub to_owner: bool,
}

#[derive(FromBytes, IntoBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
struct RawHeader {
    magic: u8,
    hops: u8,
    flags: u8,
    reserved: u8,
    sender: U64,
    config: U64,
    tag: U64,
}

const FLAG_TO_OWNER: u8 = 1;

impl Header {
    /// Appends the header and then `packet` to `buf`.
    pub fn write(&self, key: &FleetKey, packet: &[u8], buf: &mut Vec<u8>) {
        let mut raw = RawHeader {
            magic: MAGIC,
            hops: self.hops,
            flags: if self.to_owner { FLAG_TO_OWNER } else { 0 },
            reserved: 0,
            sender: U64::new(self.sender.0),
            config: U64::new(self.config.0),
            tag: U64::new(0),
        };
        raw.tag = U64::new(tag(key, &raw, packet));
        buf.extend_from_slice(raw.as_bytes());
        buf.extend_from_slice(packet);
    }

    /// Checks and reads the header. Returns it with the packet that follows it.
    ///
    /// # Errors
    ///
    /// [`HeaderError`] if `buf` was not written by an instance with the same key.
    pub fn read<'a>(key: &FleetKey, buf: &'a [u8]) -> Result<(Header, &'a [u8]), HeaderError> {
        let Ok((raw, packet)) = RawHeader::ref_from_prefix(buf) else {
            return Err(HeaderError::NotAHeader);
        };
        if raw.magic != MAGIC {
            return Err(HeaderError::NotAHeader);
        }
        if raw.tag.get() != tag(key, raw, packet) {
            return Err(HeaderError::Forged);
        }
        let header = Header {
            sender: InstanceId(raw.sender.get()),
            config: Version(raw.config.get()),
            hops: raw.hops,
            to_owner: raw.flags & FLAG_TO_OWNER != 0,
        };
        Ok((header, packet))
    }
}

fn tag(key: &FleetKey, raw: &RawHeader, packet: &[u8]) -> u64 {
    let packet_len = packet.len().min(COVERED_LEN_BYTES);
    let header_len = HEADER_LEN_BYTES - size_of::<U64>();
    let mut buf = [0; HEADER_LEN_BYTES + COVERED_LEN_BYTES];
    buf[..header_len].copy_from_slice(&raw.as_bytes()[..header_len]);
    buf[header_len..header_len + packet_len].copy_from_slice(&packet[..packet_len]);
    let full_tag = key.tag(&buf[..header_len + packet_len]);
    let (low, _) = full_tag.split_at(size_of::<u64>());
    u64::from_le_bytes(low.try_into().expect("the length is that of a u64"))
}
