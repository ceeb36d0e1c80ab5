//! The start of a process: it takes the highest version of platform and peers
//! before it serves, and waits for them no longer than a bound.

use std::collections::HashSet;
use std::net::SocketAddrV4;
use std::time::Duration;

use ramp_state::time::Millis;

use crate::configuration::platform_calls::CallId;
use crate::random::Random;

/// Time that peers have to answer a process that starts.
pub const PEER_ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after which a process serves with what peers gave, although the
/// platform does not answer or a peer does not give what it announced.
pub const STARTUP_TIMEOUT: Duration = Duration::from_secs(8);

/// Time between two rounds of questions to peers.
const REQUEST_PERIOD: Duration = Duration::from_millis(500);

/// Peers that are asked at most.
const MAX_PEERS_ASKED: usize = 8;

/// Who has answered a process that starts.
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
    /// Start at `now`; results of calls up to `last_call` don't count.
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

    /// Hears from a peer.
    pub fn peer_answered(&mut self, from: SocketAddrV4) {
        self.unanswered.remove(&from);
    }

    /// Hears from the platform.
    pub fn platform_answered(&mut self, call: CallId) {
        self.platform_answered |= call > self.last_call_before_start;
    }

    /// Peers to ask now. All are asked again in each round: one that had no
    /// version may have one later.
    pub fn due_peers(&mut self, now: Millis) -> &[SocketAddrV4] {
        if now < self.next_round_at {
            return &[];
        }
        self.next_round_at = now + REQUEST_PERIOD;
        &self.asked
    }

    /// Whether the process may serve with what it has. `behind` says that
    /// peers announced a version that it does not have.
    pub fn is_complete(&self, now: Millis, behind: bool) -> bool {
        let peers_done = self.unanswered.is_empty() || now >= self.started_at + PEER_ANSWER_TIMEOUT;
        let all_done = peers_done && self.platform_answered && !behind;
        all_done || now >= self.started_at + STARTUP_TIMEOUT
    }

    /// Moment to look again.
    pub fn next_check_at(&self) -> Millis {
        self.next_round_at
    }
}
