//! Costs of an agent by number of open flows: memory, allocations and time for
//! packets, and the flows that must be registered when a member joins the group.

use std::collections::HashSet;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use ramp_coordination::flows::Action;
use ramp_coordination::flows::Arrival;
use ramp_coordination::flows::FlowRouter;
use ramp_coordination::group_snapshot::GroupSnapshot;
use ramp_protocol::message::Message;
use ramp_protocol::packet::Segment;
use ramp_state::fleet::Fleet;
use ramp_state::key::FlowKey;
use ramp_state::key::InstanceId;
use ramp_state::key::Version;
use ramp_state::routing_table::RoutingTable;
use ramp_state::time::Millis;
use ramp_transport::agent::stack::FlowStack;

use crate::heap;
use crate::slopes::Point;
use crate::slopes::Series;
use crate::slopes::SeriesKind;
use crate::slopes::best_time;
use crate::slopes::synthetic_fleet;

/// Numbers of open flows at which the agent is measured.
const FLOW_COUNTS: [usize; 4] = [500, 1_000, 2_000, 4_000];

/// Flows at one agent of the target fleet: 16 million over 4,200 servers.
const TARGET_FLOWS_PER_AGENT: f64 = 16_000_000.0 / 4_200.0;

/// Name of the agent that is measured.
const AGENT_NAME: &str = "s0-0";

/// Initial sequence number that the agent's side of each flow has chosen.
const ISN: u32 = 1_000;

/// Packets of each flow in one run.
const PACKETS_PER_FLOW: usize = 5;

/// Measures the memory of flows, packets among many flows, and the joining of a
/// member.
pub fn series() -> Vec<Series> {
    let mut held_bytes = Vec::new();
    let mut tcp_bytes = Vec::new();
    let mut allocations = Vec::new();
    let mut registered = Vec::new();
    let mut times = Vec::new();
    for flows in FLOW_COUNTS {
        let x = flows as f64;
        let keys = home_keys(flows);
        let (mut router, used) = heap::measure(|| router_with_flows(&keys));
        held_bytes.push(Point {
            x,
            y: used.held_bytes as f64,
        });
        tcp_bytes.push(Point {
            x,
            y: tcp_held_bytes(&keys),
        });
        let (_, used) = heap::measure(|| route_packets(&mut router, &keys));
        allocations.push(Point {
            x,
            y: used.allocations as f64,
        });
        let elapsed = best_time(|| route_packets(&mut router, &keys));
        let y = elapsed.as_nanos() as f64 / (flows * PACKETS_PER_FLOW) as f64;
        times.push(Point { x, y });
        registered.push(Point {
            x,
            y: count_registered(&mut router),
        });
    }
    let series = |name, unit, kind, points| Series {
        name,
        unit,
        per: "flow",
        kind,
        points,
        target_size: TARGET_FLOWS_PER_AGENT,
    };
    vec![
        series("flow table of an agent", "B", SeriesKind::Count, held_bytes),
        series(
            "TCP of idle flows, buffers included",
            "B",
            SeriesKind::Count,
            tcp_bytes,
        ),
        series(
            "allocations for 5 packets of each flow",
            "",
            SeriesKind::Count,
            allocations,
        ),
        series(
            "flows registered when the thirteenth member joins",
            "",
            SeriesKind::Count,
            registered,
        ),
        series(
            "decision for a packet of an open flow",
            "ns",
            SeriesKind::Time,
            times,
        ),
    ]
}

/// Keys of flows whose home is the measured agent, as most flows are owned by
/// their home.
fn home_keys(flows: usize) -> Vec<FlowKey> {
    let agent = InstanceId::of(AGENT_NAME);
    let snapshot = snapshot(synthetic_fleet::TARGET_MEMBER_COUNT, 1);
    let is_home = |key: &FlowKey| {
        snapshot
            .group
            .home(key.hash64())
            .is_some_and(|m| m.id == agent)
    };
    (0..).map(flow_key).filter(is_home).take(flows).collect()
}

/// Router of an agent that owns established flows with these keys.
fn router_with_flows(keys: &[FlowKey]) -> FlowRouter {
    let agent = InstanceId::of(AGENT_NAME);
    let mut router = FlowRouter::new(agent, 1);
    let now = Millis(0);
    router.install(now, snapshot(synthetic_fleet::TARGET_MEMBER_COUNT, 1));
    for key in keys.iter().copied() {
        let arrival = Arrival {
            sender: None,
            hops: 1,
            to_owner: true,
        };
        let action = router.on_packet(now, arrival, &segment(key, true));
        assert_eq!(
            action,
            Action::Open,
            "the owner opens a flow that its home forwards"
        );
        router.on_syn_ack_sent(now, key, ISN);
        router.on_packet(now, arrival, &segment(key, false));
    }
    router.take_outbox().for_each(drop);
    router
}

/// Routes some packets of each flow; returns how many were delivered.
fn route_packets(router: &mut FlowRouter, keys: &[FlowKey]) -> usize {
    let arrival = Arrival {
        sender: None,
        hops: 1,
        to_owner: true,
    };
    let mut delivered = 0;
    for _ in 0..PACKETS_PER_FLOW {
        for key in keys {
            let action = router.on_packet(Millis(1), arrival, &segment(*key, false));
            delivered += usize::from(action == Action::Deliver);
        }
    }
    delivered
}

/// Adds a member to the group, and counts the flows that the agent then registers
/// with their new homes.
fn count_registered(router: &mut FlowRouter) -> f64 {
    router.install(
        Millis(2),
        snapshot(synthetic_fleet::TARGET_MEMBER_COUNT + 1, 2),
    );
    let mut flows = HashSet::new();
    for second in 0..120 {
        router.tick(Millis(1_000 * second + 100));
        for outgoing in router.take_outbox() {
            if let Message::Register { flows: batch } = outgoing.message {
                flows.extend(batch);
            }
        }
    }
    flows.len() as f64
}

/// Bytes of heap that the user-space TCP of these flows holds.
fn tcp_held_bytes(keys: &[FlowKey]) -> f64 {
    let (stacks, used) = heap::measure(|| {
        let listen = |key: &FlowKey| FlowStack::listen(key, key.hash64(), Millis(0));
        keys.iter().map(listen).collect::<Vec<_>>()
    });
    drop(stacks);
    used.held_bytes as f64
}

/// Snapshot of a group with `members` members.
fn snapshot(members: usize, version: u64) -> Arc<GroupSnapshot> {
    let fleet: Fleet = synthetic_fleet::fleet(1, members);
    let table = RoutingTable::compile(&fleet, &HashSet::new());
    let address = fleet.services["s0"].address;
    let group = table.group(address).expect("the only service");
    Arc::new(GroupSnapshot {
        version: Version(version),
        latest: Version(version),
        group: Arc::clone(group),
        loads: IndexMap::new(),
        gone: HashSet::new(),
    })
}

/// Key of flow number `n`; each caller address has 50,000 flows.
fn flow_key(n: usize) -> FlowKey {
    let caller = Ipv4Addr::from(0x0ac8_0000 + (n / 50_000) as u32);
    FlowKey {
        caller: SocketAddrV4::new(caller, 10_000 + (n % 50_000) as u16),
        service: SocketAddrV4::new(Ipv4Addr::from(0x0a50_0000), 80),
    }
}

fn segment(key: FlowKey, opens: bool) -> Segment {
    Segment {
        key,
        seq: 1,
        ack: ISN + 1,
        len: 0,
        opens,
        syn: opens,
        has_ack: !opens,
        rst: false,
        fin: false,
        opening_age: Duration::ZERO,
    }
}
