//! Simulation of a group of agents with backend servers and callers, on a
//! simulated clock.
//!
//! A simulated server refuses requests for which it has no slot. While it is
//! cold, its capacity is below its slots: above its capacity it answers slowly,
//! and if it stays overloaded for some requests, it crashes.

#![allow(dead_code, reason = "each test file uses a part")]

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use ramp_coordination::admission::PermitKey;
use ramp_coordination::admission::TicketKey;
use ramp_coordination::concurrency_limit::RequestOutcome;
use ramp_coordination::random::Random;
use ramp_coordination::request_router::Action;
use ramp_coordination::request_router::PendingRequest;
use ramp_coordination::request_router::RequestRouter;
use ramp_protocol::message::Load;
use ramp_state::fleet::Policy;
use ramp_state::key::InstanceId;
use ramp_state::routing_table::Member;
use ramp_state::time::Millis;
use ramp_state::verdict::NotRun;

use super::common::id;
use super::common::members;
use super::common::snapshot;

/// One-way latency between two agents.
const HOP_LATENCY: Duration = Duration::from_millis(2);

/// Factor on the service time of an overloaded server.
const SLOWDOWN: u32 = 20;

/// Requests in a row that begin above its capacity and make a server crash.
const EXCESS_LIMIT: u32 = 3;

pub struct Server {
    pub slots: u32,
    /// Completed requests that it takes to get warm.
    pub warm_after: u32,
    /// Completed requests since it turned cold; `None` when it is warm.
    pub completed_since_cold: Option<u32>,
    pub in_progress: u32,
    pub service: Duration,
    /// Time for which each refusal keeps the server busy.
    pub refusal_cost: Duration,
    pub busy_until: Millis,
    pub down: bool,
    /// Incremented by each crash, which loses all requests in progress.
    pub generation: u32,
    pub crashes: u32,
    pub started: u32,
    pub completed: u32,
    pub refused: u32,
    overloaded_in_row: u32,
    /// Largest number of requests in progress above its capacity.
    pub max_excess: u32,
    /// Requests that were sent while it was above its capacity already.
    pub sent_while_overloaded: u32,
}

impl Server {
    pub fn new(slots: u32, service: Duration) -> Server {
        Server {
            slots,
            warm_after: 15,
            completed_since_cold: Some(0),
            in_progress: 0,
            service,
            refusal_cost: Duration::ZERO,
            busy_until: Millis(0),
            down: false,
            generation: 0,
            crashes: 0,
            started: 0,
            completed: 0,
            refused: 0,
            overloaded_in_row: 0,
            max_excess: 0,
            sent_while_overloaded: 0,
        }
    }

    pub fn capacity(&self) -> u32 {
        match self.completed_since_cold {
            Some(completed) => (1 + completed * self.slots / self.warm_after).min(self.slots),
            None => self.slots,
        }
    }

    pub fn turn_cold(&mut self) {
        self.completed_since_cold = Some(0);
        self.overloaded_in_row = 0;
    }

    fn crash(&mut self) {
        self.generation += 1;
        self.crashes += 1;
        self.in_progress = 0;
        self.turn_cold();
    }

    /// Begins a request. Returns the time until its answer, or `None` if it is
    /// refused.
    fn begin(&mut self, now: Millis, random: &mut Random) -> Option<Duration> {
        if self.in_progress >= self.slots {
            self.refused += 1;
            self.busy_until = self.busy_until.max(now) + self.refusal_cost;
            return None;
        }
        if self.in_progress > self.capacity() {
            self.sent_while_overloaded += 1;
        }
        self.in_progress += 1;
        self.started += 1;
        let excess = self.in_progress.saturating_sub(self.capacity());
        self.max_excess = self.max_excess.max(excess);
        let mut took = self.service / 2 + jitter(self.service, random);
        took += self.busy_until.since(now);
        if excess > 0 {
            self.overloaded_in_row += 1;
            took *= SLOWDOWN;
        } else {
            self.overloaded_in_row = 0;
        }
        Some(took)
    }

    fn must_crash(&self) -> bool {
        self.overloaded_in_row >= EXCESS_LIMIT
    }

    fn end(&mut self) {
        self.in_progress -= 1;
        self.completed += 1;
        if let Some(completed) = &mut self.completed_since_cold {
            *completed += 1;
            if *completed >= self.warm_after {
                self.completed_since_cold = None;
            }
        }
    }
}

fn jitter(span: Duration, random: &mut Random) -> Duration {
    Duration::from_micros(random.below(span.as_micros() as u64))
}

#[derive(Clone)]
struct SimRequest {
    number: usize,
    owner: usize,
    pending: PendingRequest,
}

enum Event {
    Arrive(SimRequest),
    Answer {
        server: usize,
        generation: u32,
        permit: PermitKey,
        req: SimRequest,
        started: Millis,
    },
    Refused {
        server: usize,
        permit: PermitKey,
        req: SimRequest,
    },
    WaitOver {
        agent: usize,
        ticket: TicketKey,
    },
    Forwarded {
        to: usize,
        req: SimRequest,
    },
    ForwardEnded {
        from: usize,
        req: SimRequest,
        result: Result<(), NotRun>,
    },
    Heartbeat,
    Report(Arc<Vec<(InstanceId, Load)>>),
}

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Served,
    NotRun(NotRun),
    /// The server crashed while it was in progress.
    Lost,
}

/// A request that has ended.
#[derive(Clone, Copy, Debug)]
pub struct Done {
    pub arrived: Millis,
    pub at: Millis,
    pub end: End,
    pub retry_after: Option<Duration>,
}

pub struct Sim {
    pub now: Millis,
    pub random: Random,
    pub agents: Vec<RequestRouter>,
    pub servers: Vec<Server>,
    pub members: Vec<Member>,
    pub done: Vec<Done>,
    /// Attempts of requests at a server or another agent.
    pub attempts: u64,
    pub forwarded: u64,
    arrived: Vec<Millis>,
    waiting: Vec<(usize, TicketKey, SimRequest)>,
    events: BTreeMap<(Millis, u64), Event>,
    event_count: u64,
    /// Time between two load reports, and their age on arrival.
    pub report_period: Duration,
    pub report_age: Duration,
    /// Whether load reports claim that all servers are idle.
    pub reports_claim_idle: bool,
    /// Requests in progress at each server, integrated over `counted`.
    in_progress_sum: Vec<u64>,
    counted: u64,
}

impl Sim {
    pub fn new(seed: u64, agents: usize, policy: &Policy, service: Duration) -> Sim {
        let mut sim = Sim {
            now: Millis(1),
            random: Random::new(seed),
            agents: (0..agents)
                .map(|i| RequestRouter::new(Millis(0), id(i), seed * 100 + i as u64))
                .collect(),
            servers: (0..agents)
                .map(|_| Server::new(policy.slots, service))
                .collect(),
            members: members(agents, policy),
            done: Vec::new(),
            attempts: 0,
            forwarded: 0,
            arrived: Vec::new(),
            waiting: Vec::new(),
            events: BTreeMap::new(),
            event_count: 0,
            report_period: Duration::from_millis(200),
            report_age: Duration::from_millis(3),
            reports_claim_idle: false,
            in_progress_sum: vec![0; agents],
            counted: 0,
        };
        sim.install();
        sim.push(Duration::from_millis(1), Event::Heartbeat);
        sim
    }

    /// Makes all servers warm, and sends requests until the agents have learned
    /// it.
    pub fn warm_up(&mut self) {
        for server in &mut self.servers {
            server.completed_since_cold = None;
        }
        for i in 0..self.agents.len() {
            for _ in 0..200 {
                self.request(i, Duration::from_secs(30));
                self.run(Duration::from_millis(200));
            }
        }
        self.reset_counts();
    }

    /// Resets all counts.
    pub fn reset_counts(&mut self) {
        self.done.clear();
        self.attempts = 0;
        self.forwarded = 0;
        self.counted = 0;
        self.in_progress_sum.fill(0);
        for server in &mut self.servers {
            server.max_excess = 0;
            server.sent_while_overloaded = 0;
            server.crashes = 0;
            server.started = 0;
            server.completed = 0;
        }
    }

    /// Schedules a caller's request to `agent` for now.
    pub fn request(&mut self, agent: usize, deadline: Duration) {
        let req = SimRequest {
            number: self.arrived.len(),
            owner: agent,
            pending: PendingRequest {
                deadline: self.now + deadline,
                feed: false,
                forwarded: false,
                tried: Vec::new(),
            },
        };
        self.arrived.push(self.now);
        self.push(Duration::ZERO, Event::Arrive(req));
    }

    /// Runs for `span`.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((at, _), event) = entry.remove_entry();
            self.advance(at);
            self.handle(event);
        }
        self.advance(end);
    }

    fn advance(&mut self, to: Millis) {
        let span = to.0 - self.now.0;
        for (sum, server) in self.in_progress_sum.iter_mut().zip(&self.servers) {
            *sum += u64::from(server.in_progress) * span;
        }
        self.counted += span;
        self.now = to;
    }

    /// Mean of requests in progress at each server.
    pub fn means(&self) -> Vec<f64> {
        let sums = self.in_progress_sum.iter();
        sums.map(|s| *s as f64 / self.counted as f64).collect()
    }

    /// Sends `per_s` requests per second for `span`, each to the agent that
    /// `pick` returns.
    pub fn load(&mut self, per_s: u64, span: Duration, pick: impl Fn(&mut Random) -> usize) {
        let end = self.now + span;
        let mean_us = 1_000_000 / per_s;
        let mut ahead = 0;
        while self.now < end {
            ahead += self.random.below(2 * mean_us);
            let action = Duration::from_millis(ahead / 1000);
            ahead %= 1000;
            self.run(action);
            let agent = pick(&mut self.random);
            self.request(agent, Duration::from_secs(30));
        }
    }

    pub fn served(&self) -> u64 {
        self.done.iter().filter(|d| d.end == End::Served).count() as u64
    }

    pub fn lost(&self) -> u64 {
        self.done.iter().filter(|d| d.end == End::Lost).count() as u64
    }

    pub fn refused(&self) -> impl Iterator<Item = &Done> {
        self.done.iter().filter(|d| matches!(d.end, End::NotRun(_)))
    }

    pub fn count_arrived(&self) -> usize {
        self.arrived.len()
    }

    /// Describes how the requests ended.
    pub fn summary(&self) -> String {
        let mut ends: BTreeMap<String, u64> = BTreeMap::new();
        for done in &self.done {
            *ends.entry(format!("{:?}", done.end)).or_default() += 1;
        }
        let mut waits: Vec<u64> = self.done.iter().map(|d| d.at.0 - d.arrived.0).collect();
        waits.sort_unstable();
        let at = |percent| waits.get(waits.len() * percent / 100).copied().unwrap_or(0);
        format!(
            "{ends:?}, {} forwarded, {} crashes, median {} ms, p99 {} ms",
            self.forwarded,
            self.servers.iter().map(|s| s.crashes).sum::<u32>(),
            at(50),
            at(99)
        )
    }

    /// Installs a snapshot with the present members and loads at all agents.
    pub fn install(&mut self) {
        let loads = self.loads();
        self.install_loads(&loads);
    }

    fn loads(&self) -> Vec<(InstanceId, Load)> {
        let agents = self.agents.iter().enumerate();
        let reported = |load: Load| Load {
            in_progress: if self.reports_claim_idle {
                0
            } else {
                load.in_progress
            },
            waiting: if self.reports_claim_idle {
                0
            } else {
                load.waiting
            },
            ..load
        };
        agents
            .map(|(i, a)| (id(i), reported(a.load(self.now, 0))))
            .collect()
    }

    fn install_loads(&mut self, loads: &[(InstanceId, Load)]) {
        let mut snapshot = snapshot(1, self.members.clone());
        snapshot.loads = loads.iter().copied().collect();
        let snapshot = Arc::new(snapshot);
        for agent in &mut self.agents {
            agent.install(self.now, snapshot.clone());
        }
    }

    fn push(&mut self, wait: Duration, event: Event) {
        self.event_count += 1;
        self.events
            .insert((self.now + wait, self.event_count), event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(req) => {
                let action = self.agents[req.owner].begin(self.now, &req.pending);
                self.send_admitted(req.owner);
                self.perform(req.owner, req, action);
            }
            Event::Forwarded { to, req } => {
                let action = self.agents[to].begin(self.now, &req.pending);
                self.send_admitted(to);
                self.perform(to, req, action);
            }
            Event::ForwardEnded { from, req, result } => self.forward_ended(from, req, result),
            Event::Answer {
                server,
                generation,
                permit,
                req,
                started,
            } => self.answered(server, generation, permit, req, started),
            Event::Refused {
                server,
                permit,
                req,
            } => {
                self.agents[server].record_outcome(self.now, permit, RequestOutcome::Refused);
                self.agents[server].release(self.now, permit);
                self.send_admitted(server);
                self.not_run(server, req, NotRun::ServerRefused, None);
            }
            Event::WaitOver { agent, ticket } => self.wait_over(agent, ticket),
            Event::Heartbeat => self.heartbeat(),
            Event::Report(loads) => self.install_loads(&loads),
        }
    }

    fn heartbeat(&mut self) {
        let loads = Arc::new(self.loads());
        self.push(self.report_age, Event::Report(loads));
        self.push(self.report_period, Event::Heartbeat);
    }

    fn perform(&mut self, at: usize, req: SimRequest, action: Action) {
        match action {
            Action::Run(permit) => self.send(at, permit, req),
            Action::Forward(to) => {
                self.attempts += 1;
                self.forwarded += 1;
                let to = (0..self.agents.len()).find(|i| id(*i) == to).unwrap();
                let mut req = req;
                req.pending.forwarded = true;
                req.pending.tried.push(id(to));
                self.push(HOP_LATENCY, Event::Forwarded { to, req });
            }
            Action::Wait(waiting) => {
                let span = waiting.until.since(self.now);
                self.waiting.push((at, waiting.ticket, req));
                let agent = at;
                let ticket = waiting.ticket;
                self.push(span, Event::WaitOver { agent, ticket });
            }
            Action::Refuse(refusal) => {
                self.not_run(at, req, refusal.reason, Some(refusal.retry_after));
            }
        }
    }

    fn send(&mut self, at: usize, permit: PermitKey, mut req: SimRequest) {
        self.attempts += 1;
        req.pending.tried.push(id(at));
        let server = &mut self.servers[at];
        if server.down {
            self.agents[at].record_outcome(self.now, permit, RequestOutcome::ConnectFailed);
            self.agents[at].release(self.now, permit);
            self.send_admitted(at);
            self.not_run(at, req, NotRun::NoServer, None);
            return;
        }
        self.agents[at].on_sent(self.now, permit);
        let Some(took) = server.begin(self.now, &mut self.random) else {
            let event = Event::Refused {
                server: at,
                permit,
                req,
            };
            self.push(Duration::from_millis(1), event);
            return;
        };
        let event = Event::Answer {
            server: at,
            generation: server.generation,
            permit,
            req,
            started: self.now,
        };
        if server.must_crash() {
            server.crash();
            self.push(Duration::from_millis(1), event);
            self.fail_lost_requests(at);
        } else {
            self.push(took, event);
        }
    }

    /// A crash resets all connections: moves the end of the requests that it
    /// lost to now.
    fn fail_lost_requests(&mut self, at: usize) {
        let now = self.now;
        let is_lost = |event: &Event| match event {
            Event::Answer {
                server, generation, ..
            } => *server == at && *generation != self.servers[at].generation,
            _ => false,
        };
        let keys: Vec<(Millis, u64)> = self
            .events
            .iter()
            .filter(|(_, event)| is_lost(event))
            .map(|(key, _)| *key)
            .collect();
        for key in keys {
            let event = self.events.remove(&key).unwrap();
            let soon = now + Duration::from_millis(1);
            self.events.insert((soon, key.1), event);
        }
    }

    fn answered(
        &mut self,
        at: usize,
        generation: u32,
        permit: PermitKey,
        req: SimRequest,
        started: Millis,
    ) {
        let lost = generation != self.servers[at].generation;
        let outcome = if lost {
            RequestOutcome::ConnectionLost
        } else {
            self.servers[at].end();
            RequestOutcome::Answered(self.now.since(started))
        };
        self.agents[at].record_outcome(self.now, permit, outcome);
        self.agents[at].release(self.now, permit);
        self.send_admitted(at);
        if lost {
            self.finish(&req, End::Lost, None);
        } else if req.pending.forwarded {
            let result = Ok(());
            self.push(
                HOP_LATENCY,
                Event::ForwardEnded {
                    from: at,
                    req,
                    result,
                },
            );
        } else {
            self.finish(&req, End::Served, None);
        }
    }

    fn send_admitted(&mut self, at: usize) {
        for admitted in self.agents[at].take_admitted() {
            let i = self
                .waiting
                .iter()
                .position(|(a, t, _)| (*a, *t) == (at, admitted.ticket));
            let (_, _, req) = self.waiting.swap_remove(i.unwrap());
            self.send(at, admitted.permit, req);
        }
    }

    fn wait_over(&mut self, at: usize, ticket: TicketKey) {
        let i = self
            .waiting
            .iter()
            .position(|(a, t, _)| (*a, *t) == (at, ticket));
        let Some(i) = i else { return };
        let (_, _, req) = self.waiting.swap_remove(i);
        let action = self.agents[at].on_wait_timeout(self.now, &req.pending, ticket);
        self.perform(at, req, action);
    }

    fn forward_ended(&mut self, from: usize, mut req: SimRequest, result: Result<(), NotRun>) {
        self.agents[req.owner].on_forward_ended(self.now, id(from));
        let Err(reason) = result else {
            self.finish(&req, End::Served, None);
            return;
        };
        req.pending.forwarded = false;
        self.agents[req.owner].on_forward_refused(self.now, id(from));
        let action = self.agents[req.owner].retry(self.now, &req.pending, reason);
        self.send_admitted(req.owner);
        let owner = req.owner;
        self.perform(owner, req, action);
    }

    /// Handles that a request did not run at `at`.
    fn not_run(&mut self, at: usize, req: SimRequest, reason: NotRun, refusal: Option<Duration>) {
        if req.pending.forwarded {
            let event = Event::ForwardEnded {
                from: at,
                req,
                result: Err(reason),
            };
            self.push(HOP_LATENCY, event);
        } else if refusal.is_some() {
            self.finish(&req, End::NotRun(reason), refusal);
        } else {
            let action = self.agents[at].retry(self.now, &req.pending, reason);
            self.send_admitted(at);
            self.perform(at, req, action);
        }
    }

    fn finish(&mut self, req: &SimRequest, end: End, retry_after: Option<Duration>) {
        self.done.push(Done {
            arrived: self.arrived[req.number],
            at: self.now,
            end,
            retry_after,
        });
    }
}
