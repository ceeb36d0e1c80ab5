//! The processes, their clock and queue of events, and what the operator does.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::Ipv4Addr;

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
use ramp_protocol::hop::Frame;
use ramp_protocol::packet::Segment;
use ramp_state::key::FlowKey;
use ramp_state::time::Millis;

use super::freezes::Freezes;
use super::invariants::Caller;
use super::network::Network;
use super::network::WaitsFault;
use super::server::Server;
use crate::fixture::*;

pub const BALANCERS: usize = 3;
const FLOWS: u16 = 120;
/// Time between two looks of an agent at the openings that wait.
const TICK_MS: u64 = 10;
const RUN_MS: u64 = 12_000;
/// Longest time until a process hears of a change.
const MAX_CHANGE_DELAY_MS: u64 = 900;
/// Pause of a process between two reads of a change that comes out of order.
const REORDER_RETRY_MS: u64 = 10;
/// Time from a crash until the record of the server lapses.
const LEASE_MS: u64 = 2_000;
/// Start of every server and of its first agent, Unix milliseconds.
const SERVER_START_MS: u64 = 1;
/// Start of an agent that was restarted while its server lived.
const AGENT_RESTART_MS: u64 = 5_000;

/// When a balancer looks at a packet again that it sent with an inquiry.
#[derive(Clone, Debug)]
pub struct ReplyCheck {
    pub at: usize,
    /// Which process of this balancer sent it.
    pub start: u32,
    /// By the clock of the balancer.
    pub due: Millis,
    /// How often its question was repeated.
    pub repeats: u32,
    pub seg: Segment,
}

#[derive(Clone, Debug)]
pub enum Event {
    /// The caller sends, or sends again; the number tells its tries apart.
    Send {
        port: u16,
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
    /// An agent is asked for a flow by its name.
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
        seg: Segment,
    },
    /// A packet that a balancer sent with an inquiry may be overdue.
    ReplyTimeout(ReplyCheck),
    /// A server is done with a request.
    Done {
        at: Ipv4Addr,
        seg: Segment,
    },
    /// Agents look at the openings that wait.
    Tick,
    /// A process hears of what was published.
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
    /// Nothing passes from one data centre to another.
    CutOneWay {
        from: usize,
        to: usize,
    },
    /// Messages from one data centre to another are late.
    SlowOneWay {
        from: usize,
        to: usize,
    },
    /// A server ends, and another starts beside its agent.
    EndServer {
        last: u8,
        for_ms: u64,
    },
    /// A balancer handles nothing for a while, and its clock stands still.
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

/// What happens in one run.
#[derive(Clone, Debug, Default)]
pub struct Scenario {
    pub operations: Vec<(u64, Operation)>,
    /// Mean time that a server works on a request; zero: it answers at once.
    pub work_ms: u64,
    pub waits: WaitsFault,
}

/// What came of a run.
#[derive(Debug, Default)]
pub struct Outcome {
    pub resets: usize,
    pub answered: usize,
    /// Packets that were answered late or not by the end.
    pub late: usize,
    /// Callers that gave up since nobody answered their openings.
    pub unanswered: usize,
    /// Callers that were reset after a server had answered their openings and
    /// before it got another packet.
    pub refused_late: usize,
    /// Openings that waited at an agent.
    pub waited: usize,
    /// Rules that were broken; the first with what led there.
    pub violations: Vec<String>,
}

/// What became of an event.
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
    /// Events in the order in which they were handled or lost.
    history: Vec<(u64, usize, Delivery)>,
    store: Catalog,
    revision: u64,
    /// Balancers first, then agents by the last octet of their address.
    catalogs: IndexMap<usize, Catalog>,
    pub(super) views: IndexMap<usize, View>,
    pub(super) network: Network,
    pub(super) freezes: Freezes,
    pub(super) balancers: Vec<Balancer>,
    /// How often each balancer was started anew.
    pub(super) starts: Vec<u32>,
    pub(super) servers: IndexMap<Ipv4Addr, Server>,
    pub(super) callers: IndexMap<u16, Caller>,
    pub(super) routed_to: Vec<usize>,
    /// Packets that wait at a balancer for their flow's owner.
    pub(super) awaiting_owner: IndexMap<(usize, FlowKey), Segment>,
    pub(super) scenario: Scenario,
    pub(super) outcome: Outcome,
}

pub(super) fn process_of(server: Ipv4Addr) -> usize {
    100 + usize::from(server.octets()[3])
}

impl Event {
    /// The process that handles it; none for callers and the operator.
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

    /// Port of the caller whose flow it is about; none where it is about all.
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

    /// One line for a reader of what led to a violation.
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
                format!("balancer {from} to {at}, Ask, {}", name(seg))
            }
            Event::FromAgent {
                to,
                from,
                frame,
                seg,
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
        fleet.network.waits = fleet.scenario.waits;
        for last in 1..=5 {
            fleet.add(last);
        }
        for process in 0..BALANCERS {
            fleet.start_process(process);
        }
        fleet
    }

    /// Plays a day.
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

    /// Sends over a way that loses some and delays all; none: this is lost.
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
        let news = changes(self.revision, vec![change]);
        self.store.apply(Millis(self.now), news.clone());
        let processes: Vec<usize> = self.catalogs.keys().copied().collect();
        for process in processes {
            let late = self.rng.below(MAX_CHANGE_DELAY_MS);
            let changes = news.clone();
            self.schedule(late, Event::Changes { process, changes });
        }
    }

    fn add(&mut self, last: u8) {
        let agent = Agent::new(ip(last), FEEDS, last, SERVER_START_MS, Millis(self.now));
        self.servers.insert(ip(last), Server::new(agent));
        self.publish(Change::Written(record(last, FEEDS)));
        self.start_process(process_of(ip(last)));
    }

    fn run(&mut self) {
        self.schedule(0, Event::Tick);
        for port in 1..=FLOWS {
            self.callers.insert(port, Caller::default());
            let start = self.rng.below(RUN_MS / 2);
            self.schedule(start, Event::Send { port, packet: 0 });
        }
        while let Some(Reverse((now, _, index))) = self.queue.pop() {
            if now > RUN_MS {
                return;
            }
            self.now = now;
            if let Some(end) = self.frozen_until(index) {
                // All that came meanwhile is handled at once, in its order.
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

    /// The time by the clock of a process.
    pub(super) fn clock(&self, process: usize) -> Millis {
        Millis(self.now - self.freezes.clock_lag_ms(process))
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Send { port, packet } => self.caller_sends(port, packet),
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
            } => self.agent_is_asked(at, from, &frame, &seg),
            Event::FromAgent {
                to,
                from,
                frame,
                seg,
            } => self.balancer_hears(to, from, &frame, &seg),
            Event::ReplyTimeout(check) => self.balancer_checks_reply(&check),
            Event::Done { at, seg } => self.server_answers(at, &seg),
            Event::Tick => {
                self.release_all();
                self.schedule(TICK_MS, Event::Tick);
            }
            Event::Changes { process, changes } => self.process_gets(process, changes),
            Event::Operation(operation) => self.perform(operation),
        }
    }

    /// What happened to a flow so far, and what the operator did.
    pub(super) fn history_of(&self, port: u16) -> String {
        let of_flow = |event: &Event| match event {
            // The packets show which balancers the routers pick.
            Event::Operation(operation) => !matches!(operation, Operation::ChangeRouting),
            // Most of these are copies that were answered in time.
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
        // What an earlier process of the same name was to hear.
        if changes.cursor <= catalog.cursor() {
            return;
        }
        // News come in their order, as from one connection.
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
        // Its clock begins anew.
        let now = Millis(self.now);
        let agent = Agent::new(ip(last), FEEDS, last + 100, AGENT_RESTART_MS, now);
        server.replace_agent(agent);
        self.start_process(process_of(ip(last)));
    }
}

fn server_record(last: u8) -> ramp_coordination::passthrough::published::Server {
    server(last, FEEDS)
}
