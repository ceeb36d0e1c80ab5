//! Callers' packets: the fields of IPv4 and TCP that routing looks at.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::time::Duration;

use etherparse::Ipv4Slice;
use etherparse::PacketBuilder;
use etherparse::TcpSlice;
use quick_error::quick_error;
use ramp_state::key::FlowKey;

/// Time to live of the resets that we write, in hops.
const RESET_TTL_HOPS: u8 = 64;

quick_error! {
    /// Why a packet is not one that can be routed.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum PacketError {
        /// Not a whole IPv4 packet.
        NotIpv4 {
            display("not a whole IPv4 packet")
        }
        /// A fragment; the fabric reassembles or drops these.
        Fragment {
            display("an IPv4 fragment")
        }
        /// Not a whole TCP segment.
        NotTcp {
            display("not a whole TCP segment")
        }
    }
}

/// What routing needs of one TCP segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Segment {
    /// Flow that it belongs to, seen from the caller.
    pub key: FlowKey,
    /// Sequence number.
    pub seq: u32,
    /// Acknowledgement number.
    pub ack: u32,
    /// Payload, in bytes.
    pub len: u32,
    /// Opens a connection (SYN without ACK).
    pub opens: bool,
    /// Carries a SYN.
    pub syn: bool,
    /// Carries an ACK.
    pub has_ack: bool,
    /// Carries a RST.
    pub rst: bool,
    /// Carries a FIN.
    pub fin: bool,
    /// Since the caller first sent this opening; zero where it does not tell.
    pub opening_age: Duration,
}

impl Segment {
    /// Reads a packet that a caller sent: source is the caller.
    ///
    /// # Errors
    ///
    /// [`PacketError`] when it is not a whole, unfragmented TCP segment.
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

    /// Reads a packet that goes to a caller: destination is the caller.
    ///
    /// # Errors
    ///
    /// As [`Segment::parse`].
    pub fn parse_to_caller(buf: &[u8]) -> Result<Segment, PacketError> {
        let mut segment = Segment::parse(buf)?;
        segment.key = FlowKey {
            caller: segment.key.service,
            service: segment.key.caller,
        };
        Ok(segment)
    }

    /// Writes the reset that answers this segment, as RFC 9293 has it.
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
            let end = self
                .seq
                .wrapping_add(self.len)
                .wrapping_add(u32::from(self.syn));
            builder.tcp(service, caller, 0, 0).rst().ack(end)
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
