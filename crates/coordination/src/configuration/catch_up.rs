//! Fetches a newer version of the fleet document that peers are known to have.
//!
//! [`CatchUp`] remembers the newest version that peers mentioned and which
//! peers hold it. It asks one of them for a delta, fetches the whole document
//! from that peer when it can't give a delta, and calls the platform when the
//! peers that were asked don't answer.

use std::net::SocketAddrV4;
use std::time::Duration;

use ramp_state::key::Version;
use ramp_state::time::Millis;

use crate::random::Random;

/// Random delay before the first delta request, so that processes that learn
/// of a version at the same moment don't all ask at once.
pub const DELTA_REQUEST_JITTER: Duration = Duration::from_millis(200);

/// Time that a peer has to answer a delta request.
pub const DELTA_TIMEOUT: Duration = Duration::from_millis(300);

/// Number of peers asked for a delta before the platform is called.
pub const MAX_PEERS_ASKED: u32 = 2;

/// Time that a peer has to send its whole document.
pub const DOCUMENT_FETCH_TIMEOUT: Duration = Duration::from_secs(2);

/// Time that the platform has to answer before peers are asked again.
pub const PLATFORM_TIMEOUT: Duration = Duration::from_secs(4);

/// Time that the platform still has to answer once a peer is known that holds
/// the version.
pub const PLATFORM_TIMEOUT_WITH_HOLDER: Duration = Duration::from_millis(500);

/// Limit on the peers remembered as holders of the newest version.
const MAX_HOLDERS: usize = 8;

/// Next action towards the newest version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Ask this peer for the delta since the version in force.
    RequestDelta(SocketAddrV4),
    /// Fetch the whole document from this peer.
    FetchDocument(SocketAddrV4),
    /// Call the platform.
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

/// State machine that fetches the newest version known to exist.
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
    /// Idle state: no newer version is known. `seed` sets the random delays.
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

    /// Newest version known to exist.
    pub fn newest(&self) -> Version {
        self.newest
    }

    /// Moment of the next step; none when there is nothing to fetch.
    pub fn next_step_at(&self) -> Option<Millis> {
        (self.phase != Phase::Idle).then_some(self.next_step_at)
    }

    /// Whether the answer of `from` to a delta request is outstanding.
    pub fn awaits_delta_from(&self, from: SocketAddrV4) -> bool {
        self.phase == Phase::AwaitingDelta(from)
    }

    /// Records that a version newer than the one in force exists, and which
    /// peer holds it if that is known.
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

    /// Starts to fetch the whole document of a peer that can't give a delta.
    pub fn start_fetch(&mut self, now: Millis, from: SocketAddrV4) -> Step {
        self.phase = Phase::AwaitingDocument(from);
        self.next_step_at = now + DOCUMENT_FETCH_TIMEOUT;
        Step::FetchDocument(from)
    }

    /// Falls back to the platform after a peer failed to send its document.
    pub fn fetch_failed(&mut self, now: Millis, from: SocketAddrV4) -> Option<Step> {
        (self.phase == Phase::AwaitingDocument(from)).then(|| self.call_platform(now))
    }

    /// Records that `version` was received, whether accepted or refused. When
    /// a newer one is still wanted, the next step is due at once.
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

    /// Returns the step that is due, if any, and schedules its timeout.
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

    /// Shortens the wait for the platform, because a peer is known now that
    /// holds the version.
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
