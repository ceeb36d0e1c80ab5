//! Encodes and decodes the platform's packets as callers and backend servers do,
//! checksum included.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

use ramp_platform::packet::HEADER_LEN_BYTES;

pub const ACK: u8 = 1;
pub const RST: u8 = 2;
pub const BOUNCED: u8 = 4;
pub const SYN: u8 = 8;
pub const FIN: u8 = 64;

const SEQ: usize = 0;
const ACK_NUMBER: usize = 4;
const ECHO: usize = 8;
const FLAGS: usize = 12;
const SUM: usize = 14;
const LEN: usize = 18;
const DESTINATION_PORT: usize = 20;
const SOURCE_PORT: usize = 22;
const DESTINATION: usize = 24;
const SOURCE: usize = 28;

/// The fields of a packet that callers and servers set.
#[derive(Clone, Debug)]
pub struct Packet {
    pub from: SocketAddrV4,
    pub to: SocketAddrV4,
    pub flags: u8,
    pub seq: u32,
    pub ack: u32,
    pub data: Vec<u8>,
}

impl Packet {
    pub fn encode(&self) -> Vec<u8> {
        let mut buf = vec![0; HEADER_LEN_BYTES];
        put32(&mut buf, SEQ, self.seq);
        put32(&mut buf, ACK_NUMBER, self.ack);
        buf[FLAGS] = self.flags;
        put16(&mut buf, LEN, self.data.len() as u16);
        put16(&mut buf, DESTINATION_PORT, self.to.port());
        put16(&mut buf, SOURCE_PORT, self.from.port());
        put32(&mut buf, DESTINATION, (*self.to.ip()).into());
        put32(&mut buf, SOURCE, (*self.from.ip()).into());
        buf.extend_from_slice(&self.data);
        let sum = checksum(&buf);
        put32(&mut buf, SUM, sum);
        buf
    }

    /// `None` if the length or checksum shows that the packet was altered.
    pub fn decode(buf: &[u8]) -> Option<Packet> {
        let data = buf.get(HEADER_LEN_BYTES..)?;
        let packet = Packet {
            from: SocketAddrV4::new(Ipv4Addr::from(get32(buf, SOURCE)), get16(buf, SOURCE_PORT)),
            to: SocketAddrV4::new(
                Ipv4Addr::from(get32(buf, DESTINATION)),
                get16(buf, DESTINATION_PORT),
            ),
            flags: buf[FLAGS],
            seq: get32(buf, SEQ),
            ack: get32(buf, ACK_NUMBER),
            data: data.to_vec(),
        };
        // The load balancer's own resets have no checksum, because it has no key.
        let own_reset = packet.flags == RST && get32(buf, SUM) == 0 && data.is_empty();
        let whole = usize::from(get16(buf, LEN)) == data.len();
        (whole && (own_reset || get32(buf, SUM) == checksum(buf))).then_some(packet)
    }

    pub fn has(&self, flag: u8) -> bool {
        self.flags & flag != 0
    }

    pub fn opens(&self) -> bool {
        self.has(SYN) && !self.has(ACK)
    }

    /// The reply to this packet, with source and destination swapped.
    pub fn reply(&self, flags: u8, seq: u32, data: &[u8]) -> Packet {
        Packet {
            from: self.to,
            to: self.from,
            flags,
            seq,
            ack: self.seq,
            data: data.to_vec(),
        }
    }
}

/// The packet as a server returns it that does not have its flow.
pub fn as_bounced(buf: &[u8]) -> Vec<u8> {
    let mut buf = buf.to_vec();
    buf[FLAGS] |= BOUNCED;
    buf
}

/// Checksum over all bytes that the load balancer may not change.
fn checksum(buf: &[u8]) -> u32 {
    let is_mutable = |at: &usize| (ECHO..FLAGS).contains(at) || *at == FLAGS + 1;
    let bytes = buf.iter().enumerate();
    let kept = bytes.filter(|(at, _)| !is_mutable(at) && !(SUM..LEN).contains(at));
    kept.fold(2_166_136_261, |sum: u32, (at, byte)| {
        let byte = if at == FLAGS { byte & !BOUNCED } else { *byte };
        (sum ^ u32::from(byte)).wrapping_mul(16_777_619)
    })
}

fn put16(buf: &mut [u8], at: usize, value: u16) {
    buf[at..at + 2].copy_from_slice(&value.to_le_bytes());
}

fn put32(buf: &mut [u8], at: usize, value: u32) {
    buf[at..at + 4].copy_from_slice(&value.to_le_bytes());
}

fn get16(buf: &[u8], at: usize) -> u16 {
    u16::from_le_bytes([buf[at], buf[at + 1]])
}

fn get32(buf: &[u8], at: usize) -> u32 {
    u32::from_le_bytes([buf[at], buf[at + 1], buf[at + 2], buf[at + 3]])
}
