//! Decides when an agent that was asked to exit may do so, and whom it tells.

use std::net::Ipv4Addr;
use std::time::Duration;

use ramp_state::time::Millis;

use super::Agent;

/// Shortest time for which an agent that shuts down keeps running.
const MIN_SHUTDOWN_TIME: Duration = Duration::from_millis(100);

/// Longest time for which an agent that shuts down waits for requests in progress.
const MAX_SHUTDOWN_TIME: Duration = Duration::from_millis(800);

/// Longest time for which an agent that shuts down waits for the proof that its
/// server has ended: the server must have been silent for a second.
const MAX_PROOF_TIME: Duration = Duration::from_millis(1300);

impl Agent {
    /// Refuses new flows from now on, because this process is about to exit.
    pub fn begin_shutdown(&mut self, now: Millis) {
        self.shutdown_since.get_or_insert(now);
    }

    /// Whether this process may exit. Often the server and its agent are stopped
    /// together; the agent then goes on until it can tell balancers that no server is
    /// left, as they would otherwise expect it back for seconds.
    pub fn may_exit(&self, now: Millis) -> bool {
        let Some(since) = self.shutdown_since else {
            return false;
        };
        let elapsed = now.since(since);
        if self.liveness.is_proof_pending() {
            return elapsed >= MAX_PROOF_TIME;
        }
        elapsed >= MAX_SHUTDOWN_TIME || (elapsed >= MIN_SHUTDOWN_TIME && self.in_progress == 0)
    }

    /// Balancers to tell, as this process exits, that no server is left here;
    /// empty while one may be running.
    pub fn shutdown_notice_recipients(&self) -> &[Ipv4Addr] {
        if self.liveness.is_absent() {
            self.senders.addresses()
        } else {
            &[]
        }
    }
}
