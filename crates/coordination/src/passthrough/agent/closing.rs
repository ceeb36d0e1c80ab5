//! Tells from the packets of a flow when both ends have closed it.
//!
//! A flow has ended when each end has acknowledged the other's FIN. Until then the
//! server may still have to retransmit data, and gets the caller's packets. A reset by
//! the caller ends the flow too.

use ramp_protocol::packet::Segment;

use crate::passthrough::flow_sequence::end_of;

/// How far the two ends of a flow have closed it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Closing {
    caller: Option<Fin>,
    server: Option<Fin>,
    reset_by_caller: bool,
}

/// The FIN of one end.
#[derive(Clone, Copy, Debug)]
struct Fin {
    /// Sequence number after it.
    end: u32,
    /// Whether the other end has acknowledged it.
    acknowledged: bool,
}

impl Closing {
    /// Records a packet of the caller.
    pub(super) fn on_caller_packet(&mut self, seg: &Segment) {
        self.reset_by_caller |= seg.rst;
        self.caller = Fin::sent(self.caller, seg);
        self.server = self.server.map(|fin| fin.after_reply(seg));
    }

    /// Records a packet of the server.
    pub(super) fn on_server_packet(&mut self, seg: &Segment) {
        self.server = Fin::sent(self.server, seg);
        self.caller = self.caller.map(|fin| fin.after_reply(seg));
    }

    /// Whether the flow has ended.
    pub(super) fn is_complete(&self) -> bool {
        let closed = |fin: Option<Fin>| fin.is_some_and(|fin| fin.acknowledged);
        self.reset_by_caller || (closed(self.caller) && closed(self.server))
    }
}

impl Fin {
    /// The FIN of an end that has sent this packet.
    fn sent(held: Option<Fin>, seg: &Segment) -> Option<Fin> {
        let new = seg.fin.then(|| Fin {
            end: end_of(seg),
            acknowledged: false,
        });
        held.or(new)
    }

    /// The FIN after a packet of the other end.
    fn after_reply(self, seg: &Segment) -> Fin {
        let acknowledges = seg.has_ack && seg.ack.wrapping_sub(self.end) as i32 >= 0;
        Fin {
            acknowledged: self.acknowledged || acknowledges,
            ..self
        }
    }
}
