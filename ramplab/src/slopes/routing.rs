//! Decision of a balancer for a packet, and the table it is made by.

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

/// Packets decided in one run.
const PACKETS: usize = 20_000;

const GROUPS: [usize; 4] = [42, 85, 170, 340];

/// What a balancer keeps for its groups, and what a decision costs.
pub fn series() -> Vec<Series> {
    let mut bytes = Vec::new();
    let mut allocations = Vec::new();
    let mut times = Vec::new();
    let mut baselines = Vec::new();
    for groups in GROUPS {
        let fleet = synthetic_fleet::fleet(groups, synthetic_fleet::TARGET_MEMBER_COUNT);
        let (view, held) = heap::measure(|| RoutingTable::compile(&fleet, &HashSet::new()));
        let packets = generate_packets(groups);
        let (_, used) = heap::measure(|| decide(&view, &packets));
        let x = groups as f64;
        let time = best_time(|| decide(&view, &packets)).as_nanos() as f64 / PACKETS as f64;
        let baseline = best_time(|| modulo(&view, &packets)).as_nanos() as f64 / PACKETS as f64;
        bytes.push(Point {
            x,
            y: held.held_bytes as f64,
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

fn decide(view: &RoutingTable, packets: &[Vec<u8>]) -> usize {
    packets.iter().filter(|p| route(view, p).is_ok()).count()
}

/// The baseline: the same parsing and look-up, then hash modulo members.
fn modulo(view: &RoutingTable, packets: &[Vec<u8>]) -> u64 {
    let mut sum = 0;
    for packet in packets {
        let Ok(segment) = Segment::parse(packet) else {
            continue;
        };
        let Some(group) = view.group(segment.key.service) else {
            continue;
        };
        let at = segment.key.hash64() as usize % group.members.len();
        sum += u64::from(group.members[at].agent.port());
    }
    sum
}

/// Packets of as many flows, spread over all services.
pub fn generate_packets(groups: usize) -> Vec<Vec<u8>> {
    (0..PACKETS as u64).map(|n| packet(n, groups)).collect()
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
