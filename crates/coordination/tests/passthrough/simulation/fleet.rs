//! The simulated fleet: its processes, the queue of events, the clock, and the
//! operations that a scenario performs on the fleet.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::Ipv4Addr;
use std::time::Duration;

use indexmap::IndexMap;
use ramp_coordination::passthrough::agent::Agent;
use ramp_coordination::passthrough::balancer::Balancer;
use ramp_coordination::passthrough::catalog::Catalog;
use ramp_coordination::passthrough::published::Change;
use ramp_coordination::passthrough::published::Changes;
use ramp_coordination::passthrough::published::Record;
use ramp_coordination::passthrough::published::RecordKey;
use ramp_coordination::passthrough::published::ServerState;
use ramp_coordination::passthrough::view::View;
use ramp_coordination::random::Random;
use ramp_protocol::frame::Frame;
use ramp_protocol::packet::Segment;
use ramp_state::key::FlowKey;
use ramp_state::time::Millis;

use super::freezes::Freezes;
use super::invariants::Caller;
use super::network::Network;
use super::network::QueuedFault;
use super::server::Server;
use crate::fixture::*;

pub const BALANCERS: usize = 3;
const FLOWS: u16 = 120;
/// Interval at which agents check the openings that wait.
const TICK_MS: u64 = 10;
const RUN_MS: u64 = 12_000;
/// Longest delay until a process gets a change of the records.
const MAX_CHANGE_DELAY_MS: u64 = 900;
/// Delay after which a change that arrives before an earlier one is tried again.
const REORDER_RETRY_MS: u64 = 10;
/// Time from a server's crash until its record lapses.
const LEASE_MS: u64 = 2_000;
/// Limit on new flows a second of each cold server.
const COLD_PER_S: f64 = 3.0;
/// Time limit of a route that has one.
const TIME_LIMIT: Duration = Duration::from_secs(3);
/// Start of every server and of its first agent, Unix milliseconds.
const SERVER_START_MS: u64 = 1;
/// Start of an agent that is restarted while its server runs, Unix
/// milliseconds.
const AGENT_RESTART_MS: u64 = 5_000;

/// A check of a balancer for the reply to a packet that it sent with an inquiry.
#[derive(Clone, Debug)]
pub struct ReplyCheck {
    pub at: usize,
    /// How often the balancer had been restarted when it sent the packet.
    pub start: u32,
    /// When the reply is due, by the clock of the balancer.
    pub due: Millis,
    /// How often the inquiry was repeated.
    pub repeats: u32,
    pub seg: Segment,
}

#[derive(Clone, Debug)]
pub enum Event {
    /// The caller sends a packet, or sends it again unless it has gone on to
    /// another packet. The first packet of its next flow opens that flow.
    Send {
        port: u16,
        /// Number of the flow from this port.
        flow: u32,
        packet: u32,
    },
    ToBalancer {
        at: usize,
        seg: Segment,
    },
    ToAgent {
        at: Ipv4Addr,
        from: usize,
        frame: Frame,
        seg: Segment,
    },
    /// An agent is asked whether its server has a flow, by the flow's key.
    OwnerQuery {
        at: Ipv4Addr,
        from: usize,
        frame: Frame,
        seg: Segment,
    },
    FromAgent {
        to: usize,
        from: Ipv4Addr,
        frame: Frame,
        /// The packet that the frame is about.
        seg: Segment,
        /// Whether the frame carries the packet.
        carries_packet: bool,
    },
    /// The reply to a balancer's inquiry may be overdue.
    ReplyTimeout(ReplyCheck),
    /// A server has finished a request.
    Done {
        at: Ipv4Addr,
        seg: Segment,
    },
    /// All agents check the openings that wait.
    Tick,
    /// Changes of the platform's records reach a process.
    Changes {
        process: usize,
        changes: Changes,
    },
    Operation(Operation),
}

#[derive(Clone, Copy, Debug)]
pub enum Operation {
    Add(u8),
    Drain(u8),
    Crash(u8),
    Lapse(u8),
    Relist(u8),
    RestartBalancer(usize),
    RestartAgent(u8),
    ChangeRouting,
    /// Drops all messages from one data centre to another.
    CutOneWay {
        from: usize,
        to: usize,
    },
    /// Delays all messages from one data centre to another.
    SlowOneWay {
        from: usize,
        to: usize,
    },
    /// A server ends, and another starts beside the same agent after a while.
    EndServer {
        last: u8,
        for_ms: u64,
    },
    /// Freezes a balancer: its process and its clock stop for a while.
    FreezeBalancer {
        at: usize,
        for_ms: u64,
    },
    /// As [`Operation::FreezeBalancer`], for an agent.
    FreezeAgent {
        last: u8,
        for_ms: u64,
    },
    /// Ends all cuts and delays.
    RepairNetwork,
}

/// What happens in one run: operations with their times, how long servers work
/// on requests, and faults of the network.
#[derive(Clone, Debug, Default)]
pub struct Scenario {
    pub operations: Vec<(u64, Operation)>,
    /// Mean time that a server works on a request; zero: it answers
    /// immediately.
    pub work_ms: u64,
    pub queued_fault: QueuedFault,
    /// Whether the callers' route has a priority and a time limit.
    pub has_priority: bool,
    /// Whether all servers are cold, and get fewer new flows than there are.
    pub cold: bool,
    /// Whether callers close their flows, or give them up, and open others from the
    /// same ports.
    pub reuses_ports: bool,
}

/// Counts and violations of one run.
#[derive(Debug, Default)]
pub struct Outcome {
    pub resets: usize,
    pub answered: usize,
    /// Packets that were answered late, or not at all by the end.
    pub late: usize,
    /// Callers that gave up because no server answered their openings.
    pub unanswered: usize,
    /// Callers that were reset after a server had answered their openings but
    /// before the server got another packet.
    pub refused_late: usize,
    /// Openings that waited at an agent.
    pub waited: usize,
    /// Flows that callers opened from a port that they had used before.
    pub reopened: usize,
    /// Broken invariants; the first with the history of its flow.
    pub violations: Vec<String>,
}

/// Whether an event reached its destination.
#[derive(Clone, Copy, Debug)]
enum Delivery {
    Handled,
    Lost,
}

pub struct Fleet {
    pub(super) rng: Random,
    pub(super) now: u64,
    order: u64,
    queue: BinaryHeap<Reverse<(u64, u64, usize)>>,
    events: Vec<Event>,
    /// Time, index and delivery of each event, in the order in which events
    /// were handled or lost.
    history: Vec<(u64, usize, Delivery)>,
    store: Catalog,
    revision: u64,
    /// Catalog of each process: balancers by their index, agents as in
    /// [`process_of`].
    catalogs: IndexMap<usize, Catalog>,
    pub(super) views: IndexMap<usize, View>,
    pub(super) network: Network,
    pub(super) freezes: Freezes,
    pub(super) balancers: Vec<Balancer>,
    /// How often each balancer was restarted.
    pub(super) starts: Vec<u32>,
    pub(super) servers: IndexMap<Ipv4Addr, Server>,
    pub(super) callers: IndexMap<u16, Caller>,
    pub(super) routed_to: Vec<usize>,
    /// Packets that a balancer holds until it finds the flow's owner.
    pub(super) awaiting_owner: IndexMap<(usize, FlowKey), Segment>,
    pub(super) scenario: Scenario,
    pub(super) outcome: Outcome,
}

pub(super) fn process_of(server: Ipv4Addr) -> usize {
    100 + usize::from(server.octets()[3])
}

impl Event {
    /// Process that handles the event; none for callers and operations.
    fn process(&self) -> Option<usize> {
        match self {
            Event::ToBalancer { at, .. } | Event::ReplyTimeout(ReplyCheck { at, .. }) => Some(*at),
            Event::FromAgent { to, .. } => Some(*to),
            Event::ToAgent { at, .. } | Event::OwnerQuery { at, .. } | Event::Done { at, .. } => {
                Some(process_of(*at))
            }
            Event::Changes { process, .. } => Some(*process),
            Event::Send { .. } | Event::Tick | Event::Operation(_) => None,
        }
    }

    /// Port of the caller that the packet is from; none if the event carries no
    /// packet.
    fn port(&self) -> Option<u16> {
        match self {
            Event::ToBalancer { seg, .. }
            | Event::ToAgent { seg, .. }
            | Event::OwnerQuery { seg, .. }
            | Event::FromAgent { seg, .. }
            | Event::Done { seg, .. } => Some(seg.key.caller.port()),
            Event::Send { .. }
            | Event::ReplyTimeout(_)
            | Event::Tick
            | Event::Changes { .. }
            | Event::Operation(_) => None,
        }
    }

    /// One line of a flow's history, for the report of a violation.
    fn summary(&self) -> String {
        match self {
            Event::ToBalancer { at, seg } => format!("caller to balancer {at}, {}", name(seg)),
            Event::ToAgent {
                at,
                from,
                frame,
                seg,
            } => format!("balancer {from} to {at}, {:?}, {}", frame.kind, name(seg)),
            Event::OwnerQuery { at, from, seg, .. } => {
                format!("balancer {from} to {at}, OwnerQuery, {}", name(seg))
            }
            Event::FromAgent {
                to,
                from,
                frame,
                seg,
                ..
            } => format!("{from} to balancer {to}, {:?}, {}", frame.kind, name(seg)),
            Event::Done { at, seg } => format!("{at} is done, {}", name(seg)),
            Event::Send { .. }
            | Event::ReplyTimeout(_)
            | Event::Tick
            | Event::Changes { .. }
            | Event::Operation(_) => format!("{self:?}"),
        }
    }
}

fn name(seg: &Segment) -> String {
    match seg.opens {
        true => String::from("opening"),
        false => format!("data {}", seg.seq),
    }
}

impl Fleet {
    fn new(seed: u64, scenario: Scenario) -> Fleet {
        let mut fleet = Fleet {
            rng: Random::new(seed),
            now: 0,
            order: 0,
            queue: BinaryHeap::new(),
            events: Vec::new(),
            history: Vec::new(),
            store: catalog(&[]),
            revision: 100,
            catalogs: IndexMap::new(),
            views: IndexMap::new(),
            network: Network::default(),
            freezes: Freezes::default(),
            balancers: (0..BALANCERS).map(|_| Balancer::new()).collect(),
            starts: vec![0; BALANCERS],
            servers: IndexMap::new(),
            callers: IndexMap::new(),
            routed_to: vec![0, 1],
            awaiting_owner: IndexMap::new(),
            scenario,
            outcome: Outcome::default(),
        };
        fleet.network.queued_fault = fleet.scenario.queued_fault;
        if fleet.scenario.has_priority {
            let mut configuration = configuration(2);
            configuration.routes[0].priority = Some(1);
            configuration.routes[0].time_limit = Some(TIME_LIMIT);
            configuration.services[0].cold_rate_per_s = Some(COLD_PER_S);
            let configuration = Record::Configuration(configuration);
            fleet.store.apply(Millis(0), written(100, configuration));
        }
        for last in 1..=5 {
            fleet.add(last);
        }
        for process in 0..BALANCERS {
            fleet.start_process(process);
        }
        fleet
    }

    /// Runs one scenario; `seed` decides all delays, losses and choices.
    pub fn run_scenario(seed: u64, scenario: Scenario) -> Outcome {
        let mut fleet = Fleet::new(seed, scenario);
        for (at, operation) in fleet.scenario.operations.clone() {
            fleet.schedule(at, Event::Operation(operation));
        }
        fleet.run();
        fleet.count_waiting_callers();
        fleet.outcome
    }

    pub(super) fn schedule(&mut self, delay: u64, event: Event) {
        self.events.push(event);
        self.enqueue(self.now + delay, self.events.len() - 1);
    }

    fn enqueue(&mut self, at: u64, index: usize) {
        self.order += 1;
        self.queue.push(Reverse((at, self.order, index)));
    }

    /// Delivers an event after a delay; none: the event is lost.
    pub(super) fn send(&mut self, delay: Option<u64>, event: Event) {
        match delay {
            Some(delay) => self.schedule(delay, event),
            None => {
                self.events.push(event);
                let lost = (self.now, self.events.len() - 1, Delivery::Lost);
                self.history.push(lost);
            }
        }
    }

    fn start_process(&mut self, process: usize) {
        self.freezes.restart(process);
        let now = self.clock(process);
        let mut fresh = Catalog::new();
        fresh.replace(now, self.store.listing(now));
        self.views.insert(process, fresh.view(now).unwrap());
        self.catalogs.insert(process, fresh);
    }

    fn publish(&mut self, change: Change) {
        self.revision += 1;
        let published = changes(self.revision, vec![change]);
        self.store.apply(Millis(self.now), published.clone());
        let processes: Vec<usize> = self.catalogs.keys().copied().collect();
        for process in processes {
            let late = self.rng.below(MAX_CHANGE_DELAY_MS);
            let changes = published.clone();
            self.schedule(late, Event::Changes { process, changes });
        }
    }

    fn add(&mut self, last: u8) {
        let agent = Agent::new(ip(last), FEEDS, last, SERVER_START_MS, Millis(self.now));
        self.servers.insert(ip(last), Server::new(agent));
        let mut server = server(last, FEEDS);
        if self.scenario.cold {
            server.cold_for = Duration::from_millis(RUN_MS);
        }
        self.publish(Change::Written(Record::Server(id(last), server)));
        self.start_process(process_of(ip(last)));
    }

    fn run(&mut self) {
        self.schedule(0, Event::Tick);
        for port in 1..=FLOWS {
            self.callers.insert(port, Caller::default());
            let start = self.rng.below(RUN_MS / 2);
            let first = Event::Send {
                port,
                flow: 0,
                packet: 0,
            };
            self.schedule(start, first);
        }
        while let Some(Reverse((now, _, index))) = self.queue.pop() {
            if now > RUN_MS {
                return;
            }
            self.now = now;
            if let Some(end) = self.frozen_until(index) {
                // The process is frozen: events that arrive meanwhile are
                // handled at the end of the freeze, in their order.
                self.enqueue(end, index);
                continue;
            }
            if !matches!(self.events[index], Event::Tick) {
                self.history.push((now, index, Delivery::Handled));
            }
            self.handle(self.events[index].clone());
        }
    }

    fn frozen_until(&self, index: usize) -> Option<u64> {
        let process = self.events[index].process()?;
        self.freezes.until(process, self.now)
    }

    /// The time by the clock of a process, which stands still during a freeze.
    pub(super) fn clock(&self, process: usize) -> Millis {
        Millis(self.now - self.freezes.clock_lag_ms(process))
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Send { port, flow, packet } => self.caller_sends(port, flow, packet),
            Event::ToBalancer { at, seg } => self.balancer_gets(at, &seg),
            Event::ToAgent {
                at,
                from,
                frame,
                seg,
            } => self.agent_gets(at, from, &frame, &seg),
            Event::OwnerQuery {
                at,
                from,
                frame,
                seg,
            } => self.agent_gets_query(at, from, &frame, &seg),
            Event::FromAgent {
                to,
                from,
                frame,
                seg,
                carries_packet,
            } => self.balancer_receives(to, from, &frame, &seg, carries_packet),
            Event::ReplyTimeout(check) => self.balancer_checks_reply(&check),
            Event::Done { at, seg } => self.server_answers(at, &seg),
            Event::Tick => {
                self.poll_agents();
                self.schedule(TICK_MS, Event::Tick);
            }
            Event::Changes { process, changes } => self.process_gets(process, changes),
            Event::Operation(operation) => self.perform(operation),
        }
    }

    /// What happened to a flow so far, with the operations that were performed.
    pub(super) fn history_of(&self, port: u16) -> String {
        let of_flow = |event: &Event| match event {
            // The flow's packets show already which balancers the routers use.
            Event::Operation(operation) => !matches!(operation, Operation::ChangeRouting),
            // Most of these are for packets that were answered in time.
            Event::Send { .. } | Event::ReplyTimeout(_) => false,
            _ => event.port() == Some(port),
        };
        let lines = self.history.iter().filter_map(|(at, index, delivery)| {
            let event = &self.events[*index];
            of_flow(event).then(|| format!("{at} ms, {delivery:?}: {}", event.summary()))
        });
        lines.collect::<Vec<String>>().join("\n")
    }

    fn process_gets(&mut self, process: usize, changes: Changes) {
        let now = self.clock(process);
        let Some(catalog) = self.catalogs.get_mut(&process) else {
            return;
        };
        // The process has started since the change and read it in its first listing.
        if changes.cursor <= catalog.cursor() {
            return;
        }
        // A process gets changes in their order, as over one connection.
        if changes.cursor.0 > catalog.cursor().0 + 1 {
            return self.schedule(REORDER_RETRY_MS, Event::Changes { process, changes });
        }
        catalog.apply(now, changes);
        let view = catalog.view(now).unwrap();
        if process < BALANCERS {
            for reset in self.balancers[process].on_new_view(&view, now) {
                self.caller_is_reset(process, reset);
            }
        }
        self.views.insert(process, view);
    }

    fn perform(&mut self, operation: Operation) {
        match operation {
            Operation::Add(last) => self.add(last),
            Operation::Drain(last) => self.drain(last),
            Operation::Crash(last) => {
                if self.servers.swap_remove(&ip(last)).is_some() {
                    self.schedule(LEASE_MS, Event::Operation(Operation::Lapse(last)));
                }
            }
            Operation::Lapse(last) => {
                self.publish(Change::Removed(RecordKey::Server(id(last))));
            }
            Operation::Relist(last) => {
                if self.servers.contains_key(&ip(last)) {
                    self.publish(Change::Written(record(last, FEEDS)));
                }
            }
            Operation::RestartBalancer(at) => {
                self.balancers[at] = Balancer::new();
                self.starts[at] += 1;
                self.awaiting_owner
                    .retain(|(balancer, _), _| *balancer != at);
                self.start_process(at);
            }
            Operation::RestartAgent(last) => self.restart_agent(last),
            Operation::ChangeRouting => {
                let out = self.rng.below(BALANCERS as u64) as usize;
                self.routed_to = (0..BALANCERS).filter(|b| *b != out).collect();
            }
            Operation::EndServer { last, for_ms } => {
                let until = self.now + for_ms;
                if let Some(server) = self.servers.get_mut(&ip(last)) {
                    server.end(until);
                }
            }
            Operation::CutOneWay { from, to } => self.network.cut(from, to),
            Operation::SlowOneWay { from, to } => self.network.slow(from, to),
            Operation::FreezeBalancer { at, for_ms } => self.freezes.freeze(at, self.now, for_ms),
            Operation::FreezeAgent { last, for_ms } => {
                let process = process_of(ip(last));
                self.freezes.freeze(process, self.now, for_ms);
            }
            Operation::RepairNetwork => self.network.repair(),
        }
    }

    fn drain(&mut self, last: u8) {
        let Some(server) = self.servers.get_mut(&ip(last)) else {
            return;
        };
        server.drain_at = Some(self.now);
        let mut leaving = server_record(last);
        leaving.state = ServerState::Draining;
        self.publish(Change::Written(Record::Server(id(last), leaving)));
    }

    fn restart_agent(&mut self, last: u8) {
        let Some(server) = self.servers.get_mut(&ip(last)) else {
            return;
        };
        // The new process's clock has not stood still yet.
        let now = Millis(self.now);
        let agent = Agent::new(ip(last), FEEDS, last + 100, AGENT_RESTART_MS, now);
        server.replace_agent(agent);
        self.start_process(process_of(ip(last)));
    }
}

fn server_record(last: u8) -> ramp_coordination::passthrough::published::Server {
    server(last, FEEDS)
}
