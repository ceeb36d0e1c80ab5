//! In-memory IP device for the TCP stack of one flow: inbound and outbound
//! packets are kept in queues.

use std::collections::VecDeque;

use smoltcp::phy::Checksum;
use smoltcp::phy::ChecksumCapabilities;
use smoltcp::phy::Device;
use smoltcp::phy::DeviceCapabilities;
use smoltcp::phy::Medium;
use smoltcp::phy::RxToken;
use smoltcp::phy::TxToken;
use smoltcp::time::Instant;

/// Largest IP packet that a flow sends or accepts, in bytes.
pub const MTU_BYTES: usize = 1400;

/// Maximum number of inbound packets queued for one flow; further packets are
/// dropped.
const QUEUE_LIMIT_PACKETS: usize = 64;

/// Packet queues of one flow.
#[derive(Debug, Default)]
pub struct QueueDevice {
    inbound: VecDeque<Vec<u8>>,
    outbound: VecDeque<Vec<u8>>,
}

impl QueueDevice {
    /// Queues a packet from the caller; false when the queue is full.
    pub fn push(&mut self, packet: &[u8]) -> bool {
        if self.inbound.len() >= QUEUE_LIMIT_PACKETS {
            return false;
        }
        self.inbound.push_back(packet.to_vec());
        true
    }

    /// Removes and returns the next packet to the caller.
    pub fn pop(&mut self) -> Option<Vec<u8>> {
        self.outbound.pop_front()
    }
}

impl Device for QueueDevice {
    type RxToken<'a> = Inbound;
    type TxToken<'a> = Outbound<'a>;

    fn receive(&mut self, _now: Instant) -> Option<(Inbound, Outbound<'_>)> {
        let packet = self.inbound.pop_front()?;
        Some((Inbound(packet), Outbound(&mut self.outbound)))
    }

    fn transmit(&mut self, _now: Instant) -> Option<Outbound<'_>> {
        Some(Outbound(&mut self.outbound))
    }

    fn capabilities(&self) -> DeviceCapabilities {
        let mut capabilities = DeviceCapabilities::default();
        capabilities.medium = Medium::Ip;
        capabilities.max_transmission_unit = MTU_BYTES;
        capabilities.checksum = ChecksumCapabilities::default();
        capabilities.checksum.tcp = Checksum::Both;
        capabilities
    }
}

/// One queued packet from the caller.
pub struct Inbound(Vec<u8>);

impl RxToken for Inbound {
    fn consume<R, F>(self, f: F) -> R
    where
        F: FnOnce(&[u8]) -> R,
    {
        f(&self.0)
    }
}

/// Permission to queue one packet to the caller.
pub struct Outbound<'a>(&'a mut VecDeque<Vec<u8>>);

impl TxToken for Outbound<'_> {
    fn consume<R, F>(self, len: usize, f: F) -> R
    where
        F: FnOnce(&mut [u8]) -> R,
    {
        let mut packet = vec![0; len];
        let result = f(&mut packet);
        self.0.push_back(packet);
        result
    }
}
