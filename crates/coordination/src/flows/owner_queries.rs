//! OwnerQueries to the group who owns a flow, and their outcome.
//!
//! A question is remembered for a short time after its last answer, so that
//! the next packet of a flow that nobody owns is reset without asking again.
//! The limits count messages, not questions, because that is what they cost.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use ramp_protocol::packet::Segment;
use ramp_state::key::FlowKey;
use ramp_state::key::InstanceId;
use ramp_state::key::mix;
use ramp_state::time::Millis;

use super::ResetReason;
use super::hash::SeededBuildHasher;
use super::token_bucket::TokenBucket;

/// Time for which a question and its outcome are remembered.
const QUERY_RETENTION: Duration = Duration::from_secs(10);

/// Time after which members that have not answered are asked again, when
/// another packet of the flow comes.
const RETRY_AFTER: Duration = Duration::from_millis(150);

/// OwnerQueries remembered at once.
const MAX_OWNER_QUERIES: usize = 1024;

/// Messages that may ask, a second.
const MESSAGES_PER_S: u64 = 32;

/// Messages that may ask at once.
const MESSAGES_BURST: u64 = 1024;

/// Messages that may ask for callers of one share of the addresses, a second.
const SHARD_MESSAGES_PER_S: u64 = 8;

/// Messages that may ask at once for callers of one share of the addresses.
const SHARD_MESSAGES_BURST: u64 = 128;

/// Shares that callers' addresses are divided into, so that a flood from a
/// few addresses leaves questions for the others. Each address may use two,
/// since a single one is shared with the flood too easily.
const CALLER_SHARDS: usize = 128;

/// Where a question stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Progress {
    /// Not every member has answered.
    Pending,
    /// Nobody owns the flow.
    Unowned(ResetReason),
}

/// One query.
#[derive(Clone, Debug)]
pub(super) struct OwnerQuery {
    number: u64,
    /// Segment that raised it.
    pub(super) segment: Segment,
    /// Members that do not own the flow.
    pub(super) denied: Vec<InstanceId>,
    pub(super) sent_at: Millis,
    pub(super) progress: Progress,
}

impl OwnerQuery {
    /// Whether members that have not answered may be asked again.
    pub(super) fn may_retry(&self, now: Millis) -> bool {
        now.since(self.sent_at) >= RETRY_AFTER
    }
}

/// All questions of this agent, with their limits.
#[derive(Debug)]
pub(super) struct OwnerQueries {
    queries: HashMap<FlowKey, OwnerQuery, SeededBuildHasher>,
    /// OwnerQueries in the order in which they are forgotten.
    expiry_queue: VecDeque<(Millis, u64, FlowKey)>,
    last_number: u64,
    seed: u64,
    total_limit: TokenBucket,
    caller_limits: Vec<TokenBucket>,
}

impl OwnerQueries {
    pub(super) fn new(seed: u64) -> OwnerQueries {
        let shard_limit = TokenBucket::new(SHARD_MESSAGES_PER_S, SHARD_MESSAGES_BURST);
        OwnerQueries {
            queries: HashMap::with_hasher(SeededBuildHasher::new(seed)),
            expiry_queue: VecDeque::new(),
            last_number: 0,
            seed,
            total_limit: TokenBucket::new(MESSAGES_PER_S, MESSAGES_BURST),
            caller_limits: vec![shard_limit; CALLER_SHARDS],
        }
    }

    pub(super) fn len(&self) -> usize {
        self.queries.len()
    }

    pub(super) fn get(&mut self, key: &FlowKey) -> Option<&mut OwnerQuery> {
        self.queries.get_mut(key)
    }

    pub(super) fn keys(&self) -> Vec<FlowKey> {
        self.expiry_queue
            .iter()
            .filter(|(_, number, key)| self.queries.get(key).is_some_and(|q| q.number == *number))
            .map(|(_, _, key)| *key)
            .collect()
    }

    /// Takes the right to send `messages` that ask about `key`.
    pub(super) fn take_budget(&mut self, now: Millis, key: &FlowKey, messages: usize) -> bool {
        let caller = u64::from(u32::from(*key.caller.ip()));
        let hash = mix(caller ^ self.seed) as usize;
        let messages = messages as u64;
        let mut take_from_shard =
            |shard: usize| self.caller_limits[shard % CALLER_SHARDS].take(now, messages);
        (take_from_shard(hash) || take_from_shard(hash / CALLER_SHARDS))
            && self.total_limit.take(now, messages)
    }

    /// Remembers a new question; false when too many are remembered.
    pub(super) fn insert(&mut self, now: Millis, segment: Segment) -> bool {
        if self.queries.len() >= MAX_OWNER_QUERIES {
            return false;
        }
        self.last_number += 1;
        let query = OwnerQuery {
            number: self.last_number,
            segment,
            denied: Vec::new(),
            sent_at: now,
            progress: Progress::Pending,
        };
        self.queries.insert(segment.key, query);
        self.expiry_queue
            .push_back((now + QUERY_RETENTION, self.last_number, segment.key));
        true
    }

    pub(super) fn remove(&mut self, key: &FlowKey) -> bool {
        self.queries.remove(key).is_some()
    }

    /// Forgets questions whose time is up.
    pub(super) fn expire(&mut self, now: Millis) {
        while let Some((at, number, key)) = self.expiry_queue.front().copied() {
            if at > now {
                return;
            }
            self.expiry_queue.pop_front();
            if self.queries.get(&key).is_some_and(|q| q.number == number) {
                self.queries.remove(&key);
            }
        }
    }

    /// When the next question is forgotten.
    pub(super) fn next_expiry(&self) -> Option<Millis> {
        self.expiry_queue.front().map(|(at, _, _)| *at)
    }
}
