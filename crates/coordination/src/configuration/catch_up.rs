//! Getting a version that peers are known to have: first as a delta from one
//! of them, then as the whole document, and from the platform when they fail.

use std::net::SocketAddrV4;
use std::time::Duration;

use ramp_state::key::Version;
use ramp_state::time::Millis;

use crate::random::Random;

/// Span over which processes that hear of a version spread their questions.
pub const DELTA_REQUEST_JITTER: Duration = Duration::from_millis(200);

/// Time that a peer has for its answer.
pub const DELTA_TIMEOUT: Duration = Duration::from_millis(300);

/// Peers asked before the platform is.
pub const MAX_PEERS_ASKED: u32 = 2;

/// Time that a peer has to send its whole document.
pub const DOCUMENT_FETCH_TIMEOUT: Duration = Duration::from_secs(2);

/// Time that the platform has before peers are asked again.
pub const PLATFORM_TIMEOUT: Duration = Duration::from_secs(4);

/// Time that the platform has once a peer is known that could be asked.
pub const PLATFORM_TIMEOUT_WITH_HOLDER: Duration = Duration::from_millis(500);

/// Holders of the newest version that are remembered.
const MAX_HOLDERS: usize = 8;

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Ask this peer for the change since the version in force.
    RequestDelta(SocketAddrV4),
    /// Fetch the whole document from this peer.
    FetchDocument(SocketAddrV4),
    /// Read the platform.
    CallPlatform,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Idle,
    Scheduled,
    AwaitingDelta(SocketAddrV4),
    AwaitingDocument(SocketAddrV4),
    AwaitingPlatform,
}

/// Pursuit of the newest version heard of.
#[derive(Debug)]
pub struct CatchUp {
    random: Random,
    newest: Version,
    holders: Vec<SocketAddrV4>,
    phase: Phase,
    next_step_at: Millis,
    peers_asked: u32,
}

impl CatchUp {
    /// Nothing heard yet.
    pub fn new(seed: u64) -> CatchUp {
        CatchUp {
            random: Random::new(seed),
            newest: Version(0),
            holders: Vec::new(),
            phase: Phase::Idle,
            next_step_at: Millis(0),
            peers_asked: 0,
        }
    }

    /// Newest version heard of.
    pub fn newest(&self) -> Version {
        self.newest
    }

    /// Moment of the next step; none when there is nothing to get.
    pub fn next_step_at(&self) -> Option<Millis> {
        (self.phase != Phase::Idle).then_some(self.next_step_at)
    }

    /// Whether `from` was asked for a delta and has not answered yet.
    pub fn awaits_delta_from(&self, from: SocketAddrV4) -> bool {
        self.phase == Phase::AwaitingDelta(from)
    }

    /// Hears that a version newer than the one in force exists, and who has
    /// it where that is known.
    pub fn note_version(&mut self, now: Millis, from: Option<SocketAddrV4>, version: Version) {
        if version > self.newest {
            self.newest = version;
            self.holders.clear();
        }
        if let Some(from) = from
            && version == self.newest
            && self.holders.len() < MAX_HOLDERS
            && !self.holders.contains(&from)
        {
            self.holders.push(from);
            self.shorten_platform_timeout(now);
        }
        if self.phase == Phase::Idle {
            self.peers_asked = 0;
            self.phase = Phase::Scheduled;
            self.next_step_at = self.random.within(now, DELTA_REQUEST_JITTER);
        }
    }

    /// A peer that was asked can't give a delta: its whole document is needed.
    pub fn start_fetch(&mut self, now: Millis, from: SocketAddrV4) -> Step {
        self.phase = Phase::AwaitingDocument(from);
        self.next_step_at = now + DOCUMENT_FETCH_TIMEOUT;
        Step::FetchDocument(from)
    }

    /// A peer did not give its whole document.
    pub fn fetch_failed(&mut self, now: Millis, from: SocketAddrV4) -> Option<Step> {
        (self.phase == Phase::AwaitingDocument(from)).then(|| self.call_platform(now))
    }

    /// Hears which version is in force now.
    pub fn version_reached(&mut self, now: Millis, version: Version) {
        if version >= self.newest {
            self.phase = Phase::Idle;
            self.holders.clear();
        } else if self.phase != Phase::Idle {
            self.peers_asked = 0;
            self.phase = Phase::Scheduled;
            self.next_step_at = now;
        }
    }

    /// The step that is due, if one is.
    pub fn due_step(&mut self, now: Millis) -> Option<Step> {
        if self.phase == Phase::Idle || now < self.next_step_at {
            return None;
        }
        if self.phase == Phase::AwaitingPlatform {
            self.peers_asked = 0;
        }
        if let Phase::AwaitingDocument(from) = self.phase {
            return self.fetch_failed(now, from);
        }
        match self.random.pick(&self.holders).copied() {
            Some(holder) if self.peers_asked < MAX_PEERS_ASKED => {
                self.peers_asked += 1;
                self.phase = Phase::AwaitingDelta(holder);
                self.next_step_at = now + DELTA_TIMEOUT;
                Some(Step::RequestDelta(holder))
            }
            _ => Some(self.call_platform(now)),
        }
    }

    /// A process that the platform does not answer need not wait for it when a
    /// peer can help.
    fn shorten_platform_timeout(&mut self, now: Millis) {
        if self.phase == Phase::AwaitingPlatform {
            let earliest = now + PLATFORM_TIMEOUT_WITH_HOLDER;
            self.next_step_at = self
                .next_step_at
                .min(self.random.within(earliest, DELTA_REQUEST_JITTER));
        }
    }

    fn call_platform(&mut self, now: Millis) -> Step {
        self.phase = Phase::AwaitingPlatform;
        self.next_step_at = now + PLATFORM_TIMEOUT;
        Step::CallPlatform
    }
}
