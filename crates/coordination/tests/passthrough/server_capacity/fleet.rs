//! A fleet under load: real balancers and agents in front of modelled servers that
//! differ in speed. Packets arrive at once and in order; time advances in steps of
//! one millisecond.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::time::Duration;

use indexmap::IndexMap;
use ramp_coordination::passthrough::agent::Agent;
use ramp_coordination::passthrough::agent::Dequeued;
use ramp_coordination::passthrough::agent::Inbound;
use ramp_coordination::passthrough::balancer::Action;
use ramp_coordination::passthrough::balancer::Balancer;
use ramp_coordination::passthrough::published::Record;
use ramp_coordination::passthrough::view::View;
use ramp_coordination::passthrough::view::rank;
use ramp_coordination::random::Random;
use ramp_protocol::capacity_report::CapacityReport;
use ramp_protocol::frame::Frame;
use ramp_protocol::frame::FrameKind;
use ramp_protocol::frame::Inquiry;
use ramp_protocol::packet::Segment;
use ramp_state::key::FlowKey;
use ramp_state::time::Millis;

use crate::fixture::*;

/// Callers, each with many flows.
const CALLERS: u64 = 200;
/// Mean work of a request at a server of speed 1.
pub const WORK_MS: f64 = 50.0;
/// Pause between two requests of one flow.
const THINK_MS: u64 = 100;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reports {
    /// No agent reports a capacity, as before.
    Off,
    On,
    /// The first agent always reports an idle server of extreme speed.
    FirstSaysIdle,
}

#[derive(Clone, Copy, Debug)]
pub struct Load {
    pub balancers: usize,
    pub slots: u16,
    pub requests_per_s: f64,
    pub requests_per_flow: u32,
    /// Whether the work of a request is spread evenly from half to one and a half of
    /// the mean; otherwise exponentially.
    pub even_work: bool,
    pub reports: Reports,
    pub seed: u64,
}

/// A request at a server, with the work that is left.
struct Job {
    flow: FlowKey,
    left_ms: f64,
    opened_at: u64,
    asked_at: u64,
    requests_left: u32,
    seq: u32,
}

pub struct Server {
    pub agent: Agent,
    pub speed: f64,
    /// Concurrency beyond which it gets no more work done.
    pub knee: f64,
    jobs: Vec<Job>,
    /// New flows that it got.
    pub flows: u64,
    /// Requests served, and how many of them on flows opened since the mark.
    pub served: u64,
    pub served_on_new_flows: u64,
    /// Sum of the time that its slots were in use.
    pub busy_slot_ms: u64,
    pub most_in_progress: u16,
}

pub struct Fleet {
    load: Load,
    view: View,
    balancers: Vec<Balancer>,
    pub servers: IndexMap<Ipv4Addr, Server>,
    rng: Random,
    pub now: u64,
    due_flows: f64,
    flow_count: u32,
    /// Later requests of open flows, by the time at which they are sent.
    thinking: Vec<(u64, Ipv4Addr, Job)>,
    /// Start of the counts.
    pub marked_at: u64,
    pub refused: u64,
    /// New flows that went to their first-ranked members.
    pub at_first_ranked: u64,
    /// Times from request to response since the mark.
    pub response_ms: Vec<u64>,
}

impl Fleet {
    /// A fleet whose servers have these speeds.
    pub fn new(speeds: &[f64], load: Load) -> Fleet {
        let mut catalog = catalog(&[]);
        let mut servers = IndexMap::new();
        for (index, speed) in speeds.iter().enumerate() {
            let last = index as u8 + 1;
            let mut record = server(last, FEEDS);
            record.slots = load.slots;
            let revision = 101 + index as u64;
            catalog.apply(
                Millis(0),
                written(revision, Record::Server(id(last), record)),
            );
            let state = Server {
                agent: Agent::new(ip(last), FEEDS, 7, 1, Millis(0)),
                speed: *speed,
                knee: f64::from(load.slots),
                jobs: Vec::new(),
                flows: 0,
                served: 0,
                served_on_new_flows: 0,
                busy_slot_ms: 0,
                most_in_progress: 0,
            };
            servers.insert(ip(last), state);
        }
        Fleet {
            load,
            view: catalog.view(Millis(0)).unwrap(),
            balancers: (0..load.balancers).map(|_| Balancer::new()).collect(),
            servers,
            rng: Random::new(load.seed),
            now: 1,
            due_flows: 0.0,
            flow_count: 0,
            thinking: Vec::new(),
            marked_at: 0,
            refused: 0,
            at_first_ranked: 0,
            response_ms: Vec::new(),
        }
    }

    pub fn server(&mut self, last: u8) -> &mut Server {
        &mut self.servers[&ip(last)]
    }

    /// The report of a server's agent.
    pub fn report(&mut self, last: u8) -> Option<CapacityReport> {
        let now = Millis(self.now);
        let server = &mut self.servers[&ip(last)];
        server.agent.capacity_report(Some(&self.view), now)
    }

    pub fn run(&mut self, duration_ms: u64) {
        for _ in 0..duration_ms {
            self.now += 1;
            self.open_flows();
            self.send_later_requests();
            self.work();
        }
    }

    /// Restarts the counts.
    pub fn mark(&mut self) {
        self.marked_at = self.now;
        self.at_first_ranked = 0;
        self.response_ms.clear();
        for server in self.servers.values_mut() {
            server.flows = 0;
            server.served = 0;
            server.served_on_new_flows = 0;
            server.busy_slot_ms = 0;
        }
    }

    /// Share of each server's slots that was in use since the mark.
    pub fn utilisations(&self) -> Vec<f64> {
        let total_ms = (self.now - self.marked_at) as f64 * f64::from(self.load.slots);
        let servers = self.servers.values();
        servers.map(|s| s.busy_slot_ms as f64 / total_ms).collect()
    }

    fn open_flows(&mut self) {
        self.due_flows += self.load.requests_per_s / f64::from(self.load.requests_per_flow) / 1e3;
        while self.due_flows > 0.0 {
            // Exponential gaps make the arrivals random.
            self.due_flows += self.uniform().ln();
            self.flow_count += 1;
            let caller = self.rng.below(CALLERS) as u8;
            let port = (self.flow_count / 7) as u16;
            let ip = Ipv4Addr::new(100, 64, (self.flow_count % 7) as u8, caller);
            let flow = FlowKey {
                caller: SocketAddrV4::new(ip, port),
                service: feeds_address(),
            };
            let balancer = self.rng.below(self.balancers.len() as u64) as usize;
            self.place(balancer, flow);
        }
    }

    /// Number above 0, up to 1.
    fn uniform(&mut self) -> f64 {
        (self.rng.below(1_000_000) + 1) as f64 / 1e6
    }

    fn place(&mut self, balancer: usize, flow: FlowKey) {
        let now = Millis(self.now);
        let seg = opening(flow, 0);
        let mut action = self.balancers[balancer].on_packet(&self.view, now, &seg);
        while let Action::Forward { agent, inquiry, .. } = action {
            let forward = frame(FrameKind::Forward(inquiry), flow);
            let from = balancer_ip(balancer as u8);
            let server = &mut self.servers[&agent];
            let inbound = server.agent.on_balancer_packet(
                Some(&self.view),
                now,
                from,
                &forward,
                inquiry,
                &seg,
            );
            match inbound {
                Inbound::Forward { .. } => return self.on_opened(agent, flow),
                Inbound::Queue | Inbound::AlreadyQueued => {
                    return self.tell(balancer, agent, FrameKind::Queued, flow);
                }
                Inbound::Refuse(refusal) => {
                    let back = Frame {
                        in_progress: server.agent.in_progress(),
                        ..frame(FrameKind::Returned(refusal), flow)
                    };
                    let balancer = &mut self.balancers[balancer];
                    action = balancer.on_returned(&self.view, now, agent, refusal, &back, &seg);
                }
            }
        }
        self.refused += 1;
    }

    /// The server answers the opening, and gets the first request at once.
    fn on_opened(&mut self, agent: Ipv4Addr, flow: FlowKey) {
        let syn_ack = Segment {
            syn: true,
            len: 0,
            ..segment(flow)
        };
        let now = Millis(self.now);
        let first = self.servers.keys().max_by_key(|a| rank(&flow, **a));
        self.at_first_ranked += u64::from(first == Some(&agent));
        let server = &mut self.servers[&agent];
        server.flows += 1;
        let outbound = server
            .agent
            .on_server_packet(Some(&self.view), now, &syn_ack);
        if let Some(balancer) = outbound.notify {
            let balancer = usize::from(balancer.octets()[3]);
            self.tell(balancer, agent, FrameKind::Owned, flow);
        }
        let job = Job {
            flow,
            left_ms: 0.0,
            opened_at: self.now,
            asked_at: self.now,
            requests_left: self.load.requests_per_flow,
            seq: 1000,
        };
        self.request(agent, job);
    }

    fn tell(&mut self, balancer: usize, agent: Ipv4Addr, kind: FrameKind, flow: FlowKey) {
        let now = Millis(self.now);
        let server = &mut self.servers[&agent].agent;
        let first_says_idle = self.load.reports == Reports::FirstSaysIdle && agent == ip(1);
        let in_progress = if first_says_idle {
            0
        } else {
            server.in_progress()
        };
        let message = Frame {
            in_progress,
            ..frame(kind, flow)
        };
        let idle = CapacityReport {
            limit: u16::MAX,
            request_time: Duration::from_millis(1),
            age: Duration::ZERO,
        };
        let report = match self.load.reports {
            Reports::Off => None,
            _ if first_says_idle => Some(idle),
            _ => server.capacity_report(Some(&self.view), now),
        };
        let balancer = &mut self.balancers[balancer];
        match kind {
            FrameKind::Queued => balancer.on_queued(now, agent, &message),
            _ => {
                balancer.on_owned(now, agent, &message);
            }
        }
        balancer.on_capacity_report(now, agent, report);
    }

    /// The caller sends a request on an open flow.
    fn request(&mut self, agent: Ipv4Addr, mut job: Job) {
        let uniform = self.uniform();
        job.left_ms = WORK_MS
            * if self.load.even_work {
                0.5 + uniform
            } else {
                -uniform.ln()
            };
        job.asked_at = self.now;
        job.requests_left -= 1;
        let seg = Segment {
            seq: job.seq,
            ..segment(job.flow)
        };
        job.seq += seg.len;
        let forward = frame(FrameKind::Forward(Inquiry::None), job.flow);
        let server = &mut self.servers[&agent];
        let from = balancer_ip(0);
        let now = Millis(self.now);
        server
            .agent
            .on_balancer_packet(Some(&self.view), now, from, &forward, Inquiry::None, &seg);
        server.jobs.push(job);
    }

    fn send_later_requests(&mut self) {
        let now = self.now;
        let due: Vec<_> = self
            .thinking
            .extract_if(.., |(at, ..)| *at <= now)
            .collect();
        for (_, agent, job) in due {
            self.request(agent, job);
        }
    }

    /// All servers work for a millisecond, and queued flows get free slots.
    fn work(&mut self) {
        let agents: Vec<Ipv4Addr> = self.servers.keys().copied().collect();
        for agent in agents {
            let now = Millis(self.now);
            let server = &mut self.servers[&agent];
            server.most_in_progress = server.most_in_progress.max(server.agent.in_progress());
            let running = server.jobs.len().min(usize::from(self.load.slots));
            server.busy_slot_ms += running as u64;
            let progress = server.speed * (server.knee / running as f64).min(1.0);
            for job in &mut server.jobs[..running] {
                job.left_ms -= progress;
            }
            for job in server.jobs.extract_if(.., |job| job.left_ms <= 0.0) {
                server.served += 1;
                self.response_ms.push(self.now - job.asked_at);
                server.served_on_new_flows += u64::from(job.opened_at >= self.marked_at);
                let answer = segment(job.flow);
                let outbound = server
                    .agent
                    .on_server_packet(Some(&self.view), now, &answer);
                let completed = outbound.completed.unwrap();
                server.agent.record_response(now, completed, None);
                if job.requests_left > 0 {
                    self.thinking.push((self.now + THINK_MS, agent, job));
                }
            }
            self.poll_queue(agent);
        }
    }

    fn poll_queue(&mut self, agent: Ipv4Addr) {
        let now = Millis(self.now);
        loop {
            let server = &mut self.servers[&agent];
            match server.agent.poll_queue(Some(&self.view), now) {
                Some(Dequeued::Forward(flow, _)) => self.on_opened(agent, flow),
                Some(Dequeued::Refuse(..)) => self.refused += 1,
                Some(Dequeued::Drop(_)) => {}
                None => return,
            }
        }
    }
}
