//! When a process calls the platform.
//!
//! The platform bears some two thousand calls a second from all processes
//! together. So only readers watch it without a break; the others look now
//! and then, and when peers can't give what they are known to have. Whatever
//! many processes may do at one moment is spread in time.

use std::time::Duration;

use ramp_state::key::Version;
use ramp_state::time::Millis;

use crate::random::Random;

/// Span over which processes that start together spread their first calls.
pub const START_SPREAD: Duration = Duration::from_secs(4);

/// Longest span over which processes spread calls after a common cause.
pub const LONGEST_SPREAD: Duration = Duration::from_secs(3);

/// Shortest such span.
pub const SHORTEST_SPREAD: Duration = Duration::from_millis(50);

/// Longest span over which processes that woke late spread their calls; it
/// ends before the hold does.
pub const CONFIRM_SPREAD: Duration = Duration::from_millis(1500);

/// Part of that span for each server of the fleet, in microseconds.
const SPREAD_PER_SERVER_US: u64 = 700;

/// Time that a watch waits for something newer.
pub const WATCH_WAIT: Duration = Duration::from_secs(20);

/// Shortest time from one call of a reader to its next.
pub const READER_GAP: Duration = Duration::from_secs(1);

/// Mean time between two looks of a process that is not a reader.
pub const CHECK_PERIOD: Duration = Duration::from_secs(30);

/// Shortest time from a failed call to the next, for all but readers; the
/// longest is three times that.
pub const RETRY_DELAY: Duration = Duration::from_secs(2);

/// Time beyond its wait after which a call without a result is given up.
const RESULT_LIMIT: Duration = Duration::from_secs(10);

/// Number of a call, by which its result is known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallId(pub u64);

/// One call of the platform. A new call takes the place of one in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Call {
    /// Its number.
    pub id: CallId,
    /// Replica to call: an index, modulo the number of replicas.
    pub replica: usize,
    /// Version that is known.
    pub after: Version,
    /// Time that the platform may wait for a newer one.
    pub wait: Duration,
}

/// How a process follows the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Attention {
    /// It has no version in force yet.
    Starting,
    /// It is chosen to watch without a break.
    Reader,
    /// It watches without a break because it hears no peer. There may be many
    /// such at once.
    Alone,
    /// It hears from peers and looks now and then.
    Checker,
}

/// Span over which a fleet with so many servers spreads what all processes
/// do for a common cause.
pub fn spread(servers: usize) -> Duration {
    let span = Duration::from_micros(SPREAD_PER_SERVER_US * servers as u64);
    span.clamp(SHORTEST_SPREAD, LONGEST_SPREAD)
}

/// Plan of the calls of one process.
#[derive(Debug)]
pub struct Watcher {
    random: Random,
    attention: Attention,
    next: Millis,
    next_waits: bool,
    began: Millis,
    last: CallId,
    in_progress: bool,
    waits: bool,
    rank: usize,
    failures: usize,
    spread: Duration,
}

impl Watcher {
    /// Plan of a process that starts at `now`.
    pub fn new(now: Millis, seed: u64) -> Watcher {
        let mut random = Random::new(seed);
        Watcher {
            attention: Attention::Starting,
            next: random.within(now, START_SPREAD),
            next_waits: false,
            began: now,
            last: CallId(0),
            in_progress: false,
            waits: false,
            rank: 0,
            failures: 0,
            spread: LONGEST_SPREAD,
            random,
        }
    }

    /// Moment of the next call.
    pub fn timer(&self) -> Millis {
        self.next
    }

    /// Number of the last call.
    pub fn last(&self) -> CallId {
        self.last
    }

    /// How the process follows the platform.
    pub fn attention(&self) -> Attention {
        self.attention
    }

    /// Learns the size of the fleet.
    pub fn set_servers(&mut self, servers: usize) {
        self.spread = spread(servers);
    }

    /// Changes how the process follows the platform. Processes of different
    /// `rank` prefer different replicas, lest one stale replica blind a group.
    pub fn set_attention(&mut self, now: Millis, attention: Attention, rank: usize) {
        self.rank = rank;
        if attention == self.attention {
            return;
        }
        self.attention = attention;
        match attention {
            Attention::Starting => {}
            Attention::Reader | Attention::Alone => {
                self.next = self.random.within(now, self.watch_spread());
                self.next_waits = true;
            }
            Attention::Checker => self.plan_check(now),
        }
    }

    /// Plans a call soon, because peers can't give what they have.
    pub fn hurry(&mut self, now: Millis) {
        let reads = self.in_progress && !self.waits;
        let due_soon = !self.in_progress && !self.next_waits && self.next <= now + self.spread;
        // A read that is in progress or due soon stays where the random put it.
        if self.attention == Attention::Starting || reads || due_soon {
            return;
        }
        self.next = self.random.within(now, self.spread);
        self.next_waits = false;
    }

    /// Plans a call at once.
    pub fn call_now(&mut self, now: Millis) {
        self.next = now;
        self.next_waits = false;
    }

    /// Spreads a call that became due while the process did not run: others
    /// may have woken with it.
    pub fn woke_late(&mut self, now: Millis) {
        if self.next <= now {
            self.next = self.random.within(now, self.spread);
        }
    }

    /// Plans a call to confirm the version after waking late. Many processes
    /// may wake at once; those confirmed first confirm the others.
    pub fn call_to_confirm(&mut self, now: Millis) {
        self.next = self.random.within(now, self.spread.min(CONFIRM_SPREAD));
        self.next_waits = false;
    }

    /// The call that is due, if one is.
    pub fn due(&mut self, now: Millis, after: Version) -> Option<Call> {
        if now < self.next {
            return None;
        }
        if self.in_progress {
            // The result of the last call is lost, or no longer wanted.
            self.failures += 1;
        }
        let wait = match self.next_waits {
            true => WATCH_WAIT,
            false => Duration::ZERO,
        };
        self.last = CallId(self.last.0 + 1);
        self.in_progress = true;
        self.waits = self.next_waits;
        self.began = now;
        self.next = now + wait + RESULT_LIMIT;
        Some(Call {
            id: self.last,
            replica: self.rank + self.failures,
            after,
            wait,
        })
    }

    /// Plans the next call after a result. False when the result is not that
    /// of the last call.
    pub fn result(&mut self, now: Millis, id: CallId, useful: bool) -> bool {
        if id != self.last || !self.in_progress {
            return false;
        }
        self.in_progress = false;
        if !useful {
            self.failures += 1;
        }
        match (self.attention, useful) {
            (Attention::Checker, true) => self.plan_check(now),
            (Attention::Reader | Attention::Alone, true) => self.plan_watch(now),
            (Attention::Reader, false) => {
                self.next = self.random.within(now + READER_GAP, READER_GAP);
                self.next_waits = false;
            }
            _ => {
                self.next = self.random.within(now + RETRY_DELAY, 2 * RETRY_DELAY);
                self.next_waits = useful;
            }
        }
        true
    }

    fn plan_watch(&mut self, now: Millis) {
        let earliest = now.max(self.began + READER_GAP);
        // A change ends the watches of all readers in one moment.
        self.next = match now.since(self.began) < WATCH_WAIT {
            true => self.random.within(earliest, self.watch_spread()),
            false => earliest,
        };
        self.next_waits = true;
    }

    fn watch_spread(&self) -> Duration {
        match self.attention {
            Attention::Alone => self.spread,
            _ => READER_GAP,
        }
    }

    fn plan_check(&mut self, now: Millis) {
        self.next = self.random.within(now + CHECK_PERIOD / 2, CHECK_PERIOD);
        self.next_waits = false;
    }
}
