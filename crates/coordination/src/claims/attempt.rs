//! One attempt of a key, at the agent that makes it.

use ramp_protocol::message::ClaimKey;
use ramp_protocol::message::KeyStatus;
use ramp_state::key::InstanceId;
use ramp_state::time::Millis;

use super::CLAIM_LIMIT;
use super::ENDED_LIFE;
use super::GRACE;
use super::RENEWAL_PERIOD;
use super::RESEND_PERIOD;
use super::replicas::Replica;

/// Whether an attempt may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It may; no other attempt of the key ran or will.
    Granted,
    /// It may not: another attempt holds the key.
    Running,
    /// It may not: another attempt was served.
    Served,
    /// It may not: another attempt may have run, or nobody can tell.
    Unknown,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// Waits for answers.
    Asking,
    /// May run.
    Granted { at: Millis, renewed: Millis },
    /// Over; the outcome is told to replicas.
    Ended {
        at: Millis,
        status: KeyStatus,
        repeated: bool,
    },
}

/// One attempt.
#[derive(Debug)]
pub struct Attempt {
    key: ClaimKey,
    quorum: usize,
    replicas: Vec<(Replica, Option<KeyStatus>)>,
    began: Millis,
    asked: Millis,
    stage: Stage,
}

impl Attempt {
    /// An attempt that has asked nobody yet.
    pub fn new(now: Millis, key: ClaimKey, replicas: Vec<Replica>, quorum: usize) -> Attempt {
        Attempt {
            key,
            quorum,
            replicas: replicas.into_iter().map(|r| (r, None)).collect(),
            began: now,
            asked: now,
            stage: Stage::Asking,
        }
    }

    /// Its key.
    pub fn key(&self) -> ClaimKey {
        self.key
    }

    /// Its replicas.
    pub fn replicas(&self) -> impl Iterator<Item = InstanceId> {
        self.replicas.iter().map(|(r, _)| r.id)
    }

    /// When it was granted, while it may still be sent or runs.
    pub fn granted_at(&self) -> Option<Millis> {
        match self.stage {
            Stage::Granted { at, .. } => Some(at),
            Stage::Asking | Stage::Ended { .. } => None,
        }
    }

    /// Its outcome, when it is over.
    pub fn ended(&self) -> Option<KeyStatus> {
        match self.stage {
            Stage::Ended { status, .. } => Some(status),
            Stage::Asking | Stage::Granted { .. } => None,
        }
    }

    /// Replicas to ask now: those that have not answered.
    pub fn ask(&mut self, now: Millis) -> Vec<InstanceId> {
        self.asked = now;
        let silent = self.replicas.iter().filter(|(_, answer)| answer.is_none());
        silent.map(|(r, _)| r.id).collect()
    }

    /// Takes the answer of a replica; the first one counts.
    pub fn answered(&mut self, from: InstanceId, status: KeyStatus) {
        let replica = self.replicas.iter_mut().find(|(r, _)| r.id == from);
        if let Some((_, answer)) = replica {
            answer.get_or_insert(status);
        }
    }

    /// Decides as soon as it can, once.
    pub fn decide(&mut self, now: Millis) -> Option<Decision> {
        if self.stage != Stage::Asking {
            return None;
        }
        let decision = self.judge(now)?;
        self.stage = match decision {
            Decision::Granted => Stage::Granted {
                at: now,
                renewed: now,
            },
            Decision::Served => ended(now, KeyStatus::Served),
            // Nothing of this attempt ran, so its own claims are free again.
            Decision::Running | Decision::Unknown => ended(now, KeyStatus::Granted),
        };
        Some(decision)
    }

    /// Ends a granted attempt; whether this is its end.
    pub fn end(&mut self, now: Millis, status: KeyStatus) -> bool {
        let is_granted = self.granted_at().is_some();
        // One given up while it asks: nothing of it ran.
        let is_asking = self.stage == Stage::Asking;
        if is_granted {
            self.stage = ended(now, status);
        } else if is_asking {
            self.stage = ended(now, KeyStatus::Granted);
        }
        is_granted || is_asking
    }

    /// Whether replicas have to hear that it still runs.
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

    /// Outcome to tell a second time, against loss.
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

    /// Whether silent replicas have to be asked again.
    pub fn is_ask_due(&self, now: Millis) -> bool {
        let is_open = self.stage == Stage::Asking || self.granted_at().is_some();
        is_open && now.since(self.began) < CLAIM_LIMIT && now.since(self.asked) >= RESEND_PERIOD
    }

    /// Whether nothing is left to do for it.
    pub fn is_over(&self, now: Millis) -> bool {
        match self.stage {
            Stage::Ended { at, .. } => now.since(at) >= ENDED_LIFE,
            Stage::Asking | Stage::Granted { .. } => false,
        }
    }

    fn judge(&self, now: Millis) -> Option<Decision> {
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
        if granted >= self.quorum && (!self.awaits_more() || now.since(self.began) >= GRACE) {
            return Some(Decision::Granted);
        }
        let silent = self.replicas.iter().filter(|(_, a)| a.is_none()).count();
        let hopeless = granted + silent < self.quorum;
        let late = now.since(self.began) >= CLAIM_LIMIT;
        (hopeless || late).then_some(Decision::Unknown)
    }

    /// Whether a replica that is believed alive has not answered.
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
