//! Relayed searches under random loss, delays, silent relays and relays whose views
//! lack holders. The seed decides all faults.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;

use indexmap::IndexMap;
use ramp_coordination::passthrough::balancer::Action;
use ramp_coordination::passthrough::balancer::Balancer;
use ramp_coordination::passthrough::balancer::RelayedOutcome;
use ramp_coordination::passthrough::search_relay::PeerAnswer;
use ramp_coordination::passthrough::search_relay::RelayReply;
use ramp_coordination::passthrough::search_relay::SearchRelay;
use ramp_coordination::passthrough::view::View;
use ramp_coordination::random::Random;
use ramp_protocol::frame::FlowEntry;
use ramp_protocol::frame::FrameKind;
use ramp_protocol::frame::Knowledge;
use ramp_protocol::frame::ListTag;
use ramp_protocol::frame::NO_FLOW;
use ramp_protocol::packet::Segment;
use ramp_state::time::Millis;

use crate::fixture::*;
use crate::relayed_search::agent_frame;
use crate::relayed_search::balancer;
use crate::relayed_search::fleet_view;
use crate::relayed_search::member;
use crate::relayed_search::relayed;

const MEMBERS: u32 = 20;
const SEEDS: u64 = 500;
const RUN_MS: u64 = 3_000;
/// Times at which the caller sends its packet, until the owner has it.
const SENT_AT_MS: [u64; 4] = [0, 200, 600, 1_400];
const MAX_DELAY_MS: u64 = 60;

enum Event {
    Packet,
    ReplyCheck,
    /// With a copy of the packet or without.
    ToAgent(Ipv4Addr, bool),
    FromAgent(Ipv4Addr, Knowledge),
    ToRelay(Ipv4Addr, ListTag),
    FromPeer(Ipv4Addr, Ipv4Addr, ListTag),
    RelayDue(Ipv4Addr),
    FromRelay(Ipv4Addr, RelayReply),
}

struct World {
    rng: Random,
    loss: f64,
    /// Probability that a relay is of an older build, or lacks a given holder.
    fault: f64,
    now: u64,
    events: BTreeMap<(u64, u64), Event>,
    view: View,
    balancer: Balancer,
    relays: IndexMap<Ipv4Addr, SearchRelay>,
    owner: Ipv4Addr,
    /// What the owner knows of its flow.
    owner_knows: Knowledge,
    seg: Segment,
    found: bool,
}

impl World {
    fn new(seed: u64, loss: f64, fault: f64) -> World {
        let mut rng = Random::new(seed);
        let owner = member(1 + rng.below(u64::from(MEMBERS)) as u32);
        let owner_knows = *rng.pick(&[Knowledge::Has, Knowledge::Unsure]).unwrap();
        World {
            rng,
            loss,
            fault,
            now: 0,
            events: BTreeMap::new(),
            view: fleet_view(MEMBERS),
            balancer: balancer(MEMBERS, 10.0),
            relays: IndexMap::new(),
            owner,
            owner_knows,
            seg: segment(flow(seed as u16)),
            found: false,
        }
    }

    fn run(mut self) -> bool {
        for at in SENT_AT_MS {
            self.schedule(at, Event::Packet);
        }
        while let Some(((at, _), event)) = self.events.pop_first() {
            self.now = at;
            if at > RUN_MS || self.found {
                break;
            }
            self.handle(event);
        }
        self.found
    }

    fn schedule(&mut self, after: u64, event: Event) {
        let order = self.rng.next_u64();
        self.events.insert((self.now + after, order), event);
    }

    fn send(&mut self, event: Event) {
        if !self.rng.chance(self.loss) {
            let delay = 1 + self.rng.below(MAX_DELAY_MS);
            self.schedule(delay, event);
        }
    }

    fn handle(&mut self, event: Event) {
        let (now, seg) = (Millis(self.now), self.seg);
        match event {
            Event::Packet => {
                let action = self.balancer.on_packet(&self.view, now, &seg);
                self.execute(action);
            }
            Event::ReplyCheck => {
                if let Some(action) = self.balancer.on_reply_timeout(&self.view, now, &seg) {
                    self.execute(action);
                }
            }
            Event::ToAgent(agent, copy) => {
                let knowledge = match self.known_by(agent) {
                    Knowledge::Unsure if copy => Knowledge::Has,
                    knowledge => knowledge,
                };
                self.send(Event::FromAgent(agent, knowledge));
            }
            Event::FromAgent(agent, knowledge) => self.on_answer(agent, knowledge),
            Event::ToRelay(relay, tag) => self.on_relay_query(relay, tag),
            Event::FromPeer(relay, agent, tag) => {
                let entries = self.entries(agent);
                let frame = &agent_frame(FrameKind::PeerReply, NO_FLOW);
                let entries = &entries;
                let answer = PeerAnswer {
                    agent,
                    frame,
                    entries,
                };
                self.relays[&relay].on_peer_reply(tag, answer);
                self.schedule(0, Event::RelayDue(relay));
            }
            Event::RelayDue(relay) => {
                for reply in self.relays[&relay].take_due(now).replies {
                    self.send(Event::FromRelay(relay, reply));
                }
            }
            Event::FromRelay(relay, reply) => self.on_relay_reply(relay, &reply),
        }
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Forward { agent, .. } => {
                self.send(Event::ToAgent(agent, true));
                self.schedule(70, Event::ReplyCheck);
            }
            Action::QueryOwner(query) => {
                for agent in query.packet_copies {
                    self.send(Event::ToAgent(agent, true));
                }
                for agent in query.by_key {
                    self.send(Event::ToAgent(agent, false));
                }
                if let Some(request) = query.relay {
                    let tag = self.balancer.next_relay_tag().unwrap();
                    self.send(Event::ToRelay(request.relay, tag));
                }
                self.schedule(100, Event::ReplyCheck);
            }
            Action::Reset(reset) => panic!("reset though {} has the flow: {reset:?}", self.owner),
            Action::Drop(_) => {}
        }
    }

    fn on_answer(&mut self, agent: Ipv4Addr, knowledge: Knowledge) {
        let now = Millis(self.now);
        let frame = agent_frame(FrameKind::OwnerReply, self.seg.key);
        match knowledge {
            Knowledge::Has => self.found = true,
            Knowledge::HasNot => {
                let action = self.balancer.on_denied(&self.view, now, agent, &frame);
                self.execute(action);
            }
            _ => {
                self.balancer.on_unsure(now, agent, &frame);
                self.send(Event::ToAgent(agent, true));
            }
        }
    }

    fn on_relay_query(&mut self, relay: Ipv4Addr, tag: ListTag) {
        if self.rng.chance(self.fault) {
            return;
        }
        let entries = self.entries(relay);
        let frame = agent_frame(FrameKind::PeerReply, NO_FLOW);
        let (agent, frame, entries) = (relay, &frame, &entries);
        let own = PeerAnswer {
            agent,
            frame,
            entries,
        };
        let (rng, fault) = (&mut self.rng, self.fault);
        let holders = self.view.holders().filter(|_| !rng.chance(fault));
        let state = self.relays.entry(relay).or_insert(SearchRelay::new(1));
        let query = state.on_query(Millis(self.now), tag, holders, own).unwrap();
        for agent in query.agents {
            self.send(Event::FromPeer(relay, agent, query.tag));
        }
        for after in [40, 80, 120, 160, 200] {
            self.schedule(after, Event::RelayDue(relay));
        }
    }

    fn on_relay_reply(&mut self, relay: Ipv4Addr, reply: &RelayReply) {
        let kind = FrameKind::RelayReply(reply.knowledge);
        let from = (relay, agent_frame(kind, reply.tag.to_flow()));
        let (balancer, view) = (&mut self.balancer, &self.view);
        let outcomes = relayed(balancer, view, self.now, from, &reply.agents, self.seg.key);
        for (agent, outcome) in reply.agents.iter().zip(outcomes) {
            match outcome {
                RelayedOutcome::Owned(_) => self.found = true,
                RelayedOutcome::Denied(action) => self.execute(action),
                RelayedOutcome::NeedsPacket => self.send(Event::ToAgent(*agent, true)),
                RelayedOutcome::Ignored => {}
            }
        }
    }

    fn known_by(&self, agent: Ipv4Addr) -> Knowledge {
        if agent == self.owner {
            self.owner_knows
        } else {
            Knowledge::HasNot
        }
    }

    fn entries(&self, agent: Ipv4Addr) -> Vec<FlowEntry> {
        vec![FlowEntry {
            flow: self.seg.key,
            knowledge: self.known_by(agent),
        }]
    }
}

// Guards against a reset of a flow whose owner runs, and against a search that ends
// without the owner, whatever the relays and the network lose.
#[test]
fn faults_of_relays_and_network_reset_no_flow_and_end_no_search() {
    for (loss, fault) in [(0.0, 0.0), (0.0, 0.5), (0.3, 0.3)] {
        let found = (0..SEEDS).filter(|seed| World::new(*seed, loss, fault).run());
        let found = found.count() as u64;
        assert!(loss > 0.0 || found == SEEDS, "{found} at fault {fault}");
        assert!(found > SEEDS * 9 / 10, "{found} at loss {loss}");
    }
}
