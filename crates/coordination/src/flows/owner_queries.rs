//! Owner queries (which member owns a flow?), their outcomes and their rate limits.
//!
//! A query and its outcome are remembered for a short time, so that the next
//! packet of a flow without owner is reset without a new query. The limits count
//! messages rather than queries, since a query costs one message per member.

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

/// Time for which a query and its outcome are remembered.
const QUERY_RETENTION: Duration = Duration::from_secs(10);

/// Time after which a further packet of the flow makes the query go again to
/// the members that have not answered.
const RETRY_AFTER: Duration = Duration::from_millis(150);

/// Queries remembered at once.
const MAX_OWNER_QUERIES: usize = 1024;

/// Query messages sent per second, on average.
const MESSAGES_PER_S: u64 = 32;

/// Query messages sent at once.
const MESSAGES_BURST: u64 = 1024;

/// Query messages per second, on average, for the callers of one shard.
const SHARD_MESSAGES_PER_S: u64 = 8;

/// Query messages sent at once for the callers of one shard.
const SHARD_MESSAGES_BURST: u64 = 128;

/// Shards that callers' addresses are hashed into, so that a flood from a few
/// addresses doesn't use up the queries of the others. Each address has two
/// shards, since with one it would often share its only shard with the flood.
const CALLER_SHARDS: usize = 128;

/// State of a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Progress {
    /// Some members have not answered yet.
    Pending,
    /// No member owns the flow; the reason is that of the reset.
    Unowned(ResetReason),
}

/// An owner query about one flow.
#[derive(Clone, Debug)]
pub(super) struct OwnerQuery {
    number: u64,
    /// Segment that caused the query; its acknowledgement number is sent along.
    pub(super) segment: Segment,
    /// Members that have answered that they do not own the flow.
    pub(super) denied: Vec<InstanceId>,
    pub(super) sent_at: Millis,
    pub(super) progress: Progress,
}

impl OwnerQuery {
    /// Whether the query may be sent again to members that have not answered.
    pub(super) fn may_retry(&self, now: Millis) -> bool {
        now.since(self.sent_at) >= RETRY_AFTER
    }
}

/// All owner queries of this agent, with their rate limits.
#[derive(Debug)]
pub(super) struct OwnerQueries {
    queries: HashMap<FlowKey, OwnerQuery, SeededBuildHasher>,
    /// Queries in order of expiry, with their numbers; some may have been removed.
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

    /// Flows with a remembered query, in order of expiry.
    pub(super) fn keys(&self) -> Vec<FlowKey> {
        self.expiry_queue
            .iter()
            .filter(|(_, number, key)| self.queries.get(key).is_some_and(|q| q.number == *number))
            .map(|(_, _, key)| *key)
            .collect()
    }

    /// Takes rate limit tokens for `messages` about `key`; false if there are
    /// too few.
    pub(super) fn take_budget(&mut self, now: Millis, key: &FlowKey, messages: usize) -> bool {
        let caller = u64::from(u32::from(*key.caller.ip()));
        let hash = mix(caller ^ self.seed) as usize;
        let messages = messages as u64;
        let mut take_from_shard =
            |shard: usize| self.caller_limits[shard % CALLER_SHARDS].take(now, messages);
        (take_from_shard(hash) || take_from_shard(hash / CALLER_SHARDS))
            && self.total_limit.take(now, messages)
    }

    /// Adds a new query; false when the limit is reached.
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

    /// Removes expired queries.
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

    /// When the next query expires.
    pub(super) fn next_expiry(&self) -> Option<Millis> {
        self.expiry_queue.front().map(|(at, _, _)| *at)
    }
}
