//! Flows at an agent: memory for each, and what a change of the group costs.

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

const FLOWS: [usize; 4] = [500, 1_000, 2_000, 4_000];

/// Flows at one agent at the size to come: 16 million over 4,200 servers.
const TARGET_FLOWS_PER_AGENT: f64 = 16_000_000.0 / 4_200.0;

/// The agent that is looked at.
const ME: &str = "s0-0";

/// Initial sequence number of all flows here.
const ISN: u32 = 1_000;

/// Rounds of packets in a timed run.
const ROUNDS: usize = 5;

/// Memory of flows, packets among many flows, and a member that joins.
pub fn series() -> Vec<Series> {
    let mut held = Vec::new();
    let mut stack = Vec::new();
    let mut allocations = Vec::new();
    let mut moved = Vec::new();
    let mut time = Vec::new();
    for flows in FLOWS {
        let x = flows as f64;
        let keys = keys(flows);
        let (mut router, used) = heap::measure(|| owner_of(&keys));
        held.push(Point {
            x,
            y: used.held_bytes as f64,
        });
        stack.push(Point {
            x,
            y: stacks(&keys),
        });
        let (_, used) = heap::measure(|| packets(&mut router, &keys));
        allocations.push(Point {
            x,
            y: used.allocations as f64,
        });
        let span = best_time(|| packets(&mut router, &keys));
        let y = span.as_nanos() as f64 / (flows * ROUNDS) as f64;
        time.push(Point { x, y });
        moved.push(Point {
            x,
            y: register(&mut router),
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
        series("flow table of an agent", "B", SeriesKind::Count, held),
        series(
            "TCP of idle flows, buffers included",
            "B",
            SeriesKind::Count,
            stack,
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
            moved,
        ),
        series(
            "decision for a packet of an open flow",
            "ns",
            SeriesKind::Time,
            time,
        ),
    ]
}

/// Keys of flows whose home is the first member: most flows stay at home.
fn keys(flows: usize) -> Vec<FlowKey> {
    let me = InstanceId::of(ME);
    let picture = picture(synthetic_fleet::TARGET_MEMBER_COUNT, 1);
    let is_mine = |key: &FlowKey| picture.group.home(key.hash64()).is_some_and(|m| m.id == me);
    (0..).map(key).filter(is_mine).take(flows).collect()
}

/// An agent that owns established flows with these keys.
fn owner_of(keys: &[FlowKey]) -> FlowRouter {
    let me = InstanceId::of(ME);
    let mut router = FlowRouter::new(me, 1);
    let now = Millis(0);
    router.install(now, picture(synthetic_fleet::TARGET_MEMBER_COUNT, 1));
    for key in keys.iter().copied() {
        let arrival = Arrival {
            sender: None,
            hops: 1,
            to_owner: true,
        };
        let step = router.on_packet(now, arrival, &segment(key, true));
        assert_eq!(step, Action::Open, "an owner opens what its home sends");
        router.on_syn_ack_sent(now, key, ISN);
        router.on_packet(now, arrival, &segment(key, false));
    }
    router.take_outbox().for_each(drop);
    router
}

fn packets(router: &mut FlowRouter, keys: &[FlowKey]) -> usize {
    let arrival = Arrival {
        sender: None,
        hops: 1,
        to_owner: true,
    };
    let mut delivered = 0;
    for _ in 0..ROUNDS {
        for key in keys {
            let step = router.on_packet(Millis(1), arrival, &segment(*key, false));
            delivered += usize::from(step == Action::Deliver);
        }
    }
    delivered
}

/// Flows registered with other homes when a member joins the group.
fn register(router: &mut FlowRouter) -> f64 {
    router.install(
        Millis(2),
        picture(synthetic_fleet::TARGET_MEMBER_COUNT + 1, 2),
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

/// Heap of the user-space TCP of so many flows.
fn stacks(keys: &[FlowKey]) -> f64 {
    let (stacks, used) = heap::measure(|| {
        let listen = |key: &FlowKey| FlowStack::listen(key, key.hash64(), Millis(0));
        keys.iter().map(listen).collect::<Vec<_>>()
    });
    drop(stacks);
    used.held_bytes as f64
}

fn picture(members: usize, version: u64) -> Arc<GroupSnapshot> {
    let fleet: Fleet = synthetic_fleet::fleet(1, members);
    let view = RoutingTable::compile(&fleet, &HashSet::new());
    let address = fleet.services["s0"].address;
    let group = view.group(address).expect("the only service");
    Arc::new(GroupSnapshot {
        version: Version(version),
        latest: Version(version),
        group: Arc::clone(group),
        loads: IndexMap::new(),
        gone: HashSet::new(),
    })
}

fn key(n: usize) -> FlowKey {
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
