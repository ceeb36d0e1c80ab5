//! The start of a process: it takes the highest version of platform and peers
//! before it serves, and waits for them no longer than a bound.

use std::collections::HashSet;
use std::net::SocketAddrV4;
use std::time::Duration;

use ramp_state::time::Millis;

use crate::configuration::watch::CallId;
use crate::random::Random;

/// Time that peers have to answer a process that starts.
pub const PEERS_LIMIT: Duration = Duration::from_secs(1);

/// Time after which a process serves with what peers gave, although the
/// platform does not answer or a peer does not give what it announced.
pub const START_LIMIT: Duration = Duration::from_secs(8);

/// Time between two rounds of questions to peers.
const ASK_PERIOD: Duration = Duration::from_millis(500);

/// Peers that are asked at most.
const START_PEERS: usize = 8;

/// Who has answered a process that starts.
#[derive(Debug)]
pub struct Start {
    began: Millis,
    asked: Vec<SocketAddrV4>,
    silent: HashSet<SocketAddrV4>,
    next_round: Millis,
    platform_answered: bool,
    last_call_before: CallId,
}

impl Start {
    /// Start at `now`; results of calls up to `last_call` don't count.
    pub fn new(
        now: Millis,
        peers: &[SocketAddrV4],
        last_call: CallId,
        random: &mut Random,
    ) -> Start {
        let mut asked = peers.to_vec();
        while asked.len() > START_PEERS {
            asked.swap_remove(random.below(asked.len() as u64) as usize);
        }
        Start {
            began: now,
            silent: asked.iter().copied().collect(),
            asked,
            next_round: now,
            platform_answered: false,
            last_call_before: last_call,
        }
    }

    /// Hears from a peer.
    pub fn peer_answered(&mut self, from: SocketAddrV4) {
        self.silent.remove(&from);
    }

    /// Hears from the platform.
    pub fn platform_answered(&mut self, call: CallId) {
        self.platform_answered |= call > self.last_call_before;
    }

    /// Peers to ask now. All are asked again in each round: one that had no
    /// version may have one later.
    pub fn due(&mut self, now: Millis) -> &[SocketAddrV4] {
        if now < self.next_round {
            return &[];
        }
        self.next_round = now + ASK_PERIOD;
        &self.asked
    }

    /// Whether the process may serve with what it has. `behind` says that
    /// peers announced a version that it does not have.
    pub fn is_over(&self, now: Millis, behind: bool) -> bool {
        let peers_heard = self.silent.is_empty() || now >= self.began + PEERS_LIMIT;
        let all_heard = peers_heard && self.platform_answered && !behind;
        all_heard || now >= self.began + START_LIMIT
    }

    /// Moment to look again.
    pub fn timer(&self) -> Millis {
        self.next_round
    }
}
