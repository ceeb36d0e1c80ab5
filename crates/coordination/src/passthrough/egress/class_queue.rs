//! Queue of one class: by priority, then in order of arrival.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use ramp_state::time::Millis;

use super::class::Policy;

/// A datagram that waits for the link.
#[derive(Debug)]
pub(super) struct Queued<D> {
    pub(super) datagram: D,
    /// Time that the link needs for it.
    pub(super) link_time: Duration,
    pub(super) queued_at: Millis,
}

/// Queued datagrams of one class.
#[derive(Debug)]
pub(super) struct ClassQueue<D> {
    policy: Policy,
    /// Datagrams by priority, 0 first; no list is empty.
    by_priority: BTreeMap<u8, VecDeque<Queued<D>>>,
    /// Link time of all queued datagrams.
    link_time: Duration,
    /// Link time by which the class got less than its guaranteed share since its
    /// queue was last empty.
    owed: Duration,
}

impl<D> ClassQueue<D> {
    pub(super) fn new(policy: Policy) -> ClassQueue<D> {
        ClassQueue {
            policy,
            by_priority: BTreeMap::new(),
            link_time: Duration::ZERO,
            owed: Duration::ZERO,
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.by_priority.is_empty()
    }

    /// Link time of all queued datagrams.
    pub(super) fn link_time(&self) -> Duration {
        self.link_time
    }

    pub(super) fn push(&mut self, priority: u8, queued: Queued<D>) {
        self.link_time += queued.link_time;
        let list = self.by_priority.entry(priority).or_default();
        list.push_back(queued);
    }

    /// Removes the first datagram.
    pub(super) fn pop(&mut self) -> Option<Queued<D>> {
        let mut list = self.by_priority.first_entry()?;
        let queued = list.get_mut().pop_front()?;
        if list.get().is_empty() {
            list.remove();
        }
        self.link_time -= queued.link_time;
        Some(queued)
    }

    /// Drops datagrams from the end until what is ahead of the last one is within
    /// the limit. Returns how many were dropped.
    pub(super) fn drop_surplus(&mut self) -> u64 {
        let mut dropped = 0;
        while let Some(mut list) = self.by_priority.last_entry()
            && let Some(last) = list.get().back()
            && self.link_time - last.link_time > self.policy.length_limit
        {
            self.link_time -= last.link_time;
            list.get_mut().pop_back();
            if list.get().is_empty() {
                list.remove();
            }
            dropped += 1;
        }
        dropped
    }

    /// Drops datagrams that have waited for too long. Returns how many.
    pub(super) fn drop_expired(&mut self, now: Millis) -> u64 {
        let max_age = self.policy.max_age;
        let is_expired = |queued: &mut Queued<D>| now.since(queued.queued_at) > max_age;
        let mut dropped = 0;
        for list in self.by_priority.values_mut() {
            while let Some(expired) = list.pop_front_if(is_expired) {
                self.link_time -= expired.link_time;
                dropped += 1;
            }
        }
        if dropped > 0 {
            self.by_priority.retain(|_, list| !list.is_empty());
        }
        dropped
    }

    /// Whether the class is owed at least the link time of its first datagram.
    pub(super) fn is_below_share(&self) -> bool {
        let first = self.by_priority.values().next().and_then(VecDeque::front);
        first.is_some_and(|first| self.owed >= first.link_time)
    }

    /// Records that the link sends a datagram of this class (`own`) or of another.
    pub(super) fn record_sent(&mut self, link_time: Duration, own: bool) {
        if self.is_empty() {
            self.owed = Duration::ZERO;
            return;
        }
        self.owed += link_time * self.policy.guaranteed_percent / 100;
        if own {
            self.owed = self.owed.saturating_sub(link_time);
        }
    }
}
