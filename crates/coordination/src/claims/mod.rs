//! Idempotency keys: at most one attempt of a key may run.
//!
//! A request with a key is claimed before it is sent. The claim goes to three
//! replicas of the key among the group's agents and needs the grant of a
//! majority, so any two attempts ask at least one agent in common, and one
//! agent dead or cut off stops nobody. Replicas follow from the configuration
//! alone, not from who seems alive, so that a partition does not give two
//! attempts two sets of replicas.
//!
//! An agent grants only when it would know of an earlier attempt: it has been
//! a replica of the key, without a restart, for as long as keys are kept, or
//! since before the key was made, which a UUID of version 7 tells. Otherwise
//! it answers that it can't know, and that answer counts neither way.
//!
//! The holder renews a running claim. One that is not renewed is taken for
//! "may have run", never for free: what became of it is not known then.

mod attempt;
mod key;
mod memory;
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
use self::memory::Memory;
use self::replicas::History;

pub use self::attempt::Decision;
pub use self::key::claim_key;

/// Time between two claims of the same attempt to a replica without answer.
const RESEND_PERIOD: Duration = Duration::from_millis(100);

/// Time in which an attempt has to get its grants.
const CLAIM_LIMIT: Duration = Duration::from_millis(500);

/// Time to wait for the last replica when the others granted.
const GRACE: Duration = Duration::from_millis(50);

/// Time between two renewals of a running claim.
const RENEWAL_PERIOD: Duration = Duration::from_secs(5);

/// Time from the grant in which the request has to be sent.
const GRANT_LIFE: Duration = Duration::from_secs(5);

/// Time for which the outcome of an ended attempt is repeated on demand.
const ENDED_LIFE: Duration = Duration::from_secs(30);

/// What the claims of an agent need to know.
#[derive(Clone, Copy, Debug)]
pub struct ClaimConfig {
    /// The agent.
    pub me: InstanceId,
    /// Its start.
    pub incarnation: Incarnation,
    /// Wall clock at [`Millis`] zero, in milliseconds of the Unix epoch.
    pub unix_ms_at_zero: u64,
    /// Keys that the agent keeps at most.
    pub key_limit: usize,
}

/// Number of an attempt. No other attempt of any start of any agent has it,
/// but for chance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub u64);

/// An attempt of which it is known whether it may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Decided {
    /// The attempt.
    pub attempt: AttemptId,
    /// Whether it may run.
    pub decision: Decision,
}

/// Idempotency keys at one agent: its own attempts, and what it keeps as a
/// replica for others.
#[derive(Debug)]
pub struct Claims {
    cfg: ClaimConfig,
    count: u64,
    retention: Duration,
    history: History,
    memory: Memory,
    attempts: IndexMap<AttemptId, Attempt>,
    outbox: Vec<Outgoing>,
    decided: Vec<Decided>,
}

impl Claims {
    /// An agent that knows no group yet.
    pub fn new(cfg: ClaimConfig) -> Claims {
        Claims {
            count: 0,
            retention: Duration::ZERO,
            history: History::new(cfg.me, cfg.unix_ms_at_zero),
            memory: Memory::new(cfg.key_limit),
            attempts: IndexMap::new(),
            outbox: Vec::new(),
            decided: Vec::new(),
            cfg,
        }
    }

    /// Takes a new picture of the group.
    pub fn install(&mut self, now: Millis, picture: &Arc<GroupSnapshot>) {
        if let Some(m) = picture.group.member(self.cfg.me) {
            self.retention = m.policy.key_retention;
        }
        self.history.install(now, picture, self.retention);
    }

    /// Begins an attempt; [`Claims::take_decided`] tells whether it may run.
    pub fn begin(&mut self, now: Millis, key: ClaimKey) -> AttemptId {
        let id = AttemptId(mix(self.cfg.incarnation.0 ^ self.cfg.me.0).wrapping_add(self.count));
        self.count += 1;
        let replicas = self.history.replicas(key);
        let quorum = self.history.quorum(now, key, self.retention);
        let attempt = Attempt::new(now, key, replicas, quorum);
        self.attempts.insert(id, attempt);
        self.ask(now, id);
        self.step(now, id);
        id
    }

    /// Whether a granted attempt may still be sent. It may not when this
    /// process slept meanwhile: others may have given it up.
    pub fn may_send(&self, now: Millis, id: AttemptId) -> bool {
        let attempt = self.attempts.get(&id);
        let granted = attempt.and_then(|a| a.granted_at());
        granted.is_some_and(|at| now.since(at) < GRANT_LIFE)
    }

    /// Ends a granted attempt: [`KeyStatus::Granted`] when it surely did not
    /// run, otherwise what is known of it.
    pub fn settle(&mut self, now: Millis, id: AttemptId, status: KeyStatus) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        if attempt.end(now, status) {
            self.tell(now, id, status);
        }
    }

    /// Takes a message of another agent.
    pub fn on_message(&mut self, now: Millis, from: InstanceId, message: &Message) {
        match *message {
            Message::Claim { key, attempt } => {
                if let Some(status) = self.claimed(now, from, key, attempt) {
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
            } => self.answered(now, from, key, AttemptId(attempt), status),
            Message::ClaimOutcome {
                key,
                attempt,
                status,
            } => self.memory.settle(now, key, (from, attempt), status),
            _ => {}
        }
    }

    /// Does what is due: repeats, renews, gives up, forgets.
    pub fn tick(&mut self, now: Millis) {
        self.memory.forget(now, self.retention);
        self.attempts.retain(|_, a| !a.is_over(now));
        let ids: Vec<AttemptId> = self.attempts.keys().copied().collect();
        for id in ids {
            self.due(now, id);
            self.step(now, id);
        }
    }

    /// Messages to other agents since the last call.
    pub fn take_outbox(&mut self) -> Vec<Outgoing> {
        std::mem::take(&mut self.outbox)
    }

    /// Attempts decided since the last call.
    pub fn take_decided(&mut self) -> Vec<Decided> {
        std::mem::take(&mut self.decided)
    }

    /// Keys that are kept for the group.
    pub fn replica_key_count(&self) -> usize {
        self.memory.len()
    }

    fn claimed(
        &mut self,
        now: Millis,
        from: InstanceId,
        key: ClaimKey,
        attempt: u64,
    ) -> Option<KeyStatus> {
        let informed = self.history.is_informed(now, key, self.retention);
        self.memory.claim(now, key, (from, attempt), informed)
    }

    fn answered(
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
        attempt.answered(from, status);
        // A claim that came late to a replica made it think that the ended
        // attempt still holds the key.
        if let Some(ended) = attempt.ended() {
            self.outbox.push(settle_message(from, key, id, ended));
        }
        self.step(now, id);
    }

    /// Asks the replicas that have not answered.
    fn ask(&mut self, now: Millis, id: AttemptId) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        let key = attempt.key();
        for to in attempt.ask(now) {
            if to != self.cfg.me {
                let message = Message::Claim { key, attempt: id.0 };
                self.outbox.push(Outgoing { to, message });
            } else if let Some(status) = self.claimed(now, to, key, id.0)
                && let Some(attempt) = self.attempts.get_mut(&id)
            {
                attempt.answered(to, status);
            }
        }
    }

    fn step(&mut self, now: Millis, id: AttemptId) {
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
            self.tell(now, id, status);
        }
    }

    fn due(&mut self, now: Millis, id: AttemptId) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        if attempt.is_renewal_due(now) {
            self.tell(now, id, KeyStatus::Running);
        } else if let Some(status) = attempt.take_repeat(now) {
            self.tell(now, id, status);
        } else if attempt.is_ask_due(now) {
            self.ask(now, id);
        }
    }

    fn tell(&mut self, now: Millis, id: AttemptId, status: KeyStatus) {
        let Some(attempt) = self.attempts.get(&id) else {
            return;
        };
        let key = attempt.key();
        for to in attempt.replicas() {
            if to == self.cfg.me {
                self.memory.settle(now, key, (to, id.0), status);
            } else {
                self.outbox.push(settle_message(to, key, id, status));
            }
        }
    }
}

fn settle_message(to: InstanceId, key: ClaimKey, id: AttemptId, status: KeyStatus) -> Outgoing {
    Outgoing {
        to,
        message: Message::ClaimOutcome {
            key,
            attempt: id.0,
            status,
        },
    }
}
