//! Order of control messages: late, repeated and reordered ones are dropped.

use indexmap::IndexMap;
use ramp_protocol::message::Envelope;
use ramp_state::key::Incarnation;
use ramp_state::key::InstanceId;

/// Newest message seen of each sender.
#[derive(Clone, Debug, Default)]
pub struct Sequences {
    newest: IndexMap<InstanceId, (Incarnation, u64)>,
}

impl Sequences {
    /// Whether `envelope` is newer than all before it from its sender.
    pub fn accept(&mut self, envelope: &Envelope) -> bool {
        let mark = (envelope.incarnation, envelope.sequence);
        match self.newest.get_mut(&envelope.sender) {
            Some(newest) if *newest >= mark => false,
            Some(newest) => {
                *newest = mark;
                true
            }
            None => {
                self.newest.insert(envelope.sender, mark);
                true
            }
        }
    }

    /// Forgets senders that `keep` does not name.
    pub fn retain(&mut self, keep: impl Fn(InstanceId) -> bool) {
        self.newest.retain(|id, _| keep(*id));
    }
}
