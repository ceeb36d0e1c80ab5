//! What happens to a request next: run it here, hand it to another agent,
//! let it wait, or refuse it.
//!
//! The driver asks [`RequestRouter::begin`] when a request's head has come and
//! follows the [`Action`] that it returns. When the step ends without the
//! request having run, it asks [`RequestRouter::again`]. A request that another
//! agent handed on is run or refused, never handed on once more, so there
//! are no loops and the first agent always learns the truth.

use std::sync::Arc;
use std::time::Duration;

use ramp_protocol::message::Load;
use ramp_state::fleet::Policy;
use ramp_state::fleet::ServerState;
use ramp_state::key::InstanceId;
use ramp_state::time::Millis;
use ramp_state::verdict::NotRun;

use crate::admission::Admission;
use crate::admission::Admitted;
use crate::admission::PermitKey;
use crate::admission::QueuedRequest;
use crate::admission::TicketKey;
use crate::concurrency_limit::RequestOutcome;
use crate::group_snapshot::GroupSnapshot;
use crate::peer_selection::PeerSelector;
use crate::random::Random;
use crate::retry::RetryBudget;
use crate::retry::retry_after;

/// Agents to which one request may be handed, one after the other.
const HAND_ON_LIMIT: usize = 3;

/// A request that looks for a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingRequest {
    /// When it is of no use any more.
    pub deadline: Millis,
    /// Whether it needs a slot only until the head of its answer.
    pub feed: bool,
    /// Whether another agent handed it on.
    pub forwarded: bool,
    /// Agents that did not run it.
    pub tried: Vec<InstanceId>,
}

/// What to do with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send it to the backend server and return the permit at its end.
    Run(PermitKey),
    /// Hand it to this agent.
    Forward(InstanceId),
    /// Wait until the ticket is admitted or its time is up.
    Wait(QueuedRequest),
    /// Tell the caller that it did not run.
    Refuse(Refusal),
}

/// A refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: NotRun,
    /// When the caller should come back.
    pub retry_after: Duration,
}

/// Decisions about requests at one agent.
#[derive(Debug)]
pub struct RequestRouter {
    me: InstanceId,
    policy: Arc<Policy>,
    admission: Admission,
    peers: PeerSelector,
    budget: RetryBudget,
    random: Random,
    reachable: bool,
    leaving: bool,
    draining: bool,
}

impl RequestRouter {
    /// Decisions of `me`, whose server is cold until it has shown otherwise.
    pub fn new(now: Millis, me: InstanceId, seed: u64) -> RequestRouter {
        let policy = Arc::<Policy>::default();
        RequestRouter {
            me,
            admission: Admission::new(now, policy.clone()),
            policy,
            peers: PeerSelector::new(me, seed),
            budget: RetryBudget::new(),
            random: Random::new(!seed),
            reachable: true,
            leaving: false,
            draining: false,
        }
    }

    /// Takes a new picture of the group.
    pub fn install(&mut self, now: Millis, picture: Arc<GroupSnapshot>) {
        if let Some(m) = picture.group.member(self.me) {
            if m.reachable && !self.reachable {
                self.admission.mark_cold(now);
            }
            self.reachable = m.reachable;
            self.leaving = m.state == ServerState::Leaving;
            if self.policy != m.policy {
                self.policy = m.policy.clone();
                self.admission.set_policy(now, m.policy.clone());
            }
        } else {
            self.leaving = true;
        }
        let mine = self.admission.in_progress() + self.admission.waiting();
        self.peers.install(now, picture, mine);
    }

    /// Takes no new request from now on.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Settings that apply to the backend server.
    pub fn policy(&self) -> &Arc<Policy> {
        &self.policy
    }

    /// Whether the agent's data centre takes traffic.
    pub fn is_reachable(&self) -> bool {
        self.reachable
    }

    /// Load of the backend server; the driver knows the flows.
    pub fn load(&self, now: Millis, flows: u32) -> Load {
        Load {
            flows,
            in_progress: self.admission.in_progress(),
            waiting: self.admission.waiting(),
            slots: self.admission.slots(now),
            warmth: self.admission.warmth(),
            leaving: self.is_leaving(),
        }
    }

    /// Whether a request has any chance now. Asked before the group is asked
    /// about an idempotency key, which costs messages.
    pub fn has_room(&self, now: Millis, ask: &PendingRequest) -> bool {
        let here = !self.is_leaving() && self.admission.has_room(now, ask.deadline);
        let elsewhere = !ask.forwarded && self.peers.has_room(now);
        self.reachable && (here || elsewhere)
    }

    /// Refusal of a request for which [`RequestRouter::has_room`] finds no room.
    pub fn refuse_full(&mut self, now: Millis, ask: &PendingRequest) -> Action {
        let reason = match self.is_barred(now, ask) {
            Some(reason) => reason,
            None if self.is_leaving() => NotRun::Leaving,
            None => self.admission.refusal_reason(now),
        };
        self.refuse(reason)
    }

    /// First step of a request.
    pub fn begin(&mut self, now: Millis, ask: &PendingRequest) -> Action {
        if !ask.forwarded {
            self.budget.deposit(&self.policy);
        }
        if let Some(reason) = self.is_barred(now, ask) {
            return self.refuse(reason);
        }
        if let Some(to) = self.share(now, ask) {
            return self.hand_on(now, to);
        }
        if !self.is_leaving()
            && let Some(permit) = self.admission.admit(now)
        {
            return Action::Run(permit);
        }
        // A slot that a feed waits for is free in a moment, while a feed that
        // runs elsewhere holds two agents for hours and upsets the balance.
        if ask.feed
            && let Action::Wait(waiting) = self.wait(now, ask)
        {
            return Action::Wait(waiting);
        }
        if let Some(to) = self.elsewhere(now, ask) {
            return self.hand_on(now, to);
        }
        self.wait(now, ask)
    }

    /// Next step of a request that did not run where it was tried, and why.
    /// The driver has added that agent, this one too, to [`PendingRequest::tried`].
    pub fn retry(&mut self, now: Millis, ask: &PendingRequest, reason: NotRun) -> Action {
        if let Some(reason) = self.is_barred(now, ask) {
            return self.refuse(reason);
        }
        let may_run_here = !ask.tried.contains(&self.me) && !self.is_leaving();
        if may_run_here && let Some(permit) = self.admission.admit(now) {
            return Action::Run(permit);
        }
        let next = self.elsewhere(now, ask);
        if let Some(to) = next
            && self.budget.try_withdraw()
        {
            return self.hand_on(now, to);
        }
        if may_run_here {
            return self.wait(now, ask);
        }
        let is_spent = next.is_some();
        self.refuse(if is_spent {
            NotRun::RetryBudgetSpent
        } else {
            reason
        })
    }

    /// Next step of a request whose time to wait is up.
    pub fn on_wait_timeout(
        &mut self,
        now: Millis,
        ask: &PendingRequest,
        ticket: TicketKey,
    ) -> Action {
        self.admission.cancel_wait(ticket);
        if let Some(reason) = self.is_barred(now, ask) {
            return self.refuse(reason);
        }
        if ask.feed
            && let Some(to) = self.elsewhere(now, ask)
        {
            return self.hand_on(now, to);
        }
        self.refuse(self.admission.refusal_reason(now))
    }

    /// A refusal for this reason.
    pub fn refuse(&mut self, reason: NotRun) -> Action {
        Action::Refuse(Refusal {
            reason,
            retry_after: retry_after(&self.policy, &mut self.random),
        })
    }

    /// The caller of a waiting request left.
    pub fn cancel_wait(&mut self, ticket: TicketKey) {
        self.admission.cancel_wait(ticket);
    }

    /// A request that runs here has been sent in full.
    pub fn on_sent(&mut self, now: Millis, permit: PermitKey) {
        self.admission.on_sent(now, permit);
    }

    /// A request that runs here showed something about the server.
    pub fn record_outcome(&mut self, now: Millis, permit: PermitKey, sign: RequestOutcome) {
        self.admission.record_outcome(now, permit, sign);
    }

    /// The head of a feed's answer came.
    pub fn on_feed_answered(&mut self, now: Millis, permit: PermitKey) {
        self.admission.on_feed_answered(now, permit);
    }

    /// A request that ran here, or was about to, has ended.
    pub fn release(&mut self, now: Millis, permit: PermitKey) {
        self.admission.release(now, permit);
    }

    /// A request that was handed to `to` has ended there.
    pub fn on_forward_ended(&mut self, now: Millis, to: InstanceId) {
        self.peers.record_forward_end(now, to);
    }

    /// The agent `to` did not take a request.
    pub fn on_forward_refused(&mut self, now: Millis, to: InstanceId) {
        self.peers.record_refusal(now, to);
    }

    /// Waiting requests that got a slot since the last call.
    pub fn take_admitted(&mut self) -> Vec<Admitted> {
        self.admission.take_admitted()
    }

    fn is_leaving(&self) -> bool {
        self.leaving || self.draining
    }

    fn is_barred(&self, now: Millis, ask: &PendingRequest) -> Option<NotRun> {
        if !self.reachable {
            return Some(NotRun::DataCentreOut);
        }
        (ask.deadline <= now).then_some(NotRun::DeadlinePassed)
    }

    /// Peer that should have the request although it could run here. A feed
    /// stays: it needs a slot only for a moment, but two agents for hours.
    fn share(&mut self, now: Millis, ask: &PendingRequest) -> Option<InstanceId> {
        if ask.forwarded || ask.feed {
            return None;
        }
        let mine = self.admission.in_progress() + self.admission.waiting();
        self.peers.choose_less_loaded(now, mine)
    }

    fn elsewhere(&mut self, now: Millis, ask: &PendingRequest) -> Option<InstanceId> {
        if ask.forwarded || ask.tried.len() >= HAND_ON_LIMIT {
            return None;
        }
        self.peers.choose(now, &ask.tried)
    }

    fn hand_on(&mut self, now: Millis, to: InstanceId) -> Action {
        self.peers.record_forward(now, to);
        Action::Forward(to)
    }

    fn wait(&mut self, now: Millis, ask: &PendingRequest) -> Action {
        if self.is_leaving() {
            return self.refuse(NotRun::Leaving);
        }
        // The agent that handed it on knows other agents with free slots.
        if ask.forwarded {
            return self.refuse(self.admission.refusal_reason(now));
        }
        match self.admission.enqueue(now, ask.deadline) {
            Ok(waiting) => Action::Wait(waiting),
            Err(reason) => self.refuse(reason),
        }
    }
}
