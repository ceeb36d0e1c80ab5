//! What an agent keeps of keys as a replica.

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexMap;
use ramp_protocol::message::ClaimKey;
use ramp_protocol::message::KeyStatus;
use ramp_state::key::InstanceId;
use ramp_state::time::Millis;

/// A running claim that is not renewed for so long may have run.
const LEASE: Duration = Duration::from_secs(15);

/// An attempt with the agent that makes it.
pub type Holder = (InstanceId, u64);

#[derive(Clone, Copy, Debug)]
struct Entry {
    /// Attempt that claimed the key last.
    holder: Holder,
    /// [`KeyStatus::Granted`] when the key is free.
    status: KeyStatus,
    /// When something of it was last heard.
    touched: Millis,
}

/// Keys by what is known of them. Bounded; when full, it says that it can't
/// know, and never drops what it knows before its time.
#[derive(Debug)]
pub struct Memory {
    limit: usize,
    entries: IndexMap<ClaimKey, Entry>,
    /// Keys in the order in which they were last looked at for expiry.
    queue: VecDeque<(Millis, ClaimKey)>,
}

impl Memory {
    /// Keeps up to `limit` keys.
    pub fn new(limit: usize) -> Memory {
        Memory {
            limit,
            entries: IndexMap::new(),
            queue: VecDeque::new(),
        }
    }

    /// Keys kept.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Takes a claim. `informed` tells whether an earlier attempt would be
    /// known here. Nothing when the claim is a late copy of an ended one.
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
        entry.lapse(now);
        let mine = entry.holder == holder;
        match (entry.status, mine) {
            (KeyStatus::Running, true) => Some(granted),
            (KeyStatus::Granted, true) => None,
            (KeyStatus::Granted, false) => {
                entry.holder = holder;
                entry.status = KeyStatus::Running;
                entry.touched = now;
                Some(granted)
            }
            (status, _) => Some(status),
        }
    }

    /// Takes what became of an attempt, or that it still runs.
    pub fn settle(&mut self, now: Millis, key: ClaimKey, holder: Holder, status: KeyStatus) {
        let Some(entry) = self.entries.get_mut(&key) else {
            self.insert(now, key, holder, status);
            return;
        };
        let mine = entry.holder == holder;
        let known = rank(entry.status);
        let news = match status {
            KeyStatus::Granted => mine && entry.status == KeyStatus::Running,
            KeyStatus::Running => mine && entry.status == KeyStatus::Running,
            KeyStatus::MayHaveRun | KeyStatus::Served => rank(status) > known,
            KeyStatus::Unknown => false,
        };
        if news {
            entry.holder = holder;
            entry.status = status;
            entry.touched = now;
        }
    }

    /// Forgets keys of which nothing was heard for `retention`.
    pub fn forget(&mut self, now: Millis, retention: Duration) {
        while let Some((at, key)) = self.queue.front().copied() {
            if now.since(at) < retention {
                return;
            }
            self.queue.pop_front();
            let Some(entry) = self.entries.get(&key) else {
                continue;
            };
            if now.since(entry.touched) < retention {
                self.queue.push_back((now, key));
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
            touched: now,
        };
        self.entries.insert(key, entry);
        self.queue.push_back((now, key));
        true
    }
}

impl Entry {
    fn lapse(&mut self, now: Millis) {
        if self.status == KeyStatus::Running && now.since(self.touched) >= LEASE {
            self.status = KeyStatus::MayHaveRun;
        }
    }
}

/// Order in which knowledge about a key replaces other knowledge.
fn rank(status: KeyStatus) -> u8 {
    match status {
        KeyStatus::Unknown | KeyStatus::Granted => 0,
        KeyStatus::Running => 1,
        KeyStatus::MayHaveRun => 2,
        KeyStatus::Served => 3,
    }
}
