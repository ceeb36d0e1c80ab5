//! Order in which openings of different priorities leave an agent's queue.
//!
//! The highest priority goes first, but each priority gets at least one of
//! [`TURNS_PER_SHARE`] turns, so that none starves. A priority counts as present for
//! [`PRESENCE_GAP`] after it was last seen: under lasting overload openings wait so
//! briefly that a priority has none in the queue for moments, and it must not lose
//! its claim each time.

use std::time::Duration;

use ramp_state::time::Millis;

/// Each priority that is present gets at least one of this many turns.
pub(super) const TURNS_PER_SHARE: usize = 4;

/// Time without an opening after which a priority no longer counts as present.
const PRESENCE_GAP: Duration = Duration::from_millis(200);

/// Precedence of an opening; the lowest value goes first. Openings without a priority
/// come after all others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank(u16);

/// Limit on the turns that a priority is owed, so that one that could not use them
/// does not get many in a row.
const MAX_PASSED_OVER: usize = 2 * TURNS_PER_SHARE;

/// A priority that is present.
#[derive(Clone, Copy, Debug)]
struct Lane {
    rank: Rank,
    /// Turns of others since its last one, less those that belong to them by its share.
    passed_over: usize,
    seen_at: Millis,
}

/// The priorities that are present, the highest first.
#[derive(Clone, Debug, Default)]
pub(super) struct PriorityTurns {
    lanes: Vec<Lane>,
}

impl Rank {
    pub(super) fn of(priority: Option<u8>) -> Rank {
        Rank(priority.map_or(u16::from(u8::MAX) + 1, u16::from))
    }

    /// Whether it is the rank of openings with a priority.
    pub(super) fn has_priority(self) -> bool {
        self < Rank::of(None)
    }
}

impl PriorityTurns {
    /// Records that an opening of this rank has arrived or waits.
    pub(super) fn note_seen(&mut self, rank: Rank, now: Millis) {
        self.lanes
            .retain(|l| l.rank == rank || now.since(l.seen_at) <= PRESENCE_GAP);
        match self.lanes.binary_search_by_key(&rank, |l| l.rank) {
            Ok(at) => self.lanes[at].seen_at = now,
            Err(at) => {
                let lane = Lane {
                    rank,
                    passed_over: 0,
                    seen_at: now,
                };
                self.lanes.insert(at, lane);
            }
        }
    }

    /// Records that an opening of this rank was admitted.
    pub(super) fn note_admitted(&mut self, rank: Rank) {
        for lane in &mut self.lanes {
            lane.passed_over = if lane.rank == rank {
                lane.passed_over.saturating_sub(TURNS_PER_SHARE - 1)
            } else {
                MAX_PASSED_OVER.min(lane.passed_over + 1)
            };
        }
    }

    /// Whether the next turn of this rank is due by its share.
    pub(super) fn is_due(&self, rank: Rank) -> bool {
        self.turns_by_share(rank, 1) == 1
    }

    /// Turns after which the `n`th opening of this rank leaves at the latest, as long as
    /// no more than [`TURNS_PER_SHARE`] priorities are present.
    pub(super) fn turns_by_share(&self, rank: Rank, n: usize) -> usize {
        let lane = self.lanes.iter().find(|l| l.rank == rank);
        let passed_over = lane.map_or(0, |l| l.passed_over);
        n * TURNS_PER_SHARE - passed_over.min(TURNS_PER_SHARE - 1)
    }

    /// Whether a lower rank was seen a moment ago.
    pub(super) fn outranks_any(&self, rank: Rank, now: Millis) -> bool {
        let recent = |l: &Lane| now.since(l.seen_at) <= PRESENCE_GAP;
        self.lanes.iter().any(|l| l.rank > rank && recent(l))
    }

    /// Rank that gets the next turn, of those for which `waits` holds.
    pub(super) fn next(&self, waits: impl Fn(Rank) -> bool) -> Option<Rank> {
        let waiting: Vec<&Lane> = self.lanes.iter().filter(|l| waits(l.rank)).collect();
        let (first, others) = waiting.split_first()?;
        let mut passed_over: Vec<usize> = others.iter().map(|l| l.passed_over).collect();
        passed_over.sort_unstable_by(|a, b| b.cmp(a));
        // If the first rank had this turn, the others would have theirs after it at
        // the earliest, the one that was passed over most before the rest.
        let misses_share = |(at, passed): (usize, &usize)| passed + at + 2 > TURNS_PER_SHARE;
        if !passed_over.iter().enumerate().any(misses_share) {
            return Some(first.rank);
        }
        let most = waiting.iter().map(|l| l.passed_over).max()?;
        let due = waiting.iter().find(|l| l.passed_over == most);
        due.map(|l| l.rank)
    }
}
