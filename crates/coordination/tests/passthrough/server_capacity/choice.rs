//! Tests of the choice by reports that are made up.

use std::net::Ipv4Addr;
use std::time::Duration;

use indexmap::IndexMap;
use ramp_coordination::passthrough::balancer::Action;
use ramp_coordination::passthrough::balancer::Balancer;
use ramp_protocol::capacity_report::CapacityReport;
use ramp_protocol::frame::Frame;
use ramp_protocol::frame::FrameKind;
use ramp_protocol::frame::Knowledge;
use ramp_state::time::Millis;

use crate::fixture::*;

const SERVERS: [u8; 9] = [1, 2, 3, 4, 5, 6, 7, 8, 9];

fn report(request_ms: u64, age: Duration) -> CapacityReport {
    CapacityReport {
        limit: 4,
        request_time: Duration::from_millis(request_ms),
        age,
    }
}

/// A balancer that has heard these loads and reports, in the order of the servers.
fn balancer(reports: [(u16, Option<CapacityReport>); 9]) -> Balancer {
    let mut balancer = Balancer::new();
    for (last, (in_progress, report)) in SERVERS.into_iter().zip(reports) {
        let heartbeat = Frame {
            in_progress,
            ..frame(FrameKind::Heartbeat, flow(1))
        };
        balancer.on_heartbeat(Millis(0), ip(last), &heartbeat);
        balancer.on_capacity_report(Millis(0), ip(last), report);
    }
    balancer
}

/// Agents to which a balancer sends one new flow each from these ports.
fn agents(balancer: &mut Balancer, ports: impl Iterator<Item = u16>) -> Vec<Ipv4Addr> {
    agents_at(balancer, 1, ports)
}

fn agents_at(balancer: &mut Balancer, now: u64, ports: impl Iterator<Item = u16>) -> Vec<Ipv4Addr> {
    let view = view(&SERVERS);
    let place = |port| match balancer.on_packet(&view, Millis(now), &opening(flow(port), 0)) {
        Action::Forward { agent, .. } => agent,
        action => panic!("{action:?}"),
    };
    ports.map(place).collect()
}

const LOADS: [u16; 9] = [0, 3, 1, 2, 0, 3, 4, 1, 2];

// Guards against noise of the estimates that moves flows between equal servers, and
// against estimates that are no longer true.
#[test]
fn equal_or_stale_estimates_leave_the_choice_as_without() {
    let with = |report: fn(usize) -> Option<CapacityReport>| {
        let reports = std::array::from_fn(|n| (LOADS[n], report(n)));
        agents(&mut balancer(reports), 1..400)
    };
    let without = with(|_| None);
    let equal = with(|n| Some(report(50 + n as u64 % 3 * 5, Duration::ZERO)));
    let stale = with(|n| Some(report(10 + n as u64 * 20, Duration::from_secs(3))));
    assert_eq!(without, equal);
    assert_eq!(without, stale);
}

// Guards against all balancers that learn of one fast, idle server at once.
#[test]
fn balancers_that_learn_the_same_at_once_do_not_choose_the_same_server() {
    let fast = |n: usize| {
        if n == 0 {
            (0, 10)
        } else {
            (3, 50 + n as u64 * 5)
        }
    };
    let reports = std::array::from_fn(|n| {
        let (in_progress, request_ms) = fast(n);
        (in_progress, Some(report(request_ms, Duration::ZERO)))
    });
    let mut taken: IndexMap<Ipv4Addr, usize> = IndexMap::new();
    for index in 0..25 {
        let ports = index * 20..index * 20 + 20;
        for agent in agents(&mut balancer(reports), ports) {
            *taken.entry(agent).or_default() += 1;
        }
    }
    println!("{taken:?}");
    // Its own flows, and at most those that rank it second or third: 3 of 9.
    assert!(taken[&ip(1)] > 500 / 9 && taken[&ip(1)] <= 500 * 4 / 9);
    assert!(taken.len() >= 8, "{taken:?}");
}

// Guards against loads that look fresh because another message of the agent arrived
// through a relay: the mean then stays at what was reported before.
#[test]
fn relayed_answers_do_not_renew_a_load() {
    let reports =
        || std::array::from_fn(|n| (LOADS[n], Some(report(40 + n as u64 * 20, Duration::ZERO))));
    let later = |relayed: bool| {
        let mut balancer = balancer(reports());
        if relayed {
            let reply = frame(FrameKind::RelayReply(Knowledge::Unsure), flow(1));
            let agents = SERVERS.map(ip);
            balancer.on_relay_reply(Millis(4999), ip(20), &reply, Knowledge::Unsure, &agents);
        }
        for (n, last) in SERVERS.into_iter().enumerate() {
            let heartbeat = frame(FrameKind::Heartbeat, flow(1));
            balancer.on_heartbeat(Millis(5000), ip(last), &heartbeat);
            let report = report(40 + n as u64 * 20, Duration::ZERO);
            balancer.on_capacity_report(Millis(5000), ip(last), Some(report));
        }
        agents_at(&mut balancer, 5300, 1..400)
    };
    assert_eq!(later(true), later(false));
}
