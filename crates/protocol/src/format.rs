//! Trait for the packet formats of passthrough mode.
//!
//! The layout of callers' packets depends on the platform. Balancers and agents
//! access the few fields that they need through [`PacketFormat`], which the
//! platform's layout implements.

use std::fmt;

use ramp_state::key::FlowKey;

use crate::packet::Segment;

/// Maximum length of a stored request id, in bytes; longer ones are truncated.
const REQUEST_ID_LEN_BYTES: usize = 31;

/// Id that a caller gave a request, for log lines.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct RequestId {
    len: u8,
    bytes: [u8; REQUEST_ID_LEN_BYTES],
}

impl RequestId {
    /// Id with this text, which is truncated at a character boundary if it is too
    /// long.
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

    /// The id as text.
    pub fn as_str(&self) -> &str {
        std::str::from_utf8(&self.bytes[..usize::from(self.len)]).unwrap_or_default()
    }
}

impl fmt::Debug for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The fields of a packet that balancers and agents use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ParsedPacket {
    /// Flow, flags and lengths of its TCP segment.
    pub segment: Segment,
    /// Whether a backend server bounced it, as it does not have the flow or can't
    /// accept it.
    pub bounced: bool,
    /// Number that an agent has set on it before it went to the server.
    pub mark: u32,
}

/// Reads and writes the fields of a packet that balancers and agents use.
pub trait PacketFormat {
    /// Reads a packet that a caller sent, bounced or not; none if it is malformed.
    fn read(buf: &[u8]) -> Option<ParsedPacket>;

    /// Reads the header of a packet that a caller sent, whose data may be missing; none if
    /// it is malformed.
    fn read_header(buf: &[u8]) -> Option<ParsedPacket>;

    /// The header of a packet, without its data.
    fn header(packet: &[u8]) -> &[u8];

    /// Reads a packet that came from a server: either a bounced packet, which a
    /// caller sent, or a packet of the server to a caller.
    fn read_from_server(buf: &[u8]) -> Option<ParsedPacket>;

    /// Id of the request that begins in a packet to a server; none if no request
    /// begins there or it has no id.
    fn request_id(buf: &[u8]) -> Option<RequestId>;

    /// HTTP status of the response that begins in a packet of a server, if it is
    /// an error status.
    fn error_status(buf: &[u8]) -> Option<u16>;

    /// Sets the mark and clears the flag of a bounced packet.
    fn set_mark(buf: &mut [u8], mark: u32);

    /// Writes a TCP reset with sequence number `seq` to the caller of `flow` into
    /// `buf`, which is cleared first.
    fn write_reset(flow: &FlowKey, seq: u32, buf: &mut Vec<u8>);
}
