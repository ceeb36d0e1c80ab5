//! State of one attempt of a key at the agent that makes it: it asks the key's
//! replicas, decides by their answers, and sends them the outcome.

use ramp_protocol::message::ClaimKey;
use ramp_protocol::message::KeyStatus;
use ramp_state::key::InstanceId;
use ramp_state::time::Millis;

use super::CLAIM_TIMEOUT;
use super::LAST_REPLICA_WAIT;
use super::OUTCOME_RETENTION;
use super::RENEWAL_PERIOD;
use super::RESEND_PERIOD;
use super::replicas::Replica;

/// Decision on an attempt: whether its request may be sent to the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It may be sent: no other attempt of the key has run or will run.
    Granted,
    /// It may not: another attempt of the key is running.
    Running,
    /// It may not: another attempt of the key was served.
    Served,
    /// It may not: another attempt may have run, or too few replicas granted
    /// the claim in time.
    Unknown,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// Waits for the replicas' answers.
    Asking,
    /// Granted at `at`; its claim was last renewed at `renewed`.
    Granted { at: Millis, renewed: Millis },
    /// Over. The outcome is sent to the replicas, and once more in case the
    /// message was lost; `repeated` is true when that was done.
    Ended {
        at: Millis,
        status: KeyStatus,
        repeated: bool,
    },
}

/// An attempt with the answers of its replicas.
#[derive(Debug)]
pub struct Attempt {
    key: ClaimKey,
    quorum: usize,
    replicas: Vec<(Replica, Option<KeyStatus>)>,
    began: Millis,
    last_asked_at: Millis,
    stage: Stage,
}

impl Attempt {
    /// Attempt that has not asked its replicas yet.
    pub fn new(now: Millis, key: ClaimKey, replicas: Vec<Replica>, quorum: usize) -> Attempt {
        Attempt {
            key,
            quorum,
            replicas: replicas.into_iter().map(|r| (r, None)).collect(),
            began: now,
            last_asked_at: now,
            stage: Stage::Asking,
        }
    }

    /// Key that it claims.
    pub fn key(&self) -> ClaimKey {
        self.key
    }

    /// Replicas of the key when the attempt began.
    pub fn replicas(&self) -> impl Iterator<Item = InstanceId> {
        self.replicas.iter().map(|(r, _)| r.id)
    }

    /// When it was granted; `None` before that and after its end.
    pub fn granted_at(&self) -> Option<Millis> {
        match self.stage {
            Stage::Granted { at, .. } => Some(at),
            Stage::Asking | Stage::Ended { .. } => None,
        }
    }

    /// Outcome, if it has ended.
    pub fn ended(&self) -> Option<KeyStatus> {
        match self.stage {
            Stage::Ended { status, .. } => Some(status),
            Stage::Asking | Stage::Granted { .. } => None,
        }
    }

    /// Notes that the replicas are asked now, and returns those to ask: the ones
    /// that have not answered.
    pub fn replicas_to_ask(&mut self, now: Millis) -> Vec<InstanceId> {
        self.last_asked_at = now;
        let unanswered = self.replicas.iter().filter(|(_, answer)| answer.is_none());
        unanswered.map(|(r, _)| r.id).collect()
    }

    /// Records the answer of a replica; later answers of the same are ignored.
    pub fn record_answer(&mut self, from: InstanceId, status: KeyStatus) {
        let replica = self.replicas.iter_mut().find(|(r, _)| r.id == from);
        if let Some((_, answer)) = replica {
            answer.get_or_insert(status);
        }
    }

    /// Decides, once the answers suffice or the time is up. Returns the decision
    /// the first time only.
    pub fn decide(&mut self, now: Millis) -> Option<Decision> {
        if self.stage != Stage::Asking {
            return None;
        }
        let decision = self.evaluate(now)?;
        self.stage = match decision {
            Decision::Granted => Stage::Granted {
                at: now,
                renewed: now,
            },
            Decision::Served => ended(now, KeyStatus::Served),
            // This attempt did not run, so the replicas can free its claims.
            Decision::Running | Decision::Unknown => ended(now, KeyStatus::Granted),
        };
        Some(decision)
    }

    /// Ends the attempt with `status`. Returns false if it had ended before.
    pub fn end(&mut self, now: Millis, status: KeyStatus) -> bool {
        let is_granted = self.granted_at().is_some();
        // Given up before it was granted, so it did not run.
        let is_asking = self.stage == Stage::Asking;
        if is_granted {
            self.stage = ended(now, status);
        } else if is_asking {
            self.stage = ended(now, KeyStatus::Granted);
        }
        is_granted || is_asking
    }

    /// Whether the claim has to be renewed at the replicas; if so, records the
    /// renewal.
    pub fn is_renewal_due(&mut self, now: Millis) -> bool {
        let Stage::Granted { renewed, .. } = &mut self.stage else {
            return false;
        };
        let due = now.since(*renewed) >= RENEWAL_PERIOD;
        if due {
            *renewed = now;
        }
        due
    }

    /// Outcome to send a second time, in case the first message was lost; `None`
    /// if not due or done already.
    pub fn take_repeat(&mut self, now: Millis) -> Option<KeyStatus> {
        let Stage::Ended {
            at,
            status,
            repeated,
        } = &mut self.stage
        else {
            return None;
        };
        if *repeated || now.since(*at) < RESEND_PERIOD {
            return None;
        }
        *repeated = true;
        Some(*status)
    }

    /// Whether the replicas that have not answered have to be asked again.
    pub fn is_ask_due(&self, now: Millis) -> bool {
        let is_open = self.stage == Stage::Asking || self.granted_at().is_some();
        is_open
            && now.since(self.began) < CLAIM_TIMEOUT
            && now.since(self.last_asked_at) >= RESEND_PERIOD
    }

    /// Whether the attempt has ended and its outcome need not be kept any more.
    pub fn is_over(&self, now: Millis) -> bool {
        match self.stage {
            Stage::Ended { at, .. } => now.since(at) >= OUTCOME_RETENTION,
            Stage::Asking | Stage::Granted { .. } => false,
        }
    }

    fn evaluate(&self, now: Millis) -> Option<Decision> {
        let count = |wanted| {
            let answers = self.replicas.iter().filter_map(|(_, answer)| *answer);
            answers.filter(|status| *status == wanted).count()
        };
        if count(KeyStatus::Served) > 0 {
            return Some(Decision::Served);
        }
        if count(KeyStatus::MayHaveRun) > 0 {
            return Some(Decision::Unknown);
        }
        if count(KeyStatus::Running) > 0 {
            return Some(Decision::Running);
        }
        let granted = count(KeyStatus::Granted);
        if granted >= self.quorum
            && (!self.awaits_more() || now.since(self.began) >= LAST_REPLICA_WAIT)
        {
            return Some(Decision::Granted);
        }
        let unanswered = self.replicas.iter().filter(|(_, a)| a.is_none()).count();
        let no_quorum_left = granted + unanswered < self.quorum;
        let timed_out = now.since(self.began) >= CLAIM_TIMEOUT;
        (no_quorum_left || timed_out).then_some(Decision::Unknown)
    }

    /// Whether a replica that is considered alive has not answered yet.
    fn awaits_more(&self) -> bool {
        self.replicas
            .iter()
            .any(|(r, answer)| r.alive && answer.is_none())
    }
}

fn ended(now: Millis, status: KeyStatus) -> Stage {
    Stage::Ended {
        at: now,
        status,
        repeated: false,
    }
}
