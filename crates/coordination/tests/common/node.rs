//! Agents and balancers of the simulation: drivers of the decision logic.

use std::net::SocketAddrV4;
use std::sync::Arc;

use indexmap::IndexMap;
use ramp_coordination::flows::Action;
use ramp_coordination::flows::Arrival;
use ramp_coordination::flows::FlowRouter;
use ramp_coordination::flows::ResetReason;
use ramp_coordination::group::AgentMembership;
use ramp_coordination::group::BalancerMembership;
use ramp_coordination::group::Output;
use ramp_coordination::group_snapshot::GroupSnapshot;
use ramp_protocol::message::Envelope;
use ramp_protocol::message::Load;
use ramp_protocol::message::Message;
use ramp_protocol::packet::Segment;
use ramp_state::key::FlowKey;
use ramp_state::key::Incarnation;
use ramp_state::key::InstanceId;
use ramp_state::routing_table::RoutingTable;

use super::Event;
use super::SERVICE;
use super::World;
use super::caller::Reply;
use super::load;

const ANSWER_BYTES: u32 = 50;

/// TCP state of a flow at its agent.
#[derive(Clone, Copy, Debug)]
struct Endpoint {
    isn: u32,
    received: u32,
    next: u32,
}

pub struct Agent {
    pub id: InstanceId,
    pub control: SocketAddrV4,
    pub router: FlowRouter,
    pub membership: AgentMembership,
    pub frozen: Option<Vec<Event>>,
    /// Snapshots that its router has installed, newest last.
    pub snapshots: Vec<Arc<GroupSnapshot>>,
    incarnation: u64,
    sequence: u64,
    endpoints: IndexMap<FlowKey, Endpoint>,
    control_addresses: IndexMap<InstanceId, SocketAddrV4>,
}

pub struct Balancer {
    pub control: SocketAddrV4,
    pub membership: BalancerMembership,
    pub routing_table: Arc<RoutingTable>,
}

impl Agent {
    pub fn new(name: &str, incarnation: u64, control: SocketAddrV4, seed: u64) -> Agent {
        let id = InstanceId::of(name);
        Agent {
            id,
            control,
            router: FlowRouter::new(id, seed),
            membership: AgentMembership::new(name),
            frozen: None,
            snapshots: Vec::new(),
            incarnation,
            sequence: 0,
            endpoints: IndexMap::new(),
            control_addresses: IndexMap::new(),
        }
    }

    fn load(&self) -> Load {
        load(self.router.counts().flows as u32)
    }

    fn envelope(&mut self, message: Message) -> Envelope {
        self.sequence += 1;
        Envelope {
            sender: self.id,
            incarnation: Incarnation(self.incarnation),
            sequence: self.sequence,
            message,
        }
    }
}

impl Balancer {
    pub fn new(control: SocketAddrV4) -> Balancer {
        Balancer {
            control,
            membership: BalancerMembership::new(),
            routing_table: Default::default(),
        }
    }
}

impl World {
    /// Routes a caller's segment at a random balancer.
    pub fn route_at_balancer(&mut self, segment: Segment) {
        let at = self.rng.below(self.balancers.len() as u64) as usize;
        let (name, balancer) = self.balancers.get_index(at).expect("the index is in range");
        let group = balancer.routing_table.group(SERVICE);
        let Some(home) = group.and_then(|g| g.home(segment.key.hash64())) else {
            return;
        };
        let (to, target, from) = (home.id, home.name.to_string(), name.clone());
        if self.are_partitioned(&from, &target) {
            return;
        }
        let arrival = Arrival {
            sender: Some(InstanceId::of(&from)),
            hops: 1,
            to_owner: false,
        };
        self.transmit(1, || Event::AgentPacket(to, arrival, segment));
    }

    pub fn node_event(&mut self, name: &str, event: Event) {
        if self.balancers.contains_key(name) {
            return self.balancer_event(name, event);
        }
        let Some(agent) = self.agents.get_mut(name) else {
            return;
        };
        if let Some(waiting) = &mut agent.frozen {
            waiting.push(event);
            return;
        }
        let now = self.now;
        match event {
            Event::Tick(_) => {
                agent.membership.set_load(now, agent.load());
                agent.membership.tick(now);
                agent.router.tick(now);
            }
            Event::Fleet(_, fleet) => {
                agent.control_addresses = fleet
                    .servers
                    .iter()
                    .map(|(n, s)| (InstanceId::of(n), s.control))
                    .collect();
                agent.membership.install(now, fleet);
            }
            Event::List(_, list) => agent.membership.install_instances(now, &list),
            Event::Control(_, envelope) => {
                let fresh = agent.membership.on_message(now, &envelope);
                if fresh {
                    agent
                        .router
                        .on_message(now, envelope.sender, &envelope.message);
                }
            }
            Event::AgentPacket(_, arrival, segment) => {
                let action = agent.router.on_packet(now, arrival, &segment);
                self.perform(name, arrival, segment, action);
            }
            _ => {}
        }
        self.send_outputs(name);
    }

    fn balancer_event(&mut self, name: &str, event: Event) {
        let now = self.now;
        let balancer = &mut self.balancers[name];
        match event {
            Event::Tick(_) => balancer.membership.tick(now),
            Event::Fleet(_, fleet) => balancer.membership.install(now, fleet),
            Event::List(_, list) => balancer.membership.install_instances(now, &list),
            Event::Control(_, envelope) => {
                balancer.membership.on_message(now, &envelope);
                self.digests += 1;
            }
            _ => {}
        }
        if let Some(routing_table) = balancer.membership.take_view() {
            balancer.routing_table = routing_table;
        }
    }

    fn perform(&mut self, name: &str, arrival: Arrival, segment: Segment, action: Action) {
        self.findings.packets += 1;
        match action {
            Action::Open => {
                let isn = self.rng.below(u64::MAX) as u32;
                let endpoint = Endpoint {
                    isn,
                    received: segment.seq.wrapping_add(1),
                    next: isn.wrapping_add(1),
                };
                self.agents[name].endpoints.insert(segment.key, endpoint);
                self.syn_ack(name, segment.key);
            }
            Action::Deliver if segment.opens => self.syn_ack(name, segment.key),
            Action::Deliver => self.deliver(name, segment),
            Action::Forward { to, to_owner } => {
                self.findings.agent_hops += 1;
                let target = self.agents.iter().find(|(_, a)| a.id == to);
                let is_cut = target.is_some_and(|(target, _)| self.are_partitioned(name, target));
                let arrival = Arrival {
                    sender: Some(self.agents[name].id),
                    hops: arrival.hops + 1,
                    to_owner,
                };
                if !is_cut {
                    self.transmit(1, || Event::AgentPacket(to, arrival, segment));
                }
            }
            Action::Drop(_) => {}
            Action::Reset(reason) => self.reset(segment, reason),
        }
    }

    fn syn_ack(&mut self, name: &str, key: FlowKey) {
        let now = self.now;
        let agent = &mut self.agents[name];
        let Some(endpoint) = agent.endpoints.get(&key).copied() else {
            return;
        };
        agent.router.on_syn_ack_sent(now, key, endpoint.isn);
        let reply = Reply::SynAck {
            isn: endpoint.isn,
            ack: endpoint.received,
        };
        self.transmit(1, || Event::Caller(key, reply));
    }

    fn deliver(&mut self, name: &str, segment: Segment) {
        let key = segment.key;
        self.check_single_owner(name, key);
        let Some(endpoint) = self.agents[name].endpoints.get_mut(&key) else {
            return;
        };
        if segment.fin {
            let now = self.now;
            self.agents[name].router.on_flow_closed(now, key);
            return;
        }
        if segment.len == 0 {
            return;
        }
        let (seq, len) = if segment.seq == endpoint.received {
            endpoint.received = endpoint.received.wrapping_add(segment.len);
            endpoint.next = endpoint.next.wrapping_add(ANSWER_BYTES);
            (endpoint.next.wrapping_sub(ANSWER_BYTES), ANSWER_BYTES)
        } else {
            // A retransmission: the answer was lost and is sent again.
            (endpoint.next.wrapping_sub(ANSWER_BYTES), ANSWER_BYTES)
        };
        let ack = endpoint.received;
        self.transmit(1, || Event::Caller(key, Reply::Data { seq, ack, len }));
    }

    fn send_outputs(&mut self, name: &str) {
        let now = self.now;
        let agent = &mut self.agents[name];
        let outputs: Vec<Output> = agent.membership.take_outputs().collect();
        let mut sends = Vec::new();
        for output in outputs {
            match output {
                Output::Send { to, message } => sends.push((to, message)),
                Output::Snapshot(snapshot) => {
                    agent.snapshots.push(snapshot.clone());
                    agent.router.install(now, snapshot);
                }
            }
        }
        let outgoing: Vec<_> = agent.router.take_outbox().collect();
        for out in outgoing {
            if let Some(to) = agent.control_addresses.get(&out.to) {
                sends.push((*to, out.message));
            }
        }
        let abandoned: Vec<FlowKey> = agent.router.take_abandoned().collect();
        for key in abandoned {
            agent.endpoints.swap_remove(&key);
        }
        let resets: Vec<_> = agent.router.take_resets().collect();
        for (to, message) in sends {
            let envelope = self.agents[name].envelope(message);
            self.record_control_message(&envelope);
            let target = self.name_by_control(to);
            if target.is_none_or(|target| !self.are_partitioned(name, &target)) {
                self.transmit(1, || Event::Control(to, envelope.clone()));
            }
        }
        for reset in resets {
            self.reset(reset.segment, reset.reason);
        }
    }

    fn reset(&mut self, segment: Segment, reason: ResetReason) {
        let key = segment.key;
        let seq = if segment.has_ack { segment.ack } else { 0 };
        match reason {
            ResetReason::GivenUp => self.findings.given_up += 1,
            ResetReason::OwnerLost => self.findings.owner_lost += 1,
            _ => {}
        }
        if let Some(caller) = self.callers.get_mut(&key) {
            caller.last_reset = Some(reason);
        }
        self.transmit(1, || Event::Caller(key, Reply::Reset { seq }));
    }

    /// Checks, when a caller has accepted a reset, that no running agent whose
    /// data centre takes traffic owns the flow.
    pub fn check_reset(&mut self, key: FlowKey) {
        let caller = &self.callers[&key];
        let Some((owner, reason)) = self.owner(key).zip(caller.last_reset) else {
            return;
        };
        let data_centre = &self.fleet.servers[owner].data_centre;
        let until = self.out_until.get(data_centre);
        if until.is_none_or(|until| caller.opened_at > *until) {
            self.findings.broken.push((key, reason));
        }
    }

    /// Checks, when an agent delivers a segment of an established flow, that no
    /// other agent has this flow established.
    fn check_single_owner(&mut self, name: &str, key: FlowKey) {
        if !self.agents[name].router.is_established(key) {
            return;
        }
        let owners = self.agents.values();
        if owners.filter(|a| a.router.is_established(key)).count() > 1 {
            self.findings.two_owners.push(key);
        }
    }
}
