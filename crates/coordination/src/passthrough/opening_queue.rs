//! New flows that wait beside a full server: the pattern after a loss of
//! power, when everybody comes back at the same moment.
//!
//! The one whose caller began last goes first. Those that began before are late
//! already and lose little by waiting longer; served in their order, they would
//! make all later ones late too. After an outage the first packet that arrives
//! is often a late copy, so its age counts, not its arrival.
//!
//! How long one may wait follows from how long there has been a queue (controlled
//! delay). A short burst is waited out. Where flows have had to wait for a while,
//! more comes than the server bears: a caller that waits then is served late or
//! never, and one that gives up late tries again and looks like a new one. So it is
//! told at once, while another try can still be served in time.

use std::net::Ipv4Addr;
use std::time::Duration;

use ramp_protocol::packet::Segment;
use ramp_state::key::FlowKey;
use ramp_state::time::Millis;

/// Longest wait of a new flow in a burst.
const WAIT_LIMIT: Duration = Duration::from_millis(800);

/// Time for which flows may have had to wait that is still a burst.
const BURST_LIMIT: Duration = Duration::from_millis(2000);

/// Time without a flow that has to wait, after which the next begins a burst.
const CALM: Duration = Duration::from_millis(200);

/// Longest wait after that.
const PRESSED_LIMIT: Duration = Duration::from_millis(10);

/// Wait from which a flow that came in the burst is given up on after it.
const STALE: Duration = Duration::from_millis(100);

/// New flows that wait at most.
const ROOM_FLOWS: usize = 64;

/// A new flow that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct QueuedOpening {
    pub(super) flow: FlowKey,
    /// Balancer that sent it.
    pub(super) from: Ipv4Addr,
    /// Sequence number of its opening packet.
    pub(super) seq: u32,
    /// When its caller first sent the opening.
    begun_at: Millis,
    /// Since when it waits here.
    since: Millis,
    /// Until when it may.
    until: Millis,
}

/// New flows that wait.
#[derive(Clone, Debug, Default)]
pub(super) struct OpeningQueue {
    /// The one that began first at the front.
    flows: Vec<QueuedOpening>,
    /// When flows began to have to wait, without a calm since.
    pressed_since: Millis,
    /// When one had to wait last.
    pressed_at: Option<Millis>,
}

impl OpeningQueue {
    /// Lets the flow of an opening packet wait; false when there is no room.
    pub(super) fn add(&mut self, seg: &Segment, from: Ipv4Addr, now: Millis) -> bool {
        self.note_pressure(now);
        if self.flows.len() >= ROOM_FLOWS {
            return false;
        }
        let begun_at = now - seg.opening_age;
        let at = self.flows.partition_point(|w| w.begun_at <= begun_at);
        let limit = if self.is_overload(now) {
            PRESSED_LIMIT
        } else {
            WAIT_LIMIT
        };
        let waiter = QueuedOpening {
            flow: seg.key,
            from,
            seq: seg.seq,
            begun_at,
            since: now,
            until: now + limit,
        };
        self.flows.insert(at, waiter);
        true
    }

    fn note_pressure(&mut self, now: Millis) {
        let calm = self.pressed_at.is_none_or(|at| now.since(at) > CALM);
        if calm {
            self.pressed_since = now;
        }
        self.pressed_at = Some(now);
    }

    /// Whether more has come than the server bears for longer than a burst.
    fn is_overload(&self, now: Millis) -> bool {
        let pressed = self.pressed_at.is_some_and(|at| now.since(at) <= CALM);
        pressed && now.since(self.pressed_since) > BURST_LIMIT
    }

    pub(super) fn contains(&self, flow: &FlowKey) -> bool {
        self.flows.iter().any(|w| w.flow == *flow)
    }

    /// The flow that is let in next.
    pub(super) fn pop_newest(&mut self) -> Option<QueuedOpening> {
        self.flows.pop()
    }

    /// The next flow that has waited for too long.
    pub(super) fn pop_overdue(&mut self, now: Millis) -> Option<QueuedOpening> {
        let overload = self.is_overload(now);
        let stale = |w: &QueuedOpening| overload && now.since(w.since) >= STALE;
        let late = |w: &QueuedOpening| now >= w.until || stale(w);
        let at = self.flows.iter().position(late)?;
        Some(self.flows.remove(at))
    }

    /// Time until the next flow has waited for too long.
    pub(super) fn time_left(&self, now: Millis) -> Option<Duration> {
        self.flows.iter().map(|w| w.until.since(now)).min()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }

    /// Gives up all that wait, the oldest first.
    pub(super) fn pop_oldest(&mut self) -> Option<QueuedOpening> {
        (!self.flows.is_empty()).then(|| self.flows.remove(0))
    }
}
