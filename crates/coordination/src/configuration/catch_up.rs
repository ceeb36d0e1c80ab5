//! Getting a version that peers are known to have: first as a delta from one
//! of them, then as the whole document, and from the platform when they fail.

use std::net::SocketAddrV4;
use std::time::Duration;

use ramp_state::key::Version;
use ramp_state::time::Millis;

use crate::random::Random;

/// Span over which processes that hear of a version spread their questions.
pub const ASK_SPREAD: Duration = Duration::from_millis(200);

/// Time that a peer has for its answer.
pub const ASK_LIMIT: Duration = Duration::from_millis(300);

/// Peers asked before the platform is.
pub const ASKED_PEERS: u32 = 2;

/// Time that a peer has to send its whole document.
pub const FETCH_LIMIT: Duration = Duration::from_secs(2);

/// Time that the platform has before peers are asked again.
pub const PLATFORM_TURN: Duration = Duration::from_secs(4);

/// Time that the platform has once a peer is known that could be asked.
pub const PLATFORM_HEAD_START: Duration = Duration::from_millis(500);

/// Holders of the newest version that are remembered.
const HOLDERS: usize = 8;

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Ask this peer for the change since the version in force.
    Ask(SocketAddrV4),
    /// Fetch the whole document from this peer.
    Fetch(SocketAddrV4),
    /// Read the platform.
    Platform,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Idle,
    Waiting,
    Asked(SocketAddrV4),
    Fetching(SocketAddrV4),
    PlatformTurn,
}

/// Pursuit of the newest version heard of.
#[derive(Debug)]
pub struct CatchUp {
    random: Random,
    newest: Version,
    holders: Vec<SocketAddrV4>,
    phase: Phase,
    until: Millis,
    asked: u32,
}

impl CatchUp {
    /// Nothing heard yet.
    pub fn new(seed: u64) -> CatchUp {
        CatchUp {
            random: Random::new(seed),
            newest: Version(0),
            holders: Vec::new(),
            phase: Phase::Idle,
            until: Millis(0),
            asked: 0,
        }
    }

    /// Newest version heard of.
    pub fn newest(&self) -> Version {
        self.newest
    }

    /// Moment of the next step; none when there is nothing to get.
    pub fn timer(&self) -> Option<Millis> {
        (self.phase != Phase::Idle).then_some(self.until)
    }

    /// Whether `from` was asked for a delta and has not answered yet.
    pub fn awaits(&self, from: SocketAddrV4) -> bool {
        self.phase == Phase::Asked(from)
    }

    /// Hears that a version newer than the one in force exists, and who has
    /// it where that is known.
    pub fn heard(&mut self, now: Millis, from: Option<SocketAddrV4>, version: Version) {
        if version > self.newest {
            self.newest = version;
            self.holders.clear();
        }
        if let Some(from) = from
            && version == self.newest
            && self.holders.len() < HOLDERS
            && !self.holders.contains(&from)
        {
            self.holders.push(from);
            self.shorten_platform_turn(now);
        }
        if self.phase == Phase::Idle {
            self.asked = 0;
            self.phase = Phase::Waiting;
            self.until = self.random.within(now, ASK_SPREAD);
        }
    }

    /// A peer that was asked can't give a delta: its whole document is needed.
    pub fn fetch(&mut self, now: Millis, from: SocketAddrV4) -> Step {
        self.phase = Phase::Fetching(from);
        self.until = now + FETCH_LIMIT;
        Step::Fetch(from)
    }

    /// A peer did not give its whole document.
    pub fn fetch_failed(&mut self, now: Millis, from: SocketAddrV4) -> Option<Step> {
        (self.phase == Phase::Fetching(from)).then(|| self.turn_to_platform(now))
    }

    /// Hears which version is in force now.
    pub fn reached(&mut self, now: Millis, version: Version) {
        if version >= self.newest {
            self.phase = Phase::Idle;
            self.holders.clear();
        } else if self.phase != Phase::Idle {
            self.asked = 0;
            self.phase = Phase::Waiting;
            self.until = now;
        }
    }

    /// The step that is due, if one is.
    pub fn due(&mut self, now: Millis) -> Option<Step> {
        if self.phase == Phase::Idle || now < self.until {
            return None;
        }
        if self.phase == Phase::PlatformTurn {
            self.asked = 0;
        }
        if let Phase::Fetching(from) = self.phase {
            return self.fetch_failed(now, from);
        }
        match self.random.pick(&self.holders).copied() {
            Some(holder) if self.asked < ASKED_PEERS => {
                self.asked += 1;
                self.phase = Phase::Asked(holder);
                self.until = now + ASK_LIMIT;
                Some(Step::Ask(holder))
            }
            _ => Some(self.turn_to_platform(now)),
        }
    }

    /// A process that the platform does not answer need not wait for it when a
    /// peer can help.
    fn shorten_platform_turn(&mut self, now: Millis) {
        if self.phase == Phase::PlatformTurn {
            let earliest = now + PLATFORM_HEAD_START;
            self.until = self.until.min(self.random.within(earliest, ASK_SPREAD));
        }
    }

    fn turn_to_platform(&mut self, now: Millis) -> Step {
        self.phase = Phase::PlatformTurn;
        self.until = now + PLATFORM_TURN;
        Step::Platform
    }
}
