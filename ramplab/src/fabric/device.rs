//! Queue of IP packets as a smoltcp device.

use std::collections::VecDeque;

use smoltcp::phy::Device;
use smoltcp::phy::DeviceCapabilities;
use smoltcp::phy::Medium;
use smoltcp::time::Instant;

/// Longest IP packet sent, in bytes.
const MTU_BYTES: usize = 1500;

/// Packets in and out of one interface.
#[derive(Debug, Default)]
pub struct Queues {
    /// Packets that came for the interface.
    pub rx: VecDeque<Vec<u8>>,
    /// Packets that the interface sent.
    pub tx: VecDeque<Vec<u8>>,
}

/// A packet that came.
pub struct Received(Vec<u8>);

/// Leave to send a packet.
pub struct Sending<'a>(&'a mut VecDeque<Vec<u8>>);

impl Device for Queues {
    type RxToken<'a> = Received;
    type TxToken<'a> = Sending<'a>;

    fn receive(&mut self, _: Instant) -> Option<(Received, Sending<'_>)> {
        let packet = self.rx.pop_front()?;
        Some((Received(packet), Sending(&mut self.tx)))
    }

    fn transmit(&mut self, _: Instant) -> Option<Sending<'_>> {
        Some(Sending(&mut self.tx))
    }

    fn capabilities(&self) -> DeviceCapabilities {
        let mut caps = DeviceCapabilities::default();
        caps.medium = Medium::Ip;
        caps.max_transmission_unit = MTU_BYTES;
        caps
    }
}

impl smoltcp::phy::RxToken for Received {
    fn consume<R, F: FnOnce(&[u8]) -> R>(self, f: F) -> R {
        f(&self.0)
    }
}

impl smoltcp::phy::TxToken for Sending<'_> {
    fn consume<R, F: FnOnce(&mut [u8]) -> R>(self, len: usize, f: F) -> R {
        let mut packet = vec![0; len];
        let result = f(&mut packet);
        self.0.push_back(packet);
        result
    }
}
