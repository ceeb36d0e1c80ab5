//! Parses the IPv4 and TCP fields of callers' packets that routing needs, and
//! builds TCP resets.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::time::Duration;

use etherparse::Ipv4Slice;
use etherparse::PacketBuilder;
use etherparse::TcpSlice;
use quick_error::quick_error;
use ramp_state::key::FlowKey;

/// IPv4 time to live of the resets that are built here, in hops.
const RESET_TTL_HOPS: u8 = 64;

quick_error! {
    /// Why a packet can't be routed.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum PacketError {
        /// Not a complete IPv4 packet.
        NotIpv4 {
            display("not a whole IPv4 packet")
        }
        /// An IPv4 fragment. The network in front of the balancers reassembles
        /// fragments or drops them.
        Fragment {
            display("an IPv4 fragment")
        }
        /// Not a complete TCP segment.
        NotTcp {
            display("not a whole TCP segment")
        }
    }
}

/// The fields of one TCP segment that routing needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Segment {
    /// Flow of the segment, with the same caller and service in both directions.
    pub key: FlowKey,
    /// Sequence number.
    pub seq: u32,
    /// Acknowledgement number.
    pub ack: u32,
    /// Length of the payload, in bytes.
    pub len: u32,
    /// Whether it opens a connection (SYN without ACK).
    pub opens: bool,
    /// Whether its SYN flag is set.
    pub syn: bool,
    /// Whether its ACK flag is set.
    pub has_ack: bool,
    /// Whether its RST flag is set.
    pub rst: bool,
    /// Whether its FIN flag is set.
    pub fin: bool,
    /// Time since the caller first sent this SYN; zero if the packet does not
    /// say so.
    pub opening_age: Duration,
}

impl Segment {
    /// Parses a packet that a caller sent.
    ///
    /// # Errors
    ///
    /// [`PacketError`] unless it is a complete, unfragmented TCP segment.
    pub fn parse(buf: &[u8]) -> Result<Segment, PacketError> {
        let ip = Ipv4Slice::from_slice(buf).map_err(|_| PacketError::NotIpv4)?;
        if ip.is_payload_fragmented() {
            return Err(PacketError::Fragment);
        }
        let header = ip.header();
        if header.protocol() != etherparse::IpNumber::TCP {
            return Err(PacketError::NotTcp);
        }
        let tcp = TcpSlice::from_slice(ip.payload().payload).map_err(|_| PacketError::NotTcp)?;
        Ok(Segment {
            key: FlowKey {
                caller: SocketAddrV4::new(header.source_addr(), tcp.source_port()),
                service: SocketAddrV4::new(header.destination_addr(), tcp.destination_port()),
            },
            seq: tcp.sequence_number(),
            ack: tcp.acknowledgment_number(),
            len: tcp.payload().len() as u32,
            opens: tcp.syn() && !tcp.ack(),
            syn: tcp.syn(),
            has_ack: tcp.ack(),
            rst: tcp.rst(),
            fin: tcp.fin(),
            opening_age: Duration::ZERO,
        })
    }

    /// Parses a packet that is addressed to a caller.
    ///
    /// # Errors
    ///
    /// The same as for [`Segment::parse`].
    pub fn parse_to_caller(buf: &[u8]) -> Result<Segment, PacketError> {
        let mut segment = Segment::parse(buf)?;
        segment.key = FlowKey {
            caller: segment.key.service,
            service: segment.key.caller,
        };
        Ok(segment)
    }

    /// Builds the TCP reset in reply to this segment, as RFC 9293 specifies it.
    pub fn reset(&self) -> Vec<u8> {
        let key = &self.key;
        let builder = PacketBuilder::ipv4(
            octets(key.service.ip()),
            octets(key.caller.ip()),
            RESET_TTL_HOPS,
        );
        let (service, caller) = (key.service.port(), key.caller.port());
        let builder = if self.has_ack {
            builder.tcp(service, caller, self.ack, 0).rst()
        } else {
            let segment_end = self
                .seq
                .wrapping_add(self.len)
                .wrapping_add(u32::from(self.syn));
            builder.tcp(service, caller, 0, 0).rst().ack(segment_end)
        };
        let mut buf = Vec::with_capacity(builder.size(0));
        builder
            .write(&mut buf, &[])
            .expect("writing to a vector does not fail");
        buf
    }
}

fn octets(ip: &Ipv4Addr) -> [u8; 4] {
    ip.octets()
}
