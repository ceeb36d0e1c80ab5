//! State of claimed keys at an agent that is one of their replicas.
//!
//! Each key has one entry with the attempt that claimed it last and what became
//! of that attempt. An entry is kept for the retention of keys.

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexMap;
use ramp_protocol::message::ClaimKey;
use ramp_protocol::message::KeyStatus;
use ramp_state::key::InstanceId;
use ramp_state::time::Millis;

/// A running claim that is not renewed for this long becomes "may have run".
const CLAIM_LEASE: Duration = Duration::from_secs(15);

/// An attempt: the agent that makes it, and its number.
pub type Holder = (InstanceId, u64);

#[derive(Clone, Copy, Debug)]
struct Entry {
    /// Attempt that `status` is about: the last one that claimed the key or
    /// whose outcome replaced an earlier one.
    holder: Holder,
    /// What is known of the attempt; [`KeyStatus::Granted`] if the key is free.
    status: KeyStatus,
    /// When the entry was last changed or renewed.
    updated_at: Millis,
}

/// Entries of the keys of which this agent is a replica. Their number is
/// bounded. A full store answers claims of new keys with [`KeyStatus::Unknown`]
/// and never drops an entry before its retention ends.
#[derive(Debug)]
pub struct ReplicaStore {
    limit: usize,
    entries: IndexMap<ClaimKey, Entry>,
    /// Keys in the order in which their expiry was last checked, with the time
    /// of that check.
    expiry_queue: VecDeque<(Millis, ClaimKey)>,
}

impl ReplicaStore {
    /// Empty store for up to `limit` keys.
    pub fn new(limit: usize) -> ReplicaStore {
        ReplicaStore {
            limit,
            entries: IndexMap::new(),
            expiry_queue: VecDeque::new(),
        }
    }

    /// Number of keys stored.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Answers a claim, and records it if the key is free. `informed` is
    /// whether this agent would know of an earlier attempt; if not, the answer
    /// is [`KeyStatus::Unknown`] instead of a grant. `None` if the claim is a late
    /// copy of one that has ended.
    pub fn claim(
        &mut self,
        now: Millis,
        key: ClaimKey,
        holder: Holder,
        informed: bool,
    ) -> Option<KeyStatus> {
        let granted = if informed {
            KeyStatus::Granted
        } else {
            KeyStatus::Unknown
        };
        let Some(entry) = self.entries.get_mut(&key) else {
            let kept = self.insert(now, key, holder, KeyStatus::Running);
            return Some(if kept { granted } else { KeyStatus::Unknown });
        };
        entry.expire_lease(now);
        let is_holder = entry.holder == holder;
        match (entry.status, is_holder) {
            (KeyStatus::Running, true) => Some(granted),
            (KeyStatus::Granted, true) => None,
            (KeyStatus::Granted, false) => {
                entry.holder = holder;
                entry.status = KeyStatus::Running;
                entry.updated_at = now;
                Some(granted)
            }
            (status, _) => Some(status),
        }
    }

    /// Records the outcome of an attempt, or that it still runs.
    pub fn record_status(&mut self, now: Millis, key: ClaimKey, holder: Holder, status: KeyStatus) {
        let Some(entry) = self.entries.get_mut(&key) else {
            self.insert(now, key, holder, status);
            return;
        };
        let is_holder = entry.holder == holder;
        let known = rank(entry.status);
        let is_newer = match status {
            KeyStatus::Granted => is_holder && entry.status == KeyStatus::Running,
            KeyStatus::Running => is_holder && entry.status == KeyStatus::Running,
            KeyStatus::MayHaveRun | KeyStatus::Served => rank(status) > known,
            KeyStatus::Unknown => false,
        };
        if is_newer {
            entry.holder = holder;
            entry.status = status;
            entry.updated_at = now;
        }
    }

    /// Removes entries that were not touched for `retention`.
    pub fn expire(&mut self, now: Millis, retention: Duration) {
        while let Some((at, key)) = self.expiry_queue.front().copied() {
            if now.since(at) < retention {
                return;
            }
            self.expiry_queue.pop_front();
            let Some(entry) = self.entries.get(&key) else {
                continue;
            };
            if now.since(entry.updated_at) < retention {
                self.expiry_queue.push_back((now, key));
            } else {
                self.entries.swap_remove(&key);
            }
        }
    }

    fn insert(&mut self, now: Millis, key: ClaimKey, holder: Holder, status: KeyStatus) -> bool {
        if self.entries.len() >= self.limit {
            return false;
        }
        let entry = Entry {
            holder,
            status,
            updated_at: now,
        };
        self.entries.insert(key, entry);
        self.expiry_queue.push_back((now, key));
        true
    }
}

impl Entry {
    fn expire_lease(&mut self, now: Millis) {
        if self.status == KeyStatus::Running && now.since(self.updated_at) >= CLAIM_LEASE {
            self.status = KeyStatus::MayHaveRun;
        }
    }
}

/// Precedence of a status: an outcome replaces one of lower rank.
fn rank(status: KeyStatus) -> u8 {
    match status {
        KeyStatus::Unknown | KeyStatus::Granted => 0,
        KeyStatus::Running => 1,
        KeyStatus::MayHaveRun => 2,
        KeyStatus::Served => 3,
    }
}
