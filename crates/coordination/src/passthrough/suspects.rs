//! Agents that have not answered recently and are avoided for a while.
//!
//! Each time that an agent fails to answer, it is avoided for twice as long, so
//! that few flows are sent to it during a network partition. Any message from
//! the agent ends this.

use std::net::Ipv4Addr;
use std::time::Duration;

use indexmap::IndexMap;
use ramp_state::time::Millis;

/// How long an agent is avoided after its first missing answer.
const INITIAL_BACKOFF: Duration = Duration::from_millis(500);

/// Longest time for which an agent is avoided after one missing answer.
const MAX_BACKOFF: Duration = Duration::from_secs(4);

#[derive(Clone, Copy, Debug)]
struct Suspect {
    until: Millis,
    next_backoff: Duration,
}

/// Agents that are avoided, by address.
#[derive(Clone, Debug, Default)]
pub(super) struct Suspects(IndexMap<Ipv4Addr, Suspect>);

impl Suspects {
    pub(super) fn add(&mut self, agent: Ipv4Addr, now: Millis) {
        let suspect = self.0.entry(agent).or_insert(Suspect {
            until: now,
            next_backoff: INITIAL_BACKOFF,
        });
        // Several flows miss the agent's answer at about the same time; only
        // the first of them extends the backoff.
        if now < suspect.until {
            return;
        }
        suspect.until = now + suspect.next_backoff;
        suspect.next_backoff = (suspect.next_backoff * 2).min(MAX_BACKOFF);
    }

    pub(super) fn clear(&mut self, agent: Ipv4Addr) {
        self.0.swap_remove(&agent);
    }

    pub(super) fn contains(&self, agent: Ipv4Addr, now: Millis) -> bool {
        self.0.get(&agent).is_some_and(|s| now < s.until)
    }
}
