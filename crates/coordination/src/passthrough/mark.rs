//! The mark that a packet carries to a server and, bounced, back again.

use std::net::Ipv4Addr;

/// Bits of a mark that number the sender.
const INDEX_BITS: u32 = 16;

/// Bits of a mark that tell this process from an earlier one.
const NONCE_BITS: u32 = 8;

/// Flag of a copy that went to several servers.
const COPY_FLAG: u32 = 1 << (INDEX_BITS + NONCE_BITS);

/// Number that a packet carries to the server and back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Mark(pub u32);

/// Balancers that have sent packets here, numbered.
#[derive(Clone, Debug)]
pub(super) struct Senders {
    nonce: u8,
    all: Vec<Ipv4Addr>,
}

impl Senders {
    pub(super) fn new(nonce: u8) -> Senders {
        Senders {
            nonce,
            all: Vec::new(),
        }
    }

    pub(super) fn addresses(&self) -> &[Ipv4Addr] {
        &self.all
    }

    /// Takes note of a sender; gives its number.
    pub(super) fn register(&mut self, sender: Ipv4Addr) -> usize {
        if let Some(index) = self.all.iter().position(|s| *s == sender) {
            return index;
        }
        self.all.push(sender);
        self.all.len() - 1
    }

    pub(super) fn mark(&mut self, sender: Ipv4Addr, copy: bool) -> Mark {
        let index = self.register(sender);
        let nonce = u32::from(self.nonce) << INDEX_BITS;
        let copy = if copy { COPY_FLAG } else { 0 };
        Mark(index as u32 & ((1 << INDEX_BITS) - 1) | nonce | copy)
    }

    /// The sender that a mark names, and whether it marked a copy.
    pub(super) fn sender_of(&self, mark: Mark) -> Option<(Ipv4Addr, bool)> {
        let nonce = (mark.0 >> INDEX_BITS) as u8;
        if nonce != self.nonce {
            return None;
        }
        let index = mark.0 & ((1 << INDEX_BITS) - 1);
        let sender = self.all.get(index as usize)?;
        Some((*sender, mark.0 & COPY_FLAG != 0))
    }
}
