//! Tells the packets of a flow from those of an earlier or later flow with the same
//! addresses and ports.
//!
//! A caller may use a port again as soon as its last flow has ended, or after it has
//! given that flow up, and tables by flow key outlive the flow. Each flow starts at a
//! sequence number of its own, so a packet belongs to a flow only if its sequence
//! number lies in the range that the flow has reached.

use ramp_protocol::packet::Segment;

/// Bytes that the sender may have sent beyond those that were seen here, as its
/// packets may come another way.
const MAX_UNSEEN_BYTES: u32 = 1 << 20;

/// Sequence numbers that one end of a flow has used, as far as they were seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct SequenceRange {
    first: u32,
    /// Sequence number after the newest byte.
    next: u32,
}

/// Sequence numbers of the caller's packets of one flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct FlowSequence {
    sent: SequenceRange,
    /// Whether the range begins with the flow's opening packet.
    from_opening: bool,
}

impl SequenceRange {
    pub(super) fn starting_at(first: u32) -> SequenceRange {
        SequenceRange { first, next: first }
    }

    /// Sequence number with which the range begins.
    pub(super) fn first(&self) -> u32 {
        self.first
    }

    /// Extends the range up to `next`, unless that is older.
    pub(super) fn extend_to(&mut self, next: u32) {
        if next.wrapping_sub(self.next) as i32 > 0 {
            self.next = next;
        }
    }

    /// Whether the sender may have used this number, given that it began with `first`.
    pub(super) fn reaches(&self, number: u32) -> bool {
        number.wrapping_sub(self.first) <= self.seen_bytes().saturating_add(MAX_UNSEEN_BYTES)
    }

    /// Whether the sender may have used this number, if it may have begun earlier.
    fn is_near(&self, number: u32) -> bool {
        let from = self.first.wrapping_sub(MAX_UNSEEN_BYTES);
        let bytes = self.seen_bytes().saturating_add(2 * MAX_UNSEEN_BYTES);
        number.wrapping_sub(from) <= bytes
    }

    fn seen_bytes(&self) -> u32 {
        self.next.wrapping_sub(self.first)
    }
}

impl FlowSequence {
    /// Sequence of the flow that a caller's packet belongs to.
    pub(super) fn of(seg: &Segment) -> FlowSequence {
        let mut sequence = FlowSequence {
            sent: SequenceRange::starting_at(seg.seq),
            from_opening: seg.opens,
        };
        sequence.record(seg);
        sequence
    }

    /// Sequence of a flow whose opening packet has this sequence number.
    pub(super) fn opened_at(seq: u32) -> FlowSequence {
        FlowSequence {
            sent: SequenceRange::starting_at(seq),
            from_opening: true,
        }
    }

    /// Sequence of a flow of which only the server's acknowledgement was seen.
    pub(super) fn acknowledged_to(ack: u32) -> FlowSequence {
        FlowSequence {
            sent: SequenceRange::starting_at(ack),
            from_opening: false,
        }
    }

    /// Records a caller's packet that belongs to the flow.
    pub(super) fn record(&mut self, seg: &Segment) {
        if !seg.rst {
            self.sent.extend_to(end_of(seg));
        }
    }

    /// Whether a caller's packet may belong to the flow. One that resets the flow may
    /// have any sequence number.
    pub(super) fn includes(&self, seg: &Segment) -> bool {
        if seg.rst {
            return true;
        }
        if seg.opens {
            return self.includes_opening(seg.seq);
        }
        self.reaches(seg.seq)
    }

    /// Whether an opening packet with this sequence number opens this flow: if the
    /// opening was not seen here, it came shortly before the first byte.
    pub(super) fn includes_opening(&self, seq: u32) -> bool {
        if self.from_opening {
            return seq == self.sent.first;
        }
        self.sent.first.wrapping_sub(seq) <= MAX_UNSEEN_BYTES
    }

    /// Whether a server's packet may belong to the flow, by what it acknowledges.
    pub(super) fn includes_reply(&self, seg: &Segment) -> bool {
        seg.rst || !seg.has_ack || self.acknowledged_by(seg)
    }

    /// Whether a server's packet acknowledges packets of the flow.
    pub(super) fn acknowledged_by(&self, seg: &Segment) -> bool {
        self.reaches(seg.ack)
    }

    /// Whether the opening packet was seen here.
    pub(super) fn is_from_opening(&self) -> bool {
        self.from_opening
    }

    /// First sequence number that was seen here.
    pub(super) fn first(&self) -> u32 {
        self.sent.first
    }

    fn reaches(&self, number: u32) -> bool {
        if self.from_opening {
            self.sent.reaches(number)
        } else {
            self.sent.is_near(number)
        }
    }
}

/// Sequence number after a packet, in which SYN and FIN count as one byte each.
pub(super) fn end_of(seg: &Segment) -> u32 {
    seg.seq
        .wrapping_add(seg.len)
        .wrapping_add(u32::from(seg.syn))
        .wrapping_add(u32::from(seg.fin))
}
