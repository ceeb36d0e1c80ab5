//! Agents that have not answered lately.

use std::net::Ipv4Addr;
use std::time::Duration;

use indexmap::IndexMap;
use ramp_state::time::Millis;

/// How long an agent that did not answer is passed over.
const SUSPECT_FOR: Duration = Duration::from_millis(1000);

/// Agents that are passed over for a while.
#[derive(Clone, Debug, Default)]
pub(super) struct Suspects(IndexMap<Ipv4Addr, Millis>);

impl Suspects {
    pub(super) fn add(&mut self, agent: Ipv4Addr, now: Millis) {
        self.0.insert(agent, now + SUSPECT_FOR);
    }

    pub(super) fn clear(&mut self, agent: Ipv4Addr) {
        self.0.swap_remove(&agent);
    }

    pub(super) fn holds(&self, agent: Ipv4Addr, now: Millis) -> bool {
        self.0.get(&agent).is_some_and(|until| now < *until)
    }
}
