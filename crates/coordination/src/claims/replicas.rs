//! Which agents are the replicas of a key, now and before.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use ramp_protocol::message::ClaimKey;
use ramp_state::key::InstanceId;
use ramp_state::key::mix;
use ramp_state::time::Millis;

use super::key::hash64;
use super::key::made;
use crate::group_snapshot::GroupSnapshot;

/// Replicas of each key.
pub const REPLICAS: usize = 3;

/// Changes of the group that are remembered.
const EPOCH_LIMIT: usize = 64;

/// Difference that the wall clocks of callers and agents may have.
const CLOCK_SKEW: Duration = Duration::from_secs(1);

/// Time in which every agent hears of a change of the group.
const SPREAD_LIMIT: Duration = Duration::from_secs(4);

/// Agent that can be a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Candidate {
    id: InstanceId,
    data_centre: Arc<str>,
}

/// Time during which the candidates did not change.
#[derive(Clone, Debug)]
struct Epoch {
    since: Millis,
    candidates: Vec<Candidate>,
}

/// [`Millis`] that may lie before zero.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Moment(i64);

impl Moment {
    fn at(now: Millis) -> Moment {
        Moment(now.0 as i64)
    }

    fn back(self, span: Duration) -> Moment {
        Moment(self.0 - span.as_millis() as i64)
    }
}

/// A replica that an attempt asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Replica {
    /// The agent.
    pub id: InstanceId,
    /// Whether it is believed alive.
    pub alive: bool,
}

/// The group's candidates over time.
#[derive(Debug)]
pub struct History {
    me: InstanceId,
    unix_ms_at_zero: u64,
    epochs: VecDeque<Epoch>,
    alive: Vec<InstanceId>,
}

impl History {
    /// An agent that knows no group yet.
    pub fn new(me: InstanceId, unix_ms_at_zero: u64) -> History {
        History {
            me,
            unix_ms_at_zero,
            epochs: VecDeque::new(),
            alive: Vec::new(),
        }
    }

    /// Takes a new picture and forgets what is older than `retention`.
    pub fn install(&mut self, now: Millis, picture: &GroupSnapshot, retention: Duration) {
        let members = &picture.group.members;
        self.alive = members.iter().filter(|m| m.alive).map(|m| m.id).collect();
        let candidates: Vec<Candidate> = members
            .iter()
            .filter(|m| m.reachable && !picture.gone.contains(&m.id))
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
        // The first epoch kept must reach back beyond the retention.
        while self.epochs.len() > EPOCH_LIMIT
            || self
                .epochs
                .get(1)
                .is_some_and(|e| now.since(e.since) > retention)
        {
            self.epochs.pop_front();
        }
    }

    /// Replicas of `key` now.
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

    /// Grants that an attempt of `key` needs: a majority of its replicas, and
    /// while an earlier attempt may have asked more of them, of those.
    pub fn quorum(&self, now: Millis, key: ClaimKey, retention: Duration) -> usize {
        let from = self.matters_from(now, key, retention);
        let mut most = 0;
        for epoch in self.epochs.iter().rev() {
            most = most.max(epoch.candidates.len().min(REPLICAS));
            if Moment::at(epoch.since) <= from {
                break;
            }
        }
        most / 2 + 1
    }

    /// Whether this agent would know if an attempt of `key` had run.
    pub fn is_informed(&self, now: Millis, key: ClaimKey, retention: Duration) -> bool {
        let Some(since) = self.replica_since(key) else {
            return false;
        };
        Moment::at(since) <= self.matters_from(now, key, retention)
    }

    /// From when on an attempt of `key` may have been made by an agent with
    /// the view of that moment: as long as keys are kept, or since the key
    /// was made if it tells. Clocks differ and views are late. May lie before
    /// this process's time zero.
    fn matters_from(&self, now: Millis, key: ClaimKey, retention: Duration) -> Moment {
        let kept = Moment::at(now).back(retention);
        let Some(made) = made(key) else {
            return kept;
        };
        let made = Moment(made as i64 - self.unix_ms_at_zero as i64);
        // Made in the future says only that its clock is wrong.
        if made > Moment::at(now + CLOCK_SKEW) {
            return kept;
        }
        kept.max(made.back(CLOCK_SKEW + SPREAD_LIMIT))
    }

    /// Since when this agent has been a replica of `key` without a break.
    fn replica_since(&self, key: ClaimKey) -> Option<Millis> {
        self.epochs
            .iter()
            .rev()
            .take_while(|e| choose(&e.candidates, key).contains(&self.me))
            .last()
            .map(|e| e.since)
    }
}

/// The highest ranks, first one from each data centre, then the rest. So a
/// data centre that goes out takes one replica with it, not the majority.
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
