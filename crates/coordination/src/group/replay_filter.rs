//! Order of control messages.
//!
//! Late and repeated messages are dropped. One that was overtaken by a few
//! others is still taken, since answers in a burst overtake each other; what
//! replaces an earlier state (a heartbeat, a digest) is compared with the last
//! of its kind besides.

use indexmap::IndexMap;
use ramp_protocol::message::Envelope;
use ramp_state::key::Incarnation;
use ramp_state::key::InstanceId;

/// Messages by which one may be overtaken.
const WINDOW_MESSAGES: u64 = 64;

/// Place of a message among all of its sender.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct MessageOrder {
    incarnation: Incarnation,
    sequence: u64,
}

impl MessageOrder {
    /// MessageOrder of a message.
    pub fn of(envelope: &Envelope) -> MessageOrder {
        MessageOrder {
            incarnation: envelope.incarnation,
            sequence: envelope.sequence,
        }
    }
}

/// Messages seen of each sender.
#[derive(Clone, Debug, Default)]
pub struct ReplayFilter {
    senders: IndexMap<InstanceId, ReplayWindow>,
}

/// Messages seen of one sender: the newest, and which of those before it.
#[derive(Clone, Copy, Debug)]
struct ReplayWindow {
    newest: MessageOrder,
    /// Bit `n` stands for the message `n` before the newest.
    accepted_bits: u64,
}

impl ReplayFilter {
    /// Whether `envelope` is neither late nor repeated.
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
