//! What is asked of a layout of packets that pass through.

use ramp_state::key::FlowKey;

use crate::packet::Segment;

/// A packet as it passes through.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Passing {
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
    fn read(buf: &[u8]) -> Option<Passing>;

    /// Reads what a server sent: bounced packets as [`PacketFormat::read`],
    /// all others with the server as the source.
    fn read_from_server(buf: &[u8]) -> Option<Passing>;

    /// Writes the mark and takes the sign of a bounce away.
    fn mark(buf: &mut [u8], mark: u32);

    /// Writes a reset to the caller of `flow` with sequence number `seq` into
    /// `buf`, which is emptied first.
    fn reset(flow: &FlowKey, seq: u32, buf: &mut Vec<u8>);
}
