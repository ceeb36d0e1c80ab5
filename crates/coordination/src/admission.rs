//! Admission of requests to one backend server.
//!
//! The agent is the only way to its server, so its own count of requests and
//! connections is the truth, and the limits hold at every moment. A request
//! that finds no free slot waits for one, in order of arrival, but only when
//! it can be expected to get one soon; otherwise it is refused at once.

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

/// Share of one more request in the mean slot time, one in so many.
const SLOT_TIME_SHARE: u32 = 8;

/// Requests that may wait for each slot while slot times are not known.
const BLIND_WAIT_PER_SLOT: usize = 1;

new_key_type! {
    /// A request that holds a slot, a connection, or both.
    pub struct PermitKey;

    /// A request that waits for a slot.
    pub struct TicketKey;
}

/// A waiting request that got its slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Admitted {
    /// The request that waited.
    pub ticket: TicketKey,
    /// What it holds now.
    pub permit: PermitKey,
}

/// A request that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueuedRequest {
    /// Its place in the queue.
    pub ticket: TicketKey,
    /// When it stops waiting.
    pub until: Millis,
}

#[derive(Clone, Copy, Debug)]
struct Permit {
    era: Generation,
    since: Millis,
    holds_slot: bool,
    answered: bool,
}

/// Slots and connections of one backend server.
#[derive(Debug)]
pub struct Admission {
    policy: Arc<Policy>,
    cold_start: ConcurrencyLimit,
    permits: SlotMap<PermitKey, Permit>,
    tickets: SlotMap<TicketKey, Millis>,
    queue: VecDeque<TicketKey>,
    admitted: Vec<Admitted>,
    in_progress: u32,
    /// Requests sent in full that are not answered, and since when.
    awaiting: IndexMap<PermitKey, Millis>,
    /// Mean time for which a request holds a slot.
    slot_time: Option<Duration>,
}

impl Admission {
    /// A server of which nothing is known.
    pub fn new(now: Millis, policy: Arc<Policy>) -> Admission {
        Admission {
            cold_start: ConcurrencyLimit::new(now, &policy),
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

    /// Takes new settings; they apply to what is admitted from now on.
    pub fn set_policy(&mut self, now: Millis, policy: Arc<Policy>) {
        self.cold_start.set_policy(&policy);
        self.policy = policy;
        self.admit_waiting(now);
    }

    /// Takes the server for cold.
    pub fn mark_cold(&mut self, now: Millis) {
        self.cold_start.mark_cold(now, &self.policy);
    }

    /// Requests in progress: those that hold a slot.
    pub fn in_progress(&self) -> u32 {
        self.in_progress
    }

    /// Requests and feeds that hold a connection.
    pub fn connections(&self) -> u32 {
        self.permits.len() as u32
    }

    /// Requests that wait for a slot.
    pub fn waiting(&self) -> u32 {
        self.queue.len() as u32
    }

    /// Requests that the server may have in progress now.
    pub fn slots(&self, now: Millis) -> u32 {
        let oldest = self.awaiting.values().next().copied();
        self.cold_start.limit(now, &self.policy, oldest)
    }

    /// Where the server stands between cold start and full load.
    pub fn warmth(&self) -> Warmth {
        self.cold_start.warmth()
    }

    /// Takes a free slot, if there is one and nobody waits for it. Those who
    /// wait may be admitted by this too, because time has passed.
    pub fn admit(&mut self, now: Millis) -> Option<PermitKey> {
        self.admit_waiting(now);
        if self.queue.is_empty() && self.is_free(now) {
            Some(self.permit(now))
        } else {
            None
        }
    }

    /// Queues a request that has to be sent by `deadline`.
    ///
    /// # Errors
    ///
    /// Why waiting can't be expected to succeed.
    pub fn enqueue(&mut self, now: Millis, deadline: Millis) -> Result<QueuedRequest, NotRun> {
        if deadline <= now {
            return Err(NotRun::DeadlinePassed);
        }
        let until = deadline.min(now + self.policy.queue_limit);
        if !self.is_worth_waiting(now, until) {
            return Err(self.refusal_reason(now));
        }
        let ticket = self.tickets.insert(until);
        self.queue.push_back(ticket);
        Ok(QueuedRequest { ticket, until })
    }

    /// Whether a request that came now would be admitted or queued.
    pub fn has_room(&self, now: Millis, deadline: Millis) -> bool {
        let until = deadline.min(now + self.policy.queue_limit);
        (self.queue.is_empty() && self.is_free(now)) || self.is_worth_waiting(now, until)
    }

    /// Ends the wait of a request: its time is up, or its caller left.
    pub fn cancel_wait(&mut self, ticket: TicketKey) {
        if self.tickets.remove(ticket).is_some() {
            self.queue.retain(|t| *t != ticket);
        }
    }

    /// Why no slot can be had.
    pub fn refusal_reason(&self, now: Millis) -> NotRun {
        if self.slots(now) == 0 {
            return NotRun::NoServer;
        }
        match self.cold_start.warmth() {
            Warmth::Warm => NotRun::Overloaded,
            Warmth::Cold | Warmth::Warming => NotRun::Cold,
        }
    }

    /// The whole request has been sent; its answer is awaited.
    pub fn on_sent(&mut self, now: Millis, permit: PermitKey) {
        if self.permits.contains_key(permit) {
            self.awaiting.insert(permit, now);
        }
    }

    /// Takes what a request showed about the server. Told as early as it is
    /// known, since others must not be sent to a server that falters.
    pub fn record_outcome(&mut self, now: Millis, permit: PermitKey, sign: RequestOutcome) {
        let Some(held) = self.permits.get_mut(permit) else {
            return;
        };
        self.awaiting.shift_remove(&permit);
        held.answered |= matches!(sign, RequestOutcome::Answered(_));
        let era = held.era;
        let in_progress = self.in_progress;
        self.cold_start
            .record_outcome(now, &self.policy, era, sign, in_progress);
        self.admit_waiting(now);
    }

    /// The head of a feed's answer came: its slot is free, its connection
    /// stays.
    pub fn on_feed_answered(&mut self, now: Millis, permit: PermitKey) {
        let Some(held) = self.permits.get_mut(permit) else {
            return;
        };
        let was = *held;
        held.holds_slot = false;
        self.end_slot(now, was);
    }

    /// The request ended; all that it held is free.
    pub fn release(&mut self, now: Millis, permit: PermitKey) {
        if let Some(was) = self.permits.remove(permit) {
            self.awaiting.shift_remove(&permit);
            self.end_slot(now, was);
        }
    }

    /// Waiting requests that got a slot since the last call.
    pub fn take_admitted(&mut self) -> Vec<Admitted> {
        std::mem::take(&mut self.admitted)
    }

    fn is_free(&self, now: Millis) -> bool {
        self.in_progress < self.slots(now) && self.connections() < self.policy.connections
    }

    fn permit(&mut self, now: Millis) -> PermitKey {
        self.in_progress += 1;
        self.permits.insert(Permit {
            era: self.cold_start.generation(),
            since: now,
            holds_slot: true,
            answered: false,
        })
    }

    fn end_slot(&mut self, now: Millis, was: Permit) {
        if was.holds_slot {
            self.in_progress -= 1;
            self.count_slot_time(now, was);
            if was.answered {
                self.cold_start.record_completion(&self.policy, was.era);
            }
        }
        self.admit_waiting(now);
    }

    fn count_slot_time(&mut self, now: Millis, was: Permit) {
        let took = now.since(was.since);
        let mean = self.slot_time.unwrap_or(took);
        let mean = (mean * (SLOT_TIME_SHARE - 1) + took) / SLOT_TIME_SHARE;
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

    /// Whether those before it are likely to be through by `until`.
    fn is_worth_waiting(&self, now: Millis, until: Millis) -> bool {
        let slots = self.slots(now);
        let full = self.connections() >= self.policy.connections;
        if slots == 0 || full || until <= now {
            return false;
        }
        let before = self.queue.len() + 1;
        let Some(slot_time) = self.slot_time else {
            return before <= slots as usize * BLIND_WAIT_PER_SLOT;
        };
        // Requests above what the server bears now have to end first too.
        let over = self.in_progress.saturating_sub(slots);
        let turns = before as u32 + over;
        slot_time * turns / slots <= until.since(now)
    }
}
