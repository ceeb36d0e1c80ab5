//! The mark of a packet: a number that the agent attaches to a packet for its
//! server, and that comes back with the packet if the server bounces it.
//!
//! From the mark the agent knows which balancer sent the packet, without
//! keeping state for each packet. The lowest `INDEX_BITS` bits are the
//! sender's number, then follow `NONCE_BITS` bits that identify the agent's
//! process, and one flag.

use std::net::Ipv4Addr;

/// Width of the sender's number in a mark.
const INDEX_BITS: u32 = 16;

/// Width of the nonce, by which an agent ignores marks of an earlier process.
const NONCE_BITS: u32 = 8;

/// Set if the packet is a copy, sent to several servers to find the flow's
/// owner.
const COPY_FLAG: u32 = 1 << (INDEX_BITS + NONCE_BITS);

/// Number that a packet carries to the server and, if bounced, back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Mark(pub u32);

/// Balancers that have sent packets to this agent; a balancer's number is its
/// index.
#[derive(Clone, Debug)]
pub(super) struct Senders {
    nonce: u8,
    addresses: Vec<Ipv4Addr>,
}

impl Senders {
    pub(super) fn new(nonce: u8) -> Senders {
        Senders {
            nonce,
            addresses: Vec::new(),
        }
    }

    pub(super) fn addresses(&self) -> &[Ipv4Addr] {
        &self.addresses
    }

    /// Returns a sender's number, and assigns one if it has none yet.
    pub(super) fn register(&mut self, sender: Ipv4Addr) -> usize {
        if let Some(index) = self.addresses.iter().position(|s| *s == sender) {
            return index;
        }
        self.addresses.push(sender);
        self.addresses.len() - 1
    }

    pub(super) fn mark(&mut self, sender: Ipv4Addr, copy: bool) -> Mark {
        let index = self.register(sender);
        let nonce = u32::from(self.nonce) << INDEX_BITS;
        let copy = if copy { COPY_FLAG } else { 0 };
        Mark(index as u32 & ((1 << INDEX_BITS) - 1) | nonce | copy)
    }

    /// The sender that a mark names, and whether the packet was a copy; none if
    /// the mark is not from this process.
    pub(super) fn sender_of(&self, mark: Mark) -> Option<(Ipv4Addr, bool)> {
        let nonce = (mark.0 >> INDEX_BITS) as u8;
        if nonce != self.nonce {
            return None;
        }
        let index = mark.0 & ((1 << INDEX_BITS) - 1);
        let sender = self.addresses.get(index as usize)?;
        Some((*sender, mark.0 & COPY_FLAG != 0))
    }
}
