//! Admission control for one backend server.
//!
//! A server has a limited number of slots (requests in progress) and of
//! connections. All its requests come through its agent, so the agent's own
//! counts are exact and the limits hold at every moment. A request that finds
//! no free slot is queued, first in, first out, but only if it is likely to get
//! a slot before it has to give up; otherwise it is refused at once.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use ramp_protocol::message::Warmth;
use ramp_state::fleet::Policy;
use ramp_state::time::Millis;
use ramp_state::verdict::NotRun;
use slotmap::SlotMap;
use slotmap::new_key_type;

use crate::concurrency_limit::ConcurrencyLimit;
use crate::concurrency_limit::Generation;
use crate::concurrency_limit::RequestOutcome;

/// Weight of a new sample in the moving average of slot times, as a divisor.
const SLOT_TIME_AVERAGE_DIVISOR: u32 = 8;

/// Requests that may wait per slot before any slot time has been measured.
const UNMEASURED_QUEUE_PER_SLOT: usize = 1;

new_key_type! {
    /// Identifies a request that holds a slot, a connection, or both.
    pub struct PermitKey;

    /// Identifies a request that waits in the queue for a slot.
    pub struct TicketKey;
}

/// A queued request that has got its slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Admitted {
    /// The ticket that it held in the queue.
    pub ticket: TicketKey,
    /// The permit that it holds now.
    pub permit: PermitKey,
}

/// A request that was put into the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueuedRequest {
    /// Identifies it in the queue.
    pub ticket: TicketKey,
    /// Time at which it gives up waiting.
    pub until: Millis,
}

#[derive(Clone, Copy, Debug)]
struct Permit {
    generation: Generation,
    since: Millis,
    holds_slot: bool,
    answered: bool,
}

/// Slots and connections of one backend server.
#[derive(Debug)]
pub struct Admission {
    policy: Arc<Policy>,
    concurrency_limit: ConcurrencyLimit,
    permits: SlotMap<PermitKey, Permit>,
    tickets: SlotMap<TicketKey, Millis>,
    queue: VecDeque<TicketKey>,
    admitted: Vec<Admitted>,
    in_progress: u32,
    /// Requests sent in full but not answered yet, with the time of sending,
    /// oldest first.
    awaiting: IndexMap<PermitKey, Millis>,
    /// Moving average of the time for which a request holds a slot; `None`
    /// until the first one has ended.
    slot_time: Option<Duration>,
}

impl Admission {
    /// Admission to a server about which nothing is known.
    pub fn new(now: Millis, policy: Arc<Policy>) -> Admission {
        Admission {
            concurrency_limit: ConcurrencyLimit::new(now, &policy),
            policy,
            permits: SlotMap::with_key(),
            tickets: SlotMap::with_key(),
            queue: VecDeque::new(),
            admitted: Vec::new(),
            in_progress: 0,
            awaiting: IndexMap::new(),
            slot_time: None,
        }
    }

    /// Applies new settings, to requests admitted from now on.
    pub fn set_policy(&mut self, now: Millis, policy: Arc<Policy>) {
        self.concurrency_limit.set_policy(&policy);
        self.policy = policy;
        self.admit_waiting(now);
    }

    /// Restarts with the limits of a cold server.
    pub fn mark_cold(&mut self, now: Millis) {
        self.concurrency_limit.mark_cold(now, &self.policy);
    }

    /// Number of requests that hold a slot.
    pub fn in_progress(&self) -> u32 {
        self.in_progress
    }

    /// Number of requests and feeds that hold a connection.
    pub fn connections(&self) -> u32 {
        self.permits.len() as u32
    }

    /// Number of requests that wait for a slot.
    pub fn waiting(&self) -> u32 {
        self.queue.len() as u32
    }

    /// Requests that the server may have in progress now.
    pub fn slots(&self, now: Millis) -> u32 {
        let oldest = self.awaiting.values().next().copied();
        self.concurrency_limit.limit(now, &self.policy, oldest)
    }

    /// Whether the server is cold, warming up or warm.
    pub fn warmth(&self) -> Warmth {
        self.concurrency_limit.warmth()
    }

    /// Takes a free slot, if there is one and no queued request gets it. Slots
    /// can become free with time alone, so this first admits from the queue.
    pub fn admit(&mut self, now: Millis) -> Option<PermitKey> {
        self.admit_waiting(now);
        if self.queue.is_empty() && self.is_free(now) {
            Some(self.permit(now))
        } else {
            None
        }
    }

    /// Queues a request that is of no use after `deadline`.
    ///
    /// # Errors
    ///
    /// Reason for the refusal, if the request is unlikely to get a slot in time.
    pub fn enqueue(&mut self, now: Millis, deadline: Millis) -> Result<QueuedRequest, NotRun> {
        if deadline <= now {
            return Err(NotRun::DeadlinePassed);
        }
        let until = deadline.min(now + self.policy.queue_limit);
        if !self.can_expect_slot(now, until) {
            return Err(self.refusal_reason(now));
        }
        let ticket = self.tickets.insert(until);
        self.queue.push_back(ticket);
        Ok(QueuedRequest { ticket, until })
    }

    /// Whether a request that arrives now would be admitted or queued.
    pub fn has_room(&self, now: Millis, deadline: Millis) -> bool {
        let until = deadline.min(now + self.policy.queue_limit);
        (self.queue.is_empty() && self.is_free(now)) || self.can_expect_slot(now, until)
    }

    /// Removes a request from the queue: its wait timed out, or its caller left.
    pub fn cancel_wait(&mut self, ticket: TicketKey) {
        if self.tickets.remove(ticket).is_some() {
            self.queue.retain(|t| *t != ticket);
        }
    }

    /// Reason to give for a request that gets no slot now.
    pub fn refusal_reason(&self, now: Millis) -> NotRun {
        if self.slots(now) == 0 {
            return NotRun::NoServer;
        }
        match self.concurrency_limit.warmth() {
            Warmth::Warm => NotRun::Overloaded,
            Warmth::Cold | Warmth::Warming => NotRun::Cold,
        }
    }

    /// Records that a request has been sent in full.
    pub fn on_sent(&mut self, now: Millis, permit: PermitKey) {
        if self.permits.contains_key(permit) {
            self.awaiting.insert(permit, now);
        }
    }

    /// Records what a request showed about the server. Call this as soon as it
    /// is known, before the request ends, so that no further requests go to a
    /// failing server.
    pub fn record_outcome(&mut self, now: Millis, permit: PermitKey, outcome: RequestOutcome) {
        let Some(held) = self.permits.get_mut(permit) else {
            return;
        };
        self.awaiting.shift_remove(&permit);
        held.answered |= matches!(outcome, RequestOutcome::Answered(_));
        let generation = held.generation;
        let in_progress = self.in_progress;
        self.concurrency_limit
            .record_outcome(now, &self.policy, generation, outcome, in_progress);
        self.admit_waiting(now);
    }

    /// Records that the head of a feed's answer arrived: frees its slot and keeps
    /// its connection.
    pub fn on_feed_answered(&mut self, now: Millis, permit: PermitKey) {
        let Some(held) = self.permits.get_mut(permit) else {
            return;
        };
        let was = *held;
        held.holds_slot = false;
        self.end_slot(now, was);
    }

    /// Frees all that a request held; called when it has ended.
    pub fn release(&mut self, now: Millis, permit: PermitKey) {
        if let Some(was) = self.permits.remove(permit) {
            self.awaiting.shift_remove(&permit);
            self.end_slot(now, was);
        }
    }

    /// Removes and returns the queued requests that got a slot since the last
    /// call.
    pub fn take_admitted(&mut self) -> Vec<Admitted> {
        std::mem::take(&mut self.admitted)
    }

    fn is_free(&self, now: Millis) -> bool {
        self.in_progress < self.slots(now) && self.connections() < self.policy.connections
    }

    fn permit(&mut self, now: Millis) -> PermitKey {
        self.in_progress += 1;
        self.permits.insert(Permit {
            generation: self.concurrency_limit.generation(),
            since: now,
            holds_slot: true,
            answered: false,
        })
    }

    fn end_slot(&mut self, now: Millis, was: Permit) {
        if was.holds_slot {
            self.in_progress -= 1;
            self.update_slot_time(now, was);
            if was.answered {
                self.concurrency_limit
                    .record_completion(&self.policy, was.generation);
            }
        }
        self.admit_waiting(now);
    }

    fn update_slot_time(&mut self, now: Millis, was: Permit) {
        let took = now.since(was.since);
        let mean = self.slot_time.unwrap_or(took);
        let mean = (mean * (SLOT_TIME_AVERAGE_DIVISOR - 1) + took) / SLOT_TIME_AVERAGE_DIVISOR;
        self.slot_time = Some(mean);
    }

    fn admit_waiting(&mut self, now: Millis) {
        while self.is_free(now) {
            let Some(ticket) = self.queue.pop_front() else {
                return;
            };
            let Some(until) = self.tickets.remove(ticket) else {
                continue;
            };
            if until > now {
                let permit = self.permit(now);
                self.admitted.push(Admitted { ticket, permit });
            }
        }
    }

    /// Whether a request queued now is likely to get a slot by `until`.
    fn can_expect_slot(&self, now: Millis, until: Millis) -> bool {
        let slots = self.slots(now);
        let full = self.connections() >= self.policy.connections;
        if slots == 0 || full || until <= now {
            return false;
        }
        let position = self.queue.len() + 1;
        let Some(slot_time) = self.slot_time else {
            return position <= slots as usize * UNMEASURED_QUEUE_PER_SLOT;
        };
        // When the limit was lowered, the requests in progress above it have
        // to end first too.
        let over = self.in_progress.saturating_sub(slots);
        let turns = position as u32 + over;
        slot_time * turns / slots <= until.since(now)
    }
}
