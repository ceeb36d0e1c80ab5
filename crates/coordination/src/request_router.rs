//! Decides for each request at an agent whether to run it here, forward it to
//! another agent, queue it, or refuse it.
//!
//! The driver calls [`RequestRouter::begin`] when it has a request's head, and
//! carries out the [`Action`] that is returned. When the request did not run
//! there, the driver calls [`RequestRouter::retry`] for the next action. An
//! agent runs or refuses a request that another agent forwarded, but never
//! forwards it again. So requests can't loop, and the agent that got a request
//! from its caller always learns whether it ran.

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

/// Once this many agents, this one included, were tried for a request, it is not
/// forwarded again.
const MAX_AGENTS_TRIED: usize = 3;

/// A request that has not run yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingRequest {
    /// Time after which running it is of no use.
    pub deadline: Millis,
    /// Whether it opens a feed, which holds a slot only until the head of its
    /// answer.
    pub feed: bool,
    /// Whether another agent forwarded it to this one.
    pub forwarded: bool,
    /// Agents that were tried and did not run it.
    pub tried: Vec<InstanceId>,
}

/// What the driver has to do with a request next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send it to this agent's backend server, and release the permit when it
    /// ends.
    Run(PermitKey),
    /// Forward it to this other agent.
    Forward(InstanceId),
    /// Hold it until its ticket is admitted or its wait times out.
    Wait(QueuedRequest),
    /// Answer the caller that it did not run.
    Refuse(Refusal),
}

/// What to answer to the caller of a refused request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why the request did not run.
    pub reason: NotRun,
    /// Time that the caller should wait before it retries.
    pub retry_after: Duration,
}

/// Routes the requests of one agent.
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
    /// Router of the agent `me`. Its server counts as cold at first.
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

    /// Installs a new snapshot of the group.
    pub fn install(&mut self, now: Millis, snapshot: Arc<GroupSnapshot>) {
        if let Some(m) = snapshot.group.member(self.me) {
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
        self.peers.install(now, snapshot, mine);
    }

    /// Stops running new requests here, for the agent's shutdown.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Settings of the backend server.
    pub fn policy(&self) -> &Arc<Policy> {
        &self.policy
    }

    /// Whether the agent's data centre takes traffic by the configuration.
    pub fn is_reachable(&self) -> bool {
        self.reachable
    }

    /// Load to report to the group. The driver passes in the number of flows,
    /// which is not known here.
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

    /// Whether a request could run or wait at any agent now. Checked before its
    /// idempotency key is claimed in the group, which costs messages.
    pub fn has_room(&self, now: Millis, req: &PendingRequest) -> bool {
        let here = !self.is_leaving() && self.admission.has_room(now, req.deadline);
        let elsewhere = !req.forwarded && self.peers.has_room(now);
        self.reachable && (here || elsewhere)
    }

    /// Refusal of a request for which [`RequestRouter::has_room`] is false.
    pub fn refuse_full(&mut self, now: Millis, req: &PendingRequest) -> Action {
        let reason = match self.rejection_reason(now, req) {
            Some(reason) => reason,
            None if self.is_leaving() => NotRun::Leaving,
            None => self.admission.refusal_reason(now),
        };
        self.refuse(reason)
    }

    /// First action for a request.
    pub fn begin(&mut self, now: Millis, req: &PendingRequest) -> Action {
        if !req.forwarded {
            self.budget.deposit(&self.policy);
        }
        if let Some(reason) = self.rejection_reason(now, req) {
            return self.refuse(reason);
        }
        if let Some(to) = self.rebalance_target(now, req) {
            return self.forward(now, to);
        }
        if !self.is_leaving()
            && let Some(permit) = self.admission.admit(now)
        {
            return Action::Run(permit);
        }
        // A feed waits here rather than being forwarded: it needs a slot only
        // for a moment, while a forwarded feed occupies two agents for hours
        // and unbalances their load.
        if req.feed
            && let Action::Wait(waiting) = self.enqueue(now, req)
        {
            return Action::Wait(waiting);
        }
        if let Some(to) = self.forward_target(now, req) {
            return self.forward(now, to);
        }
        self.enqueue(now, req)
    }

    /// Next action for a request that did not run where it was tried, for
    /// `reason`. The driver has added that agent, also if it is this one, to
    /// [`PendingRequest::tried`].
    pub fn retry(&mut self, now: Millis, req: &PendingRequest, reason: NotRun) -> Action {
        if let Some(reason) = self.rejection_reason(now, req) {
            return self.refuse(reason);
        }
        let may_run_here = !req.tried.contains(&self.me) && !self.is_leaving();
        if may_run_here && let Some(permit) = self.admission.admit(now) {
            return Action::Run(permit);
        }
        let next = self.forward_target(now, req);
        if let Some(to) = next
            && self.budget.try_withdraw()
        {
            return self.forward(now, to);
        }
        if may_run_here {
            return self.enqueue(now, req);
        }
        let is_spent = next.is_some();
        self.refuse(if is_spent {
            NotRun::RetryBudgetSpent
        } else {
            reason
        })
    }

    /// Next action for a queued request whose wait timed out.
    pub fn on_wait_timeout(
        &mut self,
        now: Millis,
        req: &PendingRequest,
        ticket: TicketKey,
    ) -> Action {
        self.admission.cancel_wait(ticket);
        if let Some(reason) = self.rejection_reason(now, req) {
            return self.refuse(reason);
        }
        if req.feed
            && let Some(to) = self.forward_target(now, req)
        {
            return self.forward(now, to);
        }
        self.refuse(self.admission.refusal_reason(now))
    }

    /// Refusal for `reason`, with a random time to retry after.
    pub fn refuse(&mut self, reason: NotRun) -> Action {
        Action::Refuse(Refusal {
            reason,
            retry_after: retry_after(&self.policy, &mut self.random),
        })
    }

    /// Removes a request from the queue whose caller left.
    pub fn cancel_wait(&mut self, ticket: TicketKey) {
        self.admission.cancel_wait(ticket);
    }

    /// Records that a request that runs here has been sent in full.
    pub fn on_sent(&mut self, now: Millis, permit: PermitKey) {
        self.admission.on_sent(now, permit);
    }

    /// Records what a request that runs here showed about the server.
    pub fn record_outcome(&mut self, now: Millis, permit: PermitKey, outcome: RequestOutcome) {
        self.admission.record_outcome(now, permit, outcome);
    }

    /// Records that the head of a feed's answer arrived.
    pub fn on_feed_answered(&mut self, now: Millis, permit: PermitKey) {
        self.admission.on_feed_answered(now, permit);
    }

    /// Frees the permit of a request that ran here, or was about to, and has
    /// ended.
    pub fn release(&mut self, now: Millis, permit: PermitKey) {
        self.admission.release(now, permit);
    }

    /// Records that a request forwarded to `to` has ended there.
    pub fn on_forward_ended(&mut self, now: Millis, to: InstanceId) {
        self.peers.record_forward_end(now, to);
    }

    /// Records that the agent `to` did not run a request forwarded to it.
    pub fn on_forward_refused(&mut self, now: Millis, to: InstanceId) {
        self.peers.record_refusal(now, to);
    }

    /// Removes and returns the queued requests that got a slot since the last
    /// call.
    pub fn take_admitted(&mut self) -> Vec<Admitted> {
        self.admission.take_admitted()
    }

    fn is_leaving(&self) -> bool {
        self.leaving || self.draining
    }

    fn rejection_reason(&self, now: Millis, req: &PendingRequest) -> Option<NotRun> {
        if !self.reachable {
            return Some(NotRun::DataCentreOut);
        }
        (req.deadline <= now).then_some(NotRun::DeadlinePassed)
    }

    /// Peer to forward a request to for an even load, although it could run
    /// here. A feed is not forwarded for this: it needs a slot only for a
    /// moment, but would occupy two agents for hours.
    fn rebalance_target(&mut self, now: Millis, req: &PendingRequest) -> Option<InstanceId> {
        if req.forwarded || req.feed {
            return None;
        }
        let mine = self.admission.in_progress() + self.admission.waiting();
        self.peers.choose_less_loaded(now, mine)
    }

    fn forward_target(&mut self, now: Millis, req: &PendingRequest) -> Option<InstanceId> {
        if req.forwarded || req.tried.len() >= MAX_AGENTS_TRIED {
            return None;
        }
        self.peers.choose(now, &req.tried)
    }

    fn forward(&mut self, now: Millis, to: InstanceId) -> Action {
        self.peers.record_forward(now, to);
        Action::Forward(to)
    }

    fn enqueue(&mut self, now: Millis, req: &PendingRequest) -> Action {
        if self.is_leaving() {
            return self.refuse(NotRun::Leaving);
        }
        // The agent that forwarded it can choose another one with a free slot.
        if req.forwarded {
            return self.refuse(self.admission.refusal_reason(now));
        }
        match self.admission.enqueue(now, req.deadline) {
            Ok(waiting) => Action::Wait(waiting),
            Err(reason) => self.refuse(reason),
        }
    }
}
