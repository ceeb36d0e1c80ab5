//! Messages and bytes that searches for the owners of flows cost at a balancer, asked
//! directly and through a relay, without network. Every holder answers. Bytes include
//! the IP and UDP headers.
//!
//! The packets of the flows, their bounces and resets to callers are the same in both
//! cases and are not counted.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::time::Duration;

use indexmap::IndexMap;
use ramp_coordination::passthrough::balancer::Action;
use ramp_coordination::passthrough::balancer::Balancer;
use ramp_coordination::passthrough::balancer::OwnerQuery;
use ramp_coordination::passthrough::balancer::RelayedAnswer;
use ramp_coordination::passthrough::balancer::RelayedOutcome;
use ramp_coordination::passthrough::catalog::Catalog;
use ramp_coordination::passthrough::link_rate::LinkRate;
use ramp_coordination::passthrough::published::Configuration;
use ramp_coordination::passthrough::published::Listing;
use ramp_coordination::passthrough::published::Record;
use ramp_coordination::passthrough::published::Revision;
use ramp_coordination::passthrough::published::Route;
use ramp_coordination::passthrough::published::Server;
use ramp_coordination::passthrough::published::ServerState;
use ramp_coordination::passthrough::published::Share;
use ramp_coordination::passthrough::search_relay::PeerAnswer;
use ramp_coordination::passthrough::search_relay::RelayReply;
use ramp_coordination::passthrough::search_relay::SearchRelay;
use ramp_coordination::passthrough::view::View;
use ramp_coordination::passthrough::view::rank;
use ramp_protocol::frame::FlowEntry;
use ramp_protocol::frame::Frame;
use ramp_protocol::frame::FrameKind;
use ramp_protocol::frame::Knowledge;
use ramp_protocol::frame::LIST_LIMIT_FLOWS;
use ramp_protocol::frame::NO_FLOW;
use ramp_protocol::frame::Refusal;
use ramp_protocol::frame::write_agents_and_list;
use ramp_protocol::frame::write_list;
use ramp_protocol::packet::Segment;
use ramp_state::key::DataCentreId;
use ramp_state::key::FlowKey;
use ramp_state::key::ServerId;
use ramp_state::key::ServiceId;
use ramp_state::key::Version;
use ramp_state::time::Millis;

const MEMBERS: [u32; 3] = [10, 140, 4_200];
const FLOWS: [u16; 2] = [1, 16];
const SERVICE: ServiceId = ServiceId(1);
const ADDRESS: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);
const BALANCER: Ipv4Addr = Ipv4Addr::new(10, 1, 0, 1);
const NARROW_MBPS: f64 = 10.0;
const WIDE_MBPS: f64 = 200.0;

/// IP and UDP header of a datagram, in bytes.
const DATAGRAM_HEADER_BYTES: usize = 28;

/// Datagrams and their bytes in one direction.
#[derive(Clone, Copy, Debug, Default)]
struct Traffic {
    messages: usize,
    bytes: usize,
}

/// Searches of one balancer for some flows at the same time.
struct Searches {
    view: View,
    balancer: Balancer,
    /// Whether each flow has an owner, which ranks second for it.
    owned: bool,
    owners: IndexMap<FlowKey, Ipv4Addr>,
    sent: Traffic,
    received: Traffic,
    ended: usize,
}

fn main() {
    println!("members flows owner  way      sent      bytes  received      bytes");
    for members in MEMBERS {
        for flows in FLOWS {
            for owned in [false, true] {
                report(members, flows, owned, "direct", WIDE_MBPS);
                report(members, flows, owned, "relay", NARROW_MBPS);
            }
        }
    }
}

fn report(members: u32, flows: u16, owned: bool, way: &str, link_mbps: f64) {
    let mut searches = Searches::new(members, owned, link_mbps);
    searches.run(flows);
    assert_eq!(searches.ended, usize::from(flows), "each search ends");
    let Searches { sent, received, .. } = searches;
    println!(
        "{members:7} {flows:5} {:5}  {way:6} {:6} {:10} {:9} {:10}",
        if owned { "yes" } else { "no" },
        sent.messages,
        sent.bytes,
        received.messages,
        received.bytes,
    );
}

impl Traffic {
    fn add(&mut self, body: &[u8]) {
        let mut buf = Vec::new();
        agent_frame(FrameKind::OwnerQuery, NO_FLOW).write(body, &mut buf);
        self.messages += 1;
        self.bytes += buf.len() + DATAGRAM_HEADER_BYTES;
    }
}

impl Searches {
    fn new(members: u32, owned: bool, link_mbps: f64) -> Searches {
        let mut balancer = Balancer::new()
            .with_link_rate(LinkRate::from_megabits(link_mbps))
            .with_relay_client(BALANCER, 1);
        let heartbeat = agent_frame(FrameKind::Heartbeat, NO_FLOW);
        for n in 1..=members {
            balancer.on_heartbeat(Millis(0), member(n), &heartbeat);
        }
        Searches {
            view: fleet_view(members),
            balancer,
            owned,
            owners: IndexMap::new(),
            sent: Traffic::default(),
            received: Traffic::default(),
            ended: 0,
        }
    }

    fn run(&mut self, flows: u16) {
        let mut lists: IndexMap<Ipv4Addr, Vec<FlowEntry>> = IndexMap::new();
        let mut relay_lists: IndexMap<Ipv4Addr, Vec<FlowEntry>> = IndexMap::new();
        for port in 1..=flows {
            if self.owned {
                let owner = second_ranked(&self.view, &flow(port));
                self.owners.insert(flow(port), owner);
            }
            let query = self.search(&segment(port));
            let entry = FlowEntry {
                flow: flow(port),
                knowledge: Knowledge::Unsure,
            };
            for agent in query.by_key {
                lists.entry(agent).or_default().push(entry);
            }
            if let Some(request) = query.relay {
                relay_lists.entry(request.relay).or_default().push(entry);
            }
        }
        for (agent, list) in lists {
            for part in list.chunks(LIST_LIMIT_FLOWS) {
                self.ask_directly(agent, part);
            }
        }
        for (relay, list) in relay_lists {
            for part in list.chunks(LIST_LIMIT_FLOWS) {
                self.ask_relay(relay, part);
            }
        }
    }

    /// Query after the member that ranks first has bounced a packet of the flow.
    fn search(&mut self, seg: &Segment) -> OwnerQuery {
        let action = self.balancer.on_packet(&self.view, Millis(1), seg);
        let Action::Forward { agent, .. } = action else {
            panic!("not forwarded: {action:?}")
        };
        let refusal = Refusal::Bounced;
        let frame = agent_frame(FrameKind::Returned(refusal), seg.key);
        let action = self
            .balancer
            .on_returned(&self.view, Millis(1), agent, refusal, &frame, seg);
        let Action::QueryOwner(query) = action else {
            panic!("nobody was asked: {action:?}")
        };
        assert!(query.packet_copies.is_empty());
        query
    }

    fn ask_directly(&mut self, agent: Ipv4Addr, list: &[FlowEntry]) {
        let mut body = Vec::new();
        write_list(list, &mut body);
        self.sent.add(&body);
        self.received.add(&body);
        for entry in self.answers(agent, list) {
            let frame = agent_frame(FrameKind::OwnerReply, entry.flow);
            if entry.knowledge == Knowledge::Has {
                self.balancer.on_owned(Millis(2), agent, &frame);
                self.ended += 1;
                continue;
            }
            let action = self
                .balancer
                .on_denied(&self.view, Millis(2), agent, &frame);
            self.ended += usize::from(matches!(action, Action::Reset(_)));
        }
    }

    fn ask_relay(&mut self, relay: Ipv4Addr, list: &[FlowEntry]) {
        let mut body = Vec::new();
        write_agents_and_list(&[], list, &mut body);
        self.sent.add(&body);
        let tag = self.balancer.next_relay_tag().expect("has an address");
        let mut state = SearchRelay::new(1);
        let frame = agent_frame(FrameKind::PeerReply, NO_FLOW);
        let entries = self.answers(relay, list);
        let own = PeerAnswer {
            agent: relay,
            frame: &frame,
            entries: &entries,
        };
        let query = state.on_query(Millis(1), tag, self.view.holders(), own);
        let query = query.expect("below the limit");
        for agent in query.agents {
            let answer = PeerAnswer {
                agent,
                frame: &frame,
                entries: &self.answers(agent, list),
            };
            state.on_peer_reply(query.tag, answer);
        }
        for reply in state.take_due(Millis(2)).replies {
            self.receive(relay, &reply);
        }
    }

    fn receive(&mut self, relay: Ipv4Addr, reply: &RelayReply) {
        let mut body = Vec::new();
        write_agents_and_list(&reply.agents, &reply.flows, &mut body);
        self.received.add(&body);
        let (knowledge, agents) = (reply.knowledge, &reply.agents);
        let frame = agent_frame(FrameKind::RelayReply(knowledge), reply.tag.to_flow());
        self.balancer
            .on_relay_reply(Millis(2), relay, &frame, knowledge, agents);
        for entry in &reply.flows {
            for agent in agents {
                let answer = RelayedAnswer {
                    relay,
                    agent: *agent,
                    flow: entry.flow,
                    knowledge,
                    frame: &frame,
                };
                let outcome = self
                    .balancer
                    .on_relayed_answer(&self.view, Millis(2), answer);
                let ended = matches!(
                    outcome,
                    RelayedOutcome::Owned(_) | RelayedOutcome::Denied(Action::Reset(_))
                );
                self.ended += usize::from(ended);
            }
        }
    }

    fn answers(&self, agent: Ipv4Addr, list: &[FlowEntry]) -> Vec<FlowEntry> {
        let entries = list.iter().map(|entry| {
            let has = self.owners.get(&entry.flow) == Some(&agent);
            let knowledge = if has {
                Knowledge::Has
            } else {
                Knowledge::HasNot
            };
            FlowEntry {
                knowledge,
                ..*entry
            }
        });
        entries.collect()
    }
}

fn second_ranked(view: &View, flow: &FlowKey) -> Ipv4Addr {
    let first = view.holders().max_by_key(|agent| rank(flow, *agent));
    let others = view.holders().filter(|agent| Some(*agent) != first);
    let second = others.max_by_key(|agent| rank(flow, *agent));
    second.expect("two members")
}

fn member(n: u32) -> Ipv4Addr {
    Ipv4Addr::from(0x0a02_0000 + n)
}

fn flow(port: u16) -> FlowKey {
    FlowKey {
        caller: SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 1), port),
        service: ADDRESS,
    }
}

fn segment(port: u16) -> Segment {
    Segment {
        key: flow(port),
        seq: 1000,
        ack: 5000,
        len: 100,
        opens: false,
        syn: false,
        has_ack: true,
        rst: false,
        fin: false,
        opening_age: Duration::ZERO,
    }
}

fn agent_frame(kind: FrameKind, flow: FlowKey) -> Frame {
    Frame {
        kind,
        flow,
        service: SERVICE,
        version: Version(1),
        revision: 1,
        in_progress: 0,
        knows_all_flows: true,
        misses_servers: false,
        uptime: Duration::ZERO,
    }
}

fn fleet_view(members: u32) -> View {
    let share = Share {
        service: SERVICE,
        weight: 1,
    };
    let route = Route {
        address: ADDRESS,
        shares: vec![share],
        priority: None,
        time_limit: None,
    };
    let mut records = vec![Record::Configuration(Configuration {
        version: Version(1),
        routes: vec![route],
        services: Vec::new(),
        idle_limit: Duration::from_secs(15),
    })];
    records.extend((1..=members).map(|n| Record::Server(ServerId(u64::from(n)), server(n))));
    let mut catalog = Catalog::new();
    let listing = Listing {
        cursor: Revision(1),
        newest: Revision(1),
        records,
    };
    catalog.replace(Millis(0), listing);
    catalog.view(Millis(0)).expect("has a configuration")
}

fn server(n: u32) -> Server {
    Server {
        service: SERVICE,
        address: SocketAddrV4::new(member(n), 8080),
        data_centre: DataCentreId(1),
        state: ServerState::Ready,
        slots: 4,
        cold_for: Duration::ZERO,
        born_ms: 1,
    }
}
