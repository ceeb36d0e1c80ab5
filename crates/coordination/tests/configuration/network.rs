//! Simulated network, platform and clock for the configurations of many
//! processes. A seed decides which messages are lost, delayed, duplicated or
//! reordered.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use ramp_coordination::configuration::Configuration;
use ramp_coordination::configuration::HoldOutcome;
use ramp_coordination::configuration::Output;
use ramp_coordination::configuration::Peer;
use ramp_coordination::configuration::platform_calls::CallId;
use ramp_coordination::configuration::platform_calls::PlatformCall;
use ramp_coordination::platform_reply::PlatformCallError;
use ramp_coordination::platform_reply::PlatformReply;
use ramp_coordination::platform_reply::PublishedText;
use ramp_coordination::random::Random;
use ramp_protocol::message::Load;
use ramp_protocol::message::Message;
use ramp_state::fleet::Fleet;
use ramp_state::instances::Role;
use ramp_state::key::InstanceId;
use ramp_state::key::ServiceId;
use ramp_state::key::Version;
use ramp_state::time::Millis;
use ramp_state::validation::ValidationErrors;

/// Time between two heartbeats of a member.
const HEARTBEAT_PERIOD: Duration = Duration::from_millis(500);

/// Delay of the detection of dead members; see [`Network::set_members_of`] for
/// why it has no effect.
const LIVENESS_TIMEOUT: Duration = Duration::from_secs(2);

/// Faults of the links between all processes.
#[derive(Clone, Copy, Debug)]
pub struct Link {
    pub lost_percent: u64,
    pub duplicated_percent: u64,
    pub delay_ms: u64,
}

pub const GOOD_LINK: Link = Link {
    lost_percent: 0,
    duplicated_percent: 0,
    delay_ms: 5,
};

pub const BAD_LINK: Link = Link {
    lost_percent: 5,
    duplicated_percent: 5,
    delay_ms: 100,
};

/// How a replica of the platform answers: `Silent` ones time out, `Stale` ones
/// know no version above theirs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Replica {
    Up,
    Down,
    Silent,
    Stale(Version),
}

enum Event {
    Heartbeats,
    Deliver(SocketAddrV4, SocketAddrV4, Message),
    PlatformReply(usize, CallId, Result<PlatformReply, PlatformCallError>),
    DocumentFetched(
        usize,
        SocketAddrV4,
        Result<PublishedText, PlatformCallError>,
    ),
}

struct PendingCall {
    node: usize,
    call: PlatformCall,
    until: Millis,
}

/// One process. `config` is set while it runs.
pub struct Node {
    pub name: String,
    pub role: Role,
    pub group: usize,
    pub partition: u8,
    pub cut_off_from_platform: bool,
    /// Whether its calls to the platform time out.
    pub calls_hang: bool,
    pub can_fetch: bool,
    pub frozen: bool,
    pub config: Option<Configuration>,
    pub installed: Option<Arc<Fleet>>,
    /// Versions put in force since the last start.
    pub versions: Vec<Version>,
    pub refused: Vec<(Version, ValidationErrors)>,
    pub hold_outcomes: Vec<HoldOutcome>,
    pub holds_traffic: bool,
    pub calls: Vec<Millis>,
    backlog: Vec<(SocketAddrV4, Message)>,
}

pub struct Network {
    pub now: Millis,
    pub link: Link,
    /// Whether deltas arrive with a wrong hash.
    pub damages_deltas: bool,
    pub nodes: Vec<Node>,
    pub replicas: Vec<Replica>,
    pub published: Vec<PublishedText>,
    random: Random,
    queue: BinaryHeap<Reverse<(Millis, u64)>>,
    events: HashMap<u64, Event>,
    next_event: u64,
    pending_calls: Vec<PendingCall>,
}

impl Network {
    /// Network of groups of agents, and balancers. No process runs yet.
    pub fn new(seed: u64, groups: usize, members: usize, balancers: usize) -> Network {
        let mut network = Network {
            now: Millis(1_000_000),
            link: GOOD_LINK,
            damages_deltas: false,
            nodes: Vec::new(),
            replicas: vec![Replica::Up],
            published: Vec::new(),
            random: Random::new(seed),
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            next_event: 0,
            pending_calls: Vec::new(),
        };
        for group in 0..groups {
            for member in 0..members {
                network.add(format!("agent-{group}-{member}"), Role::Agent, group);
            }
        }
        for balancer in 0..balancers {
            network.add(format!("balancer-{balancer}"), Role::Balancer, usize::MAX);
        }
        network.push(HEARTBEAT_PERIOD, Event::Heartbeats);
        network
    }

    fn add(&mut self, name: String, role: Role, group: usize) {
        self.nodes.push(Node {
            name,
            role,
            group,
            partition: 0,
            cut_off_from_platform: false,
            calls_hang: false,
            can_fetch: true,
            frozen: false,
            config: None,
            installed: None,
            versions: Vec::new(),
            refused: Vec::new(),
            hold_outcomes: Vec::new(),
            holds_traffic: false,
            calls: Vec::new(),
            backlog: Vec::new(),
        });
    }

    /// Starts or restarts a process with three others as its peers.
    pub fn start(&mut self, node: usize) {
        let all = self.nodes.len();
        let peers = (1..=3.min(all - 1)).map(|i| address((node + i) % all));
        let seed = self.random.next_u64();
        let id = InstanceId::of(&self.nodes[node].name);
        let role = self.nodes[node].role;
        let config = Configuration::new(self.now, seed, id, role, peers.collect());
        self.nodes[node].config = Some(config);
        self.nodes[node].installed = None;
        self.nodes[node].versions.clear();
        self.nodes[node].holds_traffic = false;
        self.nodes[node].frozen = false;
        self.nodes[node].backlog.clear();
        self.pending_calls.retain(|pending| pending.node != node);
    }

    pub fn start_all(&mut self) {
        (0..self.nodes.len()).for_each(|node| self.start(node));
    }

    pub fn kill(&mut self, node: usize) {
        self.nodes[node].config = None;
        self.nodes[node].installed = None;
        self.pending_calls.retain(|pending| pending.node != node);
    }

    pub fn freeze(&mut self, node: usize) {
        self.nodes[node].frozen = true;
    }

    /// Resumes a frozen process: it detects the pause, then handles the messages
    /// that arrived during it.
    pub fn resume(&mut self, node: usize) {
        let now = self.now;
        self.nodes[node].frozen = false;
        let backlog = std::mem::take(&mut self.nodes[node].backlog);
        self.drive(node, |config| config.on_pause(now));
        for (from, message) in backlog {
            self.drive(node, |config| config.on_message(now, from, &message));
        }
    }

    /// Publishes `text` as the next version and returns its number.
    pub fn publish(&mut self, text: impl Into<String>) -> Version {
        let version = Version(self.published.len() as u64 + 1);
        let text = text.into();
        self.published.push(PublishedText { version, text });
        self.answer_pending_calls();
        version
    }

    pub fn set_replicas(&mut self, replicas: &[Replica]) {
        self.replicas = replicas.to_vec();
        self.answer_pending_calls();
    }

    pub fn isolate(&mut self, nodes: impl IntoIterator<Item = usize>) {
        nodes.into_iter().for_each(|n| self.nodes[n].partition = 1);
    }

    pub fn heal(&mut self) {
        self.nodes.iter_mut().for_each(|n| n.partition = 0);
    }

    /// Version in force at a process; zero when it does not serve.
    pub fn version(&self, node: usize) -> Version {
        let installed = self.nodes[node].installed.as_ref();
        installed.map_or(Version(0), |fleet| fleet.version)
    }

    pub fn lowest_version(&self) -> Version {
        let all = 0..self.nodes.len();
        all.map(|n| self.version(n)).min().unwrap()
    }

    pub fn calls(&self) -> usize {
        self.nodes.iter().map(|n| n.calls.len()).sum()
    }

    /// Runs the simulation for `span`.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(at) = self.next_event_at().filter(|at| *at <= end) {
            self.now = self.now.max(at);
            self.step();
        }
        self.now = end;
    }

    /// Passes an input to one process and carries out its outputs.
    pub fn drive(&mut self, node: usize, input: impl FnOnce(&mut Configuration)) {
        let Some(mut config) = self.nodes[node].config.take() else {
            return;
        };
        input(&mut config);
        while let Some(output) = config.next_output() {
            self.carry_out(node, &config, output);
        }
        self.nodes[node].config = Some(config);
    }

    fn next_event_at(&self) -> Option<Millis> {
        let timers = self.nodes.iter().filter(|n| !n.frozen);
        let timers = timers.filter_map(|n| n.config.as_ref().map(Configuration::next_timer));
        let event = self.queue.peek().map(|Reverse((at, _))| *at);
        let timeout = self.pending_calls.iter().map(|pending| pending.until).min();
        timers.chain(event).chain(timeout).min()
    }

    fn step(&mut self) {
        let now = self.now;
        while let Some(Reverse((at, number))) = self.queue.peek().copied() {
            if at > now {
                break;
            }
            self.queue.pop();
            let event = self.events.remove(&number).unwrap();
            self.handle_event(event);
        }
        self.answer_pending_calls();
        for node in 0..self.nodes.len() {
            let due = self.nodes[node].config.as_ref();
            let due = due.is_some_and(|config| config.next_timer() <= now);
            if due && !self.nodes[node].frozen {
                self.drive(node, |config| config.tick(now));
            }
        }
    }

    fn handle_event(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Heartbeats => {
                self.push(HEARTBEAT_PERIOD, Event::Heartbeats);
                self.send_heartbeats();
            }
            Event::Deliver(from, to, message) => {
                let node = index(to);
                if self.nodes[node].frozen {
                    self.nodes[node].backlog.push((from, message));
                } else if self.connected(index(from), node) {
                    self.drive(node, |config| config.on_message(now, from, &message));
                }
            }
            Event::PlatformReply(node, call, result) => {
                if self.nodes[node].frozen {
                    self.push(HEARTBEAT_PERIOD, Event::PlatformReply(node, call, result));
                } else {
                    self.drive(node, |config| config.on_platform_reply(now, call, result));
                }
            }
            Event::DocumentFetched(node, from, result) => {
                self.drive(node, |config| config.on_document(now, from, result));
            }
        }
    }

    /// Sends heartbeats inside groups and digests to balancers, and updates the
    /// live members of each process.
    fn send_heartbeats(&mut self) {
        for node in 0..self.nodes.len() {
            if self.nodes[node].frozen || self.nodes[node].config.is_none() {
                continue;
            }
            let config = self.version(node);
            let load = Load::default();
            for other in 0..self.nodes.len() {
                if other == node || self.nodes[node].role == Role::Balancer {
                    continue;
                }
                if self.nodes[other].group == self.nodes[node].group {
                    self.send(node, other, Message::Heartbeat { config, load });
                } else if self.nodes[other].role == Role::Balancer && self.sends_digests(node) {
                    let digest = Message::Digest {
                        service: ServiceId(self.nodes[node].group as u64),
                        config,
                        dead: Vec::new(),
                    };
                    self.send(node, other, digest);
                }
            }
            self.set_members_of(node);
        }
    }

    /// Whether a member is the one that sends the digests of its group.
    fn sends_digests(&self, node: usize) -> bool {
        let group = self.nodes[node].group;
        let first = (0..node).find(|other| {
            let other = &self.nodes[*other];
            other.group == group && other.config.is_some() && !other.frozen
        });
        first.is_none()
    }

    /// Sets the live members of a process. A member that has stopped or is cut
    /// off is left out at once: the condition on the time always holds.
    fn set_members_of(&mut self, node: usize) {
        let members: Vec<Peer> = (0..self.nodes.len())
            .filter(|other| self.nodes[*other].group == self.nodes[node].group)
            .filter(|other| self.nodes[*other].config.is_some() && self.connected(node, *other))
            .filter(|_| self.nodes[node].role == Role::Agent)
            .map(|other| Peer {
                id: InstanceId::of(&self.nodes[other].name),
                control: address(other),
            })
            .collect();
        let later = self.now + LIVENESS_TIMEOUT;
        let now = self.now;
        if later > now && self.nodes[node].installed.is_some() {
            self.drive(node, |config| config.set_members(now, members));
        }
    }

    fn connected(&self, a: usize, b: usize) -> bool {
        self.nodes[a].partition == self.nodes[b].partition
    }

    fn send(&mut self, from: usize, to: usize, mut message: Message) {
        if let Message::Delta(delta) = &mut message
            && self.damages_deltas
        {
            delta.hash ^= 1;
        }
        if self.random.below(100) < self.link.lost_percent || !self.connected(from, to) {
            return;
        }
        let duplicated = self.random.below(100) < self.link.duplicated_percent;
        for _ in 0..1 + usize::from(duplicated) {
            let delay = Duration::from_millis(1 + self.random.below(self.link.delay_ms));
            let event = Event::Deliver(address(from), address(to), message.clone());
            self.push(delay, event);
        }
    }

    fn push(&mut self, delay: Duration, event: Event) {
        let number = self.next_event;
        self.next_event += 1;
        self.queue.push(Reverse((self.now + delay, number)));
        self.events.insert(number, event);
    }

    fn carry_out(&mut self, node: usize, config: &Configuration, output: Output) {
        match output {
            Output::CallPlatform(call) => self.call(node, call),
            Output::Send { to, message } => self.send(node, index(to), message),
            Output::FetchDocument { from } => self.fetch(node, from),
            Output::Install(fleet) => self.install(node, config, fleet),
            Output::DocumentRefused { version, faults } => {
                self.nodes[node].refused.push((version, faults));
            }
            Output::HoldTraffic => {
                assert!(!self.nodes[node].holds_traffic);
                self.nodes[node].holds_traffic = true;
            }
            Output::ResumeTraffic(outcome) => {
                assert!(self.nodes[node].holds_traffic);
                self.nodes[node].holds_traffic = false;
                self.nodes[node].hold_outcomes.push(outcome);
            }
        }
    }

    /// Puts a fleet in force, and checks that versions only increase and that the
    /// fleet is the one published under its version.
    fn install(&mut self, node: usize, config: &Configuration, fleet: Arc<Fleet>) {
        let name = &self.nodes[node].name;
        let before = self.version(node);
        assert!(
            fleet.version > before,
            "{name}: {} after {before}",
            fleet.version
        );
        assert_eq!(config.version(), fleet.version, "{name}");
        let published = &self.published[fleet.version.0 as usize - 1];
        let expected = Fleet::parse(published.version, &published.text).unwrap();
        assert_eq!(*fleet, expected, "{name}");
        self.nodes[node].versions.push(fleet.version);
        self.nodes[node].installed = Some(fleet);
    }

    fn call(&mut self, node: usize, call: PlatformCall) {
        self.nodes[node].calls.push(self.now);
        self.pending_calls.retain(|pending| pending.node != node);
        let until = self.now + call.wait;
        self.pending_calls.push(PendingCall { node, call, until });
        self.answer_pending_calls();
    }

    fn answer_pending_calls(&mut self) {
        let pending_calls = std::mem::take(&mut self.pending_calls);
        for pending in pending_calls {
            match self.answer_call(&pending) {
                Some((delay, result)) => {
                    let event = Event::PlatformReply(pending.node, pending.call.id, result);
                    self.push(delay, event);
                }
                None => self.pending_calls.push(pending),
            }
        }
    }

    fn answer_call(
        &self,
        pending: &PendingCall,
    ) -> Option<(Duration, Result<PlatformReply, PlatformCallError>)> {
        let delay = Duration::from_millis(3);
        let replica = match self.nodes[pending.node].calls_hang {
            true => Replica::Silent,
            false => self.replicas[pending.call.replica % self.replicas.len()],
        };
        let newest_visible = match replica {
            _ if self.nodes[pending.node].cut_off_from_platform => {
                return Some((delay, Err(PlatformCallError::Unreachable(String::new()))));
            }
            Replica::Down => {
                return Some((delay, Err(PlatformCallError::Unreachable(String::new()))));
            }
            Replica::Silent => {
                let limit = pending.call.wait + Duration::from_secs(2);
                return Some((limit, Err(PlatformCallError::TimedOut)));
            }
            Replica::Up => Version(u64::MAX),
            Replica::Stale(version) => version,
        };
        let newest = self
            .published
            .iter()
            .rev()
            .find(|p| p.version <= newest_visible);
        if let Some(newest) = newest.filter(|p| p.version > pending.call.after) {
            return Some((delay, Ok(PlatformReply::Newer(newest.clone()))));
        }
        let version = newest.map(|p| p.version).unwrap_or_default();
        (self.now >= pending.until).then_some((delay, Ok(PlatformReply::Unchanged { version })))
    }

    fn fetch(&mut self, node: usize, from: SocketAddrV4) {
        let peer = index(from);
        let reachable = self.connected(node, peer) && !self.nodes[peer].frozen;
        let config = self.nodes[peer].config.as_ref();
        let document = config.and_then(Configuration::published);
        let result = match document.filter(|_| reachable && self.nodes[node].can_fetch) {
            Some(document) => Ok(document),
            None => Err(PlatformCallError::Unreachable(String::new())),
        };
        self.push(
            Duration::from_millis(20),
            Event::DocumentFetched(node, from, result),
        );
    }
}

/// Control address of a process.
pub fn address(node: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, node as u16 + 1)
}

fn index(address: SocketAddrV4) -> usize {
    usize::from(address.port()) - 1
}
