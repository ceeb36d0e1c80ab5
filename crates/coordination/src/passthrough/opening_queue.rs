//! Queue of opening packets (SYNs) that wait at an agent while its server is
//! full, as after a power failure, when all callers connect again at once.
//!
//! The queue is last in, first out by the time at which the caller first sent
//! the opening. Earlier openings are late already and lose little by
//! waiting longer; served in order, they would make all later ones late too.
//! After an outage the first packet that arrives is often a retransmission, so
//! the time of the first transmission counts, not that of arrival.
//!
//! How long an opening may wait depends on how long there has been a queue, as
//! in controlled delay (CoDel). In a short burst openings wait. If there has been
//! a queue for longer, the server is overloaded: a caller that waits is then
//! served late or never, and one that gives up late tries again and looks like
//! a new one. So openings are refused at once, while a retry can still be served
//! in time.

use std::net::Ipv4Addr;
use std::time::Duration;

use ramp_protocol::packet::Segment;
use ramp_state::key::FlowKey;
use ramp_state::time::Millis;

/// Longest wait of an opening in a burst.
const BURST_WAIT_LIMIT: Duration = Duration::from_millis(800);

/// Age of the queue up to which it counts as a burst, and after which the
/// server counts as overloaded.
const BURST_LIMIT: Duration = Duration::from_millis(2000);

/// Time without a new opening in the queue after which the next one begins a
/// new burst.
const BURST_END_GAP: Duration = Duration::from_millis(200);

/// Longest wait of an opening that arrives while the server is overloaded.
const OVERLOAD_WAIT_LIMIT: Duration = Duration::from_millis(10);

/// Wait after which an opening that arrived in the burst is given up once the
/// server is overloaded.
const OVERLOAD_GIVE_UP_AFTER: Duration = Duration::from_millis(100);

/// Limit on the length of the queue.
const MAX_QUEUED_OPENINGS: usize = 64;

/// An opening that waits, and when it must be let in or refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct QueuedOpening {
    pub(super) flow: FlowKey,
    /// Balancer that forwarded the opening.
    pub(super) from: Ipv4Addr,
    /// Sequence number of the opening packet.
    pub(super) seq: u32,
    /// When the caller first sent the opening.
    first_sent_at: Millis,
    /// When the opening was added to the queue.
    queued_at: Millis,
    /// When the opening has waited for too long.
    deadline: Millis,
}

/// The openings that wait, and for how long there has been a queue.
#[derive(Clone, Debug, Default)]
pub(super) struct OpeningQueue {
    /// Sorted by the time of the first transmission, the oldest first.
    openings: Vec<QueuedOpening>,
    /// Start of the current span in which openings have had to be queued
    /// without a gap longer than [`BURST_END_GAP`].
    queueing_since: Millis,
    /// When an opening last had to be queued, also if there was no room.
    last_queued_at: Option<Millis>,
}

impl OpeningQueue {
    /// Queues the opening `seg`; false if the queue is full.
    pub(super) fn add(&mut self, seg: &Segment, from: Ipv4Addr, now: Millis) -> bool {
        self.note_queueing(now);
        if self.openings.len() >= MAX_QUEUED_OPENINGS {
            return false;
        }
        let first_sent_at = now - seg.opening_age;
        let at = self
            .openings
            .partition_point(|o| o.first_sent_at <= first_sent_at);
        let limit = if self.is_overloaded(now) {
            OVERLOAD_WAIT_LIMIT
        } else {
            BURST_WAIT_LIMIT
        };
        let opening = QueuedOpening {
            flow: seg.key,
            from,
            seq: seg.seq,
            first_sent_at,
            queued_at: now,
            deadline: now + limit,
        };
        self.openings.insert(at, opening);
        true
    }

    fn note_queueing(&mut self, now: Millis) {
        let is_new_burst = self
            .last_queued_at
            .is_none_or(|at| now.since(at) > BURST_END_GAP);
        if is_new_burst {
            self.queueing_since = now;
        }
        self.last_queued_at = Some(now);
    }

    /// Whether openings have had to be queued for longer than a burst lasts.
    fn is_overloaded(&self, now: Millis) -> bool {
        let queueing = self
            .last_queued_at
            .is_some_and(|at| now.since(at) <= BURST_END_GAP);
        queueing && now.since(self.queueing_since) > BURST_LIMIT
    }

    pub(super) fn contains(&self, flow: &FlowKey) -> bool {
        self.openings.iter().any(|o| o.flow == *flow)
    }

    /// Removes the opening that is let in next: the one first sent last.
    pub(super) fn pop_newest(&mut self) -> Option<QueuedOpening> {
        self.openings.pop()
    }

    /// Removes an opening that has waited for too long, the oldest first.
    pub(super) fn pop_overdue(&mut self, now: Millis) -> Option<QueuedOpening> {
        let overloaded = self.is_overloaded(now);
        let stale =
            |o: &QueuedOpening| overloaded && now.since(o.queued_at) >= OVERLOAD_GIVE_UP_AFTER;
        let expired = |o: &QueuedOpening| now >= o.deadline || stale(o);
        let at = self.openings.iter().position(expired)?;
        Some(self.openings.remove(at))
    }

    /// Time until the next opening has waited for too long.
    pub(super) fn time_left(&self, now: Millis) -> Option<Duration> {
        self.openings.iter().map(|o| o.deadline.since(now)).min()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.openings.is_empty()
    }

    /// Removes the oldest opening, for an agent that gives up on all of them.
    pub(super) fn pop_oldest(&mut self) -> Option<QueuedOpening> {
        (!self.openings.is_empty()).then(|| self.openings.remove(0))
    }
}
