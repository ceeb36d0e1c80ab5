//! Cost of routing a packet at a balancer and at an agent, each compared with a
//! baseline in the same run.

mod common;

use std::collections::HashMap;
use std::collections::HashSet;
use std::hint::black_box;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

use criterion::BatchSize;
use criterion::Criterion;
use ramp_coordination::balancer::route;
use ramp_coordination::flows::Action;
use ramp_coordination::flows::DropReason;
use ramp_coordination::flows::FlowRouter;
use ramp_protocol::message::Message;
use ramp_protocol::packet::Segment;
use ramp_state::key::FlowKey;
use ramp_state::key::InstanceId;
use ramp_state::key::mix;
use ramp_state::routing_table::RoutingTable;
use ramp_state::time::Millis;

use common::ARRIVAL;
use common::GROUPS;
use common::PEER;

/// Packets routed in one iteration.
const PACKETS: usize = 2_000;

/// Flows whose owner a home looks up: fewer than the owner queries that it may
/// send to the group.
const LOOKED_UP_FLOWS: usize = 64;

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    balancer(&mut criterion);
    open_flow(&mut criterion);
    directory(&mut criterion);
    criterion.final_summary();
}

fn balancer(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("balancer, 2,000 packets to 340 services");
    let routing_table = RoutingTable::compile(&common::fleet(GROUPS), &HashSet::new());
    let packets: Vec<Vec<u8>> = (0..PACKETS as u64).map(packet).collect();
    assert!(packets.iter().all(|p| route(&routing_table, p).is_ok()));
    group.bench_function("route", |b| {
        b.iter(|| {
            packets
                .iter()
                .filter(|p| route(&routing_table, p).is_ok())
                .count()
        });
    });
    group.bench_function("hash and modulo", |b| {
        b.iter(|| {
            packets
                .iter()
                .map(|p| route_by_modulo(&routing_table, p))
                .sum::<u64>()
        });
    });
    group.finish();
}

fn open_flow(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("agent, 2,000 packets of open flows");
    for flows in [100, 2_000] {
        let members = common::group();
        let keys = common::keys(&members, flows);
        let mut router = common::owner(&members, &keys);
        let segments: Vec<Segment> = keys.iter().map(|key| common::later_segment(*key)).collect();
        let packets: Vec<Segment> = segments.into_iter().cycle().take(PACKETS).collect();
        assert_eq!(count_delivered(&mut router, &packets), PACKETS);
        group.bench_function(format!("router with {flows} flows"), |b| {
            b.iter(|| count_delivered(&mut router, &packets));
        });
        let table: HashMap<_, _> = keys.iter().map(|key| (*key, true)).collect();
        group.bench_function(format!("plain hash table of {flows} flows"), |b| {
            b.iter(|| packets.iter().filter(|s| table[&s.key]).count());
        });
    }
    group.finish();
}

fn directory(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("home, 64 packets of flows owned elsewhere");
    let members = common::group();
    let flows = common::keys(&members, LOOKED_UP_FLOWS);
    let packets: Vec<Segment> = flows
        .iter()
        .map(|key| common::later_segment(*key))
        .collect();
    let peer = InstanceId::of(PEER);
    let hit = Action::Forward {
        to: peer,
        to_owner: true,
    };
    let register = Message::Register { flows };
    let informed = || {
        let mut router = common::agent(&members);
        router.on_message(Millis(0), peer, &register);
        router
    };
    let cases: [(&str, Action, &dyn Fn() -> FlowRouter); 2] = [
        (
            "miss: the group is asked",
            Action::Drop(DropReason::Asked),
            &|| common::agent(&members),
        ),
        ("hit: the pointer is followed", hit, &informed),
    ];
    for (name, expected, router) in cases {
        group.bench_function(name, |b| {
            b.iter_batched(
                router,
                |mut router| {
                    route_all(&mut router, &packets, expected);
                    router
                },
                BatchSize::LargeInput,
            );
        });
    }
    group.finish();
}

fn route_all(router: &mut FlowRouter, packets: &[Segment], expected: Action) {
    for segment in packets {
        let action = router.on_packet(Millis(1), ARRIVAL, segment);
        assert_eq!(action, expected);
        router.take_outbox().for_each(|out| drop(black_box(out)));
    }
}

fn count_delivered(router: &mut FlowRouter, packets: &[Segment]) -> usize {
    let mut deliver = |s: &&Segment| router.on_packet(Millis(1), ARRIVAL, s) == Action::Deliver;
    packets.iter().filter(|s| deliver(s)).count()
}

/// Baseline: the same parsing and lookup, then the hash modulo the members.
fn route_by_modulo(routing_table: &RoutingTable, packet: &[u8]) -> u64 {
    let segment = Segment::parse(packet).expect("the packet is well-formed");
    let group = routing_table
        .group(segment.key.service)
        .expect("a known service");
    let at = segment.key.hash64() as usize % group.members.len();
    u64::from(group.members[at].agent.port())
}

fn packet(number: u64) -> Vec<u8> {
    let random = mix(number);
    let caller = Ipv4Addr::from(0x0ac8_0000 + (random >> 48) as u32);
    let caller = SocketAddrV4::new(caller, random as u16 | 1);
    let service = common::service((random >> 16) as usize % GROUPS);
    // `reset` makes the packet that answers a segment of the opposite direction.
    let key = FlowKey {
        caller: service,
        service: caller,
    };
    common::later_segment(key).reset()
}
