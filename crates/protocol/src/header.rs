//! Header that our own processes put before a caller's packet.
//!
//! Between fabric and balancer the bare IP packet is the UDP payload (GUE
//! variant 1). Between balancer and agent, and between agents, this header
//! stands before it. Its first byte can't begin an IPv4 packet, so the two
//! are told apart. The tag covers the header and the first bytes of the
//! packet, where the addresses and the TCP header stand.

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

/// First byte of the header; an IPv4 packet begins with 0x4x.
const MAGIC: u8 = 0xb5;

/// Bytes of the packet that the tag covers.
const COVERED_LEN_BYTES: usize = 40;

/// Hops that a packet may take between our processes.
pub const HOP_LIMIT: u8 = 4;

/// Length of the header, in bytes.
pub const HEADER_LEN_BYTES: usize = size_of::<RawHeader>();

quick_error! {
    /// Why a datagram does not carry a packet from one of our processes.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum HeaderError {
        /// Too short, or not ours.
        NotAHeader {
            display("not a packet from a process of the system")
        }
        /// The tag does not match.
        Forged {
            display("the tag does not match")
        }
    }
}

/// What the header says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    /// Process that sent it on.
    pub sender: InstanceId,
    /// Configuration version by which it was sent on.
    pub config: Version,
    /// Hops between our processes so far.
    pub hops: u8,
    /// Sent on by the home to the owner, by placement or pointer.
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

    /// Reads the header and returns it with the packet behind it.
    ///
    /// # Errors
    ///
    /// [`HeaderError`] when `buf` was not written by a process with `key`.
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
    let covered = packet.len().min(COVERED_LEN_BYTES);
    let fixed = HEADER_LEN_BYTES - size_of::<U64>();
    let mut buf = [0; HEADER_LEN_BYTES + COVERED_LEN_BYTES];
    buf[..fixed].copy_from_slice(&raw.as_bytes()[..fixed]);
    buf[fixed..fixed + covered].copy_from_slice(&packet[..covered]);
    let full = key.tag(&buf[..fixed + covered]);
    let (low, _) = full.split_at(size_of::<u64>());
    u64::from_le_bytes(low.try_into().expect("the split has this length"))
}
