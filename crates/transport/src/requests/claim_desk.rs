//! Claims of idempotency keys, and the requests that wait for decisions.

use std::collections::HashMap;

use ramp_coordination::claims::AttemptId;
use ramp_coordination::claims::ClaimConfig;
use ramp_coordination::claims::Claims;
use ramp_coordination::claims::Decision;
use ramp_coordination::outgoing::Outgoing;
use ramp_protocol::message::ClaimKey;
use ramp_state::time::Millis;
use tokio::sync::oneshot;

/// Claims with the requests that wait for their decisions.
pub struct ClaimDesk {
    claims: Claims,
    waiters: HashMap<AttemptId, oneshot::Sender<Decision>>,
    outbox: Vec<Outgoing>,
}

impl ClaimDesk {
    /// No claims yet.
    pub fn new(cfg: ClaimConfig) -> ClaimDesk {
        ClaimDesk {
            claims: Claims::new(cfg),
            waiters: HashMap::new(),
            outbox: Vec::new(),
        }
    }

    /// Lets `act` change the claims and passes decisions on.
    pub fn act<T>(&mut self, act: impl FnOnce(&mut Claims) -> T) -> T {
        let result = act(&mut self.claims);
        for found in self.claims.take_decided() {
            if let Some(tx) = self.waiters.remove(&found.attempt) {
                // Whoever left has settled the attempt already.
                let _ = tx.send(found.decision);
            }
        }
        self.outbox.append(&mut self.claims.take_outbox());
        result
    }

    /// Begins an attempt; the decision goes to `tx`.
    pub fn begin(
        &mut self,
        now: Millis,
        key: ClaimKey,
        tx: oneshot::Sender<Decision>,
    ) -> AttemptId {
        let attempt = self.claims.begin(now, key);
        self.waiters.insert(attempt, tx);
        // A group of one decides at once.
        self.act(|_| ());
        attempt
    }

    /// Whether there are messages to send.
    pub fn has_outgoing(&self) -> bool {
        !self.outbox.is_empty()
    }

    /// Messages to other agents since the last call.
    pub fn take_outbox(&mut self) -> Vec<Outgoing> {
        std::mem::take(&mut self.outbox)
    }
}
