//! Queue of opening packets (SYNs) that wait at an agent while its server is
//! full, as after a power failure, when all callers connect again at once, or
//! while the server is in cold start and its rate of new flows is used up.
//!
//! Openings leave by the priority of their route, with a minimum share of each
//! priority ([`PriorityTurns`]). Within a priority the queue is last in, first
//! out by the time at which the caller first sent the opening. Earlier openings
//! are late already and lose little by waiting longer; served in order, they
//! would make all later ones late too. After an outage the first packet that
//! arrives is often a retransmission, so the time of the first transmission
//! counts, not that of arrival.
//!
//! How long an opening may wait depends on how long there has been a queue, as
//! in controlled delay (CoDel). In a short burst openings wait. If there has been
//! a queue for longer, the server is overloaded: a caller that waits is then
//! served late or never, and one that gives up late tries again and looks like
//! a new one. So openings are refused at once, while a retry can still be served
//! in time.

use std::cmp::Reverse;
use std::net::Ipv4Addr;
use std::time::Duration;

use ramp_protocol::packet::Segment;
use ramp_state::key::FlowKey;
use ramp_state::time::Millis;

use super::priority_turns::PriorityTurns;
use super::priority_turns::Rank;
use super::priority_turns::TURNS_PER_SHARE;
use super::view::View;

/// Longest wait of an opening in a burst.
const BURST_WAIT_LIMIT: Duration = Duration::from_millis(800);

/// Part of its route's time limit that an opening may wait in a burst: the rest is
/// needed for the request, or for another attempt.
const TIME_LIMIT_PER_WAIT: u32 = 3;

/// Age of the queue up to which it counts as a burst, and after which the
/// server counts as overloaded.
const BURST_LIMIT: Duration = Duration::from_millis(2000);

/// Time without a new opening in the queue after which the next one begins a
/// new burst.
const BURST_END_GAP: Duration = Duration::from_millis(200);

/// Longest wait of an opening that arrives while the server is overloaded.
const OVERLOAD_WAIT_LIMIT: Duration = Duration::from_millis(10);

/// Wait after which an opening that arrived in the burst is given up once the
/// server is overloaded. An opening that outranks others, or whose priority's
/// share is due, waits at least as long: slots become free at longer intervals than
/// [`OVERLOAD_WAIT_LIMIT`], so most would be refused before their turn.
const OVERLOAD_GIVE_UP_AFTER: Duration = Duration::from_millis(100);

/// Limit on the length of the queue.
const MAX_QUEUED_OPENINGS: usize = 64;

/// What the route of an opening says about waiting.
#[derive(Clone, Copy, Debug)]
pub(super) struct RouteTerms {
    pub(super) rank: Rank,
    pub(super) time_limit: Option<Duration>,
}

/// How fast a server takes new flows, for an estimate of the wait.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pace {
    /// Mean time of a request at the server; zero if unknown.
    pub(super) request_time: Duration,
    /// Time between two new flows; zero if unknown.
    pub(super) turn: Duration,
}

/// An opening that waits, and when it must be let in or refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct QueuedOpening {
    pub(super) flow: FlowKey,
    /// Balancer that forwarded the opening.
    pub(super) from: Ipv4Addr,
    /// Sequence number of the opening packet.
    pub(super) seq: u32,
    pub(super) rank: Rank,
    /// When the caller first sent the opening.
    first_sent_at: Millis,
    /// When the opening was added to the queue.
    queued_at: Millis,
    /// When the opening has waited for too long.
    deadline: Millis,
    /// Longest wait once the server is overloaded.
    overload_limit: Duration,
}

/// Order of the queue, the opening that leaves last first.
type Order = (Reverse<Rank>, Millis);

/// The openings that wait, and for how long there has been a queue.
#[derive(Clone, Debug, Default)]
pub(super) struct OpeningQueue {
    /// Sorted by rank, the lowest first, then by the time of the first
    /// transmission, the oldest first.
    openings: Vec<QueuedOpening>,
    /// Openings that were evicted and are still to be refused.
    evicted: Vec<QueuedOpening>,
    turns: PriorityTurns,
    /// Start of the current span in which openings have had to be queued
    /// without a gap longer than [`BURST_END_GAP`].
    queueing_since: Millis,
    /// When an opening last had to be queued, also if there was no room.
    last_queued_at: Option<Millis>,
}

impl RouteTerms {
    /// Terms of the route of `seg`; none of its fields is set without a view.
    pub(super) fn of(view: Option<&View>, seg: &Segment) -> RouteTerms {
        let route = view.and_then(|v| v.route(seg.key.service));
        RouteTerms {
            rank: Rank::of(route.and_then(|r| r.priority)),
            time_limit: route.and_then(|r| r.time_limit),
        }
    }
}

impl Pace {
    /// Expected time until `turns` openings have been let in.
    fn time_for(&self, turns: usize) -> Duration {
        self.turn.saturating_mul(turns as u32)
    }
}

impl QueuedOpening {
    fn order(&self) -> Order {
        (Reverse(self.rank), self.first_sent_at)
    }
}

impl OpeningQueue {
    /// Queues the opening `seg`; false if the queue is full or the opening can't be
    /// served in time, so that it must be refused at once.
    pub(super) fn add(
        &mut self,
        seg: &Segment,
        from: Ipv4Addr,
        terms: RouteTerms,
        pace: Pace,
        now: Millis,
    ) -> bool {
        self.note_queueing(terms.rank, now);
        let opening = QueuedOpening {
            flow: seg.key,
            from,
            seq: seg.seq,
            rank: terms.rank,
            first_sent_at: now - seg.opening_age,
            queued_at: now,
            deadline: self.deadline(seg, terms, pace, now),
            overload_limit: self
                .overload_limit(terms.rank, pace, now)
                .max(OVERLOAD_GIVE_UP_AFTER),
        };
        let at = self.position(opening.order());
        let wait = pace.time_for(self.turns_until(at, opening.rank));
        let answer_time = seg.opening_age + wait + pace.request_time;
        if opening.deadline <= now || terms.time_limit.is_some_and(|l| answer_time > l) {
            return false;
        }
        self.openings.insert(at, opening);
        self.evict_excess(&opening)
    }

    /// When the opening `seg` will have waited for too long if it is queued now.
    fn deadline(&self, seg: &Segment, terms: RouteTerms, pace: Pace, now: Millis) -> Millis {
        let limit = if self.is_overloaded(now) {
            self.overload_limit(terms.rank, pace, now)
        } else {
            BURST_WAIT_LIMIT
        };
        let Some(time_limit) = terms.time_limit else {
            return now + limit;
        };
        let burst_limit = BURST_WAIT_LIMIT.min(time_limit / TIME_LIMIT_PER_WAIT);
        let answerable = time_limit.saturating_sub(pace.request_time);
        let rest = burst_limit.min(answerable).saturating_sub(seg.opening_age);
        now + limit.min(rest)
    }

    /// Longest wait of an opening of this rank that arrives while the server is
    /// overloaded. One of the next turns is due to an opening that outranks others, or
    /// whose priority was passed over.
    fn overload_limit(&self, rank: Rank, pace: Pace, now: Millis) -> Duration {
        if self.turns.outranks_any(rank, now) || self.turns.is_due(rank) {
            let share = pace.time_for(TURNS_PER_SHARE).min(BURST_WAIT_LIMIT);
            return share.max(OVERLOAD_GIVE_UP_AFTER);
        }
        OVERLOAD_WAIT_LIMIT
    }

    /// When the opening `seg` could be served at the latest if it were queued now, and
    /// the turn in which it would leave.
    pub(super) fn prospect(
        &self,
        seg: &Segment,
        terms: RouteTerms,
        pace: Pace,
        now: Millis,
    ) -> (Millis, usize) {
        let at = self.position((Reverse(terms.rank), now - seg.opening_age));
        let turns = self.turns_until(at, terms.rank);
        (self.deadline(seg, terms, pace, now), turns)
    }

    fn position(&self, order: Order) -> usize {
        self.openings.partition_point(|o| o.order() <= order)
    }

    /// Turns until the opening before which those from `at` on leave has left; its
    /// priority's minimum share limits their number.
    fn turns_until(&self, at: usize, rank: Rank) -> usize {
        let ahead = &self.openings[at..];
        let same = ahead.iter().take_while(|o| o.rank == rank).count();
        (ahead.len() + 1).min(self.turns.turns_by_share(rank, same + 1))
    }

    /// Evicts the lowest-ranking opening if there are too many; false if that is `new`.
    ///
    /// A priority keeps its share of the places, as it would otherwise not be
    /// present and not get its share of the turns either.
    fn evict_excess(&mut self, new: &QueuedOpening) -> bool {
        if self.openings.len() <= MAX_QUEUED_OPENINGS {
            return true;
        }
        let ranks = self.openings.chunk_by(|a, b| a.rank == b.rank);
        let share = MAX_QUEUED_OPENINGS / ranks.clone().count().max(TURNS_PER_SHARE);
        let lowest = ranks.clone().find(|rank| rank.len() > share);
        let Some(mut victim) = lowest.and_then(|rank| rank.first().copied()) else {
            return true;
        };
        // Among openings without a priority, those that wait already go on waiting.
        if !victim.rank.has_priority() && victim.rank == new.rank {
            victim = *new;
        }
        self.openings.retain(|o| o.flow != victim.flow);
        let is_new = victim.flow == new.flow;
        if !is_new {
            self.evicted.push(victim);
        }
        !is_new
    }

    fn note_queueing(&mut self, rank: Rank, now: Millis) {
        self.turns.note_seen(rank, now);
        let is_new_burst = self
            .last_queued_at
            .is_none_or(|at| now.since(at) > BURST_END_GAP);
        if is_new_burst {
            self.queueing_since = now;
        }
        self.last_queued_at = Some(now);
    }

    /// Whether openings have had to be queued for longer than a burst lasts.
    pub(super) fn is_overloaded(&self, now: Millis) -> bool {
        let queueing = self
            .last_queued_at
            .is_some_and(|at| now.since(at) <= BURST_END_GAP);
        queueing && now.since(self.queueing_since) > BURST_LIMIT
    }

    pub(super) fn contains(&self, flow: &FlowKey) -> bool {
        self.find(flow).is_some()
    }

    /// The opening of a flow that waits, or that was evicted and is still to be refused.
    pub(super) fn find(&self, flow: &FlowKey) -> Option<&QueuedOpening> {
        let mut all = self.openings.iter().chain(&self.evicted);
        all.find(|o| o.flow == *flow)
    }

    /// Removes an opening whose caller has given it up.
    pub(super) fn remove(&mut self, flow: &FlowKey) {
        self.openings.retain(|o| o.flow != *flow);
        self.evicted.retain(|o| o.flow != *flow);
    }

    /// Whether an opening that arrives now may be let in before those that wait.
    pub(super) fn goes_first(&mut self, rank: Rank, now: Millis) -> bool {
        if self.openings.is_empty() {
            return true;
        }
        self.turns.note_seen(rank, now);
        self.next_rank(now, Some(rank)) == Some(rank)
    }

    /// Rank of the opening that is let in next.
    pub(super) fn peek_rank(&mut self, now: Millis) -> Option<Rank> {
        self.next_rank(now, None)
    }

    /// Removes the opening that is let in next: of the rank whose turn it is, the one
    /// first sent last.
    pub(super) fn pop_next(&mut self, now: Millis) -> Option<QueuedOpening> {
        let rank = self.next_rank(now, None)?;
        let at = self.openings.iter().rposition(|o| o.rank == rank)?;
        Some(self.openings.remove(at))
    }

    fn next_rank(&mut self, now: Millis, arriving: Option<Rank>) -> Option<Rank> {
        for rank in self.openings.chunk_by(|a, b| a.rank == b.rank) {
            self.turns.note_seen(rank[0].rank, now);
        }
        let waits = |rank: Rank| self.openings.iter().any(|o| o.rank == rank);
        self.turns
            .next(|rank| arriving == Some(rank) || waits(rank))
    }

    /// Records that an opening of this rank was let in, from the queue or not.
    pub(super) fn note_admitted(&mut self, rank: Rank) {
        self.turns.note_admitted(rank);
    }

    /// Removes an opening that was evicted or has waited for too long, the lowest rank
    /// and the oldest first.
    pub(super) fn pop_overdue(&mut self, now: Millis) -> Option<QueuedOpening> {
        if let Some(evicted) = self.evicted.pop() {
            return Some(evicted);
        }
        let overloaded = self.is_overloaded(now);
        let stale = |o: &QueuedOpening| overloaded && now.since(o.queued_at) >= o.overload_limit;
        let expired = |o: &QueuedOpening| now >= o.deadline || stale(o);
        let at = self.openings.iter().position(expired)?;
        Some(self.openings.remove(at))
    }

    /// Removes an opening with a priority whose turn comes after its deadline, given
    /// the time until each turn.
    pub(super) fn pop_hopeless(
        &mut self,
        now: Millis,
        time_to_turn: impl Fn(usize) -> Duration,
    ) -> Option<QueuedOpening> {
        let hopeless = |(at, o): (usize, &QueuedOpening)| {
            let turns = self.turns_until(at + 1, o.rank);
            o.rank.has_priority() && now + time_to_turn(turns) >= o.deadline
        };
        let at = self.openings.iter().enumerate().position(hopeless)?;
        Some(self.openings.remove(at))
    }

    /// Time until the next opening has waited for too long.
    pub(super) fn time_left(&self, now: Millis) -> Option<Duration> {
        if !self.evicted.is_empty() {
            return Some(Duration::ZERO);
        }
        self.openings.iter().map(|o| o.deadline.since(now)).min()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.openings.is_empty() && self.evicted.is_empty()
    }

    /// Number of openings that wait.
    pub(super) fn len(&self) -> usize {
        self.openings.len()
    }

    /// Removes the lowest-ranking opening, for an agent that gives up on all of them.
    pub(super) fn pop_lowest(&mut self) -> Option<QueuedOpening> {
        (!self.openings.is_empty()).then(|| self.openings.remove(0))
    }
}
