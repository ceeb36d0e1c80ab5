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
use super::hash::SeededState;
use super::token_bucket::TokenBucket;

/// Time for which a question and its outcome are remembered.
const MEMORY: Duration = Duration::from_secs(10);

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
const SHARE_MESSAGES_PER_S: u64 = 8;

/// Messages that may ask at once for callers of one share of the addresses.
const SHARE_MESSAGES_BURST: u64 = 128;

/// Shares that callers' addresses are divided into, so that a flood from a
/// few addresses leaves questions for the others. Each address may use two,
/// since a single one is shared with the flood too easily.
const SHARES: usize = 128;

/// Where a question stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Progress {
    /// Not every member has answered.
    Open,
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
    pub(super) asked_at: Millis,
    pub(super) progress: Progress,
}

impl OwnerQuery {
    /// Whether members that have not answered may be asked again.
    pub(super) fn may_retry(&self, now: Millis) -> bool {
        now.since(self.asked_at) >= RETRY_AFTER
    }
}

/// All questions of this agent, with their limits.
#[derive(Debug)]
pub(super) struct OwnerQueries {
    open: HashMap<FlowKey, OwnerQuery, SeededState>,
    /// OwnerQueries in the order in which they are forgotten.
    forgetting: VecDeque<(Millis, u64, FlowKey)>,
    numbers: u64,
    seed: u64,
    messages: TokenBucket,
    shares: Vec<TokenBucket>,
}

impl OwnerQueries {
    pub(super) fn new(seed: u64) -> OwnerQueries {
        let share = TokenBucket::new(SHARE_MESSAGES_PER_S, SHARE_MESSAGES_BURST);
        OwnerQueries {
            open: HashMap::with_hasher(SeededState::new(seed)),
            forgetting: VecDeque::new(),
            numbers: 0,
            seed,
            messages: TokenBucket::new(MESSAGES_PER_S, MESSAGES_BURST),
            shares: vec![share; SHARES],
        }
    }

    pub(super) fn len(&self) -> usize {
        self.open.len()
    }

    pub(super) fn get(&mut self, key: &FlowKey) -> Option<&mut OwnerQuery> {
        self.open.get_mut(key)
    }

    pub(super) fn keys(&self) -> Vec<FlowKey> {
        self.forgetting
            .iter()
            .filter(|(_, number, key)| self.open.get(key).is_some_and(|q| q.number == *number))
            .map(|(_, _, key)| *key)
            .collect()
    }

    /// Takes the right to send `messages` that ask about `key`.
    pub(super) fn allow(&mut self, now: Millis, key: &FlowKey, messages: usize) -> bool {
        let caller = u64::from(u32::from(*key.caller.ip()));
        let hash = mix(caller ^ self.seed) as usize;
        let messages = messages as u64;
        let mut share = |at: usize| self.shares[at % SHARES].take(now, messages);
        (share(hash) || share(hash / SHARES)) && self.messages.take(now, messages)
    }

    /// Remembers a new question; false when too many are remembered.
    pub(super) fn insert(&mut self, now: Millis, segment: Segment) -> bool {
        if self.open.len() >= MAX_OWNER_QUERIES {
            return false;
        }
        self.numbers += 1;
        let query = OwnerQuery {
            number: self.numbers,
            segment,
            denied: Vec::new(),
            asked_at: now,
            progress: Progress::Open,
        };
        self.open.insert(segment.key, query);
        self.forgetting
            .push_back((now + MEMORY, self.numbers, segment.key));
        true
    }

    pub(super) fn remove(&mut self, key: &FlowKey) -> bool {
        self.open.remove(key).is_some()
    }

    /// Forgets questions whose time is up.
    pub(super) fn forget(&mut self, now: Millis) {
        while let Some((at, number, key)) = self.forgetting.front().copied() {
            if at > now {
                return;
            }
            self.forgetting.pop_front();
            if self.open.get(&key).is_some_and(|q| q.number == number) {
                self.open.remove(&key);
            }
        }
    }

    /// When the next question is forgotten.
    pub(super) fn next_forget(&self) -> Option<Millis> {
        self.forgetting.front().map(|(at, _, _)| *at)
    }
}
