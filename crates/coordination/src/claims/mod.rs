//! Idempotency keys: makes sure that at most one attempt of a key runs.
//!
//! Before a request with an idempotency key is sent, the agent claims the key
//! at three replicas, which are agents of the group. The attempt needs grants
//! of a majority. So any two attempts have a replica in common, and the failure
//! of one agent blocks no key. The replicas follow from the configuration
//! alone, not from who is considered alive, so that a network partition can't
//! give two attempts different sets of replicas.
//!
//! A replica grants a claim only if it would know of an earlier attempt. For
//! that it must have been a replica of the key, without a restart, for as long
//! as keys are kept, or since before the key was created (which a UUID of
//! version 7 contains). Otherwise it answers "unknown", which is neither a
//! grant nor a refusal.
//!
//! The agent that runs an attempt renews its claim. A claim that is not renewed
//! becomes "may have run" and is never freed, since nobody knows whether the
//! request ran.

mod attempt;
mod key;
mod replica_store;
mod replicas;

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use ramp_protocol::message::ClaimKey;
use ramp_protocol::message::KeyStatus;
use ramp_protocol::message::Message;
use ramp_state::key::Incarnation;
use ramp_state::key::InstanceId;
use ramp_state::key::mix;
use ramp_state::time::Millis;

use crate::group_snapshot::GroupSnapshot;
use crate::outgoing::Outgoing;

use self::attempt::Attempt;
use self::replica_store::ReplicaStore;
use self::replicas::History;

pub use self::attempt::Decision;
pub use self::key::claim_key;

/// Interval at which a replica that has not answered is asked again, and delay
/// after which an outcome is sent a second time.
const RESEND_PERIOD: Duration = Duration::from_millis(100);

/// Time within which an attempt has to get its grants.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(500);

/// Time from the start of an attempt for which it waits for the remaining live
/// replicas although a majority has granted.
const LAST_REPLICA_WAIT: Duration = Duration::from_millis(50);

/// Interval at which a running claim is renewed.
const RENEWAL_PERIOD: Duration = Duration::from_secs(5);

/// Time after the grant within which the request has to be sent.
const SEND_TIMEOUT: Duration = Duration::from_secs(5);

/// Time for which an ended attempt is kept, to send its outcome to replicas that
/// answer late.
const OUTCOME_RETENTION: Duration = Duration::from_secs(30);

/// Settings of an agent's claims.
#[derive(Clone, Copy, Debug)]
pub struct ClaimConfig {
    /// Identity of the agent.
    pub me: InstanceId,
    /// Identifies this start of the agent; attempt numbers derive from it.
    pub incarnation: Incarnation,
    /// Wall-clock time at [`Millis`] zero, in milliseconds of the Unix epoch.
    pub unix_ms_at_zero: u64,
    /// Limit on the keys that the agent stores as a replica.
    pub key_limit: usize,
}

/// Number of an attempt, unique across agents and their restarts but for random
/// collisions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub u64);

/// Decision on an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Decided {
    /// Attempt that was decided.
    pub attempt: AttemptId,
    /// Whether it may run, and if not, why.
    pub decision: Decision,
}

/// Claims at one agent: its own attempts, and the keys that it stores as a
/// replica.
#[derive(Debug)]
pub struct Claims {
    cfg: ClaimConfig,
    count: u64,
    retention: Duration,
    history: History,
    replica_store: ReplicaStore,
    attempts: IndexMap<AttemptId, Attempt>,
    outbox: Vec<Outgoing>,
    decided: Vec<Decided>,
}

impl Claims {
    /// Claims of an agent that has no snapshot of its group yet.
    pub fn new(cfg: ClaimConfig) -> Claims {
        Claims {
            count: 0,
            retention: Duration::ZERO,
            history: History::new(cfg.me, cfg.unix_ms_at_zero),
            replica_store: ReplicaStore::new(cfg.key_limit),
            attempts: IndexMap::new(),
            outbox: Vec::new(),
            decided: Vec::new(),
            cfg,
        }
    }

    /// Installs a new snapshot of the group.
    pub fn install(&mut self, now: Millis, snapshot: &Arc<GroupSnapshot>) {
        if let Some(m) = snapshot.group.member(self.cfg.me) {
            self.retention = m.policy.key_retention;
        }
        self.history.install(now, snapshot, self.retention);
    }

    /// Begins an attempt; [`Claims::take_decided`] returns its decision.
    pub fn begin(&mut self, now: Millis, key: ClaimKey) -> AttemptId {
        let id = AttemptId(mix(self.cfg.incarnation.0 ^ self.cfg.me.0).wrapping_add(self.count));
        self.count += 1;
        let replicas = self.history.replicas(key);
        let quorum = self.history.quorum(now, key, self.retention);
        let attempt = Attempt::new(now, key, replicas, quorum);
        self.attempts.insert(id, attempt);
        self.send_claims(now, id);
        self.decide_if_ready(now, id);
        id
    }

    /// Whether a granted attempt may still be sent. It may not if this process
    /// was paused since, because the replicas may have given up its claim.
    pub fn may_send(&self, now: Millis, id: AttemptId) -> bool {
        let attempt = self.attempts.get(&id);
        let granted = attempt.and_then(|a| a.granted_at());
        granted.is_some_and(|at| now.since(at) < SEND_TIMEOUT)
    }

    /// Ends an attempt and sends `status` to its replicas: its outcome, or
    /// [`KeyStatus::Granted`] if it certainly did not run.
    pub fn end_attempt(&mut self, now: Millis, id: AttemptId, status: KeyStatus) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        if attempt.end(now, status) {
            self.send_status(now, id, status);
        }
    }

    /// Handles a message of another agent.
    pub fn on_message(&mut self, now: Millis, from: InstanceId, message: &Message) {
        match *message {
            Message::Claim { key, attempt } => {
                if let Some(status) = self.answer_claim(now, from, key, attempt) {
                    self.outbox.push(Outgoing {
                        to: from,
                        message: Message::ClaimReply {
                            key,
                            attempt,
                            status,
                        },
                    });
                }
            }
            Message::ClaimReply {
                key,
                attempt,
                status,
            } => self.on_claim_reply(now, from, key, AttemptId(attempt), status),
            Message::ClaimOutcome {
                key,
                attempt,
                status,
            } => self
                .replica_store
                .record_status(now, key, (from, attempt), status),
            _ => {}
        }
    }

    /// Does what is due by now: asks again, renews claims, decides attempts that
    /// timed out, and drops expired state.
    pub fn tick(&mut self, now: Millis) {
        self.replica_store.expire(now, self.retention);
        self.attempts.retain(|_, a| !a.is_over(now));
        let ids: Vec<AttemptId> = self.attempts.keys().copied().collect();
        for id in ids {
            self.do_due(now, id);
            self.decide_if_ready(now, id);
        }
    }

    /// Removes and returns the messages to send to other agents.
    pub fn take_outbox(&mut self) -> Vec<Outgoing> {
        std::mem::take(&mut self.outbox)
    }

    /// Removes and returns the decisions made since the last call.
    pub fn take_decided(&mut self) -> Vec<Decided> {
        std::mem::take(&mut self.decided)
    }

    /// Number of keys stored as a replica.
    pub fn replica_key_count(&self) -> usize {
        self.replica_store.len()
    }

    fn answer_claim(
        &mut self,
        now: Millis,
        from: InstanceId,
        key: ClaimKey,
        attempt: u64,
    ) -> Option<KeyStatus> {
        let informed = self
            .history
            .knows_earlier_attempts(now, key, self.retention);
        self.replica_store
            .claim(now, key, (from, attempt), informed)
    }

    fn on_claim_reply(
        &mut self,
        now: Millis,
        from: InstanceId,
        key: ClaimKey,
        id: AttemptId,
        status: KeyStatus,
    ) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        if attempt.key() != key {
            return;
        }
        attempt.record_answer(from, status);
        // The replica got a late copy of the claim and answered as if the
        // attempt, which has ended, still ran. Send it the outcome again.
        if let Some(ended) = attempt.ended() {
            self.outbox.push(outcome_message(from, key, id, ended));
        }
        self.decide_if_ready(now, id);
    }

    /// Sends claims to the replicas that have not answered.
    fn send_claims(&mut self, now: Millis, id: AttemptId) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        let key = attempt.key();
        for to in attempt.replicas_to_ask(now) {
            if to != self.cfg.me {
                let message = Message::Claim { key, attempt: id.0 };
                self.outbox.push(Outgoing { to, message });
            } else if let Some(status) = self.answer_claim(now, to, key, id.0)
                && let Some(attempt) = self.attempts.get_mut(&id)
            {
                attempt.record_answer(to, status);
            }
        }
    }

    fn decide_if_ready(&mut self, now: Millis, id: AttemptId) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        let Some(decision) = attempt.decide(now) else {
            return;
        };
        self.decided.push(Decided {
            attempt: id,
            decision,
        });
        if let Some(status) = attempt.ended() {
            self.send_status(now, id, status);
        }
    }

    fn do_due(&mut self, now: Millis, id: AttemptId) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        if attempt.is_renewal_due(now) {
            self.send_status(now, id, KeyStatus::Running);
        } else if let Some(status) = attempt.take_repeat(now) {
            self.send_status(now, id, status);
        } else if attempt.is_ask_due(now) {
            self.send_claims(now, id);
        }
    }

    fn send_status(&mut self, now: Millis, id: AttemptId, status: KeyStatus) {
        let Some(attempt) = self.attempts.get(&id) else {
            return;
        };
        let key = attempt.key();
        for to in attempt.replicas() {
            if to == self.cfg.me {
                self.replica_store
                    .record_status(now, key, (to, id.0), status);
            } else {
                self.outbox.push(outcome_message(to, key, id, status));
            }
        }
    }
}

fn outcome_message(to: InstanceId, key: ClaimKey, id: AttemptId, status: KeyStatus) -> Outgoing {
    Outgoing {
        to,
        message: Message::ClaimOutcome {
            key,
            attempt: id.0,
            status,
        },
    }
}
