//! Flows at an agent: a flow that can't finish closing is reset at
//! [`CLOSE_TIMEOUT`].

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;
use std::time::Duration;

use etherparse::PacketBuilder;
use hyper::rt::Write;
use ramp_protocol::packet::Segment;
use ramp_state::key::FlowKey;
use ramp_state::time::Millis;
use ramp_transport::agent::flows::CLOSE_TIMEOUT;
use ramp_transport::agent::flows::FlowChange;
use ramp_transport::agent::flows::Flows;
use ramp_transport::agent::io::FlowId;

const KEY: FlowKey = FlowKey {
    caller: SocketAddrV4::new(Ipv4Addr::new(10, 200, 0, 1), 40_000),
    service: SocketAddrV4::new(Ipv4Addr::new(10, 80, 0, 1), 80),
};

/// Sequence number of the caller's opening packet.
const CALLER_ISN: u32 = 1_000;

fn packet(ack: Option<u32>) -> Vec<u8> {
    let (caller, service) = (KEY.caller, KEY.service);
    let builder = PacketBuilder::ipv4(caller.ip().octets(), service.ip().octets(), 64);
    let seq = CALLER_ISN + u32::from(ack.is_some());
    let builder = builder.tcp(caller.port(), service.port(), seq, 8_192);
    let builder = match ack {
        Some(ack) => builder.ack(ack),
        None => builder.syn(),
    };
    let mut buf = Vec::new();
    builder.write(&mut buf, &[]).unwrap();
    buf
}

fn drive(flows: &mut Flows, id: FlowId, now: Millis) -> (FlowChange, Vec<Segment>) {
    let mut sent = Vec::new();
    let change = flows.drive(id, now, &mut |packet: &[u8]| {
        sent.push(Segment::parse_to_caller(packet).unwrap());
    });
    (change, sent)
}

#[test]
fn a_flow_whose_fin_is_never_acknowledged_ends_at_its_limit() {
    let mut flows = Flows::default();
    let start = Millis(1_000);
    let id = flows.open(KEY, 7, start);
    flows.push(id, &packet(None));
    let (_, sent) = drive(&mut flows, id, start);
    let next_seq = sent[0].seq.wrapping_add(1);
    flows.push(id, &packet(Some(next_seq)));
    let (change, _) = drive(&mut flows, id, start);
    assert_eq!(change, FlowChange::Established(KEY));

    let mut io = flows.io(id).unwrap();
    let mut cx = Context::from_waker(Waker::noop());
    let closed = Pin::new(&mut io).poll_shutdown(&mut cx);
    assert!(matches!(closed, Poll::Ready(Ok(()))));
    let (_, sent) = drive(&mut flows, id, start);
    assert!(sent[0].fin);
    // The FIN got lost: the caller repeats the acknowledgement of the data
    // before it.
    for _ in 0..4 {
        flows.push(id, &packet(Some(next_seq)));
        drive(&mut flows, id, start);
    }

    let before = start + CLOSE_TIMEOUT - Duration::from_millis(1);
    assert_eq!(drive(&mut flows, id, before).0, FlowChange::None);
    let (change, sent) = drive(&mut flows, id, start + CLOSE_TIMEOUT);
    assert_eq!(change, FlowChange::Closed(KEY));
    assert!(sent.iter().any(|segment| segment.rst));
    assert!(flows.is_empty());
}

#[test]
fn a_closing_flow_asks_for_a_turn_at_its_limit() {
    let mut flows = Flows::default();
    let start = Millis(1_000);
    let id = flows.open(KEY, 7, start);
    flows.push(id, &packet(None));
    let (_, sent) = drive(&mut flows, id, start);
    let next_seq = sent[0].seq.wrapping_add(1);
    flows.push(id, &packet(Some(next_seq)));
    drive(&mut flows, id, start);
    let mut io = flows.io(id).unwrap();
    let mut cx = Context::from_waker(Waker::noop());
    let _ = Pin::new(&mut io).poll_shutdown(&mut cx);
    let mut now = start;
    for _ in 0..1_000 {
        drive(&mut flows, id, now);
        if flows.is_empty() {
            return;
        }
        now = flows.next_timer().expect("an open flow has a timer");
        while flows.pop_due(now).is_some() {}
    }
    panic!("the flow never ended");
}
