//! Tests of the estimate and of its use in one agent.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::time::Duration;

use ramp_coordination::passthrough::agent::Agent;
use ramp_coordination::passthrough::agent::Inbound;
use ramp_coordination::passthrough::published::Record;
use ramp_coordination::passthrough::view::View;
use ramp_protocol::frame::FrameKind;
use ramp_protocol::frame::Inquiry;
use ramp_protocol::frame::Refusal;
use ramp_protocol::packet::Segment;
use ramp_state::key::FlowKey;
use ramp_state::time::Millis;

use crate::fixture::*;

struct Side {
    view: View,
    agent: Agent,
}

impl Side {
    fn new() -> Side {
        Side {
            view: view(&[1]),
            agent: Agent::new(ip(1), FEEDS, 7, 1, Millis(0)),
        }
    }

    fn send(&mut self, now: u64, inquiry: Inquiry, seg: &Segment) -> Inbound {
        let forward = frame(FrameKind::Forward(inquiry), seg.key);
        let (view, from) = (Some(&self.view), balancer_ip(1));
        self.agent
            .on_balancer_packet(view, Millis(now), from, &forward, inquiry, seg)
    }

    fn answer(&mut self, now: u64, seg: &Segment, status: Option<u16>) {
        let outbound = self
            .agent
            .on_server_packet(Some(&self.view), Millis(now), seg);
        if let Some(completed) = outbound.completed {
            self.agent.record_response(Millis(now), completed, status);
        }
    }

    fn open(&mut self, now: u64, key: FlowKey) {
        self.send(now, Inquiry::OwnerEvenIfBusy, &opening(key, 0));
        let syn_ack = Segment {
            syn: true,
            len: 0,
            ..segment(key)
        };
        self.answer(now, &syn_ack, None);
    }

    fn time(&mut self, now: u64) -> Option<Duration> {
        let report = self.agent.capacity_report(Some(&self.view), Millis(now));
        report.map(|r| r.request_time)
    }
}

/// A flow of one of many callers.
fn flow_of(caller: u8, port: u16) -> FlowKey {
    FlowKey {
        caller: SocketAddrV4::new(Ipv4Addr::new(100, 64, 1, caller), port),
        ..flow(port)
    }
}

// Guards against pauses of the caller, lost packets and fast errors that count as the
// server's time.
#[test]
fn the_time_runs_from_the_last_packet_of_a_request_to_its_response() {
    let mut side = Side::new();
    for n in 0..20 {
        let (at, key) = (u64::from(n) * 60, flow_of(n, 1));
        side.open(at, key);
        let data = |seq| Segment {
            seq,
            ..segment(key)
        };
        side.send(at + 5, Inquiry::None, &data(1001));
        side.send(at + 25, Inquiry::None, &data(1101));
        side.answer(at + 45, &segment(key), None);
        // An error at once, and a request with a lost packet that takes long.
        side.send(at + 46, Inquiry::None, &data(1201));
        side.answer(at + 46, &segment(key), Some(404));
        side.send(at + 47, Inquiry::None, &data(1401));
        side.answer(at + 59, &segment(key), None);
    }
    assert_eq!(side.time(1200), Some(Duration::from_millis(20)));
}

// Guards against one caller that makes a server look slow to all.
#[test]
fn long_requests_of_one_caller_do_not_make_the_server_slow() {
    let mut side = Side::new();
    for n in 0..100_u16 {
        let at = u64::from(n) * 20;
        let from_heavy = n % 5 < 2;
        let caller = if from_heavy { 255 } else { n as u8 };
        let key = flow_of(caller, n + 1);
        side.open(at, key);
        side.send(at, Inquiry::None, &segment(key));
        let took = if from_heavy { 19 } else { 2 };
        side.answer(at + took, &segment(key), None);
    }
    assert_eq!(side.time(2000), Some(Duration::from_millis(2)));
}

// Guards against a wrong limit that refuses callers, and against one that has no
// effect where another server can take the flow.
#[test]
fn beyond_the_learned_limit_an_opening_is_sent_back_but_never_refused() {
    let mut side = Side::new();
    for port in 1..=2 {
        side.open(0, flow(port));
        side.send(0, Inquiry::None, &segment(flow(port)));
    }
    side.answer(1, &segment(flow(2)), Some(503));
    let mut admitted = 1;
    for port in 10..13 {
        let back = side.send(1, Inquiry::Owner, &opening(flow(port), 0));
        assert_eq!(back, Inbound::Refuse(Refusal::Busy));
        let taken = side.send(1, Inquiry::OwnerEvenIfBusy, &opening(flow(port), 0));
        admitted += u16::from(matches!(taken, Inbound::Forward { .. }));
    }
    // The server has four slots.
    assert_eq!(admitted, 4);
}

// Guards against a cold server that counts as slow once it is warm.
#[test]
fn nothing_is_learned_in_a_cold_start() {
    let mut side = Side::new();
    let mut catalog = catalog(&[]);
    let mut cold = server(1, FEEDS);
    cold.cold_for = Duration::from_secs(2);
    catalog.apply(Millis(0), written(101, Record::Server(id(1), cold)));
    side.view = catalog.view(Millis(0)).unwrap();
    for n in 0..10 {
        let at = u64::from(n) * 190;
        side.open(at, flow_of(n, 1));
        side.send(at, Inquiry::None, &segment(flow_of(n, 1)));
        side.answer(at + 150, &segment(flow_of(n, 1)), None);
        assert_eq!(side.time(at + 150), None);
    }
    assert_eq!(side.time(2100), None);
}
