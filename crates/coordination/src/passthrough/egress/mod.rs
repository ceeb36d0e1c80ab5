//! Queue of the datagrams that a balancer sends over a narrow link.
//!
//! A balancer whose link is slower than its callers' links can send more than the
//! link carries. Without this queue, the surplus waits in the network in order of
//! arrival: owner queries wait behind bulk data, replies arrive late, and senders
//! retransmit packets that are still waiting. [`EgressQueue`] sends slightly below
//! the rate of the link, so that datagrams wait here, where they are ordered by
//! [`Class`] and where the wait is limited.
//!
//! The queue measures sizes as the time that the link needs for them.

mod bulk_meter;
mod class;
mod class_queue;

use std::time::Duration;

use ramp_state::time::Millis;

use self::class::CLASS_COUNT;
use self::class::POLICIES;
use self::class_queue::ClassQueue;
use self::class_queue::Queued;
use super::link_rate::LinkRate;

pub use self::bulk_meter::BulkMeter;
pub use self::class::Class;

/// Share of the link's rate that is used. The rest is left for readiness replies
/// and the platform's records, so that the queue forms here and not in the network.
const USED_RATE_PERCENT: u64 = 95;

/// Link time by which datagrams may be sent early. A longer one lets the thread
/// wake up less often, a shorter one lets control datagrams overtake sooner.
const EARLY_SEND_LIMIT: Duration = Duration::from_millis(2);

/// Link time that may be made up for after the process did not run while datagrams
/// were queued. A quota on processor time can stop a process for most of its period
/// of 100 ms; a longer burst would delay later control datagrams in the network.
const CATCH_UP_LIMIT: Duration = Duration::from_millis(50);

/// What is queued: anything with a size.
pub trait Datagram {
    /// Length without the IP and UDP headers, in bytes.
    fn payload_len_bytes(&self) -> usize;
}

/// Datagrams dropped by class, in descending order of precedence: control,
/// interactive data, bulk data.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Drops {
    /// Dropped because the queue of their class was full.
    pub full: [u64; CLASS_COUNT],
    /// Dropped because they were queued for longer than their class allows.
    pub expired: [u64; CLASS_COUNT],
}

/// Datagrams that wait for the link of this instance.
#[derive(Debug)]
pub struct EgressQueue<D> {
    /// Rate at which the queue is drained.
    rate: LinkRate,
    /// Queues in descending order of precedence.
    classes: [ClassQueue<D>; CLASS_COUNT],
    /// When the link has sent everything that was taken from the queue, as time
    /// since the zero of the clock.
    link_free_at: Duration,
    drops: Drops,
}

impl Drops {
    /// Whether nothing was dropped.
    pub fn is_empty(&self) -> bool {
        *self == Drops::default()
    }

    /// Datagrams dropped for either reason, by class.
    pub fn by_class(&self) -> [u64; CLASS_COUNT] {
        std::array::from_fn(|class| self.full[class] + self.expired[class])
    }

    /// Adds later drops.
    pub fn add(&mut self, later: &Drops) {
        for class in 0..CLASS_COUNT {
            self.full[class] += later.full[class];
            self.expired[class] += later.expired[class];
        }
    }
}

impl<D: Datagram> EgressQueue<D> {
    /// The queue for a link of this rate; none if the link is wide or its rate is
    /// not known, so that datagrams are sent at once.
    pub fn for_link(rate: Option<LinkRate>) -> Option<EgressQueue<D>> {
        let rate = rate.filter(|rate| rate.is_narrow())?;
        Some(EgressQueue {
            rate: rate.percent(USED_RATE_PERCENT),
            classes: POLICIES.map(ClassQueue::new),
            link_free_at: Duration::ZERO,
            drops: Drops::default(),
        })
    }

    /// Adds a datagram. If the queue of its class is too long then, the datagrams at
    /// its end are dropped, this one or ones of a lower priority.
    pub fn push(&mut self, now: Millis, class: Class, datagram: D) {
        if self.is_empty() {
            // Time in which nothing was queued is not made up for.
            self.link_free_at = self.link_free_at.max(since_zero(now));
        }
        let index = class.index();
        let queue = &mut self.classes[index];
        queue.push(
            class.priority(),
            Queued {
                link_time: self.rate.datagram_time(datagram.payload_len_bytes()),
                queued_at: now,
                datagram,
            },
        );
        self.drops.full[index] += queue.drop_surplus();
    }

    /// Removes the datagram that is to be sent next; none if the queue is empty or
    /// the link is still busy.
    pub fn pop(&mut self, now: Millis) -> Option<D> {
        self.drop_expired(now);
        let now = since_zero(now);
        if self.link_free_at >= now + EARLY_SEND_LIMIT {
            return None;
        }
        let class = self.next_class()?;
        let queued = self.classes[class].pop()?;
        for (index, queue) in self.classes.iter_mut().enumerate() {
            queue.record_sent(queued.link_time, index == class);
        }
        let start = self.link_free_at.max(now.saturating_sub(CATCH_UP_LIMIT));
        self.link_free_at = start + queued.link_time;
        Some(queued.datagram)
    }

    /// Time after which [`EgressQueue::pop`] is to be called again; none if the queue
    /// is empty.
    pub fn time_to_next(&self, now: Millis) -> Option<Duration> {
        let busy_for = self.link_free_at.saturating_sub(since_zero(now));
        (!self.is_empty()).then_some(busy_for)
    }

    /// Time that the link needs for the queued datagrams and for what it is sending.
    pub fn backlog(&self, now: Millis) -> Duration {
        let queued: Duration = self.classes.iter().map(ClassQueue::link_time).sum();
        queued + self.link_free_at.saturating_sub(since_zero(now))
    }

    /// The datagrams that were dropped since the last call.
    pub fn take_drops(&mut self) -> Drops {
        std::mem::take(&mut self.drops)
    }

    fn is_empty(&self) -> bool {
        self.classes.iter().all(ClassQueue::is_empty)
    }

    /// The class that is sent next: one that got less than its guaranteed share, or
    /// else the first by precedence.
    fn next_class(&self) -> Option<usize> {
        let below_share = self.classes.iter().position(ClassQueue::is_below_share);
        below_share.or_else(|| self.classes.iter().position(|queue| !queue.is_empty()))
    }

    fn drop_expired(&mut self, now: Millis) {
        for (queue, expired) in self.classes.iter_mut().zip(&mut self.drops.expired) {
            *expired += queue.drop_expired(now);
        }
    }
}

fn since_zero(now: Millis) -> Duration {
    now.since(Millis(0))
}
