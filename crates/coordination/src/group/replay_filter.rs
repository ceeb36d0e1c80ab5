//! Filter for late and repeated control messages, with a sliding window of
//! sequence numbers per sender.
//!
//! A message that was reordered behind a few others is still accepted, since
//! the answers of a burst overtake each other. A message that replaces earlier
//! state (a heartbeat, a digest) is in addition compared with the newest of its
//! kind by [`MessageOrder`].

use indexmap::IndexMap;
use ramp_protocol::message::Envelope;
use ramp_state::key::Incarnation;
use ramp_state::key::InstanceId;

/// Size of the window: a message this far behind the newest is late.
const WINDOW_MESSAGES: u64 = 64;

/// Position of a message among all messages of its sender: incarnation first,
/// then sequence number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct MessageOrder {
    incarnation: Incarnation,
    sequence: u64,
}

impl MessageOrder {
    /// Order of a message.
    pub fn of(envelope: &Envelope) -> MessageOrder {
        MessageOrder {
            incarnation: envelope.incarnation,
            sequence: envelope.sequence,
        }
    }
}

/// Accepted messages of each sender.
#[derive(Clone, Debug, Default)]
pub struct ReplayFilter {
    senders: IndexMap<InstanceId, ReplayWindow>,
}

/// Accepted messages of one sender: the newest, and which of those before it.
#[derive(Clone, Copy, Debug)]
struct ReplayWindow {
    newest: MessageOrder,
    /// Bit `n` is set if the message `n` before the newest was accepted.
    accepted_bits: u64,
}

impl ReplayFilter {
    /// Whether `envelope` is neither late nor repeated; records it if so.
    pub fn accept(&mut self, envelope: &Envelope) -> bool {
        let order = MessageOrder::of(envelope);
        let first = ReplayWindow {
            newest: order,
            accepted_bits: 1,
        };
        let Some(window) = self.senders.get_mut(&envelope.sender) else {
            self.senders.insert(envelope.sender, first);
            return true;
        };
        if order.incarnation > window.newest.incarnation {
            *window = first;
            return true;
        }
        order.incarnation == window.newest.incarnation && window.accept(order.sequence)
    }
}

impl ReplayWindow {
    fn accept(&mut self, sequence: u64) -> bool {
        if let Some(ahead) = sequence.checked_sub(self.newest.sequence)
            && ahead > 0
        {
            let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
            self.accepted_bits = self.accepted_bits.checked_shl(ahead).unwrap_or(0) | 1;
            self.newest.sequence = sequence;
            return true;
        }
        let behind = self.newest.sequence - sequence;
        if behind >= WINDOW_MESSAGES || self.accepted_bits & (1 << behind) != 0 {
            return false;
        }
        self.accepted_bits |= 1 << behind;
        true
    }
}
