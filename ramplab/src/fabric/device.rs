//! In-memory smoltcp device: a queue of received and a queue of sent IP packets.

use std::collections::VecDeque;

use smoltcp::phy::Device;
use smoltcp::phy::DeviceCapabilities;
use smoltcp::phy::Medium;
use smoltcp::time::Instant;

/// Maximum length of an IP packet that is sent.
const MTU_BYTES: usize = 1500;

/// Packets received and sent by one interface, not yet processed.
#[derive(Debug, Default)]
pub struct PacketQueues {
    /// Packets for the interface to process.
    pub rx: VecDeque<Vec<u8>>,
    /// Packets that the interface has sent.
    pub tx: VecDeque<Vec<u8>>,
}

/// Token that holds one received packet.
pub struct ReceiveToken(Vec<u8>);

/// Token that permits sending one packet.
pub struct TransmitToken<'a>(&'a mut VecDeque<Vec<u8>>);

impl Device for PacketQueues {
    type RxToken<'a> = ReceiveToken;
    type TxToken<'a> = TransmitToken<'a>;

    fn receive(&mut self, _: Instant) -> Option<(ReceiveToken, TransmitToken<'_>)> {
        let packet = self.rx.pop_front()?;
        Some((ReceiveToken(packet), TransmitToken(&mut self.tx)))
    }

    fn transmit(&mut self, _: Instant) -> Option<TransmitToken<'_>> {
        Some(TransmitToken(&mut self.tx))
    }

    fn capabilities(&self) -> DeviceCapabilities {
        let mut caps = DeviceCapabilities::default();
        caps.medium = Medium::Ip;
        caps.max_transmission_unit = MTU_BYTES;
        caps
    }
}

impl smoltcp::phy::RxToken for ReceiveToken {
    fn consume<R, F: FnOnce(&[u8]) -> R>(self, f: F) -> R {
        f(&self.0)
    }
}

impl smoltcp::phy::TxToken for TransmitToken<'_> {
    fn consume<R, F: FnOnce(&mut [u8]) -> R>(self, len: usize, f: F) -> R {
        let mut packet = vec![0; len];
        let result = f(&mut packet);
        self.0.push_back(packet);
        result
    }
}
