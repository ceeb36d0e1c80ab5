//! State of a starting process, which serves nothing yet.
//!
//! Before it serves, a process asks the platform and its peers for their
//! versions and takes the highest. [`Startup`] tracks who has answered, and
//! ends the wait after [`PEER_ANSWER_TIMEOUT`] for peers and
//! [`STARTUP_TIMEOUT`] for all.

use std::collections::HashSet;
use std::net::SocketAddrV4;
use std::time::Duration;

use ramp_state::time::Millis;

use crate::configuration::platform_calls::CallId;
use crate::random::Random;

/// Time that peers have to answer a starting process.
pub const PEER_ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after which a process serves with the newest version that it has,
/// even if the platform has not answered or a peer has not sent the version
/// that it announced.
pub const STARTUP_TIMEOUT: Duration = Duration::from_secs(8);

/// Time between two rounds of version requests to peers.
const REQUEST_PERIOD: Duration = Duration::from_millis(500);

/// Limit on the peers that are asked, chosen at random if there are more.
const MAX_PEERS_ASKED: usize = 8;

/// Tracks which peers have answered a starting process, and whether the
/// platform has.
#[derive(Debug)]
pub struct Startup {
    started_at: Millis,
    asked: Vec<SocketAddrV4>,
    unanswered: HashSet<SocketAddrV4>,
    next_round_at: Millis,
    platform_answered: bool,
    last_call_before_start: CallId,
}

impl Startup {
    /// Begins the startup at `now`. Results of platform calls up to
    /// `last_call` don't count: after a pause they may be outdated.
    pub fn new(
        now: Millis,
        peers: &[SocketAddrV4],
        last_call: CallId,
        random: &mut Random,
    ) -> Startup {
        let mut asked = peers.to_vec();
        while asked.len() > MAX_PEERS_ASKED {
            asked.swap_remove(random.below(asked.len() as u64) as usize);
        }
        Startup {
            started_at: now,
            unanswered: asked.iter().copied().collect(),
            asked,
            next_round_at: now,
            platform_answered: false,
            last_call_before_start: last_call,
        }
    }

    /// Records that a peer has announced its version.
    pub fn peer_answered(&mut self, from: SocketAddrV4) {
        self.unanswered.remove(&from);
    }

    /// Records that the platform has answered `call`.
    pub fn platform_answered(&mut self, call: CallId) {
        self.platform_answered |= call > self.last_call_before_start;
    }

    /// Returns the peers to ask now, if a round is due. Each round asks all of
    /// them, since a peer that had no version may have one later.
    pub fn due_peers(&mut self, now: Millis) -> &[SocketAddrV4] {
        if now < self.next_round_at {
            return &[];
        }
        self.next_round_at = now + REQUEST_PERIOD;
        &self.asked
    }

    /// Whether the process may serve with the newest version that it has.
    /// `behind` is true when peers announced a newer one.
    pub fn is_complete(&self, now: Millis, behind: bool) -> bool {
        let peers_done = self.unanswered.is_empty() || now >= self.started_at + PEER_ANSWER_TIMEOUT;
        let all_done = peers_done && self.platform_answered && !behind;
        all_done || now >= self.started_at + STARTUP_TIMEOUT
    }

    /// Moment of the next round of requests.
    pub fn next_check_at(&self) -> Millis {
        self.next_round_at
    }
}
