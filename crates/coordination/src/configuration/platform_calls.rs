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
pub const STARTUP_JITTER: Duration = Duration::from_secs(4);

/// Longest span over which processes spread calls after a common cause.
pub const MAX_CALL_JITTER: Duration = Duration::from_secs(3);

/// Shortest such span.
pub const MIN_CALL_JITTER: Duration = Duration::from_millis(50);

/// Longest span over which processes that woke late spread their calls; it
/// ends before the hold does.
pub const MAX_CONFIRM_JITTER: Duration = Duration::from_millis(1500);

/// Part of that span for each server of the fleet, in microseconds.
const JITTER_PER_SERVER_US: u64 = 700;

/// Time that a watch waits for something newer.
pub const LONG_POLL_WAIT: Duration = Duration::from_secs(20);

/// Shortest time from one call of a reader to its next.
pub const POLLER_MIN_INTERVAL: Duration = Duration::from_secs(1);

/// Mean time between two looks of a process that is not a reader.
pub const FOLLOWER_POLL_PERIOD: Duration = Duration::from_secs(30);

/// Shortest time from a failed call to the next, for all but readers; the
/// longest is three times that.
pub const MIN_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Time beyond its wait after which a call without a result is given up.
const RESULT_TIMEOUT: Duration = Duration::from_secs(10);

/// Number of a call, by which its result is known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallId(pub u64);

/// One call of the platform. A new call takes the place of one in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlatformCall {
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
pub enum PollMode {
    /// It has no version in force yet.
    Starting,
    /// It is chosen to watch without a break.
    Poller,
    /// It watches without a break because it hears no peer. There may be many
    /// such at once.
    Isolated,
    /// It hears from peers and looks now and then.
    Follower,
}

/// Span over which a fleet with so many servers spreads what all processes
/// do for a common cause.
pub fn call_jitter(servers: usize) -> Duration {
    let span = Duration::from_micros(JITTER_PER_SERVER_US * servers as u64);
    span.clamp(MIN_CALL_JITTER, MAX_CALL_JITTER)
}

/// Plan of the calls of one process.
#[derive(Debug)]
pub struct PlatformCallScheduler {
    random: Random,
    mode: PollMode,
    next_at: Millis,
    next_is_long_poll: bool,
    called_at: Millis,
    last_id: CallId,
    in_progress: bool,
    is_long_poll: bool,
    rank: usize,
    failures: usize,
    jitter: Duration,
}

impl PlatformCallScheduler {
    /// Plan of a process that starts at `now`.
    pub fn new(now: Millis, seed: u64) -> PlatformCallScheduler {
        let mut random = Random::new(seed);
        PlatformCallScheduler {
            mode: PollMode::Starting,
            next_at: random.within(now, STARTUP_JITTER),
            next_is_long_poll: false,
            called_at: now,
            last_id: CallId(0),
            in_progress: false,
            is_long_poll: false,
            rank: 0,
            failures: 0,
            jitter: MAX_CALL_JITTER,
            random,
        }
    }

    /// Moment of the next call.
    pub fn next_call_at(&self) -> Millis {
        self.next_at
    }

    /// Number of the last call.
    pub fn last_id(&self) -> CallId {
        self.last_id
    }

    /// How the process follows the platform.
    pub fn mode(&self) -> PollMode {
        self.mode
    }

    /// Learns the size of the fleet.
    pub fn set_servers(&mut self, servers: usize) {
        self.jitter = call_jitter(servers);
    }

    /// Changes how the process follows the platform. Processes of different
    /// `rank` prefer different replicas, lest one stale replica blind a group.
    pub fn set_mode(&mut self, now: Millis, mode: PollMode, rank: usize) {
        self.rank = rank;
        if mode == self.mode {
            return;
        }
        self.mode = mode;
        match mode {
            PollMode::Starting => {}
            PollMode::Poller | PollMode::Isolated => {
                self.next_at = self.random.within(now, self.long_poll_jitter());
                self.next_is_long_poll = true;
            }
            PollMode::Follower => self.schedule_follower_poll(now),
        }
    }

    /// Plans a call soon, because peers can't give what they have.
    pub fn schedule_read_soon(&mut self, now: Millis) {
        let read_in_progress = self.in_progress && !self.is_long_poll;
        let read_due_soon =
            !self.in_progress && !self.next_is_long_poll && self.next_at <= now + self.jitter;
        // A read that is in progress or due soon stays where the random put it.
        if self.mode == PollMode::Starting || read_in_progress || read_due_soon {
            return;
        }
        self.next_at = self.random.within(now, self.jitter);
        self.next_is_long_poll = false;
    }

    /// Plans a call at once.
    pub fn schedule_now(&mut self, now: Millis) {
        self.next_at = now;
        self.next_is_long_poll = false;
    }

    /// Spreads a call that became due while the process did not run: others
    /// may have woken with it.
    pub fn jitter_overdue_call(&mut self, now: Millis) {
        if self.next_at <= now {
            self.next_at = self.random.within(now, self.jitter);
        }
    }

    /// Plans a call to confirm the version after waking late. Many processes
    /// may wake at once; those confirmed first confirm the others.
    pub fn schedule_confirmation(&mut self, now: Millis) {
        self.next_at = self.random.within(now, self.jitter.min(MAX_CONFIRM_JITTER));
        self.next_is_long_poll = false;
    }

    /// The call that is due, if one is.
    pub fn due_call(&mut self, now: Millis, after: Version) -> Option<PlatformCall> {
        if now < self.next_at {
            return None;
        }
        if self.in_progress {
            // The result of the last call is lost, or no longer wanted.
            self.failures += 1;
        }
        let wait = match self.next_is_long_poll {
            true => LONG_POLL_WAIT,
            false => Duration::ZERO,
        };
        self.last_id = CallId(self.last_id.0 + 1);
        self.in_progress = true;
        self.is_long_poll = self.next_is_long_poll;
        self.called_at = now;
        self.next_at = now + wait + RESULT_TIMEOUT;
        Some(PlatformCall {
            id: self.last_id,
            replica: self.rank + self.failures,
            after,
            wait,
        })
    }

    /// Plans the next call after a result. False when the result is not that
    /// of the last call.
    pub fn record_result(&mut self, now: Millis, id: CallId, useful: bool) -> bool {
        if id != self.last_id || !self.in_progress {
            return false;
        }
        self.in_progress = false;
        if !useful {
            self.failures += 1;
        }
        match (self.mode, useful) {
            (PollMode::Follower, true) => self.schedule_follower_poll(now),
            (PollMode::Poller | PollMode::Isolated, true) => self.schedule_long_poll(now),
            (PollMode::Poller, false) => {
                self.next_at = self
                    .random
                    .within(now + POLLER_MIN_INTERVAL, POLLER_MIN_INTERVAL);
                self.next_is_long_poll = false;
            }
            _ => {
                self.next_at = self
                    .random
                    .within(now + MIN_RETRY_DELAY, 2 * MIN_RETRY_DELAY);
                self.next_is_long_poll = useful;
            }
        }
        true
    }

    fn schedule_long_poll(&mut self, now: Millis) {
        let earliest = now.max(self.called_at + POLLER_MIN_INTERVAL);
        // A change ends the watches of all readers in one moment.
        self.next_at = match now.since(self.called_at) < LONG_POLL_WAIT {
            true => self.random.within(earliest, self.long_poll_jitter()),
            false => earliest,
        };
        self.next_is_long_poll = true;
    }

    fn long_poll_jitter(&self) -> Duration {
        match self.mode {
            PollMode::Isolated => self.jitter,
            _ => POLLER_MIN_INTERVAL,
        }
    }

    fn schedule_follower_poll(&mut self, now: Millis) {
        self.next_at = self
            .random
            .within(now + FOLLOWER_POLL_PERIOD / 2, FOLLOWER_POLL_PERIOD);
        self.next_is_long_poll = false;
    }
}
