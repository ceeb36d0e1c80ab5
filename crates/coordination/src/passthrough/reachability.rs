//! Detects that a balancer can't reach any agent.
//!
//! The routers still send packets to a balancer that is cut off, and it can't
//! forward any of them. So it reports that it is not ready, and asks a few
//! agents for a heartbeat until one answers.

use std::time::Duration;

use ramp_state::time::Millis;

/// How long all agents must be silent, after one was asked, until the balancer
/// counts as cut off.
const AGENT_SILENCE_TIMEOUT: Duration = Duration::from_millis(500);

/// Time between two requests for heartbeats.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Whether any agent has answered a balancer since it last asked one.
#[derive(Clone, Copy, Debug, Default)]
pub struct Reachability {
    /// When an agent was first asked after the last message of any agent; none:
    /// no agent was asked since.
    unanswered_since: Option<Millis>,
    last_probe_at: Millis,
}

impl Reachability {
    /// Records that an agent was sent something that it must answer.
    pub fn record_query(&mut self, now: Millis) {
        self.unanswered_since.get_or_insert(now);
    }

    /// Records that a message of any agent has arrived.
    pub fn record_reply(&mut self) {
        self.unanswered_since = None;
    }

    /// Whether no agent has answered for `AGENT_SILENCE_TIMEOUT`, beyond the part of
    /// a reply's time that this instance's own link causes.
    pub fn is_cut_off(&self, now: Millis, link_delay: Duration) -> bool {
        self.unanswered_since
            .is_some_and(|since| now.since(since) >= AGENT_SILENCE_TIMEOUT + link_delay)
    }

    /// Whether agents must be asked for a heartbeat now; if so, the next
    /// request is due after `PROBE_INTERVAL`.
    pub fn probe_due(&mut self, now: Millis) -> bool {
        let due = now.since(self.last_probe_at) >= PROBE_INTERVAL;
        if !due || !self.is_cut_off(now, Duration::ZERO) {
            return false;
        }
        self.last_probe_at = now;
        true
    }
}
