//! Costs of a balancer's routing by number of groups: memory of the routing table,
//! and allocations and time of a decision for a packet. As a baseline, the same
//! packets are also routed by hash modulo members.

use std::collections::HashSet;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

use etherparse::PacketBuilder;
use ramp_coordination::balancer::route;
use ramp_protocol::packet::Segment;
use ramp_state::key::mix;
use ramp_state::routing_table::RoutingTable;

use crate::heap;
use crate::slopes::Point;
use crate::slopes::Series;
use crate::slopes::SeriesKind;
use crate::slopes::best_time;
use crate::slopes::synthetic_fleet;

/// Packets routed in one run.
const PACKET_COUNT: usize = 20_000;

/// Numbers of groups at which routing is measured.
const GROUP_COUNTS: [usize; 4] = [42, 85, 170, 340];

/// Measures the routing table of a balancer and the cost of a decision.
pub fn series() -> Vec<Series> {
    let mut bytes = Vec::new();
    let mut allocations = Vec::new();
    let mut times = Vec::new();
    let mut baselines = Vec::new();
    for groups in GROUP_COUNTS {
        let fleet = synthetic_fleet::fleet(groups, synthetic_fleet::TARGET_MEMBER_COUNT);
        let (table, table_heap) = heap::measure(|| RoutingTable::compile(&fleet, &HashSet::new()));
        let packets = generate_packets(groups);
        let (_, used) = heap::measure(|| decide(&table, &packets));
        let x = groups as f64;
        let time = best_time(|| decide(&table, &packets)).as_nanos() as f64 / PACKET_COUNT as f64;
        let baseline =
            best_time(|| route_by_modulo(&table, &packets)).as_nanos() as f64 / PACKET_COUNT as f64;
        bytes.push(Point {
            x,
            y: table_heap.held_bytes as f64,
        });
        allocations.push(Point {
            x,
            y: used.allocations as f64,
        });
        times.push(Point { x, y: time });
        baselines.push(Point { x, y: baseline });
    }
    let series = |name, unit, kind, points| Series {
        name,
        unit,
        per: "group of 12 members",
        kind,
        points,
        target_size: synthetic_fleet::TARGET_GROUP_COUNT as f64,
    };
    vec![
        series("view of a balancer", "B", SeriesKind::Count, bytes),
        series(
            "allocations for 20,000 decisions",
            "",
            SeriesKind::Count,
            allocations,
        ),
        series("decision for a packet", "ns", SeriesKind::Time, times),
        series(
            "hash and modulo of the same packets",
            "ns",
            SeriesKind::Time,
            baselines,
        ),
    ]
}

/// Routes each packet; returns how many have a route.
fn decide(table: &RoutingTable, packets: &[Vec<u8>]) -> usize {
    packets.iter().filter(|p| route(table, p).is_ok()).count()
}

/// Baseline: parses and looks up each packet as [`route`] does, then chooses the
/// member by hash modulo members.
fn route_by_modulo(table: &RoutingTable, packets: &[Vec<u8>]) -> u64 {
    let mut sum = 0;
    for packet in packets {
        let Ok(segment) = Segment::parse(packet) else {
            continue;
        };
        let Some(group) = table.group(segment.key.service) else {
            continue;
        };
        let index = segment.key.hash64() as usize % group.members.len();
        sum += u64::from(group.members[index].agent.port());
    }
    sum
}

/// Generates packets, each of a flow of its own, spread over `groups` services.
pub fn generate_packets(groups: usize) -> Vec<Vec<u8>> {
    (0..PACKET_COUNT as u64)
        .map(|n| packet(n, groups))
        .collect()
}

fn packet(number: u64, groups: usize) -> Vec<u8> {
    let random = mix(number);
    let caller = SocketAddrV4::new(
        Ipv4Addr::from(0x0ac8_0000 + (random >> 48) as u32),
        random as u16 | 1,
    );
    let service = Ipv4Addr::from(0x0a50_0000 + (random >> 16) as u32 % groups as u32);
    let builder = PacketBuilder::ipv4(caller.ip().octets(), service.octets(), 64)
        .tcp(caller.port(), 80, number as u32, 8_192)
        .ack(1);
    let mut buf = Vec::new();
    builder
        .write(&mut buf, b"payload")
        .expect("writing to a vector does not fail");
    buf
}
