//! What is asked of a layout of packets that pass through.

use std::fmt;

use ramp_state::key::FlowKey;

use crate::packet::Segment;

/// Longest request id that is kept, in bytes; longer ones are cut.
const REQUEST_ID_LEN_BYTES: usize = 31;

/// Id of a request, as its caller gave it.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct RequestId {
    len: u8,
    bytes: [u8; REQUEST_ID_LEN_BYTES],
}

impl RequestId {
    /// Id with this text, cut where it is too long.
    pub fn new(text: &str) -> RequestId {
        let mut len = text.len().min(REQUEST_ID_LEN_BYTES);
        while !text.is_char_boundary(len) {
            len -= 1;
        }
        let mut bytes = [0; REQUEST_ID_LEN_BYTES];
        bytes[..len].copy_from_slice(&text.as_bytes()[..len]);
        RequestId {
            len: len as u8,
            bytes,
        }
    }

    /// Its text.
    pub fn as_str(&self) -> &str {
        std::str::from_utf8(&self.bytes[..usize::from(self.len)]).unwrap_or_default()
    }
}

impl fmt::Debug for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// A packet as it passes through.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ParsedPacket {
    /// Its flow and flags; the flow is seen from the caller.
    pub segment: Segment,
    /// Whether a server did not take it.
    pub bounced: bool,
    /// Number written by an agent on the way to the server.
    pub mark: u32,
}

/// Reads and writes the few fields that the system may touch.
pub trait PacketFormat {
    /// Reads a packet on its way from a caller to a server, bounced or not.
    fn read(buf: &[u8]) -> Option<ParsedPacket>;

    /// Reads what a server sent: bounced packets as [`PacketFormat::read`],
    /// all others with the server as the source.
    fn read_from_server(buf: &[u8]) -> Option<ParsedPacket>;

    /// Id of the request that begins in a packet to a server, if it shows one.
    fn request_id(buf: &[u8]) -> Option<RequestId>;

    /// HTTP status of the failed answer that begins in a packet of a server.
    fn error_status(buf: &[u8]) -> Option<u16>;

    /// Writes the mark and takes the sign of a bounce away.
    fn set_mark(buf: &mut [u8], mark: u32);

    /// Writes a reset to the caller of `flow` with sequence number `seq` into
    /// `buf`, which is emptied first.
    fn write_reset(flow: &FlowKey, seq: u32, buf: &mut Vec<u8>);
}
