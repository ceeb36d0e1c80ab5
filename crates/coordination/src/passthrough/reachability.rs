//! Whether a balancer reaches any agent at all.
//!
//! One that is cut off still gets packets from the routers, and every flow
//! that comes to it is stuck. So it says that it is not ready, and asks a few
//! agents for a sign of life until one answers.

use std::time::Duration;

use ramp_state::time::Millis;

/// Silence of all agents, while they are asked, that means to be cut off.
const SILENCE_LIMIT: Duration = Duration::from_millis(500);

/// Time between two signs of life that are asked for.
const PROBE_EVERY: Duration = Duration::from_millis(250);

/// What a balancer knows of its own reach.
#[derive(Clone, Copy, Debug, Default)]
pub struct Reachability {
    /// First question since an agent was heard.
    asked_since: Option<Millis>,
    probed_at: Millis,
}

impl Reachability {
    /// An agent was asked for an answer.
    pub fn asked(&mut self, now: Millis) {
        self.asked_since.get_or_insert(now);
    }

    /// An agent was heard.
    pub fn heard(&mut self) {
        self.asked_since = None;
    }

    /// Whether no agent answers.
    pub fn is_cut_off(&self, now: Millis) -> bool {
        self.asked_since
            .is_some_and(|since| now.since(since) >= SILENCE_LIMIT)
    }

    /// Whether agents must be asked for a sign of life now.
    pub fn must_probe(&mut self, now: Millis) -> bool {
        let due = now.since(self.probed_at) >= PROBE_EVERY;
        if !due || !self.is_cut_off(now) {
            return false;
        }
        self.probed_at = now;
        true
    }
}
