//! Agents that have not answered lately.
//!
//! One that stays silent is passed over for longer each time, so that a cut
//! costs few flows; a single word from it clears it.

use std::net::Ipv4Addr;
use std::time::Duration;

use indexmap::IndexMap;
use ramp_state::time::Millis;

/// How long an agent that did not answer once is passed over.
const FIRST: Duration = Duration::from_millis(500);

/// How long it is passed over at most.
const LONGEST: Duration = Duration::from_secs(4);

#[derive(Clone, Copy, Debug)]
struct Suspect {
    until: Millis,
    next: Duration,
}

/// Agents that are passed over for a while.
#[derive(Clone, Debug, Default)]
pub(super) struct Suspects(IndexMap<Ipv4Addr, Suspect>);

impl Suspects {
    pub(super) fn add(&mut self, agent: Ipv4Addr, now: Millis) {
        let suspect = self.0.entry(agent).or_insert(Suspect {
            until: now,
            next: FIRST,
        });
        // Several flows find out at about the same time.
        if now < suspect.until {
            return;
        }
        suspect.until = now + suspect.next;
        suspect.next = (suspect.next * 2).min(LONGEST);
    }

    pub(super) fn clear(&mut self, agent: Ipv4Addr) {
        self.0.swap_remove(&agent);
    }

    pub(super) fn contains(&self, agent: Ipv4Addr, now: Millis) -> bool {
        self.0.get(&agent).is_some_and(|s| now < s.until)
    }
}
