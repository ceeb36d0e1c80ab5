//! A group of agents with fake backend servers and callers, on a fake clock.
//!
//! A server does what real ones do: it refuses what its slots can't take, a
//! cold one gets slow when it has more in progress than it bears, and falls
//! over when it gets still more.

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
use super::common::picture;

/// One way between two agents.
const HOP: Duration = Duration::from_millis(2);

/// Factor by which an overloaded server is slower.
const SLOWDOWN: u32 = 20;

/// Requests above what it bears that make a cold server fall over.
const EXCESS_LIMIT: u32 = 3;

pub struct Server {
    pub slots: u32,
    /// Finished requests until it is warm.
    pub warm_after: u32,
    /// Finished requests since it turned cold; none when warm.
    pub cold: Option<u32>,
    pub in_progress: u32,
    pub service: Duration,
    /// Time lost by each refusal, for servers whose refusals cost work.
    pub refusal_cost: Duration,
    pub busy_until: Millis,
    pub down: bool,
    /// A fall loses all requests in progress.
    pub generation: u32,
    pub falls: u32,
    pub began: u32,
    pub finished: u32,
    pub refused: u32,
    excess: u32,
    /// Most requests in progress above what it bore.
    pub worst_excess: u32,
    /// The same, of requests sent while it was over already.
    pub sent_while_over: u32,
}

impl Server {
    pub fn new(slots: u32, service: Duration) -> Server {
        Server {
            slots,
            warm_after: 15,
            cold: Some(0),
            in_progress: 0,
            service,
            refusal_cost: Duration::ZERO,
            busy_until: Millis(0),
            down: false,
            generation: 0,
            falls: 0,
            began: 0,
            finished: 0,
            refused: 0,
            excess: 0,
            worst_excess: 0,
            sent_while_over: 0,
        }
    }

    pub fn bears(&self) -> u32 {
        match self.cold {
            Some(finished) => (1 + finished * self.slots / self.warm_after).min(self.slots),
            None => self.slots,
        }
    }

    pub fn turn_cold(&mut self) {
        self.cold = Some(0);
        self.excess = 0;
    }

    fn fall(&mut self) {
        self.generation += 1;
        self.falls += 1;
        self.in_progress = 0;
        self.turn_cold();
    }

    /// Time in which it answers; nothing when it refuses.
    fn begin(&mut self, now: Millis, random: &mut Random) -> Option<Duration> {
        if self.in_progress >= self.slots {
            self.refused += 1;
            self.busy_until = self.busy_until.max(now) + self.refusal_cost;
            return None;
        }
        if self.in_progress > self.bears() {
            self.sent_while_over += 1;
        }
        self.in_progress += 1;
        self.began += 1;
        let over = self.in_progress.saturating_sub(self.bears());
        self.worst_excess = self.worst_excess.max(over);
        let mut took = self.service / 2 + spread(self.service, random);
        took += self.busy_until.since(now);
        if over > 0 {
            self.excess += 1;
            took *= SLOWDOWN;
        } else {
            self.excess = 0;
        }
        Some(took)
    }

    fn falls_now(&self) -> bool {
        self.excess >= EXCESS_LIMIT
    }

    fn end(&mut self) {
        self.in_progress -= 1;
        self.finished += 1;
        if let Some(finished) = &mut self.cold {
            *finished += 1;
            if *finished >= self.warm_after {
                self.cold = None;
            }
        }
    }
}

fn spread(span: Duration, random: &mut Random) -> Duration {
    Duration::from_micros(random.below(span.as_micros() as u64))
}

#[derive(Clone)]
struct Req {
    number: usize,
    owner: usize,
    ask: PendingRequest,
}

enum Event {
    Arrive(Req),
    Answer {
        server: usize,
        generation: u32,
        permit: PermitKey,
        req: Req,
        began: Millis,
    },
    Refused {
        server: usize,
        permit: PermitKey,
        req: Req,
    },
    WaitOver {
        agent: usize,
        ticket: TicketKey,
    },
    HandedOn {
        to: usize,
        req: Req,
    },
    HandedBack {
        from: usize,
        req: Req,
        result: Result<(), NotRun>,
    },
    Heartbeat,
    Report(Arc<Vec<(InstanceId, Load)>>),
}

/// How a request ended, for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Served,
    NotRun(NotRun),
    /// The server fell over with it.
    Lost,
}

/// A request that ended.
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
    /// Tries of requests at a server or another agent.
    pub tries: u64,
    pub handed_on: u64,
    arrived: Vec<Millis>,
    waiting: Vec<(usize, TicketKey, Req)>,
    events: BTreeMap<(Millis, u64), Event>,
    count: u64,
    /// Time between two load reports, and their age when they come.
    pub report_period: Duration,
    pub report_age: Duration,
    /// Whether reports say that all servers are idle.
    pub reports_lie: bool,
    /// Requests in progress, summed over the time counted.
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
            tries: 0,
            handed_on: 0,
            arrived: Vec::new(),
            waiting: Vec::new(),
            events: BTreeMap::new(),
            count: 0,
            report_period: Duration::from_millis(200),
            report_age: Duration::from_millis(3),
            reports_lie: false,
            in_progress_sum: vec![0; agents],
            counted: 0,
        };
        sim.install();
        sim.push(Duration::from_millis(1), Event::Heartbeat);
        sim
    }

    /// Makes all servers warm, and the agents believe so.
    pub fn warm_up(&mut self) {
        for server in &mut self.servers {
            server.cold = None;
        }
        for i in 0..self.agents.len() {
            for _ in 0..200 {
                self.request(i, Duration::from_secs(30));
                self.run(Duration::from_millis(200));
            }
        }
        self.forget();
    }

    /// Forgets what was counted so far.
    pub fn forget(&mut self) {
        self.done.clear();
        self.tries = 0;
        self.handed_on = 0;
        self.counted = 0;
        self.in_progress_sum.fill(0);
        for server in &mut self.servers {
            server.worst_excess = 0;
            server.sent_while_over = 0;
            server.falls = 0;
            server.began = 0;
            server.finished = 0;
        }
    }

    /// A request comes to `agent` now.
    pub fn request(&mut self, agent: usize, deadline: Duration) {
        let req = Req {
            number: self.arrived.len(),
            owner: agent,
            ask: PendingRequest {
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
            self.take(event);
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

    /// Sends `per_s` requests a second for `span`, to agents by `pick`.
    pub fn load(&mut self, per_s: u64, span: Duration, pick: impl Fn(&mut Random) -> usize) {
        let end = self.now + span;
        let mean_us = 1_000_000 / per_s;
        let mut ahead = 0;
        while self.now < end {
            ahead += self.random.below(2 * mean_us);
            let step = Duration::from_millis(ahead / 1000);
            ahead %= 1000;
            self.run(step);
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

    /// How many requests ended how.
    pub fn summary(&self) -> String {
        let mut ends: BTreeMap<String, u64> = BTreeMap::new();
        for done in &self.done {
            *ends.entry(format!("{:?}", done.end)).or_default() += 1;
        }
        let mut waits: Vec<u64> = self.done.iter().map(|d| d.at.0 - d.arrived.0).collect();
        waits.sort_unstable();
        let at = |percent| waits.get(waits.len() * percent / 100).copied().unwrap_or(0);
        format!(
            "{ends:?}, {} handed on, {} falls, median {} ms, p99 {} ms",
            self.handed_on,
            self.servers.iter().map(|s| s.falls).sum::<u32>(),
            at(50),
            at(99)
        )
    }

    /// Installs the members as they are now, with the loads as they are.
    pub fn install(&mut self) {
        let loads = self.loads();
        self.install_loads(&loads);
    }

    fn loads(&self) -> Vec<(InstanceId, Load)> {
        let agents = self.agents.iter().enumerate();
        let told = |load: Load| Load {
            in_progress: if self.reports_lie {
                0
            } else {
                load.in_progress
            },
            waiting: if self.reports_lie { 0 } else { load.waiting },
            ..load
        };
        agents
            .map(|(i, a)| (id(i), told(a.load(self.now, 0))))
            .collect()
    }

    fn install_loads(&mut self, loads: &[(InstanceId, Load)]) {
        let mut seen = picture(1, self.members.clone());
        seen.loads = loads.iter().copied().collect();
        let seen = Arc::new(seen);
        for agent in &mut self.agents {
            agent.install(self.now, seen.clone());
        }
    }

    fn push(&mut self, wait: Duration, event: Event) {
        self.count += 1;
        self.events.insert((self.now + wait, self.count), event);
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Arrive(req) => {
                let step = self.agents[req.owner].begin(self.now, &req.ask);
                self.wake(req.owner);
                self.follow(req.owner, req, step);
            }
            Event::HandedOn { to, req } => {
                let step = self.agents[to].begin(self.now, &req.ask);
                self.wake(to);
                self.follow(to, req, step);
            }
            Event::HandedBack { from, req, result } => self.handed_back(from, req, result),
            Event::Answer {
                server,
                generation,
                permit,
                req,
                began,
            } => self.answered(server, generation, permit, req, began),
            Event::Refused {
                server,
                permit,
                req,
            } => {
                self.agents[server].record_outcome(self.now, permit, RequestOutcome::Refused);
                self.agents[server].release(self.now, permit);
                self.wake(server);
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

    fn follow(&mut self, at: usize, req: Req, step: Action) {
        match step {
            Action::Run(permit) => self.send(at, permit, req),
            Action::Forward(to) => {
                self.tries += 1;
                self.handed_on += 1;
                let to = (0..self.agents.len()).find(|i| id(*i) == to).unwrap();
                let mut req = req;
                req.ask.forwarded = true;
                req.ask.tried.push(id(to));
                self.push(HOP, Event::HandedOn { to, req });
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

    fn send(&mut self, at: usize, permit: PermitKey, mut req: Req) {
        self.tries += 1;
        req.ask.tried.push(id(at));
        let server = &mut self.servers[at];
        if server.down {
            self.agents[at].record_outcome(self.now, permit, RequestOutcome::ConnectFailed);
            self.agents[at].release(self.now, permit);
            self.wake(at);
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
            began: self.now,
        };
        if server.falls_now() {
            server.fall();
            self.push(Duration::from_millis(1), event);
            self.hasten_lost(at);
        } else {
            self.push(took, event);
        }
    }

    /// A fall resets all connections at once.
    fn hasten_lost(&mut self, at: usize) {
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

    fn answered(&mut self, at: usize, generation: u32, permit: PermitKey, req: Req, began: Millis) {
        let lost = generation != self.servers[at].generation;
        let sign = if lost {
            RequestOutcome::ConnectionLost
        } else {
            self.servers[at].end();
            RequestOutcome::Answered(self.now.since(began))
        };
        self.agents[at].record_outcome(self.now, permit, sign);
        self.agents[at].release(self.now, permit);
        self.wake(at);
        if lost {
            self.finish(&req, End::Lost, None);
        } else if req.ask.forwarded {
            let result = Ok(());
            self.push(
                HOP,
                Event::HandedBack {
                    from: at,
                    req,
                    result,
                },
            );
        } else {
            self.finish(&req, End::Served, None);
        }
    }

    fn wake(&mut self, at: usize) {
        for found in self.agents[at].take_admitted() {
            let i = self
                .waiting
                .iter()
                .position(|(a, t, _)| (*a, *t) == (at, found.ticket));
            let (_, _, req) = self.waiting.swap_remove(i.unwrap());
            self.send(at, found.permit, req);
        }
    }

    fn wait_over(&mut self, at: usize, ticket: TicketKey) {
        let i = self
            .waiting
            .iter()
            .position(|(a, t, _)| (*a, *t) == (at, ticket));
        let Some(i) = i else { return };
        let (_, _, req) = self.waiting.swap_remove(i);
        let step = self.agents[at].on_wait_timeout(self.now, &req.ask, ticket);
        self.follow(at, req, step);
    }

    fn handed_back(&mut self, from: usize, mut req: Req, result: Result<(), NotRun>) {
        self.agents[req.owner].on_forward_ended(self.now, id(from));
        let Err(reason) = result else {
            self.finish(&req, End::Served, None);
            return;
        };
        req.ask.forwarded = false;
        self.agents[req.owner].on_forward_refused(self.now, id(from));
        let step = self.agents[req.owner].retry(self.now, &req.ask, reason);
        self.wake(req.owner);
        let owner = req.owner;
        self.follow(owner, req, step);
    }

    /// A request did not run at `at`.
    fn not_run(&mut self, at: usize, req: Req, reason: NotRun, refusal: Option<Duration>) {
        if req.ask.forwarded {
            let event = Event::HandedBack {
                from: at,
                req,
                result: Err(reason),
            };
            self.push(HOP, event);
        } else if refusal.is_some() {
            self.finish(&req, End::NotRun(reason), refusal);
        } else {
            let step = self.agents[at].retry(self.now, &req.ask, reason);
            self.wake(at);
            self.follow(at, req, step);
        }
    }

    fn finish(&mut self, req: &Req, end: End, retry_after: Option<Duration>) {
        self.done.push(Done {
            arrived: self.arrived[req.number],
            at: self.now,
            end,
            retry_after,
        });
    }
}
