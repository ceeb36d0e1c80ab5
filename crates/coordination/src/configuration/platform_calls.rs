//! Schedules the calls of one process to the platform.
//!
//! The platform can handle about 2,000 calls per second from all processes
//! together. Therefore only pollers long-poll it all the time. The other
//! processes poll it at long intervals, and when peers can't send a version
//! that they are known to have. Calls that many processes may make for the same
//! cause are each delayed by a random time that is shorter than the jitter.

use std::time::Duration;

use ramp_state::key::Version;
use ramp_state::time::Millis;

use crate::random::Random;

/// Jitter of the first call of a process: many may start at the same moment.
pub const STARTUP_JITTER: Duration = Duration::from_secs(4);

/// Longest jitter of calls that many processes make for the same cause.
pub const MAX_CALL_JITTER: Duration = Duration::from_secs(3);

/// Shortest jitter of calls that many processes make for the same cause.
pub const MIN_CALL_JITTER: Duration = Duration::from_millis(50);

/// Longest jitter of calls to confirm the version after a pause. It is shorter
/// than the hold of traffic, so that the call is made before the hold ends.
pub const MAX_CONFIRM_JITTER: Duration = Duration::from_millis(1500);

/// Jitter for each server of the fleet, in microseconds, so that larger fleets
/// spread their calls over a longer time.
const JITTER_PER_SERVER_US: u64 = 700;

/// Time for which the platform may delay its answer to a long poll while there
/// is nothing newer.
pub const LONG_POLL_WAIT: Duration = Duration::from_secs(20);

/// Shortest time from one call of a poller to its next.
pub const POLLER_MIN_INTERVAL: Duration = Duration::from_secs(1);

/// Mean time between two calls of a process that is not a poller.
pub const FOLLOWER_POLL_PERIOD: Duration = Duration::from_secs(30);

/// Shortest time from a failed call to its retry, for all but pollers; the
/// longest is three times as long.
pub const MIN_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Time, on top of its wait, after which a call without a result has failed.
const RESULT_TIMEOUT: Duration = Duration::from_secs(10);

/// Number of a call, counted from 1, to match its result to it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallId(pub u64);

/// A call to the platform. It replaces a call that is still in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlatformCall {
    /// Number to pass back with the result.
    pub id: CallId,
    /// Index of the replica to call, to be taken modulo the number of replicas.
    pub replica: usize,
    /// Newest version that this process has received; a newer one is asked for.
    pub after: Version,
    /// Time for which the platform may delay its answer until there is a newer
    /// version; zero for a plain read, more for a long poll.
    pub wait: Duration,
}

/// When and how a process calls the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollMode {
    /// Has no version in force yet; reads until it has one.
    Starting,
    /// Is one of the pollers of its group: long-polls all the time.
    Poller,
    /// Receives no messages from peers: long-polls all the time. Many processes
    /// may be in this state at once, so their calls have the longer jitter.
    Isolated,
    /// Learns of new versions from peers: polls at long intervals only.
    Follower,
}

/// Jitter for calls that all processes of a fleet of `servers` servers make for
/// the same cause.
pub fn call_jitter(servers: usize) -> Duration {
    let jitter = Duration::from_micros(JITTER_PER_SERVER_US * servers as u64);
    jitter.clamp(MIN_CALL_JITTER, MAX_CALL_JITTER)
}

/// Decides when one process calls which replica of the platform.
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
    /// Schedule of a process that starts at `now`. `seed` sets the jitter.
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

    /// Moment of the next call, or of the timeout of the one in progress.
    pub fn next_call_at(&self) -> Millis {
        self.next_at
    }

    /// Number of the last call; zero when there was none.
    pub fn last_id(&self) -> CallId {
        self.last_id
    }

    /// Current poll mode.
    pub fn mode(&self) -> PollMode {
        self.mode
    }

    /// Sets the number of servers of the fleet, on which the jitter depends.
    pub fn set_servers(&mut self, servers: usize) {
        self.jitter = call_jitter(servers);
    }

    /// Changes the poll mode. Processes of different `rank` prefer different
    /// replicas, so that one stale replica does not keep a whole group behind.
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

    /// Schedules a read soon, because peers can't send a version that they have.
    pub fn schedule_read_soon(&mut self, now: Millis) {
        let read_in_progress = self.in_progress && !self.is_long_poll;
        let read_due_soon =
            !self.in_progress && !self.next_is_long_poll && self.next_at <= now + self.jitter;
        // A read in progress or due soon is not moved: moving it would undo its
        // jitter.
        if self.mode == PollMode::Starting || read_in_progress || read_due_soon {
            return;
        }
        self.next_at = self.random.within(now, self.jitter);
        self.next_is_long_poll = false;
    }

    /// Schedules a read at once.
    pub fn schedule_now(&mut self, now: Millis) {
        self.next_at = now;
        self.next_is_long_poll = false;
    }

    /// Delays a call that became due during a pause of this process by a random
    /// time: other processes may have resumed at the same moment.
    pub fn jitter_overdue_call(&mut self, now: Millis) {
        if self.next_at <= now {
            self.next_at = self.random.within(now, self.jitter);
        }
    }

    /// Schedules a read to confirm the version after a pause. The jitter is for
    /// many processes that resume at once; those confirmed first confirm the
    /// others.
    pub fn schedule_confirmation(&mut self, now: Millis) {
        self.next_at = self.random.within(now, self.jitter.min(MAX_CONFIRM_JITTER));
        self.next_is_long_poll = false;
    }

    /// Returns the call that is due, if any, and schedules its timeout.
    pub fn due_call(&mut self, now: Millis, after: Version) -> Option<PlatformCall> {
        if now < self.next_at {
            return None;
        }
        if self.in_progress {
            // The last call has timed out, or is replaced by a new one.
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

    /// Schedules the next call after a result. `useful` is false when the call
    /// failed or its replica is stale; the next one then goes to another
    /// replica. Returns false when the result is not that of the last call.
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
        // A new version ends the long polls of all pollers at the same moment.
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
