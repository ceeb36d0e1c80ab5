//! Delivers decisions on idempotency keys to the requests that wait for them.
//!
//! The state machine [`Claims`] decides which attempt of a key may run. This
//! module adds the channels to the waiting requests and collects the messages
//! to other agents.

use std::collections::HashMap;

use ramp_coordination::claims::AttemptId;
use ramp_coordination::claims::ClaimConfig;
use ramp_coordination::claims::Claims;
use ramp_coordination::claims::Decision;
use ramp_coordination::outgoing::Outgoing;
use ramp_protocol::message::ClaimKey;
use ramp_state::time::Millis;
use tokio::sync::oneshot;

/// Claims of idempotency keys, with a channel to each request that waits for a
/// decision.
pub struct ClaimDispatcher {
    claims: Claims,
    waiters: HashMap<AttemptId, oneshot::Sender<Decision>>,
    outbox: Vec<Outgoing>,
}

impl ClaimDispatcher {
    /// Creates a dispatcher without any claims.
    pub fn new(cfg: ClaimConfig) -> ClaimDispatcher {
        ClaimDispatcher {
            claims: Claims::new(cfg),
            waiters: HashMap::new(),
            outbox: Vec::new(),
        }
    }

    /// Applies `change` to the claims, then sends new decisions to the requests
    /// that wait for them.
    pub fn update<T>(&mut self, change: impl FnOnce(&mut Claims) -> T) -> T {
        let result = change(&mut self.claims);
        for decided in self.claims.take_decided() {
            if let Some(tx) = self.waiters.remove(&decided.attempt) {
                // Fails if the request has ended meanwhile, which has ended
                // its attempt too.
                let _ = tx.send(decided.decision);
            }
        }
        self.outbox.append(&mut self.claims.take_outbox());
        result
    }

    /// Begins an attempt to run under `key`; the decision is sent to `tx`.
    pub fn begin(
        &mut self,
        now: Millis,
        key: ClaimKey,
        tx: oneshot::Sender<Decision>,
    ) -> AttemptId {
        let attempt = self.claims.begin(now, key);
        self.waiters.insert(attempt, tx);
        // Delivers the decision that a group of one agent makes at once.
        self.update(|_| ());
        attempt
    }

    /// Whether messages to other agents are queued.
    pub fn has_outgoing(&self) -> bool {
        !self.outbox.is_empty()
    }

    /// Takes the messages to other agents that were queued since the last call.
    pub fn take_outbox(&mut self) -> Vec<Outgoing> {
        std::mem::take(&mut self.outbox)
    }
}
