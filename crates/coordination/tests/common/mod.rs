//! Discrete-event simulation around the decision logic: a clock, a network that
//! delays, drops, duplicates and reorders, callers with a minimal TCP, agents,
//! balancers, and a platform whose changes reach each process at another time.
#![allow(dead_code, reason = "each test file uses its part")]

pub mod caller;
pub mod node;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;
use ramp_coordination::flows::Arrival;
use ramp_coordination::flows::ResetReason;
use ramp_coordination::random::Random;
use ramp_protocol::codec;
use ramp_protocol::message::Envelope;
use ramp_protocol::message::Load;
use ramp_protocol::message::Message;
use ramp_protocol::message::Warmth;
use ramp_protocol::packet::Segment;
use ramp_state::fleet::DataCentre;
use ramp_state::fleet::DataCentreState;
use ramp_state::fleet::Fleet;
use ramp_state::fleet::Server;
use ramp_state::fleet::Service;
use ramp_state::instances::Instance;
use ramp_state::instances::InstanceList;
use ramp_state::instances::InstanceState;
use ramp_state::instances::Role;
use ramp_state::key::FlowKey;
use ramp_state::key::InstanceId;
use ramp_state::key::Version;
use ramp_state::time::Millis;

use caller::Caller;
use caller::Reply;
use node::Agent;
use node::Balancer;

/// Address of the only service.
pub const SERVICE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(10, 9, 0, 1), 80);

/// Overhead of a datagram beyond its message: IP header, UDP header and
/// authentication tag.
pub const DATAGRAM_BYTES: usize = 20 + 8 + 16;

const TICK_MS: u64 = 100;

/// Faults of the simulated network.
#[derive(Clone, Copy)]
pub struct NetworkFaults {
    pub loss_percent: u64,
    pub duplicate_percent: u64,
    pub delay_percent: u64,
    pub delay_limit_ms: u64,
}

pub const NO_FAULTS: NetworkFaults = NetworkFaults {
    loss_percent: 0,
    duplicate_percent: 0,
    delay_percent: 0,
    delay_limit_ms: 0,
};

pub const MANY_FAULTS: NetworkFaults = NetworkFaults {
    loss_percent: 5,
    duplicate_percent: 10,
    delay_percent: 10,
    delay_limit_ms: 400,
};

pub enum Event {
    CallerPacket(Segment),
    AgentPacket(InstanceId, Arrival, Segment),
    Control(SocketAddrV4, Envelope),
    Caller(FlowKey, Reply),
    CallerTimer(FlowKey, u64),
    Tick(String),
    Fleet(String, Arc<Fleet>),
    List(String, Arc<InstanceList>),
    Resume(String),
}

/// Violations and counts that the tests check.
#[derive(Debug, Default)]
pub struct Findings {
    /// Flows established at two agents.
    pub two_owners: Vec<FlowKey>,
    /// Established flows that were reset although their owner was running and
    /// its data centre took traffic.
    pub broken: Vec<(FlowKey, ResetReason)>,
    pub given_up: usize,
    pub owner_lost: usize,
    pub control_messages: usize,
    pub control_bytes: usize,
    /// Part of `control_bytes` for registrations, releases, owner queries and
    /// their replies.
    pub flow_bytes: usize,
    pub agent_hops: usize,
    pub packets: usize,
}

pub struct World {
    pub now: Millis,
    pub rng: Random,
    pub faults: NetworkFaults,
    /// Longest time until a process gets a change published by the platform.
    pub lag_ms: u64,
    pub agents: IndexMap<String, Agent>,
    pub balancers: IndexMap<String, Balancer>,
    pub callers: IndexMap<FlowKey, Caller>,
    /// Agents and balancers on one side of a network partition.
    pub partitioned: Vec<String>,
    /// Whether the bytes of control messages are counted, not only their number.
    pub count_bytes: bool,
    pub fleet: Fleet,
    pub list: InstanceList,
    pub findings: Findings,
    /// Agents and balancers that packets or messages have reached.
    pub reached: IndexSet<String>,
    /// By data centre that was taken out: flows opened up to this time may be
    /// given up.
    pub out_until: IndexMap<String, Millis>,
    /// Number of control messages that reached balancers.
    pub digests: usize,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    bodies: IndexMap<u64, Event>,
    number: u64,
}

impl World {
    /// Starts `servers` agents in three data centres and `balancers` balancers,
    /// and runs until all have the first configuration.
    pub fn new(seed: u64, servers: usize, balancers: usize) -> World {
        let mut world = World {
            now: Millis(1_000),
            rng: Random::new(seed),
            faults: NO_FAULTS,
            lag_ms: 0,
            agents: IndexMap::new(),
            balancers: IndexMap::new(),
            callers: IndexMap::new(),
            partitioned: Vec::new(),
            count_bytes: false,
            fleet: fleet(servers),
            list: InstanceList::default(),
            findings: Findings::default(),
            reached: IndexSet::new(),
            out_until: IndexMap::new(),
            digests: 0,
            events: BinaryHeap::new(),
            bodies: IndexMap::new(),
            number: 0,
        };
        for i in 0..balancers {
            world.add_balancer(&format!("b{i}"), i);
        }
        for name in world.fleet.servers.keys().cloned().collect::<Vec<_>>() {
            world.start_agent(&name, 1);
        }
        world.publish();
        world.run_for(5_000);
        world
    }

    /// Starts the agent of a server in the fleet document.
    pub fn start_agent(&mut self, name: &str, incarnation: u64) {
        let server = &self.fleet.servers[name];
        let instance = Instance {
            role: Role::Agent,
            data_centre: server.data_centre.clone(),
            address: server.agent,
            control: server.control,
            state: InstanceState::Live,
        };
        let agent = Agent::new(name, incarnation, server.control, self.rng.below(u64::MAX));
        self.list.instances.insert(name.to_string(), instance);
        self.agents.insert(name.to_string(), agent);
        self.schedule(1, Event::Tick(name.to_string()));
    }

    pub fn add_balancer(&mut self, name: &str, number: usize) {
        let control = SocketAddrV4::new(Ipv4Addr::new(10, 0, 1, number as u8), 2000);
        let instance = Instance {
            role: Role::Balancer,
            data_centre: "a".to_string(),
            address: SocketAddrV4::new(*control.ip(), 1000),
            control,
            state: InstanceState::Live,
        };
        self.list.instances.insert(name.to_string(), instance);
        self.balancers
            .insert(name.to_string(), Balancer::new(control));
        self.schedule(1, Event::Tick(name.to_string()));
    }

    /// Publishes the present fleet document and instance list as new versions.
    pub fn publish(&mut self) {
        self.fleet.version = Version(self.fleet.version.0 + 1);
        self.list.version = Version(self.list.version.0 + 1);
        let known_at = Millis(self.now.0 + self.lag_ms);
        for (name, dc) in &self.fleet.data_centres {
            if dc.state == DataCentreState::Out {
                self.out_until.insert(name.clone(), Millis(u64::MAX));
            } else if let Some(until) = self.out_until.get_mut(name) {
                *until = known_at.min(*until);
            }
        }
        let (fleet, list) = (Arc::new(self.fleet.clone()), Arc::new(self.list.clone()));
        let names: Vec<String> = self
            .agents
            .keys()
            .chain(self.balancers.keys())
            .cloned()
            .collect();
        for name in names {
            let lag = self.rng.below(self.lag_ms + 1);
            self.schedule(lag, Event::Fleet(name.clone(), fleet.clone()));
            self.schedule(lag, Event::List(name, list.clone()));
        }
    }

    pub fn run_for(&mut self, ms: u64) {
        let end = self.now.0 + ms;
        while let Some(Reverse((at, _))) = self.events.peek()
            && *at <= end
        {
            let Some(Reverse((at, number))) = self.events.pop() else {
                break;
            };
            self.now = Millis(at);
            let Some(event) = self.bodies.swap_remove(&number) else {
                continue;
            };
            self.handle(event);
        }
        self.now = Millis(end);
    }

    /// Stops an agent for good; it stays in the instance list.
    pub fn kill(&mut self, name: &str) {
        self.agents.swap_remove(name);
    }

    /// Pauses an agent for `ms`; events for it are queued meanwhile.
    pub fn freeze(&mut self, name: &str, ms: u64) {
        self.agents[name].frozen = Some(Vec::new());
        self.schedule(ms, Event::Resume(name.to_string()));
    }

    /// Starts a caller that opens a flow now.
    pub fn open_flow(&mut self, number: u32) -> FlowKey {
        let ip = Ipv4Addr::from(0x0b00_0000 + number / 16);
        let key = FlowKey {
            caller: SocketAddrV4::new(ip, 20_000 + (number % 16) as u16),
            service: SERVICE,
        };
        let caller = Caller::new(key, self.rng.below(u64::MAX) as u32, self.now);
        self.callers.insert(key, caller);
        self.run_caller(key, |caller| caller.connect());
        key
    }

    /// Makes a caller send a request on its open flow.
    pub fn send_request(&mut self, key: FlowKey) {
        self.run_caller(key, |caller| caller.request());
    }

    /// Sends a caller's segment to a balancer.
    pub fn inject(&mut self, segment: Segment) {
        self.transmit(1, || Event::CallerPacket(segment));
    }

    /// Name of the agent at which a flow is established.
    pub fn owner(&self, key: FlowKey) -> Option<&str> {
        let owner = self
            .agents
            .iter()
            .find(|(_, a)| a.router.is_established(key));
        owner.map(|(name, _)| name.as_str())
    }

    pub fn schedule(&mut self, delay_ms: u64, event: Event) {
        self.number += 1;
        self.events
            .push(Reverse((self.now.0 + delay_ms, self.number)));
        self.bodies.insert(self.number, event);
    }

    /// Sends an event over the network, which may drop, duplicate or delay it.
    pub fn transmit(&mut self, delay_ms: u64, event: impl Fn() -> Event) {
        let faults = self.faults;
        let copies = 1 + u64::from(self.chance(faults.duplicate_percent));
        for _ in 0..copies {
            if self.chance(faults.loss_percent) {
                continue;
            }
            let mut delay = delay_ms + self.rng.below(2);
            if self.chance(faults.delay_percent) {
                delay += self.rng.below(faults.delay_limit_ms);
            }
            self.schedule(delay, event());
        }
    }

    fn chance(&mut self, percent: u64) -> bool {
        self.rng.below(100) < percent
    }

    pub fn are_partitioned(&self, one: &str, other: &str) -> bool {
        self.partitioned.iter().any(|c| c == one) != self.partitioned.iter().any(|c| c == other)
    }

    pub fn record_control_message(&mut self, envelope: &Envelope) {
        self.findings.control_messages += 1;
        if !self.count_bytes {
            return;
        }
        let bytes = codec::encode(envelope).len() + DATAGRAM_BYTES;
        self.findings.control_bytes += bytes;
        if !matches!(
            envelope.message,
            Message::Heartbeat { .. } | Message::Digest { .. }
        ) {
            self.findings.flow_bytes += bytes;
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::CallerPacket(segment) => self.route_at_balancer(segment),
            Event::Caller(key, reply) => self.run_caller(key, |c| c.on_reply(reply)),
            Event::CallerTimer(key, n) => self.run_caller(key, |c| c.on_timer(n)),
            Event::Tick(name) => {
                self.schedule(TICK_MS, Event::Tick(name.clone()));
                self.node_event(&name.clone(), Event::Tick(name));
            }
            Event::Fleet(name, fleet) => self.node_event(&name.clone(), Event::Fleet(name, fleet)),
            Event::List(name, list) => self.node_event(&name.clone(), Event::List(name, list)),
            Event::AgentPacket(to, arrival, segment) => {
                let found = self.agents.iter().find(|(_, a)| a.id == to);
                let Some(name) = found.map(|(name, _)| name.clone()) else {
                    return;
                };
                self.reached.insert(name.clone());
                self.node_event(&name, Event::AgentPacket(to, arrival, segment));
            }
            Event::Control(to, envelope) => {
                let found = self.name_by_control(to);
                let Some(name) = found else {
                    return;
                };
                self.reached.insert(name.clone());
                self.node_event(&name, Event::Control(to, envelope));
            }
            Event::Resume(name) => {
                let Some(agent) = self.agents.get_mut(&name) else {
                    return;
                };
                let waiting = agent.frozen.take().unwrap_or_default();
                for event in waiting {
                    self.node_event(&name, event);
                }
            }
        }
    }

    pub fn name_by_control(&self, control: SocketAddrV4) -> Option<String> {
        let agents = self.agents.iter().map(|(n, a)| (n, a.control));
        let balancers = self.balancers.iter().map(|(n, b)| (n, b.control));
        agents
            .chain(balancers)
            .find(|(_, at)| *at == control)
            .map(|(name, _)| name.clone())
    }
}

/// Fleet document with `servers` servers in three data centres.
pub fn fleet(servers: usize) -> Fleet {
    let mut fleet = Fleet::default();
    for dc in ["a", "b", "c"] {
        fleet
            .data_centres
            .insert(dc.to_string(), DataCentre::default());
    }
    let service = Service { address: SERVICE };
    fleet.services.insert("ledger".to_string(), service);
    for i in 0..servers {
        add_server(&mut fleet, i);
    }
    fleet
}

pub fn add_server(fleet: &mut Fleet, number: usize) -> String {
    let ip = Ipv4Addr::new(10, 0, 0, number as u8);
    let name = format!("s{number}");
    let server = Server {
        service: "ledger".to_string(),
        data_centre: ["a", "b", "c"][number % 3].to_string(),
        agent: SocketAddrV4::new(ip, 1000),
        control: SocketAddrV4::new(ip, 2000),
        state: Default::default(),
    };
    fleet.servers.insert(name.clone(), server);
    name
}

/// Opening segment (SYN) of a flow.
pub fn opening_segment(key: FlowKey) -> Segment {
    Segment {
        key,
        seq: 100,
        ack: 0,
        len: 0,
        opens: true,
        syn: true,
        has_ack: false,
        rst: false,
        fin: false,
        opening_age: Duration::ZERO,
    }
}

/// Data segment of a flow.
pub fn later_segment(key: FlowKey, ack: u32) -> Segment {
    Segment {
        seq: 101,
        ack,
        len: 10,
        opens: false,
        syn: false,
        has_ack: true,
        ..opening_segment(key)
    }
}

/// Load report of a warm server with `flows` flows.
pub fn load(flows: u32) -> Load {
    Load {
        flows,
        slots: 5,
        warmth: Warmth::Warm,
        ..Load::default()
    }
}
