//! Determines which agents are the replicas of a key, now and in the past.
//!
//! Replicas are chosen by rendezvous hashing among the agents that the
//! configuration lists. The past sets are kept as epochs, because an agent has
//! to know since when it is a replica of a key, and how many replicas earlier
//! attempts of the key may have asked.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use ramp_protocol::message::ClaimKey;
use ramp_state::key::InstanceId;
use ramp_state::key::mix;
use ramp_state::time::Millis;

use super::key::created;
use super::key::hash64;
use crate::group_snapshot::GroupSnapshot;

/// Number of replicas of each key.
pub const REPLICAS: usize = 3;

/// Limit on the epochs kept.
const MAX_EPOCHS: usize = 64;

/// Largest difference assumed between the wall clocks of callers and agents.
const CLOCK_SKEW: Duration = Duration::from_secs(1);

/// Time within which every agent learns of a change of the group.
const GROUP_PROPAGATION_TIME: Duration = Duration::from_secs(4);

/// An agent that can be a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Candidate {
    id: InstanceId,
    data_centre: Arc<str>,
}

/// A period during which the candidates did not change.
#[derive(Clone, Debug)]
struct Epoch {
    since: Millis,
    candidates: Vec<Candidate>,
}

/// Like [`Millis`], but can also be before zero.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct SignedMillis(i64);

impl SignedMillis {
    fn at(now: Millis) -> SignedMillis {
        SignedMillis(now.0 as i64)
    }

    fn back(self, span: Duration) -> SignedMillis {
        SignedMillis(self.0 - span.as_millis() as i64)
    }
}

/// A replica of a key, as an attempt sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Replica {
    /// Identity of the agent.
    pub id: InstanceId,
    /// Whether the failure detector considers it alive; a dead one is not waited
    /// for.
    pub alive: bool,
}

/// The group's candidates, by epoch.
#[derive(Debug)]
pub struct History {
    me: InstanceId,
    unix_ms_at_zero: u64,
    epochs: VecDeque<Epoch>,
    alive: Vec<InstanceId>,
}

impl History {
    /// Empty history, before the first snapshot of the group.
    pub fn new(me: InstanceId, unix_ms_at_zero: u64) -> History {
        History {
            me,
            unix_ms_at_zero,
            epochs: VecDeque::new(),
            alive: Vec::new(),
        }
    }

    /// Installs a new snapshot, and drops epochs that ended more than
    /// `retention` ago.
    pub fn install(&mut self, now: Millis, snapshot: &GroupSnapshot, retention: Duration) {
        let members = &snapshot.group.members;
        self.alive = members.iter().filter(|m| m.alive).map(|m| m.id).collect();
        let candidates: Vec<Candidate> = members
            .iter()
            .filter(|m| m.reachable && !snapshot.gone.contains(&m.id))
            .map(|m| Candidate {
                id: m.id,
                data_centre: m.data_centre.clone(),
            })
            .collect();
        if self
            .epochs
            .back()
            .is_some_and(|e| e.candidates == candidates)
        {
            return;
        }
        let since = now;
        self.epochs.push_back(Epoch { since, candidates });
        // Unless there are too many epochs, the first one kept began before the
        // retention.
        while self.epochs.len() > MAX_EPOCHS
            || self
                .epochs
                .get(1)
                .is_some_and(|e| now.since(e.since) > retention)
        {
            self.epochs.pop_front();
        }
    }

    /// Present replicas of `key`.
    pub fn replicas(&self, key: ClaimKey) -> Vec<Replica> {
        let Some(epoch) = self.epochs.back() else {
            return Vec::new();
        };
        let chosen = choose(&epoch.candidates, key);
        let replica = |id| Replica {
            id,
            alive: self.alive.contains(&id),
        };
        chosen.into_iter().map(replica).collect()
    }

    /// Number of grants that an attempt of `key` needs: a majority of its
    /// replicas. While an earlier attempt may have asked a larger set of them,
    /// it is a majority of that set.
    pub fn quorum(&self, now: Millis, key: ClaimKey, retention: Duration) -> usize {
        let from = self.earliest_attempt(now, key, retention);
        let mut largest = 0;
        for epoch in self.epochs.iter().rev() {
            largest = largest.max(epoch.candidates.len().min(REPLICAS));
            if SignedMillis::at(epoch.since) <= from {
                break;
            }
        }
        largest / 2 + 1
    }

    /// Whether this agent would know of an earlier attempt of `key`: it has been
    /// a replica for as long as there may have been one.
    pub fn knows_earlier_attempts(&self, now: Millis, key: ClaimKey, retention: Duration) -> bool {
        let Some(since) = self.replica_since(key) else {
            return false;
        };
        SignedMillis::at(since) <= self.earliest_attempt(now, key, retention)
    }

    /// Earliest time whose candidates an earlier attempt of `key` may have used:
    /// the start of the retention, or the key's creation if the key contains it
    /// and it is later. The creation time is moved back, because clocks differ
    /// and an agent may have used an outdated configuration. The result may be
    /// before this process's time zero.
    fn earliest_attempt(&self, now: Millis, key: ClaimKey, retention: Duration) -> SignedMillis {
        let retention_start = SignedMillis::at(now).back(retention);
        let Some(created) = created(key) else {
            return retention_start;
        };
        let created = SignedMillis(created as i64 - self.unix_ms_at_zero as i64);
        // A creation time in the future means that the caller's clock is wrong.
        if created > SignedMillis::at(now + CLOCK_SKEW) {
            return retention_start;
        }
        retention_start.max(created.back(CLOCK_SKEW + GROUP_PROPAGATION_TIME))
    }

    /// Since when this agent has been a replica of `key` without interruption.
    fn replica_since(&self, key: ClaimKey) -> Option<Millis> {
        self.epochs
            .iter()
            .rev()
            .take_while(|e| choose(&e.candidates, key).contains(&self.me))
            .last()
            .map(|e| e.since)
    }
}

/// Chooses the replicas of `key`: the candidates with the highest hashes, at
/// first only one from each data centre, then any. Then the loss of a data
/// centre costs one replica and not the majority.
fn choose(candidates: &[Candidate], key: ClaimKey) -> Vec<InstanceId> {
    let mut ranked: Vec<&Candidate> = candidates.iter().collect();
    let hash = hash64(key);
    ranked.sort_by_key(|c| std::cmp::Reverse((mix(hash ^ c.id.0), c.id)));
    let mut chosen: Vec<&Candidate> = Vec::with_capacity(REPLICAS);
    for c in &ranked {
        let is_new = chosen.iter().all(|d| d.data_centre != c.data_centre);
        if is_new && chosen.len() < REPLICAS {
            chosen.push(c);
        }
    }
    for c in ranked {
        if chosen.len() < REPLICAS && !chosen.contains(&c) {
            chosen.push(c);
        }
    }
    chosen.iter().map(|c| c.id).collect()
}
